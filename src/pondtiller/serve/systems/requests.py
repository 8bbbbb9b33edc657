"""Ends requests whose deadline has passed or whose caller has left.

Owns no state. What an ended request leaves behind (counts, a claim, a place on an engine) is put in
order by `lifecycle`.
"""

from pondtiller.errors import ErrorKind, Failure
from pondtiller.serve.core.entities import Request, RequestState
from pondtiller.serve.core.events import CallerLeft
from pondtiller.serve.core.timers import TimerKind
from pondtiller.serve.core.world import World
from pondtiller.serve.systems import lifecycle


def run(world: World, now: float) -> None:
    """Handle departures of callers and deadlines of requests."""
    for left in world.batch.of(CallerLeft):
        request = world.requests.get(left.request_id)
        if request is not None and not _outlives_caller(request):
            lifecycle.fail(world, request, Failure(ErrorKind.ENGINE_FAILED, "caller left"), now)
    for request_id in world.due_keys(TimerKind.REQUEST_DEADLINE):
        request = world.requests.get(request_id)
        if request is not None:
            lifecycle.fail(world, request, _expiry(request), now)


def _outlives_caller(request: Request) -> bool:
    """Return whether a request goes on so that the caller's retry finds its answer."""
    return request.holds_claim and request.reached_engine


def _expiry(request: Request) -> Failure:
    if request.state is RequestState.FOLLOWING:
        return Failure(ErrorKind.OUTCOME_UNKNOWN, "another request with this key still runs")
    if request.state is RequestState.RUNNING:
        return Failure(ErrorKind.DEADLINE_EXCEEDED)
    return Failure(ErrorKind.EXPIRED_IN_QUEUE)
