"""What callers and trainers meet: routing of each request to an engine or to its step."""

from collections.abc import Callable
from dataclasses import replace

import h11
from result import Err, Ok, Result

from pondtiller.errors import ErrorKind, Failure, Ran
from pondtiller.gateway.callers.forward import Forwarder, is_streamed
from pondtiller.gateway.callers.race import ForwardedRequest
from pondtiller.gateway.callers.streams import StreamForwarder
from pondtiller.gateway.callers.tenant_rates import TenantRates
from pondtiller.gateway.callers.tries import WholeAnswer
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.hashing import DIGEST_SHOWN, content_digest
from pondtiller.httpio.messages import HttpRequest, HttpResponse
from pondtiller.httpio.server import ConnectionLostError, Exchange
from pondtiller.peers.leader_client import LeaderClient
from pondtiller.platform import engine_format, names, step_format
from pondtiller.process import clock, logs
from pondtiller.process.run_until import run_until
from pondtiller.rollouts.steps import StepStatus
from pondtiller.routes.places import Places
from pondtiller.routes.table import RequestKind, RouteRow, RouteTable
from pondtiller.routes.tenants import owned_name
from pondtiller.usage.meter import Beginning, UseMeter
from pondtiller.wire.steplog import Sample

RETRY_AFTER_SECONDS = 0.25
LONGEST_READ_WAIT_SECONDS = 1.0


