"""What a gateway answers on its readiness address: whether it is ready, its figures, its table.

Ready is what `GatewayParts.is_ready` says: table, engines, and evacuations where they are asked
for, are known, and it does not stop. Owns no state.
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
    """The pages of one gateway."""

    def __init__(self, sources: FigureSources, is_ready: Callable[[], bool]) -> None:
        self._sources = sources
        self._is_ready = is_ready

    def render_metrics(self) -> bytes:
        """Return this gateway's figures as Prometheus text."""
        from pondtiller.gateway.pages.metrics_text import render

        return render(self._sources.figures(clock.monotonic()))

    def render_table(self) -> bytes:
        """Return the table in force here, filled with status."""
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
