"""Runs a function until another one returns.

Used if a caller may leave, or another call learns more, while an answer is awaited. The function is
cancelled then.
"""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import curio

Result = TypeVar("Result")


async def run_until(
    happened: Callable[[], Awaitable[object]],
    function: Callable[..., Awaitable[Result]],
    *arguments: object,
) -> Result | None:
    """Return what a coroutine function returns; None if `happened` returns first.

    Exceptions of the function are raised here; they are not reported as a task's crash.
    """
    results: list[Result] = []
    errors: list[Exception] = []

    async def work() -> None:
        try:
            results.append(await function(*arguments))
        except Exception as error:
            errors.append(error)

    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(work)
        await group.spawn(happened)
    if errors:
        raise errors[0]
    return results[0] if results else None
