"""The platform's store as a gateway reads it: directly, and through replicas if that fails.

The store may reject this machine while it serves others, or the connections to it may be silent.
Then this gateway would learn of no configuration change and no leaving engine, and a leader of no
version published by trainers. So the replicas of the group, on other machines, are asked to relay
calls.

Holds only whether the store failed to answer recently. Uses the links to the group's members.
Accepts no listing older than the last one read; does not ask mirrors for their contents.
"""

from collections.abc import Awaitable, Callable, Mapping
from typing import Protocol

import curio

from pondtiller.platform.mirror import read_changes, read_listing
from pondtiller.platform.object_client import (
    WATCH_MARGIN_SECONDS,
    StoreCallError,
    StoreChanges,
    StoreListing,
    StoreUnreachedError,
)
from pondtiller.process import clock
from pondtiller.process.hedge import hedged
from pondtiller.process.run_until import run_until
from pondtiller.store.store_watch import StoreReader
from pondtiller.wire.steplog import MirrorPage, ReadMirror

DIRECT_RETRY_SECONDS = 2.0
"""How long the store itself is not asked after a rejection, if replicas can answer: every call has
a price, and relayed answers are equally recent."""
PROBE_WAIT_SECONDS = 0.5
"""How long the first call after a rejection waits for changes: until it is answered, nothing else
returns changes of its kind."""

MAX_RELAYED_WAIT_SECONDS = 0.8
"""How long a relayed call waits. A silent replica is given up after this and 0.6 s, and the next
one answers with its present state: 2 s in all, the shortest time for which a leaving engine may
still get work."""
HEDGE_SECONDS = 0.1
"""How long a call that is repeated on a new connection may take before replicas are asked as well;
a store that answers thus gets one call, not two."""

AskReplicas = Callable[[ReadMirror], Awaitable[MirrorPage | None]]


class StoreClient(StoreReader, Protocol):
    """Calls the store over kept connections."""

    async def skip_idle_connections(self) -> None:
        """Reuse no idle connection: any of them may be silent."""


class RelayedStore:
    """Reads the store, even if it does not answer this machine.

    Parameters
    ----------
    ask_replicas
        Has a replica ask the store; returns None if none can answer.
    known
        Revisions that were read before, by kind: no older listing is accepted from a replica.
    note_reader
        Called with the source of an answer, by kind: `store` unless replicas gave it.
    """

    def __init__(
        self,
        store: StoreClient,
        ask_replicas: AskReplicas,
        known: Mapping[str, int],
        note_reader: Callable[[str, str], None],
    ) -> None:
        self._store = store
        self._ask_replicas = ask_replicas
        self._known = known
        self._note_reader = note_reader
        self._not_before = 0.0
        self._is_refused = False
        self._refused = curio.Event()

    async def list_all(self, kind: str) -> StoreListing:
        """Return all objects of a kind; raises `StoreCallError` if nobody can answer."""
        if self._is_paused():
            listing = await self._relayed_listing(kind)
            if listing is not None:
                return listing
        failures: list[StoreCallError] = []

        async def ask_store() -> StoreListing | None:
            try:
                listing = await self._store.list_all(kind)
            except StoreCallError as error:
                failures.append(error)
                await self._note_failure()
                return None
            self._note_answer(kind)
            return listing

        async def ask_replicas() -> StoreListing | None:
            return await self._relayed_listing(kind)

        await self._store.skip_idle_connections()
        found = await hedged(ask_store, ask_replicas, WATCH_MARGIN_SECONDS)
        if found is None:
            raise failures[0]
        return found

    async def watch(self, kind: str, at: int, wait_seconds: float) -> StoreChanges:
        """Return the changes after a revision; raises as the store's own client does."""
        if self._is_paused():
            changes = await self._relayed_changes(kind, at, wait_seconds)
            if changes is not None:
                return changes
        try:
            found = await self._watch_directly(kind, at, wait_seconds)
        except StoreCallError as error:
            await self._note_failure()
            return await self._changes_by_now(kind, at, error)
        self._note_answer(kind)
        return found

    async def changes_by_now(self, kind: str, at: int) -> StoreChanges:
        """Return the existing changes after a revision, from whoever answers first.

        Raises as `watch`.
        """
        error = StoreUnreachedError(f"neither the store nor a replica tells changes of {kind}")
        return await self._changes_by_now(kind, at, error)

    async def _watch_directly(self, kind: str, at: int, wait_seconds: float) -> StoreChanges:
        """Ask the store; a waiting call ends when another one fails."""
        if self._is_refused:
            return await self._store.watch(kind, at, min(wait_seconds, PROBE_WAIT_SECONDS))
        found = await run_until(self._refused.wait, self._store.watch, kind, at, wait_seconds)
        if found is None:
            raise StoreUnreachedError("another call got no answer")
        return found

    async def _changes_by_now(self, kind: str, at: int, error: StoreCallError) -> StoreChanges:
        """Return the existing changes after a failed call; otherwise raise its error.

        A failed connection does not mean that the store has failed, so it is asked on a new one.
        """

        async def ask_store() -> StoreChanges | None:
            if not isinstance(error, StoreUnreachedError):
                return None
            await self._store.skip_idle_connections()
            try:
                changes = await self._store.watch(kind, at, 0.0)
            except StoreCallError:
                await self._note_failure()
                return None
            self._note_answer(kind)
            return changes

        async def ask_replicas() -> StoreChanges | None:
            return await self._relayed_changes(kind, at, 0.0)

        found = await hedged(ask_store, ask_replicas, HEDGE_SECONDS)
        if found is None:
            raise error
        return found

    async def _relayed_changes(
        self, kind: str, at: int, wait_seconds: float
    ) -> StoreChanges | None:
        """Return changes through a replica; None if none can answer."""
        wait = min(wait_seconds, MAX_RELAYED_WAIT_SECONDS)
        page = await self._ask_replicas(ReadMirror(kind, at, int(wait * 1000), passes_on=True))
        return read_changes(page) if page is not None else None

    async def _relayed_listing(self, kind: str) -> StoreListing | None:
        page = await self._ask_replicas(ReadMirror(kind=kind, passes_on=True))
        if page is None or page.at < self._known.get(kind, 0):
            return None
        return read_listing(page)

    def _is_paused(self) -> bool:
        return clock.monotonic() < self._not_before

    async def _note_failure(self) -> None:
        self._is_refused = True
        self._not_before = clock.monotonic() + DIRECT_RETRY_SECONDS
        await self._refused.set()

    def _note_answer(self, kind: str) -> None:
        self._note_reader(kind, "store")
        self._is_refused = False
        self._not_before = 0.0
        self._refused.clear()
