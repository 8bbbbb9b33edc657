"""Records when requests are admitted, at all gateways of a test's system.

Arrival or answer times are less exact: the whole system runs in one process here, and if that is
paused, requests sent over two seconds arrive within one.
"""

import pytest

from pondtiller.coordination.rate_shares import HeldRate


class Admissions:
    """Times at which requests were admitted, by the rate's key."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.times: dict[str, list[float]] = {}
        take = HeldRate.take

        def noted(held: HeldRate, now: float) -> bool:
            is_through = take(held, now)
            if is_through:
                self.times.setdefault(held.subject, []).append(now)
            return is_through

        monkeypatch.setattr(HeldRate, "take", noted)

    def count(self, subject: str, since: float = 0.0) -> int:
        return sum(at >= since for at in self.times.get(subject, ()))

    def most_in_a_second(self, subject: str, since: float = 0.0) -> int:
        times = [at for at in self.times.get(subject, ()) if at >= since]
        return max((sum(at <= each <= at + 1.0 for each in times) for at in times), default=0)
