"""One gateway process: its start, what it serves, its reload and stop.

Owns the tasks of the process, each of which is begun again where it fails. A stop gives leadership
back first, takes callers for a while, then refuses them and waits for what is open; at the latest
it ends before the platform ends it.
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
from pondtiller.settings import GatewaySettings

NOT_READY_SECONDS = 3.0
"""From the request to stop until callers are refused: time for the platform to see that the gateway
is not ready and to send callers elsewhere. Chosen, not measured."""
STOP_MARGIN_SECONDS = 0.7
"""Before `durations.stop`, when the platform ends the process: open requests are left then, and the
last counts of use are sent. Chosen, not measured; `LAST_USE_SECONDS` of it are for the counts."""
OPEN_LOOK_SECONDS = 0.05
"""Between two looks at whether anything is open: a stop takes this much longer at most. Chosen."""
LAST_USE_SECONDS = 0.4
"""Of the margin before a stopping process is ended."""


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
            if self.teller is not None:
                await group.spawn(keep_running, "use", self.teller.run)
            if self.metrics_server is not None:
                await group.spawn(keep_running, "metrics", self.metrics_server.run)
            await self._stopped.wait()
        finally:
            await self.leadership.replicas.close()
            await self.duties.end("the process ends")
            await self.run_host.close()
            await self.stalls.close()
            await group.cancel_all()
        logs.decision("stopped", daemon=settings.name, open=self.front.open_exchanges)

    async def stop(self) -> None:
        """Stop as planned: no new callers, a successor for the leader, answers to the end."""
        if self.is_stopping:
            return
        self.is_stopping = True
        logs.decision("stopping", daemon=self.settings.name, open=self.front.open_exchanges)
        began = clock.monotonic()
        await self.leadership.replicas.take_no_runs()
        await self.run_host.stop()
        await self.duties.save_progress()
        await self.leadership.resign()
        end = began + self.settings.durations.stop - STOP_MARGIN_SECONDS
        await curio.sleep(max(0.0, min(began + NOT_READY_SECONDS, end) - clock.monotonic()))
        self.front.is_closed = True
        while self._has_open_work() and clock.monotonic() < end:
            await curio.sleep(OPEN_LOOK_SECONDS)
        await self._tell_last_use()
        await self._stopped.set()

    def _has_open_work(self) -> bool:
        """Return whether callers wait, or a trial is to be given back where it told nothing."""
        return bool(self.front.open_exchanges or self.forwarder.trials.unsettled)

    async def _tell_last_use(self) -> None:
        """Tell what was counted since the last time; nobody else knows it."""
        leader = self.leadership.leader()
        if self.teller is not None and leader is not None:
            await curio.ignore_after(LAST_USE_SECONDS, self.teller.tell, leader.epoch)

    def reload(self, settings: GatewaySettings) -> None:
        """Take changed settings; addresses and names stay until the next start."""
        logs.decision("reloaded", daemon=settings.name, changed=settings != self.settings)
        self.settings = settings

    def _is_stopping(self) -> bool:
        return self.is_stopping


def _text(address: Address) -> str:
    return f"{address.host}:{address.port}"
