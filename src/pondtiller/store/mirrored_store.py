"""The store as a gateway reads it: through a replica's mirror, or itself where none can answer.

Where the store does not answer this machine, replicas pass calls on (`relayed_store.py`).

Owns, in memory: the revision returned of each kind, which an older answer never replaces, and as of
when it was known; which mirrors are left out for a while; who answered last. Relies on the links to
replicas, on a client of the store, and on `news_times` for how long mirrors may be asked. It keeps
no objects: who watches does.
"""

import math
from collections.abc import Callable, Mapping
from typing import NamedTuple, TypeVar

import curio

from pondtiller.hashing import score
from pondtiller.links.link import Link, LinkLostError
from pondtiller.peers.replicas import ReplicaDirectory
from pondtiller.platform import names
from pondtiller.platform.mirror import (
    MirrorStatus,
    age_seconds,
    read_changes,
    read_listing,
    set_age,
)
from pondtiller.platform.object_client import (
    WATCH_MARGIN_SECONDS,
    StoreCallError,
    StoreChanges,
    StoreListing,
    age_of_answer,
)
from pondtiller.process import clock, logs
from pondtiller.routes.topology import Topology
from pondtiller.store.news_times import STORE_SECONDS, mirrored_seconds
from pondtiller.store.relayed_store import RelayedStore, StoreClient
from pondtiller.wire.steplog import MirrorPage, ReadMirror

ANSWER_SECONDS = 0.6
"""How long after its wait a mirror may be silent before another one is asked."""
MAX_WAIT_SECONDS = 1.5
"""A mirror that is cut off from this gateway is noticed when its wait is over, and an engine's
leaving must be known within 2 s at the least."""
REFUSED_SECONDS = 2.0
"""How long a mirror is not asked again that could not answer."""
FIRST_NOT_MIRRORED_SECONDS = 1.0
"""How long no mirror is asked at first, in seconds, after one answered that it does not mirror.
With 10 s from the start on, 60 gateways made some 440 calls to the store before any traffic."""
NOT_MIRRORED_SECONDS = 10.0
"""How long no mirror is asked after one answered that too few gateways follow it: twice as long
each time, since replicas have no followers yet in the second in which a whole system starts."""
TOLD_SECONDS = 0.6
"""How long after an answer only mirrors are asked for changes: the others of the group may be
able to answer, and after a start of all machines they are within this time."""
RETRY_SECONDS = 0.1
"""Between two looks for a mirror within `TOLD_SECONDS`. Chosen, not measured: a look costs no call
where no mirror is usable; `evacuation_bounds` counts it once."""
MAX_SILENT_MIRRORS = 2
"""Mirrors that may be silent before the store itself is asked. One that says that it is behind
costs no time, and the next one is asked."""
MIN_WAIT_SECONDS = 0.25
"""Below this a mirror is not asked to wait: such calls would follow each other all the time."""
MIN_ASK_SECONDS = 0.1
"""Below this no mirror is asked at all: one in another region answers after 40 ms."""
MAX_NEWS_SECONDS = MAX_WAIT_SECONDS + MAX_SILENT_MIRRORS * ANSWER_SECONDS + STORE_SECONDS
"""From a change of the store until a gateway knows it, where mirrors that were up to date fall
silent: the first through the whole wait, the next is asked for what it has now."""

LEADER_KINDS = frozenset({names.ENGINES})
"""What a leader asks the store itself for: it places samples by the engines' loads. All else it
hears of as other gateways do, within the same sum of waits."""

Found = TypeVar("Found", StoreListing, StoreChanges)


class Mirror(NamedTuple):
    """A replica that may mirror the store, and the link to it."""

    name: str
    zone: str
    link: Link


