"""Trainers' requests: submit a step, read its results, end it, read a sample's body.

Stateless: steps are kept by the leader and the replicas, which `peers/leader_client.py` calls.
Which steps a request may access is decided in `request_routing.py`.
"""

from result import Err

from pondtiller.errors import ErrorKind, Failure
from pondtiller.gateway.callers.failure_answers import FailureAnswers
from pondtiller.gateway.callers.request_routing import STEPS_LABEL, RoutedRequest
from pondtiller.gateway.callers.table_in_force import TableReading
from pondtiller.gateway.callers.tenant_rates import TenantRates
from pondtiller.httpio.messages import HttpResponse
from pondtiller.httpio.server import Exchange
from pondtiller.peers.leader_client import LeaderClient
from pondtiller.platform import requests, step_format
from pondtiller.platform.requests import CallerRequest
from pondtiller.process import logs
from pondtiller.process.run_until import run_until
from pondtiller.rollouts.steps import StepStatus
from pondtiller.routes.tenants import owned_name
from pondtiller.wire.steplog import Sample

MAX_READ_WAIT_SECONDS = 1.0
"""Longest wait of one read for a result; a trainer that wants to wait longer reads again. Limits
how long a read stays with one gateway and the leader that this gateway knew. One read a second is
cheap compared with the results of a step."""
STATUS_KINDS = {
    StepStatus.UNKNOWN: ErrorKind.UNKNOWN_STEP,
    StepStatus.UNAVAILABLE: ErrorKind.NOT_READY,
}
"""Error for a trainer by a step's status; with any other status the outcome is unknown."""


class StepRequests:
    """Answers trainers."""

    def __init__(self, steps: LeaderClient, rates: TenantRates, failures: FailureAnswers) -> None:
        self._steps = steps
        self._rates = rates
        self._failures = failures

    async def submit(
        self,
        exchange: Exchange,
        request: CallerRequest,
        routed: RoutedRequest,
        decided_by: TableReading,
    ) -> None:
        """Open a step within its tenant's rate; it is accepted once the replicas have it."""
        route, tenant = routed
        limit = route.time_limit_seconds
        failure = await self._rates.admit(tenant, request.identifier, limit)
        if failure is not None:
            await self._failures.answer(exchange, failure, route.name)
            return
        name = request.identifier
        read = step_format.read_step(name, request.host, request.path, request.body, tenant)
        if isinstance(read, Err) or not name:
            reason = read.err_value if isinstance(read, Err) else "no identifier"
            logs.decision("step_refused", step=name, reason=reason)
            refused = Failure(ErrorKind.BAD_REQUEST, reason)
            await self._failures.answer(exchange, refused, route.name)
            return
        status = await self._steps.open(read.ok_value, request.seconds or limit)
        logs.decision(
            "step_submitted",
            step=read.ok_value.id,
            route=route.name,
            table_version=decided_by.version,
            table_age=decided_by.age_seconds,
            number=read.ok_value.number,
            samples=len(read.ok_value.sample_ids),
            outcome=status.name,
        )
        await self._answer_status(exchange, status, 202)

    async def answer(self, exchange: Exchange, request: CallerRequest, tenant: str) -> None:
        """Read or end a step that a tenant submitted."""
        step = owned_name(tenant, request.step)
        if request.method == "DELETE":
            await self._end(exchange, step)
        else:
            await self._read(exchange, step)

    async def _end(self, exchange: Exchange, step: str) -> None:
        status = await self._steps.end(step)
        logs.decision("step_end_asked", step=step, outcome=status.name)
        await self._answer_status(exchange, status, 200)

    async def _read(self, exchange: Exchange, step: str) -> None:
        read = requests.read_results_read(exchange.request)
        if isinstance(read, Err):
            await self._failures.answer(exchange, Failure(ErrorKind.BAD_REQUEST), "")
            return
        position = max(0, read.ok_value.position)
        wait = min(read.ok_value.wait_seconds, MAX_READ_WAIT_SECONDS)
        page = await run_until(exchange.wait_closed, self._steps.read, step, position, wait)
        if page is None:
            return
        if page.status != StepStatus.OK:
            await self._answer_status(exchange, StepStatus(page.status), 200)
            return
        await exchange.respond(HttpResponse(200, step_format.write_page(page)))

    async def answer_sample(self, exchange: Exchange, request: CallerRequest, tenant: str) -> None:
        """Return a sample's body as it was submitted."""
        step = owned_name(tenant, request.step)
        body = await self._steps.sample_body(step, requests.sample_name(exchange.request))
        if body.status != StepStatus.OK:
            await self._answer_status(exchange, StepStatus(body.status), 200)
            return
        sample = Sample().parse(body.content)
        await exchange.respond(HttpResponse(200, sample.body, "application/octet-stream"))

    async def _answer_status(self, exchange: Exchange, status: StepStatus, success: int) -> None:
        if status is StepStatus.OK:
            await exchange.respond(HttpResponse(success))
            return
        kind = STATUS_KINDS.get(status, ErrorKind.OUTCOME_UNKNOWN)
        await self._failures.answer(exchange, Failure(kind), STEPS_LABEL)
