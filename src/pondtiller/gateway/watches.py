"""What every gateway follows in the store: the configuration and the engines."""

from collections.abc import Awaitable, Callable
from dataclasses import replace

from result import Err

from pondtiller.daemon import clock, logs
from pondtiller.gateway.front import Front
from pondtiller.gateway.store_watch import (
    LONGEST_RETRY_SECONDS,
    WATCH_SECONDS,
    StoreHealth,
    StoreReader,
    Watch,
)
from pondtiller.platform import configuration, engine_format, names
from pondtiller.platform.object_client import StoreChange, StoreObject
from pondtiller.routes.engines import EngineDirectory, EngineEntry

ENGINES_REST_SECONDS = 1.2
MIRRORED_RETRY_SECONDS = 2.0
"""Longest pause between calls to a store that does not answer, of a gateway that follows mirrors:
there are many of those, and mirrors may tell it meanwhile. Half of the time that the platform gives
daemons of such deployments to be in touch again."""


class GatewayWatches:
    """What every daemon follows: the configuration and the engines."""

    def __init__(
        self,
        store: StoreReader,
        health: StoreHealth,
        engines: EngineDirectory,
        front: Front,
        changed: Callable[[], Awaitable[None]],
        is_leading: Callable[[], bool],
        follows_mirrors: Callable[[], bool],
        configuration_wait_seconds: float = WATCH_SECONDS,
    ) -> None:
        self.is_leading = is_leading
        self._follows_mirrors = follows_mirrors
        self._engines = engines
        self._front = front
        self._changed = changed
        self.configuration = Watch(
            store,
            health,
            names.CONFIGURATIONS,
            self._take_configurations,
            self._configuration_changed,
            wait_seconds=configuration_wait_seconds,
            longest_retry=self.longest_retry,
        )
        self.engines = Watch(
            store,
            health,
            names.ENGINES,
            self._take_engines,
            self._engine_changed,
            self._engines_rest,
            longest_retry=self.longest_retry,
        )

    def longest_retry(self) -> float:
        """Return the longest pause between calls to a store that does not answer, in seconds."""
        if self._follows_mirrors() and not self.is_leading():
            return MIRRORED_RETRY_SECONDS
        return LONGEST_RETRY_SECONDS

    def _engines_rest(self) -> float:
        """Return the pause between calls: only a leader needs each load of weights at once."""
        return 0.0 if self.is_leading() else ENGINES_REST_SECONDS

    async def _take_configurations(self, found: tuple[StoreObject, ...]) -> None:
        for each in found:
            await self._take_configuration(each)

    async def _configuration_changed(self, change: StoreChange) -> None:
        if not change.is_gone:
            await self._take_configuration(change.object)

    async def _take_configuration(self, found: StoreObject) -> None:
        read = configuration.route_table(found.spec)
        if isinstance(read, Err):
            logs.decision("table_refused", name=found.name, reason=read.err_value)
            return
        table, current = read.ok_value, self._front.table
        if current is not None and table.version <= current.version:
            return
        self._front.table = table
        logs.decision(
            "table_in_force",
            version=table.version,
            before=current.version if current is not None else 0,
            revision=found.revision,
            routes=len(table.routes),
        )
        await self._changed()

    async def _take_engines(self, found: tuple[StoreObject, ...]) -> None:
        entries = [
            engine_format.engine_entry(each.name, each.spec, each.revision) for each in found
        ]
        known = [entry for entry in entries if entry is not None]
        self._engines.replace(known, clock.monotonic())
        logs.decision("engines_listed", engines=len(known), revision=self._engines.revision)
        await self._changed()

    async def _engine_changed(self, change: StoreChange) -> None:
        name = change.object.name
        entry = engine_format.engine_entry(name, change.object.spec, change.object.revision)
        if change.is_gone or entry is None:
            self._engines.gone(name, clock.monotonic())
            logs.decision("engine_gone", engine=name, revision=self._engines.revision)
        else:
            known = self._engines.engines.get(name)
            self._engines.changed(entry, clock.monotonic())
            self._log_entry(entry, known.entry if known is not None else None)
        await self._changed()

    def _log_entry(self, entry: EngineEntry, before: EngineEntry | None) -> None:
        """Note a change; of each load of weights only the leader does, whose orders they are."""
        is_load = before is not None and replace(before, models=entry.models) == entry
        if is_load and not self.is_leading():
            return
        logs.decision(
            "engine_changed",
            engine=entry.engine,
            service=entry.service,
            state=entry.state.value,
            spot=entry.is_spot,
            leaves_seconds=entry.leaves_seconds,
            models=",".join(f"{name}:{version}" for name, version in entry.models.items()),
            revision=self._engines.revision,
        )
