"""Engines, scorers and the platform answer with bytes that never end."""

from collections.abc import Iterator

import curio
import pytest

from pondtiller.address import Address
from pondtiller.errors import Ran
from pondtiller.httpio.bodies import MAX_BODY_BYTES
from pondtiller.httpio.client import HttpClient
from pondtiller.serve.core.events import (
    AttemptFailed,
    EnginePollFailed,
    Event,
    OrderAnswered,
    OrderResult,
    ScoreArrived,
    StoreFailed,
)
from pondtiller.serve.core.instructions import (
    EngineOrder,
    EngineRequest,
    OrderEngine,
    PollEngine,
    ScoreSample,
    StartAttempt,
    WatchStore,
)
from pondtiller.serve.daemon.engine_client import EngineClient
from pondtiller.serve.daemon.platform_client import PlatformClient
from pondtiller.standins.endless_engine import PIECE_BYTES, Endless, EndlessEngine

KINDS = tuple(kind for kind in Endless if kind is not Endless.AFTER)
MOST_BYTES = MAX_BODY_BYTES + 2 * PIECE_BYTES
MAX_SECONDS = 20.0


@pytest.fixture
def endless(request: pytest.FixtureRequest) -> Iterator[EndlessEngine]:
    engine = EndlessEngine(request.param)
    yield engine
    engine.close()


def check_closed(endless: EndlessEngine) -> None:
    endless.wait_sent()
    for sent in endless.sent:
        assert sent.was_closed
        assert sent.bytes_sent <= MOST_BYTES


@pytest.mark.parametrize("endless", KINDS, indirect=True)
def test_an_attempt_with_an_answer_without_end_is_left(endless: EndlessEngine) -> None:
    """Guards against a stream that fills the memory."""
    posted: list[Event] = []
    address = Address("127.0.0.1", endless.port)

    async def main() -> None:
        client = EngineClient(HttpClient(), _append_to(posted))
        request = EngineRequest("r", "m", "p", 5, 0, "", 0, 0)
        await curio.timeout_after(
            MAX_SECONDS, client.attempt, StartAttempt("a", "e", address, request)
        )

    curio.run(main)
    (failed,) = posted
    assert isinstance(failed, AttemptFailed)
    assert failed.ran is Ran.UNKNOWN
    check_closed(endless)


@pytest.mark.parametrize("endless", KINDS, indirect=True)
def test_polls_orders_scores_and_watches_with_answers_without_end_fail(
    endless: EndlessEngine,
) -> None:
    """Guards against a daemon whose memory an answer fills."""
    posted: list[Event] = []
    address = Address("127.0.0.1", endless.port)

    async def main() -> None:
        http = HttpClient()
        engine = EngineClient(http, _append_to(posted))
        platform = PlatformClient(http, _append_to(posted), address, address)
        await engine.poll(PollEngine("e", address))
        await engine.order(OrderEngine("e", address, EngineOrder("o", 1, "load", "m", 2)))
        await platform.score(ScoreSample("s", "p", "t"))
        await platform.list_all()
        await platform.watch(WatchStore(3))

    curio.run(main)
    assert posted == [
        EnginePollFailed("e"),
        OrderAnswered("e", "o", OrderResult.NO_ANSWER),
        ScoreArrived("s", None),
        StoreFailed(expired=False),
        StoreFailed(expired=False),
    ]
    check_closed(endless)


def _append_to(posted: list[Event]):
    async def post(event: Event) -> None:
        posted.append(event)

    return post
