"""Runs a second function for a result if the first one takes long or has none."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import curio

Result = TypeVar("Result")


async def hedged(
    first: Callable[[], Awaitable[Result | None]],
    second: Callable[[], Awaitable[Result | None]],
    after_seconds: float,
) -> Result | None:
    """Return the result of the function that has one first; None if neither has.

    The other one is cancelled. Exceptions of either are raised here.

    Parameters
    ----------
    after_seconds
        When the second function starts, unless the first one ends without a result before.
    """
    results: list[Result] = []
    errors: list[Exception] = []
    first_ended, done = curio.Event(), curio.Event()

    async def carry_out(function: Callable[[], Awaitable[Result | None]]) -> None:
        try:
            result = await function()
        except Exception as error:
            errors.append(error)
        else:
            if result is not None:
                results.append(result)
        if results or errors:
            await done.set()

    async def run_first() -> None:
        await carry_out(first)
        await first_ended.set()

    async def run_second() -> None:
        await curio.ignore_after(after_seconds, first_ended.wait)
        await carry_out(second)
        await first_ended.wait()
        await done.set()

    tasks = [await curio.spawn(each, daemon=True) for each in (run_first, run_second)]
    try:
        await done.wait()
    finally:
        for task in tasks:
            await task.cancel(blocking=False)
    if results:
        return results[0]
    if errors:
        raise errors[0]
    return None
