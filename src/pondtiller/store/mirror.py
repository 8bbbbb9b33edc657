"""Follows the configuration, the engines and further kinds on behalf of gateways.

Not every gateway then has to call the store.

A mirror answers only while it is up to date: a gateway must learn of a leaving engine as soon as if
it had asked the store itself, so a mirror that may be behind reports that, and the gateway tries
another one or the store.

Holds the objects of each kind with their latest changes, in a replica's memory. Uses watches of the
store. Interprets no object, and follows nothing while few gateways are connected.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

import curio

from pondtiller.platform import names
from pondtiller.platform.mirror import (
    MirroredKind,
    MirrorStatus,
    changes_page,
    listing_page,
    set_age,
)
from pondtiller.platform.object_client import (
    HistoryGoneError,
    StoreCallError,
    StoreChange,
    StoreChanges,
    StoreListing,
    StoreObject,
)
from pondtiller.process import clock, logs
from pondtiller.process.curio_types import Event
from pondtiller.process.spawner import Spawner
from pondtiller.process.supervise import keep_running
from pondtiller.store.store_watch import StoreHealth, StoreReader, Watch
from pondtiller.wire.steplog import MirrorPage, ReadMirror

MIN_FOLLOWERS = 6
"""Followers from which a mirror saves calls. A gateway that follows both kinds itself makes 0.85
calls a second (47 in 56 s); a mirror makes 2 to 4, most of them to stay up to date."""
WAIT_SECONDS = 0.8
"""How long a call waits for changes, and so the greatest age of a mirror while the store
answers."""
ENGINES_REST_SECONDS = 0.5
"""Pause between two calls for changes of the engines, so that changes close together take one
priced call. Together with `WAIT_SECONDS` it stays below `FRESH_SECONDS`."""
FRESH_SECONDS = 1.5
"""Age above which a mirror does not answer: a call's wait and rest, with a margin. The platform's
shortest bound for a leaving engine is 2 s."""
CHECK_SECONDS = 0.25
"""Interval at which a waiting answer checks that the mirror is still fresh: a waiting gateway
learns of a stale mirror this much later at most, which `evacuation_bounds` counts."""
RELAY_RETRY_SECONDS = 1.0
"""How long no call is relayed after one that failed: while the store answers nobody, each call of
each gateway would also become one of each replica."""
REQUIRED_KINDS = (names.CONFIGURATIONS, names.ENGINES)
"""Kinds that every mirror follows; it answers for none of them while one of them is stale."""


class FollowTimes(NamedTuple):
    """How an additional kind is followed.

    Attributes
    ----------
    wait_seconds
        How long a call waits for changes.
    fresh_seconds
        Age above which the mirror does not answer for the kind.
    """

    wait_seconds: float
    fresh_seconds: float


MIRROR_TIMES = FollowTimes(wait_seconds=2.4, fresh_seconds=2.8)
"""How a mirror follows evacuations. Each wait is a priced call: waits of 0.8 s, as for the engines,
would make 70 calls of a mirror in 56 s, 2.4 s make 23. A mirror is fresh for its wait, a slow
answer of the store (0.2 s, 50 times the usual) and a margin of the same length."""


class MirroringReader:
    """Reads the store and records the results in mirrors."""

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
    """The mirrors of one replica, active while enough gateways follow it.

    Parameters
    ----------
    expected_followers
        Returns how many gateways are likely to follow this replica.
    extra_kinds
        Kinds to follow besides the required ones.
    """

    def __init__(
        self,
        store: StoreReader,
        expected_followers: Callable[[], float],
        extra_kinds: Mapping[str, FollowTimes] | None = None,
    ) -> None:
        self.is_on = False
        self.answers = 0
        self._extra_kinds = dict(extra_kinds or {})
        self.kinds = {kind: MirroredKind() for kind in (*REQUIRED_KINDS, *self._extra_kinds)}
        self._store = store
        self._expected_followers = expected_followers
        self._health = StoreHealth()
        reader = MirroringReader(store, self.kinds)
        self._followed = {kind: self._watch(reader, kind) for kind in self.kinds}
        self._followed[names.ENGINES].rest = lambda: ENGINES_REST_SECONDS
        self._waiting: set[Event] = set()
        self._watches = Spawner()
        self._relays_from = 0.0

    def _watch(self, reader: MirroringReader, kind: str) -> Watch:
        async def replace(_found: tuple[StoreObject, ...]) -> None:
            await self._wake()

        async def change(_found: StoreChange) -> None:
            await self._wake()

        times = self._extra_kinds.get(kind)
        wait = times.wait_seconds if times is not None else WAIT_SECONDS
        return Watch(reader, self._health, kind, replace, change, None, wait)

    @property
    def age_seconds(self) -> float:
        """Time since the last answer of the store, for the most outdated of the required kinds."""
        return clock.monotonic() - min(
            self._followed[kind].last_answer_at for kind in REQUIRED_KINDS
        )

    def is_fresh(self) -> bool:
        """Return whether the mirror may answer: every required kind was read recently.

        The kinds are checked separately, since a single call may hang that the store has forgotten.
        """
        is_known = all(self.kinds[kind].at for kind in REQUIRED_KINDS)
        return self.is_on and is_known and self.age_seconds < FRESH_SECONDS

    def _may_answer(self, kind: str) -> bool:
        """Return whether the mirror may answer for a kind; an additional kind is checked alone."""
        times = self._extra_kinds.get(kind)
        if times is None:
            return kind in self.kinds and self.is_fresh()
        age = clock.monotonic() - self._followed[kind].last_answer_at
        return self.is_on and bool(self.kinds[kind].at) and age < times.fresh_seconds

    async def run(self) -> None:
        """Follow the store while enough gateways follow this replica, until cancelled."""
        answered_before: set[str] = set()
        while True:
            is_wanted = self._expected_followers() >= MIN_FOLLOWERS
            if is_wanted != self.is_on:
                await self._switch(is_wanted)
            answered = {kind for kind in self.kinds if self._may_answer(kind)}
            if answered != answered_before:
                logs.decision(
                    "mirror",
                    fresh=self.is_fresh(),
                    on=self.is_on,
                    age=self.age_seconds,
                    told=",".join(sorted(answered)),
                )
                await self._wake()
            answered_before = answered
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
            return await self._relay(message)
        until = clock.monotonic() + message.wait_milliseconds / 1000.0
        event: Event = curio.Event()
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

    async def _relay(self, message: ReadMirror) -> MirrorPage:
        """Call the store on behalf of a gateway that the store does not answer."""
        if clock.monotonic() < self._relays_from:
            return MirrorPage(status=MirrorStatus.UNAVAILABLE)
        wait = message.wait_milliseconds / 1000.0
        try:
            if not message.at:
                return listing_page(await self._store.list_all(message.kind))
            return changes_page(await self._store.watch(message.kind, message.at, wait))
        except HistoryGoneError:
            return MirrorPage(status=MirrorStatus.HISTORY_GONE)
        except StoreCallError as error:
            self._relays_from = clock.monotonic() + RELAY_RETRY_SECONDS
            logs.decision("pass_on_failed", kind=message.kind, reason=str(error))
            return MirrorPage(status=MirrorStatus.UNAVAILABLE)

    def _page(self, message: ReadMirror) -> MirrorPage:
        if not self.is_on:
            return MirrorPage(status=MirrorStatus.NOT_MIRRORED)
        if not self._may_answer(message.kind):
            return MirrorPage(status=MirrorStatus.UNAVAILABLE)
        kind = self.kinds[message.kind]
        page = kind.since(message.at) if message.at else kind.listing()
        set_age(page, clock.monotonic() - self._followed[message.kind].last_answer_at)
        return page
