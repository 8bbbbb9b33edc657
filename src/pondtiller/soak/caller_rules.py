"""What callers' requests may do: keep to a tenant's rate, and stay inside their home region."""

import re
from collections import deque
from collections.abc import Mapping

from pondtiller.soak.promises import Promises

RATE = 6.0
"""Requests a second of the tenant with a rate, which sends 10 a second: more than a third of them
must be refused or wait. Chosen, not measured."""
RATE_EXCESS = 0.1
"""Part of the rate that gateways may admit beyond it; the programs' settings say the same."""
MAX_PER_WINDOW = 6
"""Whole requests of the rate with its excess."""
WINDOW_SECONDS = 1.0
"""The rate is a number of requests in any second."""
HOME_MARK = re.compile(rb"home=(\w+);")


class RateRule:
    """Checks how many requests of one tenant all gateways together let through.

    A request was let through at some time between its caller sent it and an engine began it; so
    requests that were both sent and begun within one window were let through in it, however long
    others waited.
    """

    def __init__(self, promises: Promises) -> None:
        self.begun = 0
        self._promises = promises
        self._sent: dict[str, float] = {}
        self._spans: deque[tuple[float, float]] = deque()

    def sent(self, identifier: str, now: float) -> None:
        """Take that the tenant sends a request."""
        self._sent[identifier] = now

    def began(self, identifier: str, now: float) -> None:
        """Take that an engine began a request; those of others do not count, nor further tries."""
        sent = self._sent.pop(identifier, None)
        if sent is None:
            return
        self.begun += 1
        while self._spans and self._spans[0][1] <= now - WINDOW_SECONDS:
            self._spans.popleft()
        self._spans.append((sent, now))
        within = sum(sent > now - WINDOW_SECONDS for sent, _ in self._spans)
        if within > MAX_PER_WINDOW:
            detail = f"{within} sent and begun within a second, {identifier} the last"
            self._promises.breach("a tenant's rate holds over all gateways", detail)


class HomeRule:
    """Checks that bodies marked with their home region reach nothing in another one.

    Parameters
    ----------
    regions
        Region by zone.
    """

    def __init__(self, regions: Mapping[str, str], promises: Promises) -> None:
        self.seen = 0
        self._regions = regions
        self._promises = promises

    def passed(self, data: bytes, zone: str, receiver: str) -> None:
        """Take bytes on their way to an engine or a machine in a zone."""
        for home in HOME_MARK.findall(data):
            self.seen += 1
            if self._regions[zone] != home.decode():
                detail = f"{receiver} in {zone} is sent a body of {home.decode()}"
                self._promises.breach("a body stays in its home region", detail)


def home_mark(region: str) -> bytes:
    """Return what a body holds whose home is a region."""
    return f"home={region};".encode()
