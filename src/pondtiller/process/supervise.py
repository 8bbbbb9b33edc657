"""Restarts tasks without which the process cannot work.

Errors are logged with their location (`task_failed`); they are bugs, since expected failures are
handled where they occur.
"""

import traceback
from collections.abc import Awaitable, Callable

import curio

from pondtiller.process import logs

RESTART_SECONDS = 0.2
"""Pause before a failed task is restarted, so that one that fails at once does not use up the
processor."""


async def keep_running(name: str, function: Callable[..., Awaitable[None]], *given: object) -> None:
    """Run a coroutine function again whenever it fails, and log that; until cancelled.

    A bug in one part must not leave a process that looks alive but has stopped working.
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
