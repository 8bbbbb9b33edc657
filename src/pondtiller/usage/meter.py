"""What one gateway counts: requests that engines began, by window and tenant. No I/O.

A request counts once, in the window in which its first engine began it. Counts only grow, and a
leader receives the counts themselves and not their changes, so a message that is lost, repeated or
late does no harm.

Owns the counts of this gateway, in memory alone: what was not sent to the leader when it ends is
not reported.
Does not add up over gateways (`ledger.py`), nor decide which window is due (`reports.py`).
"""

import json
import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

KEPT_SECONDS = 60.0
"""How long a window's counts are kept for a leader that needs them again."""


class UseRow(NamedTuple):
    """How many requests of a tenant began in a window, by its number."""

    window: int
    tenant: str
    requests: int


class UseKey(NamedTuple):
    """What is counted together: a tenant's requests that began in a window."""

    window: int
    tenant: str


def pack_rows(rows: Iterable[UseRow]) -> bytes:
    """Return rows as they are sent to the leader."""
    return json.dumps(list(rows)).encode()


def unpack_rows(encoded: bytes) -> list[UseRow]:
    """Return rows that were received; raises `ValueError`, `TypeError` where they are not sound."""
    return [UseRow(*row) for row in json.loads(encoded)] if encoded else []


def window_of(agreed: float, window_seconds: float) -> int:
    """Return the window of a time of day: window k begins k lengths after the start of 1970."""
    return math.floor(agreed / window_seconds)


@dataclass(eq=False)
class Beginning:
    """Whether and when engines began one request.

    Attributes
    ----------
    opened_at, began_at
        Seconds of the steady clock; `began_at` is None while no engine has begun it.
    is_final
        Whether `began_at` stays as it is.
    """

    tenant: str = ""
    opened_at: float = 0.0
    began_at: float | None = None
    is_final: bool = False
    _sent: int = 0

    def sent(self, now: float) -> None:
        """Take that the request left for an engine, which begins it unless it says otherwise."""
        self._sent += 1
        if self.began_at is None:
            self.began_at = now

    def refused(self) -> None:
        """Take that an engine says that it did not begin it."""
        self._sent -= 1
        if not self._sent:
            self.began_at = None

    def first_token(self, now: float) -> None:
        """Take that a stream has begun."""
        if not self.is_final:
            self.began_at, self.is_final = now, True


class UseMeter:
    """The counts of one daemon since it started.

    Parameters
    ----------
    window_seconds
        Length of a window; 0 where nothing is reported, and so nothing counted.
    """

    def __init__(self, window_seconds: float) -> None:
        self.window_seconds = window_seconds
        self.counts: dict[UseKey, int] = {}
        self._open: set[Beginning] = set()
        self._untimed: list[Beginning] = []
        self._told: dict[UseKey, int] = {}
        self._told_epoch = 0

    def open(self, tenant: str, now: float) -> Beginning:
        """Begin to follow a request."""
        beginning = Beginning(tenant, now)
        if tenant and self.window_seconds:
            self._open.add(beginning)
        return beginning

    def close(self, beginning: Beginning) -> None:
        """Count a request that has ended, where an engine began it."""
        beginning.is_final = True
        if beginning in self._open:
            self._open.discard(beginning)
            if beginning.began_at is not None:
                self._untimed.append(beginning)

    def complete_until(self, now: float) -> float:
        """Return the steady time up to which all beginnings are counted."""
        return min((each.opened_at for each in self._open if not each.is_final), default=now)

    def count(self, now: float, agreed_now: float) -> None:
        """Put what has begun into windows, now that the agreed time of day is known."""
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
            self._told.pop(key, None)

    def untold(self, epoch: int) -> list[UseRow]:
        """Return the counts that the leader of an epoch does not know yet."""
        if epoch != self._told_epoch:
            self._told_epoch = epoch
            self._told.clear()
        return [
            UseRow(key.window, key.tenant, count)
            for key, count in self.counts.items()
            if self._told.get(key) != count
        ]

    def told(self, epoch: int, rows: list[UseRow]) -> None:
        """Take that the leader of an epoch knows some counts."""
        if epoch != self._told_epoch:
            return
        for row in rows:
            self._told[UseKey(row.window, row.tenant)] = row.requests
