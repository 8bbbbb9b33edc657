"""One gateway process: start, tasks, reload and stop.

Holds the tasks of the process, each of which is restarted if it fails. A stop gives up leadership,
accepts callers for a while, then rejects them and waits for open requests. It ends before the
platform kills the process. Which requests are still passed on is decided in `routes.planned_stop`.
"""

import curio

from pondtiller.address import Address
from pondtiller.gateway.housekeeping import Housekeeping
from pondtiller.gateway.link_service import LinkService
from pondtiller.gateway.pages.readiness_page import Pages
from pondtiller.gateway.parts import GatewayParts
from pondtiller.httpio.metrics_server import MetricsServer
from pondtiller.httpio.server import serve_http
from pondtiller.links.link import serve_links
from pondtiller.process import clock, logs
from pondtiller.process.spawner import Spawner
from pondtiller.process.supervise import keep_running
from pondtiller.routes.planned_stop import planned_stop
from pondtiller.settings import GatewaySettings

NOT_READY_SECONDS = 3.0
"""Time from the stop request until callers are rejected: the platform needs it to notice that the
gateway is not ready and to send callers elsewhere."""
STOP_MARGIN_SECONDS = 0.8
"""Time before `durations.stop`, when the platform kills the process, at which open requests are
answered without their engines and the last usage counts are sent, which take `LAST_ANSWERS_SECONDS`
and `LAST_USE_SECONDS` of it."""
LAST_ANSWERS_SECONDS = 0.1
"""Part of `STOP_MARGIN_SECONDS` for sending the last answers."""
OPEN_CHECK_SECONDS = 0.05
"""Interval of the check for open requests; a stop takes at most this much longer."""
LAST_USE_SECONDS = 0.4
"""Part of `STOP_MARGIN_SECONDS` for sending the last usage counts."""


class GatewayProcess(GatewayParts):
    """A gateway that serves with all its parts until it is stopped."""

    def __init__(self, settings: GatewaySettings) -> None:
        super().__init__(settings)
        self.pages = Pages(self.sources, self.is_ready)
        self.link_service = LinkService(self.run_host, self.leadership.replicas, self.duties)
        self.housekeeping = Housekeeping(self)
        self.metrics_server = (
            MetricsServer(settings.metrics, self.pages.render_metrics) if settings.metrics else None
        )
        self._stopped = curio.Event()

    async def run(self) -> None:
        """Serve until stopped."""
        settings = self.settings
        sockets = self.sockets
        logs.decision(
            "started",
            daemon=settings.name,
            zone=settings.zone,
            callers=_text(sockets.address(sockets.callers)),
            readiness=_text(sockets.address(sockets.readiness)),
            links=_text(sockets.address(sockets.links)),
            store=settings.store,
        )
        group = Spawner()
        try:
            await group.spawn(
                keep_running,
                "callers",
                serve_http,
                sockets.callers,
                self.front.handle,
                self._is_stopping,
            )
            await group.spawn(
                keep_running, "readiness", serve_http, sockets.readiness, self.pages.answer
            )
            await group.spawn(
                keep_running, "links", serve_links, sockets.links, self.link_service.serve
            )
            await group.spawn(keep_running, "configuration", self.watches.configuration.run)
            await group.spawn(keep_running, "engines", self.watches.engines.run)
            await group.spawn(keep_running, "suspects", self.suspect_sharing.watch.run)
            await group.spawn(keep_running, "suspects told", self.suspect_sharing.run)
            if self.evacuations is not None:
                await group.spawn(keep_running, "evacuations", self.evacuations.watch.run)
            await group.spawn(keep_running, "leadership", self.leadership.run)
            await group.spawn(keep_running, "housekeeping", self.housekeeping.run)
            await group.spawn(keep_running, "shares", self.shares.run)
            if self.usage_sender is not None:
                await group.spawn(keep_running, "use", self.usage_sender.run)
            if self.metrics_server is not None:
                await group.spawn(keep_running, "metrics", self.metrics_server.run)
            await self._stopped.wait()
        finally:
            await self.leadership.replicas.close()
            await self.duties.end("the process ends")
            await self.run_host.close()
            await self.stalls.close()
            await group.cancel_all()
            await self.forwarder.ends.close()
        logs.decision("stopped", daemon=settings.name, open=self.front.open_exchanges)

    async def stop(self) -> None:
        """Stop as planned: no new callers, a successor for the leader, complete answers."""
        if self.is_stopping:
            return
        self.is_stopping = True
        logs.decision("stopping", daemon=self.settings.name, open=self.front.open_exchanges)
        answer_seconds = self.settings.durations.stop - STOP_MARGIN_SECONDS
        stop = planned_stop(clock.monotonic(), answer_seconds, NOT_READY_SECONDS)
        self.front.stop = stop
        await self.forwarder.begin_stop(stop)
        # Beside the rest: it waits for other processes, and requests are rejected in time anyway.
        handing_over = await curio.spawn(self._hand_over, daemon=True)
        await curio.sleep(max(0.0, stop.accepts_until - clock.monotonic()))
        while clock.monotonic() < stop.answers_by and (
            self._has_open_work() or not handing_over.terminated
        ):
            await curio.sleep(OPEN_CHECK_SECONDS)
        await handing_over.cancel(blocking=False)
        await self._end_open()
        await self._send_last_usage()
        await self._stopped.set()

    async def _hand_over(self) -> None:
        """Have other gateways run this one's samples, and lead."""
        await self.leadership.replicas.take_no_runs()
        await self.run_host.stop()
        await self.duties.save_progress()
        await self.leadership.resign()

    async def _end_open(self) -> None:
        """Answer what is still open."""
        give_up = clock.monotonic() + LAST_ANSWERS_SECONDS
        await self.front.end_open()
        while self.front.open_exchanges and clock.monotonic() < give_up:
            await curio.sleep(OPEN_CHECK_SECONDS)

    def _has_open_work(self) -> bool:
        """Return whether callers wait, or the outcome of a trial must still be recorded."""
        return bool(self.front.open_exchanges or self.forwarder.trials.unsettled_trials)

    async def _send_last_usage(self) -> None:
        """Send the counts since the last report; no other process has them."""
        leader = self.leadership.leader()
        if self.usage_sender is not None and leader is not None:
            await curio.ignore_after(LAST_USE_SECONDS, self.usage_sender.send, leader.epoch)

    def reload(self, settings: GatewaySettings) -> None:
        """Apply changed settings; addresses and names stay until the next start."""
        logs.decision("reloaded", daemon=settings.name, changed=settings != self.settings)
        self.settings = settings

    def _is_stopping(self) -> bool:
        return self.is_stopping


def _text(address: Address) -> str:
    return f"{address.host}:{address.port}"