class Front:
    """Handles every exchange on the callers' address.

    Attributes
    ----------
    table
        Rows in force; None until the first are known.
    open_exchanges
        Requests that are being answered now.
    is_closed
        Whether the process is about to end: what comes now is not run, since its answer would be
        cut. Callers that use their connections to the last moment send as it ends.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        streams: StreamForwarder,
        steps: LeaderClient,
        metrics: GatewayMetrics,
        meter: UseMeter,
        are_keys_fresh: Callable[[], bool],
        rates: TenantRates | None = None,
        places: Places | None = None,
    ) -> None:
        self._rates = rates
        self._places = places or Places()
        self.table: RouteTable | None = None
        self.open_exchanges = 0
        self.is_closed = False
        self._forwarder = forwarder
        self._streams = streams
        self._steps = steps
        self._metrics = metrics
        self._meter = meter
        self._are_keys_fresh = are_keys_fresh

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        self.open_exchanges += 1
        started = clock.monotonic()
        try:
            await self._route(exchange)
        except (ConnectionLostError, h11.LocalProtocolError):
            raise
        except Exception as error:
            await self._fail_internally(exchange, error)
        finally:
            self.open_exchanges -= 1
            self._metrics.request_seconds.add(clock.monotonic() - started)

    async def _fail_internally(self, exchange: Exchange, error: Exception) -> None:
        """Answer where a bug would otherwise close the connection without a word."""
        logs.decision(
            "internal_error",
            request=engine_format.request_id(exchange.request.raw_headers),
            error=type(error).__name__,
            reason=str(error),
        )
        if exchange.started:
            raise ConnectionLostError(str(error)) from error
        await self._fail(exchange, Failure(ErrorKind.INTERNAL), "")

    async def _route(self, exchange: Exchange) -> None:
        request = exchange.request
        if self.is_closed:
            await self._fail(exchange, Failure(ErrorKind.DRAINING), "")
            return
        if request.path.startswith(names.STEPS_PATH):
            await self._step_call(exchange)
            return
        if request.path.startswith(names.SAMPLES_PATH):
            await self._sample_body(exchange)
            return
        table = self.table
        if table is None:
            await self._fail(exchange, Failure(ErrorKind.NOT_READY), "")
            return
        route = table.find(request.headers.get("host", ""), request.path)
        if route is None:
            logs.decision(
                "no_route",
                request=engine_format.request_id(request.raw_headers),
                host=request.headers.get("host", ""),
                path=request.path,
                version=table.version,
            )
            await self._fail(exchange, Failure(ErrorKind.NOT_FOUND), "")
            return
        owner = self._owner(request, table, route)
        if isinstance(owner, Err):
            await self._fail(exchange, owner.err_value, route.name)
            return
        homes = table.homes_for(route, owner.ok_value)
        refusal = self._home_refusal(request, route, homes)
        if homes is None or refusal is not None:
            await self._fail(exchange, refusal or Failure(ErrorKind.NO_ENGINE), route.name)
            return
        if homes != route.homes:
            route = replace(route, homes=homes)
        if route.kind is RequestKind.STEP and request.method == "POST":
            if await self._admit(exchange, owner.ok_value, route, route.time_limit_seconds):
                await self._open_step(exchange, route, owner.ok_value)
        else:
            beginning = self._meter.open(owner.ok_value, clock.monotonic())
            forwarded = _forwarded(request, route, beginning)
            seconds = forwarded.deadline - clock.monotonic()
            try:
                if await self._admit(exchange, owner.ok_value, route, seconds):
                    await self._forward(exchange, forwarded, route)
            finally:
                self._meter.close(beginning)

    async def _admit(
        self, exchange: Exchange, tenant: str, route: RouteRow, seconds: float
    ) -> bool:
        """Count a request against its tenant's rate; one above it is answered as not run."""
        if self._rates is None:
            return True
        identifier = engine_format.request_id(exchange.request.raw_headers)
        failure = await self._rates.admit(tenant, identifier, seconds)
        if failure is not None:
            await self._fail(exchange, failure, route.name)
        return failure is None

    def _home_refusal(
        self, request: HttpRequest, route: RouteRow, homes: frozenset[str] | None
    ) -> Failure | None:
        """Return why a request cannot be served and kept inside its homes; None where it can.

        A step goes to the leader, to the members of the replicas' group and to runners, which may
        be in any region: it is taken where all regions are homes.
        """
        if homes is None:
            reason = "the row and the tenant have no home in common"
        elif route.kind is RequestKind.STEP and not self._places.covers_all(homes):
            reason = "a step cannot be kept inside its homes"
        else:
            return None
        logs.decision(
            "home_refused",
            request=engine_format.request_id(request.raw_headers),
            route=route.name,
            homes=",".join(sorted(homes or ())),
            reason=reason,
        )
        return Failure(ErrorKind.NO_ENGINE, reason)

    # Tenants

    def _owner(
        self, request: HttpRequest, table: RouteTable, route: RouteRow
    ) -> Result[str, Failure]:
        """Return whose a request is: empty text on rows that need no key."""
        return self._tenant(request, table) if table.needs_key(route) else Ok("")

    def _step_owner(self, request: HttpRequest) -> Result[str, Failure]:
        """Return whose steps a call may see."""
        table = self.table
        if table is None:
            return Err(Failure(ErrorKind.NOT_READY))
        shows_no_key = engine_format.key_digest(request.raw_headers) is None
        if shows_no_key and table.has_public_steps(request.headers.get("host", "")):
            return Ok("")
        return self._tenant(request, table) if table.tenants else Ok("")

    def _tenant(self, request: HttpRequest, table: RouteTable) -> Result[str, Failure]:
        """Return the tenant that holds the key that a request shows."""
        if not self._are_keys_fresh():
            return Err(Failure(ErrorKind.NOT_READY, "keys may have changed"))
        digest = engine_format.key_digest(request.raw_headers)
        tenant = table.tenant_index.find(digest) if digest is not None else None
        if tenant is not None:
            return Ok(tenant.name)
        logs.decision(
            "key_refused",
            request=engine_format.request_id(request.raw_headers),
            host=request.headers.get("host", ""),
            path=request.path,
            digest=(digest or "none")[:DIGEST_SHOWN],
            version=table.version,
        )
        return Err(Failure(ErrorKind.UNKNOWN_KEY))

    # Callers

    async def _forward(
        self, exchange: Exchange, forwarded: ForwardedRequest, route: RouteRow
    ) -> None:
        if is_streamed(route):
            await self._streams.forward(exchange, forwarded, route)
        else:
            await self._forward_whole(exchange, forwarded, route)

    async def _forward_whole(
        self, exchange: Exchange, forwarded: ForwardedRequest, route: RouteRow
    ) -> None:
        answer = await run_until(exchange.wait_closed, self._forwarder.whole, forwarded, route)
        if answer is None:
            self._metrics.count(route.name, "caller_left")
            logs.decision("caller_left", request=forwarded.identifier, route=route.name)
        elif isinstance(answer, WholeAnswer):
            self._metrics.count(route.name, str(answer.status))
            headers = engine_format.returned_headers(answer.headers)
            await exchange.respond(HttpResponse(answer.status, answer.body, "", headers))
        else:
            await self._fail(exchange, answer, route.name)

    async def _fail(self, exchange: Exchange, failure: Failure, route: str) -> None:
        self._metrics.count(route, failure.kind.value)
        await exchange.respond(_failure(failure))

    # Trainers

    async def _open_step(self, exchange: Exchange, route: RouteRow, tenant: str) -> None:
        request = exchange.request
        identifier = engine_format.request_id(request.raw_headers)
        host = request.headers.get("host", "")
        read = step_format.read_step(identifier, host, request.path, request.body, tenant)
        if isinstance(read, Err) or not identifier:
            reason = read.err_value if isinstance(read, Err) else "no identifier"
            logs.decision("step_refused", step=identifier, reason=reason)
            await self._fail(exchange, Failure(ErrorKind.BAD_REQUEST, reason), route.name)
            return
        seconds = engine_format.caller_seconds(request.raw_headers) or route.time_limit_seconds
        status = await self._steps.open(read.ok_value, seconds)
        logs.decision(
            "step_submitted",
            step=read.ok_value.id,
            route=route.name,
            number=read.ok_value.number,
            samples=len(read.ok_value.sample_ids),
            outcome=status.name,
        )
        await self._answer_status(exchange, status, 202)

    async def _step_call(self, exchange: Exchange) -> None:
        request = exchange.request
        owner = self._step_owner(request)
        if isinstance(owner, Err):
            await self._fail(exchange, owner.err_value, "step")
            return
        step = owned_name(owner.ok_value, request.path.removeprefix(names.STEPS_PATH))
        if request.method == "DELETE":
            status = await self._steps.end(step)
            logs.decision("step_end_asked", step=step, outcome=status.name)
            await self._answer_status(exchange, status, 200)
            return
        try:
            position = int(request.query.get(names.FROM_POSITION) or 0)
            wait = float(request.headers.get(names.WAIT) or 0) / 1000.0
        except ValueError:
            await self._fail(exchange, Failure(ErrorKind.BAD_REQUEST), "")
            return
        wait = min(wait, LONGEST_READ_WAIT_SECONDS)
        page = await run_until(exchange.wait_closed, self._steps.read, step, max(0, position), wait)
        if page is None:
            return
        if page.status != StepStatus.OK:
            await self._answer_status(exchange, StepStatus(page.status), 200)
            return
        await exchange.respond(HttpResponse(200, step_format.write_page(page)))

    async def _sample_body(self, exchange: Exchange) -> None:
        request = exchange.request
        owner = self._step_owner(request)
        if isinstance(owner, Err):
            await self._fail(exchange, owner.err_value, "step")
            return
        step = owned_name(owner.ok_value, request.path.removeprefix(names.SAMPLES_PATH))
        body = await self._steps.sample_body(step, request.query.get("id") or "")
        if body.status != StepStatus.OK:
            await self._answer_status(exchange, StepStatus(body.status), 200)
            return
        sample = Sample().parse(body.content)
        await exchange.respond(HttpResponse(200, sample.body, "application/octet-stream"))

    async def _answer_status(self, exchange: Exchange, status: StepStatus, success: int) -> None:
        if status is StepStatus.OK:
            await exchange.respond(HttpResponse(success))
            return
        kinds = {
            StepStatus.UNKNOWN: ErrorKind.UNKNOWN_STEP,
            StepStatus.UNAVAILABLE: ErrorKind.NOT_READY,
        }
        await self._fail(exchange, Failure(kinds.get(status, ErrorKind.OUTCOME_UNKNOWN)), "step")


