"""The platform beside the programs: engines that tell what they ran, over the tests' stand-ins."""

from typing import Any

import curio

from pondtiller.core.entities import Address
from pondtiller.daemon import clock
from pondtiller.httpio.messages import HttpResponse
from pondtiller.httpio.server import Exchange
from pondtiller.platform import names
from pondtiller.platform.standins import StandInEngine, StandInStore
from pondtiller.soak.engine_rules import EngineRules
from pondtiller.soak.promises import Promises
from pondtiller.soak.proxy import Proxy

ONCE_PATH = "/list/"


class SoakEngine(StandInEngine):
    """An engine behind a proxy, whose events say which version made them.

    Attributes
    ----------
    refused
        Requests whose callers were told that they did not run.
    zone
        Where it stands.
    rules
        What it may get.
    """

    def __init__(
        self,
        identifier: str,
        service: str,
        promises: Promises,
        store: StandInStore,
        events: int,
        zone: str = "z0",
    ) -> None:
        super().__init__(identifier, service, events)
        self.zone = zone
        self.rules = EngineRules(identifier, promises)
        self.store = store
        self.event_seconds = 0.02
        self.proxy = Proxy(to_address(self.address))
        self.promises = promises
        self.refused: set[str] = set()

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Return its list entry, with the proxy's address."""
        cold = max(0.0, self.rules.cold_until - clock.monotonic())
        own = {"address": self.proxy.address, "zone": self.zone}
        return {**super().entry(state), **own, "cold_left_ms": int(cold * 1000)}

    def turn_cold(self) -> None:
        """Be slow from now on."""
        self.rules.turn_cold(clock.monotonic())
        self.publish()

    def _check_rules(self, identifier: str) -> None:
        if not self.proxy.holds_up():
            self.rules.began(identifier, clock.monotonic())

    def publish(self) -> None:
        """Write its list entry into the store."""
        self.store.put("servers", self.identifier, self.entry())

    def _order(self, order: dict[str, Any]) -> HttpResponse:
        answer = super()._order(order)
        self.publish()
        return answer

    async def whole(self, exchange: Exchange) -> None:
        """Answer like a sound engine, and count the run."""
        identifier = exchange.request.headers[names.REQUEST_ID]
        is_once = exchange.request.path.startswith(ONCE_PATH)
        self._check_rules(identifier)
        self.promises.began(identifier, is_once, identifier in self.refused)
        await curio.sleep(self.event_seconds)
        await super().whole(exchange)

    async def stream(self, exchange: Exchange, stop_after: int = 1_000_000) -> None:
        """Stream a sample's events, each with the version that made it."""
        identifier = exchange.request.headers[names.REQUEST_ID]
        self._check_rules(identifier)
        first = int(exchange.request.headers.get(names.LAST_EVENT, "0")) + 1
        version = self.version
        headers = (
            (names.REQUEST_ID, identifier),
            (names.SIGNATURE, f"sig-{identifier}"),
            (names.VERSIONS, str(version)),
            ("Content-Type", "text/event-stream"),
        )
        await exchange.start_response(200, headers)
        for number in range(first, self.events + 1):
            await curio.sleep(self.event_seconds)
            changed = f"{names.VERSIONS}: {self.version}\n" if self.version != version else ""
            version = self.version
            piece = f"{changed}id: {number}\ndata: {identifier}/{number}@{version}\n\n"
            await exchange.send_piece(piece.encode())
        await exchange.end_stream()


def to_address(text: str) -> Address:
    """Read HOST:PORT."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
