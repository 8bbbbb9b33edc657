"""Store watches of every gateway: the configuration and the engines.

Holds which engine entries cannot be parsed. Updates the table in force and the engine directory; a
table is applied only if its version is higher than the one in force. The watch protocol, with its
retries, is in `store/store_watch.py`.
"""

from collections.abc import Awaitable, Callable
from dataclasses import replace

from result import Err

from pondtiller.gateway.callers.table_in_force import TableInForce
from pondtiller.platform import configuration, engine_entries, names
from pondtiller.platform.object_client import StoreChange, StoreObject
from pondtiller.process import clock, logs
from pondtiller.routes.engines import EngineDirectory, EngineEntry
from pondtiller.store.change_delays import ChangeDelays
from pondtiller.store.store_watch import (
    MAX_RETRY_SECONDS,
    StoreHealth,
    StoreReader,
    Watch,
)

ENGINES_REST_SECONDS = 1.2
"""Pause between calls for changes of engines, of all gateways but the leader's, so that one call
returns all changes of this time. Without it, one call per change, 6,022 calls cost 0.14 of a quiet
day's worth on a large deployment. With a longer pause, requests meet engines that have left or
turned cold for longer."""
MIRRORED_RETRY_SECONDS = 2.0
"""Longest pause between calls to a store that does not answer, for a gateway that follows mirrors.
There are many of those, and mirrors may answer them meanwhile. Half of the time within which a
gateway of such a deployment must reach the store again."""
MAX_UNREAD = 1000
"""Unreadable entries that are remembered, so that each is logged once per cause. Bounds memory
only: beyond it an entry is logged again at each change."""


class GatewayWatches:
    """Watches the configuration and the engines.

    Parameters
    ----------
    configuration_times, engines_times
        Waits with which changes of each are known within their bounds.

    Attributes
    ----------
    entries_unread
        Engine entries that could not be parsed, each counted once per cause.
    """

    def __init__(
        self,
        store: StoreReader,
        health: StoreHealth,
        engines: EngineDirectory,
        in_force: TableInForce,
        changed: Callable[[], Awaitable[None]],
        is_leading: Callable[[], bool],
        follows_mirrors: Callable[[], bool],
        configuration_times: ChangeDelays,
        engines_times: ChangeDelays,
    ) -> None:
        self.is_leading = is_leading
        self._follows_mirrors = follows_mirrors
        self._engines = engines
        self._in_force = in_force
        self._changed = changed
        self.entries_unread = 0
        self._unread: dict[str, str] = {}
        self.configuration = Watch(
            store,
            health,
            names.CONFIGURATIONS,
            self._take_configurations,
            self._configuration_changed,
            wait_seconds=configuration_times.wait_seconds,
            longest_retry=lambda: min(self.longest_retry(), configuration_times.retry_seconds),
        )
        in_force.age_seconds = lambda: clock.monotonic() - self.configuration.last_answer_at
        self.engines = Watch(
            store,
            health,
            names.ENGINES,
            self._take_engines,
            self._engine_changed,
            self._engines_rest,
            wait_seconds=engines_times.wait_seconds,
            longest_retry=lambda: min(self.longest_retry(), engines_times.retry_seconds),
        )

    def longest_retry(self) -> float:
        """Return the longest pause between calls to a store that does not answer, in seconds."""
        if self._follows_mirrors() and not self.is_leading():
            return MIRRORED_RETRY_SECONDS
        return MAX_RETRY_SECONDS

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
        if found.name != names.CONFIGURATION:
            logs.decision("table_refused", name=found.name, reason="no place of the configuration")
            return
        read = configuration.route_table(found.spec)
        if isinstance(read, Err):
            logs.decision("table_refused", name=found.name, reason=read.err_value)
            return
        table, current = read.ok_value, self._in_force.table
        if current is not None and table.version <= current.version:
            return
        self._in_force.table = table
        self._engines.services = table.named_services
        logs.decision(
            "table_in_force",
            version=table.version,
            before=current.version if current is not None else 0,
            revision=found.revision,
            routes=len(table.routes),
        )
        await self._changed()

    async def _take_engines(self, found: tuple[StoreObject, ...]) -> None:
        now = clock.monotonic()
        entries = [self._read_entry(each) for each in found]
        known = [entry for entry in entries if entry is not None]
        unread = {each.name for each, entry in zip(found, entries, strict=True) if entry is None}
        self._engines.replace_entries(known, now, unread)
        self._unread = {name: why for name, why in self._unread.items() if name in unread}
        logs.decision("engines_listed", engines=len(known), revision=self._engines.revision)
        await self._changed()

    async def _engine_changed(self, change: StoreChange) -> None:
        name, now = change.object.name, clock.monotonic()
        entry = None if change.is_gone else self._read_entry(change.object)
        if change.is_gone:
            self._unread.pop(name, None)
            self._engines.remove_entry(name, now)
            logs.decision("engine_gone", engine=name, revision=self._engines.revision)
        elif entry is None:
            self._engines.mark_unreadable(name)
        else:
            known = self._engines.current(name)
            self._engines.update_entry(entry, now)
            self._log_entry(entry, known.entry if known is not None else None)
        await self._changed()

    def _read_entry(self, found: StoreObject) -> EngineEntry | None:
        """Parse an entry; one that cannot be parsed is logged once per cause."""
        entry = engine_entries.engine_entry(found.name, found.spec, found.revision)
        if entry is not None:
            self._unread.pop(found.name, None)
            return entry
        reason = engine_entries.problem_of(found.spec)
        if self._unread.get(found.name) != reason:
            self.entries_unread += 1
            if len(self._unread) < MAX_UNREAD:
                self._unread[found.name] = reason
            logs.decision(
                "entry_unreadable", engine=found.name, revision=found.revision, reason=reason
            )
        return None

    def _log_entry(self, entry: EngineEntry, before: EngineEntry | None) -> None:
        """Log a change; loads of weights are logged by the leader only, which orders them."""
        is_load = before is not None and replace(before, models=entry.models) == entry
        if is_load and not self.is_leading():
            return
        logs.decision(
            "engine_changed",
            engine=entry.identifier,
            service=entry.service,
            state=entry.state.value,
            spot=entry.is_spot,
            leaves_seconds=entry.leaves_seconds,
            models=",".join(f"{name}:{version}" for name, version in entry.models.items()),
            revision=self._engines.revision,
        )
