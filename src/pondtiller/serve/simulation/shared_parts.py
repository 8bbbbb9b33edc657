"""What all daemons of a simulated cluster share, and what each of them spent.

Lasts as long as the cluster; nothing here is lost when a daemon crashes.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from pondtiller.serve.core.events import Event
from pondtiller.serve.core.instructions import LogEvent
from pondtiller.serve.simulation.engines import EngineNode
from pondtiller.serve.simulation.network import Network
from pondtiller.serve.simulation.platform import PlatformNode
from pondtiller.serve.simulation.scheduler import Scheduler


@dataclass(slots=True)
class ControlCosts:
    """What a daemon spent on control messages.

    Attributes
    ----------
    messages, bytes_sent
        Letters sent to peers; bytes are counted only where the run asks for it.
    ticks
        Times that the systems ran.
    busy_seconds
        Processor time of ticks, encoding and decoding, where the run asks for it.
    """

    messages: int = 0
    bytes_sent: int = 0
    ticks: int = 0
    busy_seconds: float = 0.0


class PeerNode(Protocol):
    """A daemon as its peers reach it."""

    zone: str
    costs: ControlCosts

    def deliver(self, event: Event) -> None:
        """Hand an event to the daemon."""


@dataclass(slots=True)
class SharedParts:
    """What all daemons of a cluster share."""

    scheduler: Scheduler
    network: Network
    platform: PlatformNode
    engines: dict[str, EngineNode]
    daemons: Mapping[str, PeerNode]
    on_table: Callable[[str, int], None] | None = None
    on_log: Callable[[str, LogEvent], None] | None = None
    count_bytes: bool = False
    processor_clock: Callable[[], float] | None = None

    def processor_seconds(self) -> float:
        """Return the processor time of this run, 0 where the run does not ask for it."""
        return self.processor_clock() if self.processor_clock is not None else 0.0