class MirroredStore:
    """Reads kinds that replicas mirror.

    Parameters
    ----------
    asks_store
        Returns whether this gateway leads: it then asks the store itself for `LEADER_KINDS`.
    places
        Zones with their regions.
    bounds
        Within how many seconds a change must be known, by kind.

    Attributes
    ----------
    reader
        Who gave the last answer, by kind: a replica's name, or `store`.
    follows_mirrors
        Whether a mirror has answered this gateway since one said that it does not mirror.
    relayed
        The store itself, through replicas where it does not answer this machine.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        store: StoreClient,
        replicas: ReplicaDirectory,
        asks_store: Callable[[], bool],
        places: Topology | None = None,
        bounds: Mapping[str, float] | None = None,
    ) -> None:
        self._places = places or Topology()
        self.reader: dict[str, str] = {}
        self.follows_mirrors = False
        self._name = name
        self._zone = zone
        self._store = store
        self._replicas = replicas
        self._asks_store = asks_store
        self._refused_until: dict[str, float] = {}
        self._not_before = 0.0
        self._not_mirrored_seconds = FIRST_NOT_MIRRORED_SECONDS
        self._known: dict[str, int] = {}
        self._told_at: dict[str, float] = {}
        self._bounds = dict(bounds or {})
        self._known_at: dict[str, float] = {}
        self.relayed = RelayedStore(store, self._ask_members, self._known, self._note_reader)

    async def list_all(self, kind: str) -> StoreListing:
        """Return all objects of a kind, never older than what was returned before."""
        page = await self._ask_mirrors(ReadMirror(kind=kind), 0.0)
        if page is not None and page.at >= self._known.get(kind, 0):
            return self._told(kind, read_listing(page))
        return self._told(kind, await self.relayed.list_all(kind))

    async def watch(self, kind: str, at: int, wait_seconds: float) -> StoreChanges:
        """Return the changes after a revision; raises as the store's own client does."""
        message = ReadMirror(kind=kind, at=at)
        wait = min(wait_seconds, MAX_WAIT_SECONDS)
        page = await self._ask_mirrors(message, wait)
        while page is None and self._may_wait(kind):
            await curio.sleep(RETRY_SECONDS)
            page = await self._ask_mirrors(message, wait)
        if page is not None:
            return self._told(kind, read_changes(page))
        if self._may_ask_mirrors(kind) and self._knows_mirrors():
            # The mirrors may answer again soon; a long call to the store may hang for its wait.
            wait_seconds = wait
        try:
            found = await self._ask_store(kind, at, wait_seconds)
        except StoreCallError:
            page = await self._ask_without_store(message)
            if page is None:
                raise
            found = read_changes(page)
        return self._told(kind, found)

    async def _ask_without_store(self, message: ReadMirror) -> MirrorPage | None:
        """Ask mirrors for what there is: the store does not answer this gateway.

        Also those that did not mirror lately: they may by now, and nobody else tells this gateway.
        """
        self._not_before = 0.0
        return await self._ask_mirrors(message, 0.0, is_late=True)

    def _may_ask_mirrors(self, kind: str) -> bool:
        """Return whether replicas may mirror the store, as far as it is known."""
        return not self._asks_itself(kind) and clock.monotonic() >= self._not_before

    def _asks_itself(self, kind: str) -> bool:
        """Return whether this gateway leads and needs each change of a kind at once."""
        return kind in LEADER_KINDS and self._asks_store()

    def _knows_mirrors(self) -> bool:
        """Return whether there is a link to any replica, whether or not it could answer lately."""
        return any(place.link is not None for place in self._replicas.replicas.values())

    def _may_wait(self, kind: str) -> bool:
        """Return whether what is known is new enough to wait for a mirror."""
        if not self._may_ask_mirrors(kind) or self._left(kind) <= 0.0:
            return False
        return clock.monotonic() < self._told_at.get(kind, float("-inf")) + TOLD_SECONDS

    def _left(self, kind: str) -> float:
        """Return for how long mirrors may be asked until the store itself must be, in seconds."""
        known_at = self._known_at.get(kind)
        within = self._bounds.get(kind)
        if known_at is None or within is None:
            return math.inf
        return known_at + mirrored_seconds(within) - clock.monotonic()

    def _told(self, kind: str, found: Found) -> Found:
        now = clock.monotonic()
        self._told_at[kind] = now
        self._known_at[kind] = max(now - found.age_seconds, self._known_at.get(kind, -math.inf))
        self._known[kind] = max(found.at, self._known.get(kind, 0))
        return found

    async def _ask_store(self, kind: str, at: int, wait_seconds: float) -> StoreChanges:
        """Ask the store for changes; a call that gets no answer leaves time for another one."""
        wait = min(wait_seconds, self._left(kind) - WATCH_MARGIN_SECONDS)
        if wait < min(wait_seconds, MIN_WAIT_SECONDS):
            # Too late to find out that a kept connection is silent.
            return await self.relayed.changes_by_now(kind, at)
        return await self.relayed.watch(kind, at, wait)

    def _note_reader(self, kind: str, reader: str) -> None:
        before = self.reader.get(kind)
        if before != reader:
            self.reader[kind] = reader
            logs.decision("store_reader", kind=kind, reader=reader, before=before or "")

    async def _ask_mirrors(
        self, message: ReadMirror, wait: float, is_late: bool = False
    ) -> MirrorPage | None:
        """Return the answer of the first mirror that can give one in time; None where none can.

        Parameters
        ----------
        wait
            How long a mirror may hold its answer back.
        is_late
            Whether the store was asked in vain, so that no time is left to be kept for it.
        """
        if not self._may_ask_mirrors(message.kind):
            return None
        silent = 0
        for mirror in self._mirrors():
            left = math.inf if is_late else self._left(message.kind)
            needed = ANSWER_SECONDS + MIN_WAIT_SECONDS if wait else MIN_ASK_SECONDS
            if left < needed:
                return None
            page = await self._ask(mirror, message, min(wait, left - ANSWER_SECONDS), left)
            if page is None or page.status == MirrorStatus.UNAVAILABLE:
                self._refused_until[mirror.name] = clock.monotonic() + REFUSED_SECONDS
            if page is None:
                silent += 1
                if silent == MAX_SILENT_MIRRORS:
                    return None
                # It was silent, maybe through the whole wait: what came meanwhile is late.
                wait = 0.0
            elif page.status == MirrorStatus.UNAVAILABLE:
                continue
            elif page.status == MirrorStatus.NOT_MIRRORED:
                self._leave_mirrors()
                return None
            else:
                self._not_mirrored_seconds = FIRST_NOT_MIRRORED_SECONDS
                self.follows_mirrors = True
                self._note_reader(message.kind, mirror.name)
                return page
        return None

    async def _ask_members(self, message: ReadMirror) -> MirrorPage | None:
        """Return what a member of the group hears from the store; None where none can in time.

        A member that the store refuses says so at once, and the next one is asked.
        """
        wait = message.wait_milliseconds / 1000.0
        until = clock.monotonic() + wait + MAX_SILENT_MIRRORS * ANSWER_SECONDS
        in_group = {member.name for member in self._replicas.group.members}
        members = [each for each in self._mirrors() if each.name in in_group]
        for member in members:
            if clock.monotonic() >= until:
                return None
            page = await self._ask(member, message, wait)
            if page is not None and page.status != MirrorStatus.UNAVAILABLE:
                self._note_reader(message.kind, member.name)
                return page
            self._refused_until[member.name] = clock.monotonic() + REFUSED_SECONDS
            # It may have been silent through the whole wait: what came meanwhile is late.
            wait = 0.0
        return None

    def _leave_mirrors(self) -> None:
        """Ask no mirror for a while, longer each time until one answers.

        The watches of both kinds get that answer at about the same time, which counts once.
        """
        self.follows_mirrors = False
        now = clock.monotonic()
        if now < self._not_before:
            return
        self._not_before = now + self._not_mirrored_seconds
        self._not_mirrored_seconds = min(2 * self._not_mirrored_seconds, NOT_MIRRORED_SECONDS)

    def _mirrors(self) -> list[Mirror]:
        """Return the replicas that may answer: own zone, own region, then others."""
        now = clock.monotonic()
        found = [
            Mirror(place.view.replica.name, place.view.replica.zone, place.link)
            for place in self._replicas.replicas.values()
            if place.link is not None and place.view is not None
        ]
        usable = [each for each in found if now >= self._refused_until.get(each.name, 0.0)]
        return sorted(usable, key=self._mirror_order)

    def _mirror_order(self, mirror: Mirror) -> tuple[int, float]:
        """Return the distance, and a share of the mirrors that is this gateway's own."""
        distance = self._places.distance(self._zone, mirror.zone)
        return distance, -score(self._name, mirror.name)

    async def _ask(
        self, mirror: Mirror, message: ReadMirror, wait: float, left: float = math.inf
    ) -> MirrorPage | None:
        """Return a mirror's answer, with the age of what it tells; None where it is silent.

        Parameters
        ----------
        wait
            How long the mirror may hold its answer back; not at all where it is below 0.
        left
            Longest time for all of it, in seconds.
        """
        wait = max(0.0, wait)
        asked = ReadMirror(message.kind, message.at, int(wait * 1000), message.passes_on)
        asked_at = clock.monotonic()
        try:
            page = await mirror.link.call(asked, min(wait + ANSWER_SECONDS, left))
        except LinkLostError:
            return None
        if not isinstance(page, MirrorPage):
            return None
        unread = age_of_answer(asked_at, wait, clock.monotonic())
        set_age(page, age_seconds(page) + unread)
        return page
