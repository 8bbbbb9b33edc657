"""Starts tasks that are not joined, and cancels those still running at its end.

A `curio.TaskGroup` keeps every finished task until it is joined, which is too expensive for a
daemon that starts thousands of short tasks a second. A task that must not end is started by
`supervise`.
"""

from collections.abc import Awaitable, Callable

import curio

from pondtiller.process.curio_types import Task


class Spawner:
    """A set of running tasks, as an asynchronous context manager."""

    def __init__(self) -> None:
        self._tasks: set[Task] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    async def __aenter__(self) -> "Spawner":
        return self

    async def __aexit__(self, *_error: object) -> None:
        for task in list(self._tasks):
            await task.cancel(blocking=False)

    async def cancel_all(self) -> None:
        """Cancel the running tasks, and wait for their end."""
        for task in list(self._tasks):
            await task.cancel()

    async def spawn(self, function: Callable[..., Awaitable[None]], *arguments: object) -> Task:
        """Start a task and return it."""
        holder: list[Task] = []
        task: Task = await curio.spawn(self._run, holder, function, *arguments, daemon=True)
        holder.append(task)
        self._tasks.add(task)
        return task

    async def _run(
        self, holder: list[Task], function: Callable[..., Awaitable[None]], *arguments: object
    ) -> None:
        try:
            await function(*arguments)
        finally:
            self._tasks.difference_update(holder)
