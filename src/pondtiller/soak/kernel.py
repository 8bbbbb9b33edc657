"""Shuts down the event loop of a soak, whose stand-ins still serve running programs as it ends.

curio lists the tasks to cancel before it lets those run that are ready. One of these may start
another, which curio then neither cancels nor accepts.
"""

import sys
from typing import Any

import curio

MAX_ROUNDS = 5
"""Shutdowns of one kernel. Each cancels what was started during the one before."""


def shut_down(kernel: curio.Kernel) -> None:
    """Cancel all tasks of a kernel, also those that are started meanwhile, and end it.

    Raises
    ------
    AssertionError
        Where tasks are started in each of `MAX_ROUNDS` rounds; it names these of the last one.
    """
    for _ in range(MAX_ROUNDS - 1):
        try:
            kernel.run(shutdown=True)
            return
        except AssertionError:
            print(f"started during the shutdown: {_places(kernel)}", file=sys.stderr)
    try:
        kernel.run(shutdown=True)
    except AssertionError as error:
        raise AssertionError(f"{error}: {_places(kernel)}") from error


def _places(kernel: curio.Kernel) -> list[str]:
    """Return where each task of a kernel is, innermost function last."""
    return ["/".join(_functions(task.coro)) for task in kernel._tasks.values()]


def _functions(coroutine: Any) -> list[str]:
    found = []
    while coroutine is not None:
        frame = getattr(coroutine, "cr_frame", None)
        if frame is not None:
            found.append(f"{frame.f_code.co_qualname}:{frame.f_lineno}")
        coroutine = getattr(coroutine, "cr_await", None)
    return found
