"""A stand-in of the operator's own interface, on a socket."""

import json
from typing import Any, NamedTuple

from pondtiller.httpio.messages import HttpResponse
from pondtiller.httpio.server import ConnectionLostError, Exchange
from pondtiller.platform import names
from pondtiller.standins.listening import StandIn, listen_on_loopback


class UseReport(NamedTuple):
    """A report of use, with the gateway that sent it and its fence."""

    holder: str
    fence: int
    content: bytes


class EngineOrder(NamedTuple):
    """An order of engines, with the gateway that sent it and its fence."""

    holder: str
    fence: int
    content: dict[str, Any]


class StandInOperator(StandIn):
    """The operator's interface: takes reports of use and orders, and says when it does not.

    Attributes
    ----------
    reports
        Each report in order.
    next_statuses
        Answers to the next reports, each taken or not; 0 ends the connection without one.
    scales
        Each order of engines, in order.
    next_scale_statuses
        The same answers to the next orders.
    """

    def __init__(self) -> None:
        self.listener = listen_on_loopback()
        self.reports: list[UseReport] = []
        self.next_statuses: list[int] = []
        self.scales: list[EngineOrder] = []
        self.next_scale_statuses: list[int] = []

    def taken(self) -> dict[int, dict[str, int]]:
        """Return the counts of each window; two reports that differ are a fault."""
        found: dict[int, dict[str, int]] = {}
        for _, _, content in self.reports:
            report = json.loads(content)
            known = found.setdefault(report["window_id"], report["counts"])
            if known != report["counts"]:
                raise ValueError(f"window {report['window_id']} was reported in two ways")
        return found

    async def _handle(self, exchange: Exchange) -> None:
        headers = exchange.request.headers
        holder, fence = headers[names.DUTY_HOLDER], int(headers[names.FENCE])
        body = exchange.request.body
        if exchange.request.path == names.SCALE_PATH:
            self.scales.append(EngineOrder(holder, fence, json.loads(body)))
            answers = self.next_scale_statuses
        else:
            self.reports.append(UseReport(holder, fence, body))
            answers = self.next_statuses
        status = answers.pop(0) if answers else 200
        if not status:
            raise ConnectionLostError("cut")
        await exchange.respond(HttpResponse(status))