def _forwarded(request: HttpRequest, route: RouteRow, beginning: Beginning) -> ForwardedRequest:
    seconds = engine_format.caller_seconds(request.raw_headers)
    limit = route.time_limit_seconds
    return ForwardedRequest(
        identifier=engine_format.request_id(request.raw_headers),
        method=request.method,
        target=request.target,
        headers=engine_format.tenant_headers(request.raw_headers, beginning.tenant),
        body=request.body,
        content=_content(request, beginning.tenant),
        deadline=clock.monotonic() + (limit if seconds is None else min(limit, seconds)),
        beginning=beginning,
    )


def _content(request: HttpRequest, tenant: str) -> str:
    host = request.headers.get("host", "")
    texts = (tenant, host, request.method, request.target)
    return content_digest(*(each.encode("utf-8", "surrogatepass") for each in texts), request.body)


def _failure(failure: Failure) -> HttpResponse:
    answer = failure.answer
    headers: tuple[tuple[str, str], ...] = ()
    if answer.ran is Ran.NO and answer.retry_after_seconds is not None:
        pause = failure.retry_after_seconds or RETRY_AFTER_SECONDS
        # Three digits, and never an exponent.
        text = f"{pause:.3g}" if pause < 100 else f"{pause:.0f}"
        headers = (("Retry-After", text),)
    return HttpResponse(answer.status, failure.describe().encode(), "text/plain", headers)
