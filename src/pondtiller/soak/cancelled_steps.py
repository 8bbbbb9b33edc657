"""Steps that their trainer ends early: nothing of them reaches an engine later, or stays at one."""

from collections.abc import Callable
from typing import NamedTuple

from pondtiller.soak.promises import Promises

CANCEL_SECONDS = 3.0
"""After the acknowledgement of a step's end its requests may still reach an engine for so long."""
PROMISE = "nothing of an ended step is at an engine"


class EngineRequest(NamedTuple):
    """A request of a sample or of its scorer at an engine.

    Attributes
    ----------
    identifier
        Of the sample, or of the scorer's request.
    opener
        Gateway that sent it.
    acts_since
        Returns since when that gateway has run and reached the engine, on the steady clock;
        infinite while it does not.
    """

    identifier: str
    opener: str
    acts_since: Callable[[], float]


class CancelledSteps:
    """Checks requests of steps whose ends were acknowledged.

    Attributes
    ----------
    ended
        Steps whose ends were acknowledged.
    """

    def __init__(self, promises: Promises) -> None:
        self.ended = 0
        self._promises = promises
        self._ended_at: dict[str, float] = {}

    def acknowledged(self, samples: list[str], now: float) -> None:
        """Take that the end of a step with these samples was acknowledged."""
        self.ended += 1
        for sample in samples:
            self._ended_at[sample] = self._ended_at[scorer_of(sample)] = now

    def began(self, request: EngineRequest, now: float) -> None:
        """Take that a request reached an engine."""
        self._check(request, now, "began")

    def left(self, request: EngineRequest, now: float) -> None:
        """Take that an engine is not at work on a request any more."""
        self._check(request, now, "was left")

    def _check(self, request: EngineRequest, now: float, what: str) -> None:
        ended_at = self._ended_at.get(request.identifier)
        if ended_at is None or now <= ended_at + CANCEL_SECONDS:
            return
        if now < request.acts_since() + CANCEL_SECONDS:
            return
        late = now - ended_at
        detail = f"{request.identifier} {what} {late:.2f} s after the end, by {request.opener}"
        self._promises.breach(PROMISE, detail)


def scorer_of(sample: str) -> str:
    """Return the identifier of a sample's scorer's request."""
    return f"{sample}-score"
