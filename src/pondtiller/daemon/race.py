"""Runs one thing until another happens."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import curio

Result = TypeVar("Result")


async def run_until(
    happened: Callable[[], Awaitable[object]],
    function: Callable[..., Awaitable[Result]],
    *arguments: object,
) -> Result | None:
    """Return what a coroutine function returns; None where `happened` returns before it."""
    async with curio.TaskGroup(wait=any) as group:
        work = await group.spawn(function, *arguments)
        await group.spawn(happened)
    if not work.terminated or work.cancelled:
        return None
    result: Result = work.result
    return result
