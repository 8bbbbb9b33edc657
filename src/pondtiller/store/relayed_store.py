"""The platform's store as a gateway reads it: itself, and through replicas where that fails.

The store may turn this machine away while it serves others, or the connections to it may be silent.
Then no change of the configuration and no engine that leaves would be known here, and a leader
would hear of no version that trainers name. The replicas of the group, on other machines, are asked
to pass calls on.

Owns only whether the store failed to answer lately. Relies on the links to the group's members.
Takes no listing older than what was read before; it doesn't ask mirrors for what they hold.
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

OWN_RETRY_SECONDS = 2.0
"""How long after a refusal the store itself is not asked, where replicas can answer: every call has
a price, and what replicas pass on is as new."""
PROBE_WAIT_SECONDS = 0.5
"""How long the first call after a refusal waits for changes: until it is answered nothing else is
heard of its kind."""

MAX_PASSED_WAIT_SECONDS = 0.8
"""How long a call that is passed on waits: a replica that falls silent is left after it and 0.6 s,
and the next one answers with what there is: 2 s in all, as long as an engine that leaves may go on
getting work at the least."""
HEDGE_SECONDS = 0.1
"""How long a call that is repeated on a new connection may take before replicas are asked, too: a
store that answers gets one call, not two."""

AskReplicas = Callable[[ReadMirror], Awaitable[MirrorPage | None]]


class StoreClient(StoreReader, Protocol):
    """Calls the store over connections that are kept."""

    async def leave_connections(self) -> None:
        """Use no connection again that is at rest: any of them may be silent."""


class RelayedStore:
    """Reads the store, also where it does not answer this machine.

    Parameters
    ----------
    ask_replicas
        Has a replica ask the store; None where none can answer.
    known
        Revisions that were read before, by kind: no older listing is taken from a replica.
    note_reader
        Called with who gave an answer, by kind: `store`, where replicas did not.
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
        """Return all objects of a kind; raises `StoreCallError` where nobody can answer."""
        if self._is_paused():
            listing = await self._listed_by_replicas(kind)
            if listing is not None:
                return listing
        failures: list[StoreCallError] = []

        async def ask_store() -> StoreListing | None:
            try:
                listing = await self._store.list_all(kind)
            except StoreCallError as error:
                failures.append(error)
                await self._take_refusal()
                return None
            self._take_answer(kind)
            return listing

        async def ask_replicas() -> StoreListing | None:
            return await self._listed_by_replicas(kind)

        await self._store.leave_connections()
        found = await hedged(ask_store, ask_replicas, WATCH_MARGIN_SECONDS)
        if found is None:
            raise failures[0]
        return found

    async def watch(self, kind: str, at: int, wait_seconds: float) -> StoreChanges:
        """Return the changes after a revision; raises as the store's own client does."""
        if self._is_paused():
            changes = await self._passed_on(kind, at, wait_seconds)
            if changes is not None:
                return changes
        try:
            found = await self._watch_itself(kind, at, wait_seconds)
        except StoreCallError as error:
            await self._take_refusal()
            return await self._changes_by_now(kind, at, error)
        self._take_answer(kind)
        return found

    async def changes_by_now(self, kind: str, at: int) -> StoreChanges:
        """Return the changes after a revision that there are, as soon as anybody can tell them.

        Raises as `watch`.
        """
        error = StoreUnreachedError(f"neither the store nor a replica tells changes of {kind}")
        return await self._changes_by_now(kind, at, error)

    async def _watch_itself(self, kind: str, at: int, wait_seconds: float) -> StoreChanges:
        """Ask the store; a call that waits ends where another one fails."""
        if self._is_refused:
            return await self._store.watch(kind, at, min(wait_seconds, PROBE_WAIT_SECONDS))
        found = await run_until(self._refused.wait, self._store.watch, kind, at, wait_seconds)
        if found is None:
            raise StoreUnreachedError("another call got no answer")
        return found

    async def _changes_by_now(self, kind: str, at: int, error: StoreCallError) -> StoreChanges:
        """Return the changes that there are, after a call that failed; else raises its error.

        A connection that failed says nothing of the store, which is asked on a new one.
        """

        async def ask_store() -> StoreChanges | None:
            if not isinstance(error, StoreUnreachedError):
                return None
            await self._store.leave_connections()
            try:
                changes = await self._store.watch(kind, at, 0.0)
            except StoreCallError:
                await self._take_refusal()
                return None
            self._take_answer(kind)
            return changes

        async def ask_replicas() -> StoreChanges | None:
            return await self._passed_on(kind, at, 0.0)

        found = await hedged(ask_store, ask_replicas, HEDGE_SECONDS)
        if found is None:
            raise error
        return found

    async def _passed_on(self, kind: str, at: int, wait_seconds: float) -> StoreChanges | None:
        """Return changes through a replica; None where none can answer."""
        wait = min(wait_seconds, MAX_PASSED_WAIT_SECONDS)
        page = await self._ask_replicas(ReadMirror(kind, at, int(wait * 1000), passes_on=True))
        return read_changes(page) if page is not None else None

    async def _listed_by_replicas(self, kind: str) -> StoreListing | None:
        page = await self._ask_replicas(ReadMirror(kind=kind, passes_on=True))
        if page is None or page.at < self._known.get(kind, 0):
            return None
        return read_listing(page)

    def _is_paused(self) -> bool:
        return clock.monotonic() < self._not_before

    async def _take_refusal(self) -> None:
        self._is_refused = True
        self._not_before = clock.monotonic() + OWN_RETRY_SECONDS
        await self._refused.set()

    def _take_answer(self, kind: str) -> None:
        self._note_reader(kind, "store")
        self._is_refused = False
        self._not_before = 0.0
        self._refused.clear()
