"""Waits for the operating system's request to stop."""

import signal
import socket
from types import FrameType

import curio

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def wait_for_stop() -> None:
    """Return once SIGTERM or SIGINT has come; call it on the main thread only.

    The signal's number arrives on a socket pair, since the kernel of curio has no way of
    its own to be woken by a signal.
    """
    receiver, sender = socket.socketpair()
    sender.setblocking(False)
    for number in STOP_SIGNALS:
        signal.signal(number, _ignore)
    signal.set_wakeup_fd(sender.fileno(), warn_on_full_buffer=False)
    try:
        await curio.io.Socket(receiver).recv(1)
    finally:
        signal.set_wakeup_fd(-1)
        receiver.close()
        sender.close()


def _ignore(_number: int, _frame: FrameType | None) -> None:
    """Keep the default action from ending the process; the socket pair tells the rest."""
