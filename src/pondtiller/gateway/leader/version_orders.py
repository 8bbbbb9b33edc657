"""Executes the steward's decisions: asks engines for their versions, orders them to load versions.

Stateless. Which engine loads which version, and when, is decided in `rollouts/versions.py`; when an
order may be sent, in `order_waits.py`.
"""

from functools import partial

import curio

from pondtiller.gateway.engines.orders import EngineOrders
from pondtiller.gateway.leader.order_rights import OrderRights
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.process import clock
from pondtiller.rollouts.versions import AskEngine, OrderVersion, VersionSteward


class VersionOrders:
    """Calls to engines during one term.

    Parameters
    ----------
    epoch
        Epoch of the term: engines reject orders of a lower one.
    rights
        Permission to order engines.
    wake
        Set when an engine has answered.
    """

    def __init__(
        self,
        epoch: int,
        steward: VersionSteward,
        rights: OrderRights,
        engines: EngineOrders,
        metrics: GatewayMetrics,
        wake: curio.Event,
    ) -> None:
        self._epoch = epoch
        self._steward = steward
        self._rights = rights
        self._engines = engines
        self._metrics = metrics
        self._wake = wake

    async def carry_out(self, order: OrderVersion | AskEngine) -> None:
        """Ask or order an engine, and pass its answer to the steward."""
        if isinstance(order, AskEngine):
            await self._ask(order)
        elif await self._rights.note(order.engine):
            await self._order(order)
        await self._wake.set()

    async def _ask(self, order: AskEngine) -> None:
        report = await self._engines.ask(order.engine)
        if report is not None:
            self._steward.note_report(
                order.engine, report.models, report.orders_taken, report.is_busy
            )

    async def _order(self, order: OrderVersion) -> None:
        self._metrics.orders += 1
        may_send = partial(self._rights.may_order, order.engine)
        is_taken = await self._engines.order(order, self._epoch, may_send)
        if is_taken is not None:
            self._steward.note_answer(order.engine, is_taken, clock.monotonic())
