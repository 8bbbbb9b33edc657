"""Serves a process's metrics as Prometheus text on a separate address."""

from collections.abc import Callable
from typing import Any

from pondtiller.address import to_address
from pondtiller.httpio.messages import HttpResponse
from pondtiller.httpio.server import Exchange, bind_tcp, serve_http

METRICS_PATH = "/metrics"
CONTENT_TYPE = "text/plain; version=0.0.4"


class MetricsServer:
    """Answers scrapes.

    Parameters
    ----------
    address
        IP:PORT to listen on.
    render
        Returns the text; called at each scrape.
    """

    def __init__(self, address: str, render: Callable[[], bytes]) -> None:
        place = to_address(address)
        self.listener: Any = bind_tcp(place.host, place.port)
        self.render = render

    async def run(self) -> None:
        """Serve until cancelled."""
        await serve_http(self.listener, self.answer)

    async def answer(self, exchange: Exchange) -> None:
        """Answer one scrape."""
        if exchange.request.path != METRICS_PATH:
            await exchange.respond(HttpResponse(404))
            return
        await exchange.respond(HttpResponse(200, self.render(), CONTENT_TYPE))
