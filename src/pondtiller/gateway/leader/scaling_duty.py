"""The leader's duty to order engines: looks at the need, asks the policy, sends its orders.

Owns the state of each service, for one term. How many engines are ordered is decided by the policy
(`rollouts/scaling.py`) from the need (`rollouts/engine_need.py`).

The right to send is the right to order engines: a note in the log before each call, and a pause
after another gateway's last note, see `order_rights`. Nothing else is kept: an order names a
number, and a successor sees in the engines' entries what became of it.
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

LOOK_SECONDS = 0.5
"""Between two looks at the need of engines. Chosen, not measured: an engine takes seconds to start,
and a look goes through all samples of open steps."""
CALL_SECONDS = 1.5
"""How long one call may take; the platform answers in some ms, 70 times that when it is slow."""
RETRY_SECONDS = 1.0
"""Pause after the first call that was not taken; twice as long after each further one. Chosen, not
measured."""
LONGEST_RETRY_SECONDS = 8.0
"""After a call that was not taken: each call is paid, and the order is the same a second later.
Chosen, not measured."""

Works = dict[tuple[str, str], SampleWork]


class ScalingSettings(NamedTuple):
    """By what engines are ordered.

    Attributes
    ----------
    lease_seconds
        Least time between calls of two gateways.
    """

    policy: PolicyName
    lease_seconds: float


class ScalingParts(NamedTuple):
    """What the duty works with.

    Attributes
    ----------
    operator
        From whom engines are ordered.
    orders
        The right to act of this term.
    """

    settings: ScalingSettings
    operator: OperatorClient
    leadership: Leadership
    in_force: TableInForce
    engines: EngineDirectory
    orders: OrderRights
    metrics: GatewayMetrics


class ScalingDuty:
    """The duty during one term.

    Parameters
    ----------
    works
        Samples of open steps, as the scheduler keeps them.
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
        """Take how long an engine took to make a whole sample."""
        self._need(work.service).pace.note_run(work.cost, seconds)

    async def run(self) -> None:
        """Order until cancelled."""
        while True:
            table = self._parts.in_force.table
            now = clock.monotonic()
            if table is not None and self._parts.leadership.log.holds_lease(now):
                for row in table.services.values():
                    if row.scaling is not None:
                        await self._serve(row.name, row.scaling, now)
            await curio.sleep(LOOK_SECONDS)

    async def _serve(self, service: str, scaling: Scaling, now: float) -> None:
        state = self._look(service, scaling, now)
        for order in self.policy.orders(state, now):
            await self._order(state, order)

    def _look(self, service: str, scaling: Scaling, now: float) -> ServiceScale:
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
        need.look(works, now, clock.wall())
        places = need.peak_places(now)
        # No engine at all is rather a list that lapsed than engines that are gone.
        state.needed = places / _mean_slots(listed) if places is not None and listed else None
        return state

    def _need(self, service: str) -> EngineNeed:
        return self.needs.setdefault(service, EngineNeed())

    @property
    def _pause(self) -> float:
        """How long after another gateway's note its call may still count against one from here."""
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
            state.ordered(order, now)
            return
        self._parts.metrics.scale_orders_failed += 1
        if outcome.has_none:
            state.refused(order, now)
            return
        failures = self._failures[subject] = self._failures.get(subject, 0) + 1
        pause = min(RETRY_SECONDS * 2 ** (failures - 1), LONGEST_RETRY_SECONDS)
        self._not_before[subject] = now + pause


def subject_of(order: ScaleOrder) -> str:
    """Return the subject of an order: a service in a zone, of both kinds; keys are cut at '/'."""
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
