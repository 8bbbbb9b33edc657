"""The platform's store as a leader reads it: itself, and through replicas where it is turned away.

A leader needs each change at once, so it asks the store. The store may turn this machine away
while it serves others: then no version that trainers name and no load of an engine would be known
here, and all trainers would stand still. The replicas of the group, on other machines, are asked
to pass its calls on.

Owns only whether the store refused lately. Relies on the links to the group's members. Takes no
listing older than what was read before; it doesn't ask mirrors for what they hold.
"""

from collections.abc import Awaitable, Callable, Mapping

import curio

from pondtiller.platform.mirror import read_changes, read_listing
from pondtiller.platform.object_client import (
    StoreCallError,
    StoreChanges,
    StoreListing,
)
from pondtiller.process import clock
from pondtiller.process.run_until import run_until
from pondtiller.store.store_watch import StoreReader
from pondtiller.wire.steplog import MirrorPage, ReadMirror

OWN_RETRY_SECONDS = 2.0
"""How long after a refusal the store itself is not asked, where replicas can answer: every call has
a price, and what replicas pass on is as new."""
PROBE_WAIT_SECONDS = 0.5
"""How long the first call after a refusal waits for changes: until it is answered nothing else is
heard of its kind."""

LONGEST_PASSED_WAIT_SECONDS = 0.8
"""How long a call that is passed on waits: a replica that falls silent is left after it and 0.6 s,
and the next one answers with what there is: 2 s in all, as long as an engine that leaves may go on
getting work at the least."""

AskReplicas = Callable[[ReadMirror], Awaitable[MirrorPage | None]]


class LeaderStore:
    """Reads the store for a leader.

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
        store: StoreReader,
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
        page = await self._listed_by_replicas(kind) if self._is_paused() else None
        if page is not None:
            return read_listing(page)
        try:
            listing = await self._store.list_all(kind)
        except StoreCallError:
            await self._take_refusal()
            page = await self._listed_by_replicas(kind)
            if page is None:
                raise
            return read_listing(page)
        self._take_answer(kind)
        return listing

    async def watch(self, kind: str, at: int, wait_seconds: float) -> StoreChanges:
        """Return the changes after a revision; raises as the store's own client does."""
        wait = min(wait_seconds, LONGEST_PASSED_WAIT_SECONDS)
        message = ReadMirror(kind, at, int(wait * 1000), passes_on=True)
        page = await self._ask_replicas(message) if self._is_paused() else None
        if page is not None:
            return read_changes(page)
        try:
            found = await self._watch_itself(kind, at, wait_seconds)
        except StoreCallError:
            await self._take_refusal()
            page = await self._ask_replicas(message)
            if page is None:
                raise
            return read_changes(page)
        self._take_answer(kind)
        return found

    async def _watch_itself(self, kind: str, at: int, wait_seconds: float) -> StoreChanges:
        """Ask the store; a call that waits ends where another one learns of a refusal."""
        if self._is_refused:
            return await self._store.watch(kind, at, min(wait_seconds, PROBE_WAIT_SECONDS))
        found = await run_until(self._refused.wait, self._store.watch, kind, at, wait_seconds)
        if found is None:
            raise StoreCallError("another call was refused")
        return found

    async def _listed_by_replicas(self, kind: str) -> MirrorPage | None:
        page = await self._ask_replicas(ReadMirror(kind=kind, passes_on=True))
        if page is None or page.at < self._known.get(kind, 0):
            return None
        return page

    def _is_paused(self) -> bool:
        return clock.monotonic() < self._not_before

    async def _take_refusal(self) -> None:
        self._is_refused = True
        self._not_before = clock.monotonic() + OWN_RETRY_SECONDS
        await self._refused.set()

    def _take_answer(self, kind: str) -> None:
        self._note_reader(kind, "store")
        self._is_refused = False
        self._refused.clear()
