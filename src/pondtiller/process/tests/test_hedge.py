"""A second attempt at one result."""

from collections.abc import Awaitable, Callable

import curio
import pytest

from pondtiller.process import clock
from pondtiller.process.hedge import hedged

LONG_SECONDS = 5.0

Way = Callable[[], Awaitable[str | None]]


def way(result: str | None, seconds: float = 0.0) -> Way:
    async def take() -> str | None:
        await curio.sleep(seconds)
        return result

    return take


async def failing() -> str | None:
    raise ValueError("no sound answer")


def run(first: Way, second: Way, after_seconds: float) -> tuple[str | None, float]:
    """Return the result, and how long it took."""

    async def main() -> tuple[str | None, float]:
        began = clock.monotonic()
        found = await hedged(first, second, after_seconds)
        return found, clock.monotonic() - began

    found: tuple[str | None, float] = curio.run(main)
    return found


def test_no_second_attempt_starts_while_the_first_is_in_time() -> None:
    assert run(way("first", 0.05), failing, LONG_SECONDS)[0] == "first"


def test_a_first_attempt_without_a_result_is_not_waited_for() -> None:
    found, seconds = run(way(None), way("second"), LONG_SECONDS)
    assert found == "second"
    assert seconds < LONG_SECONDS


def test_the_first_attempt_continues_if_the_second_has_no_result() -> None:
    assert run(way("first", 0.2), way(None), 0.0)[0] == "first"


def test_two_attempts_without_a_result_return_none() -> None:
    assert run(way(None), way(None), 0.0)[0] is None


@pytest.mark.parametrize("ways", [(failing, way("other", 1.0)), (way("other", 1.0), failing)])
def test_an_error_of_either_attempt_is_raised(ways: tuple[Way, Way]) -> None:
    with pytest.raises(ValueError, match="no sound answer"):
        run(*ways, 0.0)
