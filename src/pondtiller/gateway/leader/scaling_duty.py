"""Leader's duty to order engines: computes the need, asks the policy, sends its orders.

Holds the state of each service for one term. How many engines are ordered is decided by the policy
(`rollouts/scaling.py`) from the need (`rollouts/engine_need.py`).

Permission to send is the same as for ordering engines to load versions: a note in the log before
each call, and a pause after another gateway's last note, see `order_rights`. Nothing else is
persisted: an order states an absolute number, and a successor sees its effect in the engines'
entries.
"""

from functools import partial
from typing import NamedTuple

import curio

from pondtiller.gateway.callers.table_in_force import TableInForce
from pondtiller.gateway.leader.leadership import Leadership
from pondtiller.gateway.leader.order_rights import OrderRights
from pondtiller.gateway.leader.order_waits import pause_after_others
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.platform.operator_api import OperatorClient
from pondtiller.process import clock, logs
from pondtiller.rollouts.engine_need import EngineNeed
from pondtiller.rollouts.sample_work import SampleWork
from pondtiller.rollouts.scaling import (
    POLICIES,
    PolicyName,
    ScaleOrder,
    ServiceScale,
    ZoneEngines,
)
from pondtiller.routes.engines import Engine, EngineDirectory, EngineState
from pondtiller.routes.table import Scaling

CHECK_SECONDS = 0.5
"""Interval at which the need is computed. An engine takes seconds to start, and the computation
goes through all samples of open steps."""
CALL_SECONDS = 1.5
"""Time limit of one call; the platform answers in milliseconds, and 70 times slower at worst."""
RETRY_SECONDS = 1.0
"""Pause after the first failed call; doubled with each further one."""
MAX_RETRY_SECONDS = 8.0
"""Upper bound of the pause. Each call has a price, and the order is the same a second later."""

Works = dict[tuple[str, str], SampleWork]


class ScalingSettings(NamedTuple):
    """Settings for ordering engines.

    Attributes
    ----------
    lease_seconds
        Minimum time between calls of two gateways.
    """

    policy: PolicyName
    lease_seconds: float


class ScalingParts(NamedTuple):
    """Dependencies of the duty.

    Attributes
    ----------
    operator
        API client through which engines are ordered.
    orders
        Permission of this term's leader to act.
    """

    settings: ScalingSettings
    operator: OperatorClient
    leadership: Leadership
    in_force: TableInForce
    engines: EngineDirectory
    orders: OrderRights
    metrics: GatewayMetrics


class ScalingDuty:
    """Orders engines during one term.

    Parameters
    ----------
    works
        Samples of open steps, kept by the scheduler.
    """

    def __init__(self, parts: ScalingParts, epoch: int, works: Works) -> None:
        self.states: dict[str, ServiceScale] = {}
        self.needs: dict[str, EngineNeed] = {}
        self._parts = parts
        self.policy = POLICIES[parts.settings.policy]
        self._epoch = epoch
        self._works = works
        self._failures: dict[str, int] = {}
        self._not_before: dict[str, float] = {}

    def note_run(self, work: SampleWork, seconds: float) -> None:
        """Record how long an engine took to make a complete sample."""
        self._need(work.service).pace.note_run(work.cost, seconds)

    async def run(self) -> None:
        """Order engines until cancelled."""
        while True:
            table = self._parts.in_force.table
            now = clock.monotonic()
            if table is not None and self._parts.leadership.log.holds_lease(now):
                for row in table.services.values():
                    if row.scaling is not None:
                        await self._serve(row.name, row.scaling, now)
            await curio.sleep(CHECK_SECONDS)

    async def _serve(self, service: str, scaling: Scaling, now: float) -> None:
        state = self._update_state(service, scaling, now)
        for order in self.policy.orders(state, now):
            await self._order(state, order)

    def _update_state(self, service: str, scaling: Scaling, now: float) -> ServiceScale:
        state = self.states.setdefault(service, ServiceScale(service, scaling))
        state.scaling = scaling
        state.evacuated = self._parts.engines.evacuated
        listed = [
            each for each in self._parts.engines.engines.values() if _is_listed(each, service)
        ]
        zones = set(state.zones) | {each.entry.zone for each in listed}
        state.zones = {zone: _count(listed, zone) for zone in zones}
        need = self._need(service)
        works = [work for work in self._works.values() if work.service == service]
        need.update(works, now, clock.wall())
        places = need.peak_slots(now)
        # An empty list more likely means lost entries than that all engines are gone.
        state.needed = places / _mean_slots(listed) if places is not None and listed else None
        return state

    def _need(self, service: str) -> EngineNeed:
        return self.needs.setdefault(service, EngineNeed())

    @property
    def _pause(self) -> float:
        """How long after another gateway's note its call may still conflict with one from here."""
        return pause_after_others(self._parts.settings.lease_seconds, CALL_SECONDS)

    async def _order(self, state: ServiceScale, order: ScaleOrder) -> None:
        subject = subject_of(order)
        now = clock.monotonic()
        free_from = self._parts.orders.free_from(subject, self._pause)
        if now < max(free_from, self._not_before.get(subject, 0.0)):
            return
        if not await self._parts.orders.note_subject(subject):
            return
        may_send = partial(self._parts.orders.may_act, subject)
        outcome = await self._parts.operator.order_engines(
            order, self._epoch, CALL_SECONDS, may_send
        )
        logs.decision(
            "engines_ordered",
            service=order.service,
            zone=order.zone,
            desired=order.desired,
            spot=order.is_spot,
            ready=state.ready(order.zone, order.is_spot),
            needed=state.needed,
            fence=self._epoch,
            outcome=outcome.detail,
        )
        now = clock.monotonic()
        if outcome.is_done:
            self._parts.metrics.scale_orders += 1
            self._failures.pop(subject, None)
            state.note_order(order, now)
            return
        self._parts.metrics.scale_orders_failed += 1
        if outcome.has_none:
            state.note_no_capacity(order, now)
            return
        failures = self._failures[subject] = self._failures.get(subject, 0) + 1
        pause = min(RETRY_SECONDS * 2 ** (failures - 1), MAX_RETRY_SECONDS)
        self._not_before[subject] = now + pause


def subject_of(order: ScaleOrder) -> str:
    """Return an order's subject: a service in a zone, of both kinds; keys must not contain '/'."""
    return f"scale:{order.service}:{order.zone}".replace("/", "_")


def _is_listed(engine: Engine, service: str) -> bool:
    return (
        engine.entry.service == service
        and engine.gone_at is None
        and engine.entry.state is EngineState.READY
    )


def _count(listed: list[Engine], zone: str) -> ZoneEngines:
    spot = [each.entry.is_spot for each in listed if each.entry.zone == zone]
    return ZoneEngines(spot.count(False), spot.count(True))


def _mean_slots(listed: list[Engine]) -> float:
    return sum(each.entry.slots for each in listed) / len(listed)
