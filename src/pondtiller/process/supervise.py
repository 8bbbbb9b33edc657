"""Keeps a task going that its process cannot do without.

Owns no state: what the task kept is the task's. Errors are logged with their place
(`task_failed`); they are bugs, since expected failures are handled where they occur.
"""

import traceback
from collections.abc import Awaitable, Callable

import curio

from pondtiller.process import logs

RESTART_SECONDS = 0.2
"""Before a task that failed is begun again, so that one which fails at once does not take the
processor. Chosen, not measured: failures are bugs."""


async def keep_running(name: str, function: Callable[..., Awaitable[None]], *given: object) -> None:
    """Run a coroutine function again whenever it fails, and say so; until cancelled.

    A bug in one part must not leave a process that looks alive and has stopped to work.
    """
    while True:
        try:
            await function(*given)
            return
        except Exception as error:
            place = traceback.extract_tb(error.__traceback__)[-1]
            logs.decision(
                "task_failed",
                task=name,
                error=type(error).__name__,
                reason=str(error),
                file=place.filename.rpartition("/")[2],
                line=place.lineno,
            )
        await curio.sleep(RESTART_SECONDS)
