"""Orders to engines, and their reports.

Stateless. Does not decide what is ordered (`rollouts.versions`) or whether this gateway may order
(`gateway.leader.order_rights`). An order with an unknown outcome is never repeated here.
"""

from collections.abc import Callable

from pondtiller.httpio.client import HttpClient
from pondtiller.httpio.client_errors import BrokenError, NotSentError
from pondtiller.platform import engine_orders, names
from pondtiller.platform.engine_orders import EngineReport
from pondtiller.process import logs
from pondtiller.rollouts.versions import OrderVersion
from pondtiller.routes.engines import EngineDirectory

ORDER_SECONDS = 0.7
"""Time limit of an engine's answer to an order. Part of the time after which an order can no longer
arrive, so a higher value delays a new leader's first orders.
"""
REPORT_SECONDS = 0.5
"""Time limit of an engine's report; without one, the previous information about the engine stays.
"""


class EngineOrders:
    """Calls engines for the steward.

    Parameters
    ----------
    holder
        Name of this machine, which is included in orders.
    """

    def __init__(self, holder: str, engines: EngineDirectory, client: HttpClient) -> None:
        self._holder = holder
        self._engines = engines
        self._client = client

    async def order(
        self, order: OrderVersion, fence: int, may_send: Callable[[], bool]
    ) -> bool | None:
        """Send an order; return None if it is unknown whether the engine accepted it.

        Parameters
        ----------
        may_send
            Checked right before the order is sent.
        """
        engine = self._engines.engines.get(order.engine)
        if engine is None:
            return False
        body = engine_orders.order_body(order, self._holder, fence)
        try:
            answer = await self._client.request(
                engine.entry.address,
                "POST",
                names.ORDER_PATH,
                body,
                ORDER_SECONDS,
                engine_orders.order_headers(order.engine),
                may_send,
            )
        except NotSentError:
            self._log(order, fence, "unreachable")
            return False
        except BrokenError:
            self._log(order, fence, "unanswered")
            return None
        self._log(order, fence, str(answer.status))
        return answer.status in (200, 202)

    async def ask(self, identifier: str) -> EngineReport | None:
        """Return an engine's report, or None."""
        engine = self._engines.engines.get(identifier)
        if engine is None:
            return None
        try:
            answer = await self._client.request(
                engine.entry.address, "GET", names.REPORT_PATH, b"", REPORT_SECONDS
            )
        except (NotSentError, BrokenError):
            return None
        report = engine_orders.engine_report(answer.body) if answer.status == 200 else None
        logs.decision("engine_report", engine=identifier, status=answer.status, report=report)
        if report is not None and report.started_ms not in (0, engine.entry.started_ms):
            # Another incarnation answers at this address; its order count is not this one's.
            return None
        return report

    def _log(self, order: OrderVersion, fence: int, outcome: str) -> None:
        logs.decision(
            "version_ordered",
            engine=order.engine,
            model=order.model,
            version=order.version,
            orders_taken=order.orders_taken,
            fence=fence,
            outcome=outcome,
        )
