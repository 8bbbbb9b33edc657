"""Follows the configuration and the engines for gateways, so that not each asks the store.

A mirror answers only while it hears from the store: a gateway must learn of an engine that
leaves as soon as if it asked the store itself, so a mirror that may be behind says so, and the
gateway turns to another one or to the store.
"""

from collections.abc import Callable, Mapping
from typing import Any

import curio

from pondtiller.daemon import clock, logs
from pondtiller.daemon.spawner import Spawner
from pondtiller.daemon.supervise import keep_running
from pondtiller.gateway.store_watch import StoreHealth, StoreReader, Watch
from pondtiller.platform import names
from pondtiller.platform.mirror import MirroredKind, MirrorStatus, changes_page, listing_page
from pondtiller.platform.object_client import (
    HistoryGoneError,
    StoreCallError,
    StoreChange,
    StoreChanges,
    StoreListing,
    StoreObject,
)
from pondtiller.wire.steplog import MirrorPage, ReadMirror

FEWEST_FOLLOWERS = 6
"""A gateway that follows both kinds itself makes 0.85 calls a second (47 in a day of 56 s, large
site, `quiet-1`); a mirror makes 2 to 4, most of them to know that it still hears the store."""
WAIT_SECONDS = 0.8
"""How long a call waits for changes: so old is what a mirror knows, at most, while all is well."""
ENGINES_REST_SECONDS = 0.5
FRESH_SECONDS = 1.5
"""Age above which a mirror answers nothing: a call's wait and rest, with a margin. The platform's
shortest bound for a leaving engine is 2 s."""
CHECK_SECONDS = 0.25


class MirroringReader:
    """Reads the store, and keeps what it reads in mirrors."""

    def __init__(self, store: StoreReader, kinds: Mapping[str, MirroredKind]) -> None:
        self._store = store
        self._kinds = kinds

    async def list_all(self, kind: str) -> StoreListing:
        """Return all objects of a kind."""
        listing = await self._store.list_all(kind)
        self._kinds[kind].replace(listing.objects, listing.at)
        return listing

    async def watch(self, kind: str, at: int, wait_seconds: float) -> StoreChanges:
        """Return the changes after a revision."""
        found = await self._store.watch(kind, at, wait_seconds)
        self._kinds[kind].change(found.changes, found.at)
        return found


class StoreMirror:
    """The mirrors of one replica, while enough gateways follow it.

    Parameters
    ----------
    expected_followers
        Returns how many gateways are likely to follow this replica.
    """

    def __init__(self, store: StoreReader, expected_followers: Callable[[], float]) -> None:
        self.is_on = False
        self.answers = 0
        self.kinds = {names.CONFIGURATIONS: MirroredKind(), names.ENGINES: MirroredKind()}
        self._store = store
        self._expected_followers = expected_followers
        self._health = StoreHealth()
        reader = MirroringReader(store, self.kinds)
        self._followed = {kind: self._watch(reader, kind) for kind in self.kinds}
        self._followed[names.ENGINES].rest = lambda: ENGINES_REST_SECONDS
        self._waiting: set[Any] = set()
        self._watches = Spawner()

    def _watch(self, reader: MirroringReader, kind: str) -> Watch:
        async def replace(_found: tuple[StoreObject, ...]) -> None:
            await self._wake()

        async def change(_found: StoreChange) -> None:
            await self._wake()

        return Watch(reader, self._health, kind, replace, change, None, WAIT_SECONDS)

    @property
    def age_seconds(self) -> float:
        """How long ago the store was heard, of the kind that it was heard least of."""
        return clock.monotonic() - min(each.heard_at for each in self._followed.values())

    def is_fresh(self) -> bool:
        """Return whether what is mirrored may be told: each kind was heard of lately.

        One kind does not answer for the other: a call may hang that the store has forgotten.
        """
        is_known = all(kind.at for kind in self.kinds.values())
        return self.is_on and is_known and self.age_seconds < FRESH_SECONDS

    async def run(self) -> None:
        """Follow the store while enough gateways follow this replica, until cancelled."""
        was_fresh = False
        while True:
            is_wanted = self._expected_followers() >= FEWEST_FOLLOWERS
            if is_wanted != self.is_on:
                await self._switch(is_wanted)
            is_fresh = self.is_fresh()
            if is_fresh != was_fresh:
                logs.decision("mirror", fresh=is_fresh, on=self.is_on, age=self.age_seconds)
                await self._wake()
            was_fresh = is_fresh
            await curio.sleep(CHECK_SECONDS)

    async def _switch(self, is_on: bool) -> None:
        self.is_on = is_on
        if is_on:
            for kind, watch in self._followed.items():
                await self._watches.spawn(keep_running, f"mirror of {kind}", watch.run)
        else:
            await self._watches.cancel_all()

    async def _wake(self) -> None:
        for event in list(self._waiting):
            await event.set()

    async def answer(self, message: ReadMirror) -> MirrorPage:
        """Return a listing, or the changes after a revision once there are any."""
        self.answers += 1
        if message.passes_on:
            return await self._pass_on(message)
        until = clock.monotonic() + message.wait_milliseconds / 1000.0
        event = curio.Event()
        self._waiting.add(event)
        try:
            while True:
                event.clear()
                page = self._page(message)
                left = until - clock.monotonic()
                if page.status != MirrorStatus.OK or page.names or not message.at or left <= 0:
                    return page
                await curio.ignore_after(left, event.wait)
        finally:
            self._waiting.discard(event)

    async def _pass_on(self, message: ReadMirror) -> MirrorPage:
        """Ask the store for a leader that it turns away."""
        wait = message.wait_milliseconds / 1000.0
        try:
            if not message.at:
                return listing_page(await self._store.list_all(message.kind))
            return changes_page(await self._store.watch(message.kind, message.at, wait))
        except HistoryGoneError:
            return MirrorPage(status=MirrorStatus.HISTORY_GONE)
        except StoreCallError as error:
            logs.decision("pass_on_failed", kind=message.kind, reason=str(error))
            return MirrorPage(status=MirrorStatus.UNAVAILABLE)

    def _page(self, message: ReadMirror) -> MirrorPage:
        kind = self.kinds.get(message.kind)
        if not self.is_on:
            return MirrorPage(status=MirrorStatus.NOT_MIRRORED)
        if kind is None or not self.is_fresh():
            return MirrorPage(status=MirrorStatus.UNAVAILABLE)
        return kind.since(message.at) if message.at else kind.listing()
