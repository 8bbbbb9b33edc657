"""Live requests: counted against their tenant's rate, sent to an engine, answered.

Holds no state beyond the request. Relies on `forward.py` and `streams.py` to send it, and on
`tenant_rates.py` for the tenant's rate. Engines are chosen by `routes.engine_choice`.
"""

from pondtiller.gateway.callers.attempts import WholeAnswer
from pondtiller.gateway.callers.failure_answers import FailureAnswers
from pondtiller.gateway.callers.forward import Forwarder, is_streamed
from pondtiller.gateway.callers.request import ForwardedRequest
from pondtiller.gateway.callers.request_routing import RoutedRequest
from pondtiller.gateway.callers.streams import StreamForwarder
from pondtiller.gateway.callers.table_in_force import TableReading
from pondtiller.gateway.callers.tenant_rates import TenantRates
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.hashing import content_digest
from pondtiller.httpio.messages import HttpResponse
from pondtiller.httpio.server import Exchange
from pondtiller.platform import headers
from pondtiller.platform.requests import CallerRequest
from pondtiller.process import clock, logs
from pondtiller.process.run_until import run_until
from pondtiller.routes.table import RouteRow
from pondtiller.usage.meter import Beginning, UseMeter


class LiveRequests:
    """Answers requests that engines serve while their callers wait."""

    def __init__(
        self,
        forwarder: Forwarder,
        streams: StreamForwarder,
        rates: TenantRates,
        meter: UseMeter,
        metrics: GatewayMetrics,
        failures: FailureAnswers,
    ) -> None:
        self._forwarder = forwarder
        self._streams = streams
        self._rates = rates
        self._meter = meter
        self._metrics = metrics
        self._failures = failures

    async def answer(
        self,
        exchange: Exchange,
        request: CallerRequest,
        routed: RoutedRequest,
        decided_by: TableReading,
    ) -> None:
        """Answer a request; its usage counts in the window in which an engine started it."""
        route, tenant = routed
        beginning = self._meter.open(tenant, clock.monotonic())
        forwarded = forwarded_request(request, route, beginning, decided_by)
        seconds = forwarded.deadline - clock.monotonic()
        try:
            failure = await self._rates.admit(tenant, request.identifier, seconds)
            if failure is not None:
                await self._failures.answer(exchange, failure, route.name)
            elif is_streamed(route):
                await self._streams.forward(exchange, forwarded, route)
            else:
                await self._forward_whole(exchange, forwarded, route)
        finally:
            self._meter.close(beginning)

    async def _forward_whole(
        self, exchange: Exchange, forwarded: ForwardedRequest, route: RouteRow
    ) -> None:
        answer = await run_until(exchange.wait_closed, self._forwarder.whole, forwarded, route)
        if answer is None:
            self._metrics.count(route.name, "caller_left")
            logs.decision("caller_left", request=forwarded.identifier, route=route.name)
        elif isinstance(answer, WholeAnswer):
            self._metrics.count(route.name, str(answer.status))
            returned = headers.returned_headers(answer.headers)
            await exchange.respond(HttpResponse(answer.status, answer.body, "", returned))
        else:
            await self._failures.answer(exchange, answer, route.name)


def forwarded_request(
    request: CallerRequest, route: RouteRow, beginning: Beginning, decided_by: TableReading
) -> ForwardedRequest:
    """Return the request to forward: due after the row's time limit, or the caller's if shorter."""
    limit = route.time_limit_seconds
    seconds = limit if request.seconds is None else min(limit, request.seconds)
    return ForwardedRequest(
        identifier=request.identifier,
        method=request.method,
        target=request.request_target,
        headers=headers.tenant_headers(request.headers, beginning.tenant),
        body=request.body,
        content=_content(request, beginning.tenant),
        deadline=clock.monotonic() + seconds,
        beginning=beginning,
        decided_by=decided_by,
    )


def _content(request: CallerRequest, tenant: str) -> str:
    texts = (tenant, request.host, request.method, request.request_target)
    return content_digest(*(each.encode("utf-8", "surrogatepass") for each in texts), request.body)
