"""A caller's request on its way: what is sent on, and its attempts at one or two engines."""

from dataclasses import dataclass, field
from typing import Any

import curio

from pondtiller.gateway.callers.tries import Tries
from pondtiller.platform.engine_format import Headers
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
    """

    identifier: str
    method: str
    target: str
    headers: Headers
    body: bytes
    deadline: float
    beginning: Beginning = field(default_factory=Beginning)
    content: str = ""


@dataclass(eq=False)
class Race:
    """One request's attempts, of which the first good answer counts.

    Attributes
    ----------
    service
        Whose engines may get it.
    tries
        What was tried so far.
    ended
        Queue of the attempts that have ended.
    attempts
        Those that go on.
    """

    request: ForwardedRequest
    route: RouteRow
    service: str
    tries: Tries = field(default_factory=Tries)
    ended: Any = field(default_factory=curio.Queue)
    attempts: Spawner = field(default_factory=Spawner)
