"""Orders to engines, and their own reports.

Owns nothing. Does not decide what is ordered (`rollouts.versions`) nor whether this gateway may
order (`gateway.leader.order_rights`); an order whose outcome is not known is never repeated here.
"""

from collections.abc import Callable

from pondtiller.httpio.client import BrokenError, HttpClient, NotSentError
from pondtiller.platform import engine_orders, names
from pondtiller.platform.engine_orders import EngineReport
from pondtiller.process import logs
from pondtiller.rollouts.versions import OrderVersion
from pondtiller.routes.engines import EngineDirectory

ORDER_SECONDS = 0.7
"""Longest wait for an engine's answer to an order; part of the time after which an order may no
longer arrive, so a longer one delays a new leader's first orders. Chosen, not measured.
"""
REPORT_SECONDS = 0.5
"""Longest wait for an engine's report. Chosen, not measured: a report that does not come counts as
none: what was known of the engine stays.
"""


class EngineOrders:
    """Calls engines as the steward decides.

    Parameters
    ----------
    holder
        Name of this machine, which orders carry.
    """

    def __init__(self, holder: str, engines: EngineDirectory, client: HttpClient) -> None:
        self._holder = holder
        self._engines = engines
        self._client = client

    async def order(
        self, order: OrderVersion, fence: int, may_send: Callable[[], bool]
    ) -> bool | None:
        """Give an order; None where it is not known whether the engine took it.

        Parameters
        ----------
        may_send
            Asked right before it leaves.
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
            # Another start answers at the same place: its count of orders is not this one's.
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
