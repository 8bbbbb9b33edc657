"""A caller's request on its way: what is sent on, and its attempts at one or two engines.

Owns what lasts as long as one request. A request is what the caller sent; an attempt, in
`attempts`, is one sending of it to one engine.
"""

from dataclasses import dataclass, field
from typing import Any

import curio

from pondtiller.gateway.callers.attempts import RequestAttempts
from pondtiller.gateway.callers.table_in_force import NOT_DECIDED, TableReading
from pondtiller.platform.headers import Headers
from pondtiller.process.spawner import Spawner
from pondtiller.routes.table import RouteRow
from pondtiller.usage.meter import Beginning


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A request as it is sent on.

    Attributes
    ----------
    deadline
        When the answer is due, on the steady clock.
    beginning
        Whose request it is, and when an engine began it.
    content
        Digest of what makes it the same request when it comes again: caller, host, method, path
        and body.
    decided_by
        Table by which the request was routed.
    """

    identifier: str
    method: str
    target: str
    headers: Headers
    body: bytes
    deadline: float
    beginning: Beginning = field(default_factory=Beginning)
    content: str = ""
    decided_by: TableReading = NOT_DECIDED


@dataclass(eq=False)
class WholeRequest:
    """A request that is answered whole, with its attempts: the first good answer counts.

    Attributes
    ----------
    service
        Whose engines may get it.
    attempts
        What was attempted so far.
    ended
        A `curio.Queue` of `EndedAttempt`.
    tasks
        The attempts that go on.
    is_trial
        Whether it goes to one engine though its content is held back.
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
        """Content that is held back from engines where others ended under it; empty for a trial."""
        return "" if self.is_trial else self.request.content
