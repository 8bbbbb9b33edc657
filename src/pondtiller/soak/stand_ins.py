"""The platform beside the programs: engines that tell what they ran, over the tests' stand-ins."""

from typing import Any

import curio

from pondtiller.core.entities import Address
from pondtiller.httpio.messages import HttpResponse
from pondtiller.httpio.server import Exchange
from pondtiller.platform import names
from pondtiller.platform.standins import StandInEngine, StandInStore
from pondtiller.soak.promises import Promises
from pondtiller.soak.proxy import Proxy

ONCE_PATH = "/list/"


class SoakEngine(StandInEngine):
    """An engine behind a proxy, whose events say which version made them.

    Attributes
    ----------
    refused
        Requests whose callers were told that they did not run.
    """

    def __init__(
        self, identifier: str, service: str, promises: Promises, store: StandInStore, events: int
    ) -> None:
        super().__init__(identifier, service, events)
        self.store = store
        self.event_seconds = 0.02
        self.proxy = Proxy(to_address(self.address))
        self.promises = promises
        self.refused: set[str] = set()

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Return its list entry, with the proxy's address."""
        return {**super().entry(state), "address": self.proxy.address}

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
        self.promises.began(identifier, is_once, identifier in self.refused)
        await curio.sleep(self.event_seconds)
        await super().whole(exchange)

    async def stream(self, exchange: Exchange, stop_after: int = 1_000_000) -> None:
        """Stream a sample's events, each with the version that made it."""
        identifier = exchange.request.headers[names.REQUEST_ID]
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
