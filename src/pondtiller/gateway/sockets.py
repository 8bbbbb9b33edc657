"""A gateway's listeners: for callers, for the platform's readiness checks, for other gateways.

Holds the three sockets, bound before the process starts. Metrics are also served at the `metrics`
address, whose socket belongs to `httpio.metrics_server`.
"""

from pondtiller.address import Address, to_address
from pondtiller.httpio.server import bind_tcp
from pondtiller.process.curio_types import Listener
from pondtiller.settings import GatewaySettings


class GatewaySockets:
    """A gateway's listeners, bound before it starts so that others can know its ports."""

    def __init__(self, settings: GatewaySettings) -> None:
        self.callers = self._bind(settings.callers)
        self.readiness = self._bind(settings.readiness)
        self.links = self._bind(settings.links)
        self._announced = settings.announced_links

    @property
    def reached_at(self) -> Address:
        """Address at which other gateways reach this one."""
        return to_address(self._announced) if self._announced else self.address(self.links)

    def address(self, listener: Listener) -> Address:
        """Return the address of a listener."""
        host, port = listener.getsockname()
        return Address(host, port)

    def _bind(self, text: str) -> Listener:
        place = to_address(text)
        listener: Listener = bind_tcp(place.host, place.port)
        return listener
