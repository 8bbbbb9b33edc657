"""Answers on a gateway's readiness address: readiness, metrics, and its table.

Readiness is defined by `GatewayParts.is_ready`: the table and the engines are known, also the
evacuations if they are required, and the gateway is not stopping.
"""

from collections.abc import Callable

from pondtiller.gateway.pages.figure_sources import FigureSources
from pondtiller.httpio.messages import HttpResponse
from pondtiller.httpio.metrics_server import CONTENT_TYPE, METRICS_PATH
from pondtiller.httpio.server import Exchange
from pondtiller.platform import names
from pondtiller.process import clock

TABLE_PATH = "/table"


class Pages:
    """Pages of one gateway."""

    def __init__(self, sources: FigureSources, is_ready: Callable[[], bool]) -> None:
        self._sources = sources
        self._is_ready = is_ready

    def render_metrics(self) -> bytes:
        """Return this gateway's figures in Prometheus text format."""
        from pondtiller.gateway.pages.metrics_text import render

        return render(self._sources.figures(clock.monotonic()))

    def render_table(self) -> bytes:
        """Return the table in force at this gateway with status columns."""
        from pondtiller.gateway.pages.table_view import render

        return render(self._sources.figures(clock.monotonic()))

    async def answer(self, exchange: Exchange) -> None:
        """Answer one request."""
        path = exchange.request.path
        if path == names.READY_PATH:
            await exchange.respond(HttpResponse(200 if self._is_ready() else 503))
        elif path == METRICS_PATH:
            await exchange.respond(HttpResponse(200, self.render_metrics(), CONTENT_TYPE))
        elif path == TABLE_PATH:
            await exchange.respond(HttpResponse(200, self.render_table(), "text/plain"))
        else:
            await exchange.respond(HttpResponse(404))
