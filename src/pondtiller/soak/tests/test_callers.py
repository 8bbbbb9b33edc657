"""Each kind of call tells the checks what they need, and a wrong answer to each is seen."""

import random
from collections.abc import Callable

import curio
import pytest

from pondtiller.address import to_address
from pondtiller.process.spawner import Spawner
from pondtiller.soak.caller_rules import MAX_PER_WINDOW
from pondtiller.soak.callers import Callers
from pondtiller.soak.calls import Calls
from pondtiller.soak.promises import Promises
from pondtiller.soak.stand_ins import SoakEngine
from pondtiller.soak.tests.platforms import make_platform

Planted = Callable[[Callers], object]


def play(planted: Planted) -> set[str]:
    """Return what is broken when the gateway passes all on to one engine, whatever it is."""
    seen = Promises()

    async def test() -> None:
        platform = make_platform(seen, acts_since=0.0)
        engine = SoakEngine("a0", "app", platform, 2)
        calls = Calls([to_address(engine.address).port])
        async with Spawner() as group:
            await group.spawn(engine.serve)
            await planted(Callers(random.Random(1), calls, seen, platform.rate, [engine], group))  # type: ignore[misc]

    curio.run(test)
    return {each.promise for each in seen.breaches}


async def above_the_rate(callers: Callers) -> None:
    for number in range(MAX_PER_WINDOW + 1):
        await callers._call_with_rate(f"t{number}")


async def at_the_rate(callers: Callers) -> None:
    for number in range(MAX_PER_WINDOW):
        await callers._call_with_rate(f"t{number}")


async def twice(callers: Callers) -> None:
    await callers._call_live("q1", "/list/7", b"x", "app.example")
    await callers._call_live("q1", "/list/7", b"x", "app.example")


@pytest.mark.parametrize(
    ("planted", "broken"),
    [
        (at_the_rate, set()),
        (above_the_rate, {"a tenant's rate holds over all gateways"}),
        (twice, {"at most once"}),
        (lambda callers: callers._call_without_key("k1"), {"not run is true"}),
        (lambda callers: callers._call_once("q1"), set()),
        (lambda callers: callers._call_at_home("h1"), set()),
    ],
)
def test_what_a_gateway_should_not_pass_on_is_seen(planted: Planted, broken: set[str]) -> None:
    assert play(planted) == broken
