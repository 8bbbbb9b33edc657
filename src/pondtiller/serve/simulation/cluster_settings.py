"""How a simulated cluster is built: seed, switches of mechanisms, what is counted.

The deployment itself is given beside it.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from pondtiller.serve.core.world_settings import Mechanisms


@dataclass(frozen=True, slots=True)
class ClusterSettings:
    """How a cluster is built.

    Attributes
    ----------
    seed
        Seed of everything that is drawn.
    mechanisms
        Switches; all on except in tests that show what a mechanism prevents.
    with_load
        Whether callers and trainers run.
    count_bytes
        Whether messages are encoded and decoded to count their bytes.
    processor_clock
        Clock by which daemons' processor time is measured; None measures nothing and
        keeps the run's report the same on every machine.
    """

    seed: int
    mechanisms: Mechanisms = field(default_factory=Mechanisms)
    with_load: bool = True
    count_bytes: bool = False
    processor_clock: Callable[[], float] | None = None
    shard_count: int = 4
