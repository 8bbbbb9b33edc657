"""One gateway's count of requests that engines started, by window and tenant. No I/O.

A request counts once, in the window in which its first engine started it. Counts only grow, and a
leader receives the counts themselves and not their changes, so a lost, repeated or late message
does no harm.

Holds the counts of this gateway in memory only: counts that were not sent to the leader are lost
when it ends. Does not sum up over gateways (`ledger.py`), and does not decide which window is due
(`reports.py`).
"""

import json
import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

KEPT_SECONDS = 60.0
"""How long a window's counts are kept for a leader that needs them again."""


class UseRow(NamedTuple):
    """How many requests of a tenant started in a window, by its number."""

    window: int
    tenant: str
    requests: int


class UseKey(NamedTuple):
    """Key of a count: a window and a tenant."""

    window: int
    tenant: str


def pack_rows(rows: Iterable[UseRow]) -> bytes:
    """Encode rows for sending to the leader."""
    return json.dumps(list(rows)).encode()


def unpack_rows(encoded: bytes) -> list[UseRow]:
    """Decode received rows; raises `ValueError` or `TypeError` if they are malformed."""
    return [UseRow(*row) for row in json.loads(encoded)] if encoded else []


def window_of(agreed: float, window_seconds: float) -> int:
    """Return the window of a wall-clock time: window k starts k lengths after the start of 1970."""
    return math.floor(agreed / window_seconds)


@dataclass(eq=False)
class Beginning:
    """Whether and when engines started one request.

    Attributes
    ----------
    opened_at, began_at
        Seconds of the monotonic clock; `began_at` is None while no engine has started it.
    is_final
        Whether `began_at` can no longer change.
    """

    tenant: str = ""
    opened_at: float = 0.0
    began_at: float | None = None
    is_final: bool = False
    _sent: int = 0

    def note_sent(self, now: float) -> None:
        """Record a send to an engine, which starts the request unless it reports otherwise."""
        self._sent += 1
        if self.began_at is None:
            self.began_at = now

    def note_not_started(self) -> None:
        """Record that an engine reported not to have started the request."""
        self._sent -= 1
        if not self._sent:
            self.began_at = None

    def note_first_token(self, now: float) -> None:
        """Record the first token of a stream."""
        if not self.is_final:
            self.began_at, self.is_final = now, True


class UseMeter:
    """The counts of one daemon since it started.

    Parameters
    ----------
    window_seconds
        Length of a window; 0 if nothing is reported, and so nothing is counted.
    """

    def __init__(self, window_seconds: float) -> None:
        self.window_seconds = window_seconds
        self.counts: dict[UseKey, int] = {}
        self._open: set[Beginning] = set()
        self._untimed: list[Beginning] = []
        self._reported: dict[UseKey, int] = {}
        self._reported_epoch = 0

    def open(self, tenant: str, now: float) -> Beginning:
        """Track a new request."""
        beginning = Beginning(tenant, now)
        if tenant and self.window_seconds:
            self._open.add(beginning)
        return beginning

    def close(self, beginning: Beginning) -> None:
        """Count an ended request if an engine started it."""
        beginning.is_final = True
        if beginning in self._open:
            self._open.discard(beginning)
            if beginning.began_at is not None:
                self._untimed.append(beginning)

    def complete_until(self, now: float) -> float:
        """Return the monotonic time up to which all started requests are counted."""
        return min((each.opened_at for each in self._open if not each.is_final), default=now)

    def count(self, now: float, agreed_now: float) -> None:
        """Assign started requests to windows, once the agreed wall-clock time is known."""
        for each in [each for each in self._open if each.is_final]:
            self.close(each)
        untimed, self._untimed = self._untimed, []
        for each in untimed:
            began = agreed_now - (now - (each.began_at or now))
            key = UseKey(window_of(began, self.window_seconds), each.tenant)
            self.counts[key] = self.counts.get(key, 0) + 1
        oldest = window_of(agreed_now - KEPT_SECONDS, self.window_seconds)
        for key in [key for key in self.counts if key.window < oldest]:
            del self.counts[key]
            self._reported.pop(key, None)

    def unreported(self, epoch: int) -> list[UseRow]:
        """Return the counts that the leader of an epoch does not know yet."""
        if epoch != self._reported_epoch:
            self._reported_epoch = epoch
            self._reported.clear()
        return [
            UseRow(key.window, key.tenant, count)
            for key, count in self.counts.items()
            if self._reported.get(key) != count
        ]

    def note_reported(self, epoch: int, rows: list[UseRow]) -> None:
        """Record that the leader of an epoch knows some counts."""
        if epoch != self._reported_epoch:
            return
        for row in rows:
            self._reported[UseKey(row.window, row.tenant)] = row.requests
