"""An address that only entries name which cannot be read: whoever calls it has used one."""

from pondtiller.httpio.messages import HttpResponse
from pondtiller.httpio.server import Exchange
from pondtiller.platform import names
from pondtiller.soak.promises import Promises
from pondtiller.standins.listening import StandIn, listen_on_loopback
from pondtiller.standins.store import StandInStore

NAMES = ("odd-0", "odd-1", "odd-2")
"""Names of the entries, which logs of the programs show."""


class Trap(StandIn):
    """Answers nothing sound, and notes each call as a broken promise."""

    def __init__(self, promises: Promises, store: StandInStore) -> None:
        self.listener = listen_on_loopback()
        self._promises = promises
        self._store = store

    def publish(self) -> None:
        """Write entries that lack a field or have one of another type."""
        sound = {
            "service": "app",
            "address": self.address,
            "zone": "z0",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
        }
        without_zone = {name: value for name, value in sound.items() if name != "zone"}
        unreadable = [{**sound, "slots": "64"}, without_zone, {**sound, "state": "resting"}]
        for name, spec in zip(NAMES, unreadable, strict=True):
            self._store.put(names.ENGINES, name, spec)

    def withdraw(self) -> None:
        """Remove the entries."""
        for name in NAMES:
            if name in self._store.kinds[names.ENGINES]:
                self._store.remove(names.ENGINES, name)

    async def _handle(self, exchange: Exchange) -> None:
        detail = f"{exchange.request.method} {exchange.request.path}"
        self._promises.breach("an entry that cannot be read names no engine", detail)
        await exchange.respond(HttpResponse(500))
