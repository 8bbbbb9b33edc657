"""A part that fails is restarted, and one that ends is not."""

import curio
import pytest

from pondtiller.process.run_until import run_until
from pondtiller.process.supervise import keep_running


def test_a_failed_task_is_restarted_until_it_ends() -> None:
    begun: list[int] = []

    async def part() -> None:
        begun.append(1)
        if len(begun) < 3:
            raise ValueError("a bug")

    curio.run(keep_running, "part", part)
    assert len(begun) == 3


def test_the_first_of_two_results_decides() -> None:
    async def slow(seconds: float) -> str:
        await curio.sleep(seconds)
        return "done"

    async def never() -> None:
        await curio.sleep(100.0)

    async def main() -> None:
        assert await run_until(never, slow, 0.01) == "done"
        assert await run_until(lambda: curio.sleep(0.01), slow, 100.0) is None

    curio.run(main)


def test_an_exception_of_the_work_is_raised_and_is_not_an_answer() -> None:
    """A failure looked like an empty answer, and a watch asked again without a pause."""

    async def fail() -> str:
        raise ValueError("no")

    async def main() -> None:
        with pytest.raises(ValueError, match="no"):
            await run_until(lambda: curio.sleep(1.0), fail)

    curio.run(main)
