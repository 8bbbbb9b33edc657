"""Entry point of all requests on the callers' address: parsing, rejection, dispatch.

Holds the number of requests in progress and whether the process is about to end. Which requests are
rejected is decided in `request_routing.py`; live requests are answered in `live_requests.py`,
trainers' requests in `step_requests.py`.
"""

from collections.abc import Callable

import curio
import h11
from result import Err

from pondtiller.errors import ErrorKind, Failure
from pondtiller.gateway.callers.failure_answers import FailureAnswers
from pondtiller.gateway.callers.forward import Forwarder
from pondtiller.gateway.callers.live_requests import LiveRequests
from pondtiller.gateway.callers.refusal_log import log_refusal
from pondtiller.gateway.callers.request_routing import Refusal, RequestRouter
from pondtiller.gateway.callers.step_requests import StepRequests
from pondtiller.gateway.callers.streams import StreamForwarder
from pondtiller.gateway.callers.table_in_force import TableInForce, TableReading
from pondtiller.gateway.callers.tenant_rates import TenantRates
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.httpio.server import ConnectionLostError, Exchange
from pondtiller.peers.leader_client import LeaderClient
from pondtiller.platform.requests import CallerRequest, RequestTarget, read_request
from pondtiller.process import clock, logs
from pondtiller.process.curio_types import Task
from pondtiller.routes.planned_stop import PlannedStop
from pondtiller.routes.table import RequestKind, RouteTable
from pondtiller.routes.topology import Topology
from pondtiller.usage.meter import UseMeter


class StopsError(curio.TaskCancelled):  # type: ignore[misc]
    """The process ends before a request was answered."""


class Front:
    """Handles all requests on the callers' address.

    Attributes
    ----------
    in_force
        Holds the table in force.
    open_exchanges
        Number of requests being answered.
    stop
        Times of the planned stop in progress; None if there is none. Callers may send on kept
        connections until they are closed.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        streams: StreamForwarder,
        steps: LeaderClient,
        metrics: GatewayMetrics,
        meter: UseMeter,
        are_keys_fresh: Callable[[], bool],
        rates: TenantRates,
        places: Topology,
    ) -> None:
        self.in_force = TableInForce()
        self.open_exchanges = 0
        self.stop: PlannedStop | None = None
        self._open: set[Task] = set()
        self._metrics = metrics
        self._failures = FailureAnswers(metrics)
        self._router = RequestRouter(self.in_force, places, are_keys_fresh)
        self._live = LiveRequests(forwarder, streams, rates, meter, metrics, self._failures)
        self._steps = StepRequests(steps, rates, self._failures)

    @property
    def table(self) -> RouteTable | None:
        """Table in force; None until the first one is known."""
        return self.in_force.table

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        started = clock.monotonic()
        request = read_request(exchange.request)
        task = await curio.current_task()
        self._open.add(task)
        self.open_exchanges += 1
        try:
            await self._answer(exchange, request)
        except StopsError:
            await self._answer_at_end(exchange, request)
        except (ConnectionLostError, h11.LocalProtocolError):
            raise
        except Exception as error:
            await self._fail_internally(exchange, request, error)
        finally:
            self._open.discard(task)
            self.open_exchanges -= 1
            self._metrics.request_seconds.add(clock.monotonic() - started)

    async def end_open(self) -> None:
        """Answer the requests that are still open: the process ends."""
        for task in list(self._open):
            await task.cancel(exc=StopsError, blocking=False)

    async def _answer_at_end(self, exchange: Exchange, request: CallerRequest) -> None:
        logs.decision("ended_unanswered", request=request.identifier, started=exchange.started)
        if exchange.started:
            raise ConnectionLostError("the process ends")
        await self._failures.answer(exchange, Failure(ErrorKind.OUTCOME_UNKNOWN), "")

    async def _fail_internally(
        self, exchange: Exchange, request: CallerRequest, error: Exception
    ) -> None:
        """Answer after an internal error, which would otherwise close the connection silently."""
        logs.decision(
            "internal_error",
            request=request.identifier,
            error=type(error).__name__,
            reason=str(error),
        )
        if exchange.started:
            raise ConnectionLostError(str(error)) from error
        await self._failures.answer(exchange, Failure(ErrorKind.INTERNAL), "")

    async def _answer(self, exchange: Exchange, request: CallerRequest) -> None:
        if self.stop is not None and self.stop.is_closed(clock.monotonic()):
            await self._failures.answer(exchange, Failure(ErrorKind.DRAINING), "")
        elif request.target is RequestTarget.ROUTED:
            await self._answer_routed(exchange, request)
        else:
            await self._answer_step(exchange, request)

    async def _answer_routed(self, exchange: Exchange, request: CallerRequest) -> None:
        decided_by = self.in_force.read()
        routed = self._router.route(request)
        if isinstance(routed, Err):
            await self._refuse(exchange, request, routed.err_value, decided_by)
        elif routed.ok_value.route.kind is RequestKind.STEP and request.method == "POST":
            await self._steps.submit(exchange, request, routed.ok_value, decided_by)
        else:
            await self._live.answer(exchange, request, routed.ok_value, decided_by)

    async def _answer_step(self, exchange: Exchange, request: CallerRequest) -> None:
        decided_by = self.in_force.read()
        owner = self._router.step_owner(request)
        if isinstance(owner, Err):
            await self._refuse(exchange, request, owner.err_value, decided_by)
        elif request.target is RequestTarget.STEP:
            await self._steps.answer(exchange, request, owner.ok_value)
        else:
            await self._steps.answer_sample(exchange, request, owner.ok_value)

    async def _refuse(
        self,
        exchange: Exchange,
        request: CallerRequest,
        refusal: Refusal,
        decided_by: TableReading,
    ) -> None:
        log_refusal(refusal, request, decided_by)
        await self._failures.answer(exchange, refusal.failure, refusal.label)
