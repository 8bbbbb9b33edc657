"""A soak's engines tell of two at work on one sample, also where the caller left one of them."""

from typing import Any

import curio
import pytest

from pondtiller.address import to_address
from pondtiller.httpio.client import HttpClient
from pondtiller.process import clock
from pondtiller.process.spawner import Spawner
from pondtiller.soak.promises import Promises
from pondtiller.soak.stand_ins import SoakEngine
from pondtiller.soak.tests.platforms import make_platform

LONG_SAMPLE = "s-0"


async def begin(engine: SoakEngine) -> Any:
    """Have an engine begin a long sample; return the connection."""
    connection = await HttpClient().open_plain(to_address(engine.proxy.address))
    headers = (("Host", "e"), ("Request-Id", LONG_SAMPLE), ("Model", "m"))
    await connection.send_plain("POST", "/rollout/0", b"prompt", headers)
    await connection.read_head()
    return connection


def overlapping(seconds: float) -> list[str]:
    """Return what is broken when one engine goes on for so long beside another one."""
    seen = Promises()

    async def test() -> None:
        platform = make_platform(seen)
        engines = [SoakEngine(name, "llm", platform, 12) for name in ("m0", "m1")]
        async with Spawner() as group:
            for engine in engines:
                await group.spawn(engine.serve)
                await group.spawn(engine.proxy.run)
            first = await begin(engines[0])
            second = await begin(engines[1])
            await curio.sleep(seconds)
            await first.close()
            await curio.sleep(0.2)
            await second.close()
            assert platform.sample_runs.overlaps == 1

    curio.run(test)
    return [each.promise for each in seen.breaches]


def test_engines_that_both_work_on_a_sample_are_seen() -> None:
    assert overlapping(0.6) == ["no two engines work on a sample"]


def test_an_engine_that_its_caller_leaves_at_once_does_not_count_until_its_next_event() -> None:
    assert overlapping(0.05) == []


@pytest.mark.parametrize(("held_up_seconds_ago", "is_counted"), [(1.0, False), (10.0, True)])
def test_a_program_that_just_went_on_is_not_counted_and_one_that_did_long_ago_is(
    held_up_seconds_ago: float, is_counted: bool
) -> None:
    seen = Promises()
    went_on = clock.monotonic() - held_up_seconds_ago
    engine = SoakEngine("a0", "app", make_platform(seen, went_on), 12)
    engine.rules.cold_from, engine.rules.cold_until = float("-inf"), float("inf")
    for number in range(20):
        engine._check_rules(f"q{number}", "g0")
    assert bool(seen.breaches) is is_counted
