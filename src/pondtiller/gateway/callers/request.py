"""A caller's request in progress: what is forwarded, and its attempts.

A request is what the caller sent; an attempt, in `attempts`, sends it once to one engine.
"""

from dataclasses import dataclass, field
from typing import Any

import curio

from pondtiller.gateway.callers.attempts import RequestAttempts
from pondtiller.gateway.callers.table_in_force import NOT_DECIDED, TableReading
from pondtiller.platform.headers import Headers
from pondtiller.process.spawner import Spawner
from pondtiller.routes.quarantine import UNCOUNTED_CONTENT
from pondtiller.routes.table import RouteRow
from pondtiller.usage.meter import Beginning


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A request as it is forwarded.

    Attributes
    ----------
    deadline
        When the answer is due, in monotonic time.
    beginning
        Whose request it is, and when an engine started it.
    content
        Digest that identifies a retry of the same request: caller, host, method, path and body.
    decided_by
        Table by which the request was routed.
    is_owed
        Whether it must be answered in the end, since an accepted sample waits for it.
    """

    identifier: str
    method: str
    target: str
    headers: Headers
    body: bytes
    deadline: float
    beginning: Beginning = field(default_factory=Beginning)
    content: str = UNCOUNTED_CONTENT
    decided_by: TableReading = NOT_DECIDED
    is_owed: bool = False


@dataclass(eq=False)
class WholeRequest:
    """A request with a whole answer and its attempts; the first good answer counts.

    Attributes
    ----------
    service
        Service whose engines may get it.
    attempts
        State of its attempts.
    ended
        A `curio.Queue` of `EndedAttempt`.
    tasks
        Attempts in progress.
    is_trial
        Whether it is sent to one engine although its content is quarantined.
    """

    request: ForwardedRequest
    route: RouteRow
    service: str
    is_trial: bool = False
    attempts: RequestAttempts = field(default_factory=RequestAttempts)
    ended: Any = field(default_factory=curio.Queue)
    tasks: Spawner = field(default_factory=Spawner)

    @property
    def checked_content(self) -> str:
        """Content to check against the quarantine; empty for a trial."""
        return UNCOUNTED_CONTENT if self.is_trial else self.request.content
