"""Waits for the operating system's signals to stop or to reload.

Uses the process's wakeup descriptor: one reader at a time, on the main thread.
"""

import signal
import socket
from collections.abc import AsyncIterator
from enum import Enum
from types import FrameType

import curio

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNALS = (signal.SIGHUP,)


class Request(Enum):
    """What a signal requests."""

    STOP = "stop"
    RELOAD = "reload"


async def wait_for_stop() -> None:
    """Return once SIGTERM or SIGINT has arrived; call it on the main thread only."""
    async for request in requests(STOP_SIGNALS):
        if request is Request.STOP:
            return


async def requests(
    numbers: tuple[signal.Signals, ...] = STOP_SIGNALS + RELOAD_SIGNALS,
) -> AsyncIterator[Request]:
    """Yield each request as it arrives; call it on the main thread only.

    The signal's number arrives on a socket pair, since curio's kernel cannot be woken by a signal
    itself.
    """
    receiver, sender = socket.socketpair()
    sender.setblocking(False)
    for number in numbers:
        signal.signal(number, _ignore)
    signal.set_wakeup_fd(sender.fileno(), warn_on_full_buffer=False)
    stream = curio.io.Socket(receiver)
    try:
        while True:
            for number in await stream.recv(64):
                is_stop = number in STOP_SIGNALS
                yield Request.STOP if is_stop else Request.RELOAD
    finally:
        signal.set_wakeup_fd(-1)
        receiver.close()
        sender.close()


def _ignore(_number: int, _frame: FrameType | None) -> None:
    """Suppress the default action, which ends the process; the socket pair does the rest."""
