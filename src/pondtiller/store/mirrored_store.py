"""The store as a gateway reads it: through a replica's mirror, or directly if no mirror can answer.

If the store does not answer this machine, replicas relay calls (`relayed_store.py`).

Holds in memory: the returned revision of each kind, which an older answer never replaces, and the
time as of which it was current; which mirrors are skipped for a while; who answered last. Uses the
links to replicas, a client of the store, and `change_delays` for how long mirrors may be asked.
Stores no objects, which is up to the caller.
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
from pondtiller.store.change_delays import STORE_SECONDS, mirrored_seconds
from pondtiller.store.relayed_store import RelayedStore, StoreClient
from pondtiller.wire.steplog import MirrorPage, ReadMirror

ANSWER_SECONDS = 0.6
"""How long after its wait a mirror may be silent before another one is asked."""
MAX_WAIT_SECONDS = 1.5
"""A disconnected mirror is noticed only after its wait, and a leaving engine must be known within 2
s at the least."""
REFUSED_SECONDS = 2.0
"""How long a mirror that could not answer is not asked again."""
FIRST_MIRRORS_OFF_SECONDS = 1.0
"""How long no mirror is asked after the first answer that mirroring is off. With 10 s from the
start on, 60 gateways made some 440 calls to the store before any traffic."""
MAX_MIRRORS_OFF_SECONDS = 10.0
"""Maximum time for which no mirror is asked after an answer that mirroring is off for lack of
followers. The time doubles up to this, since replicas have no followers yet in the second in which
a whole system starts."""
MIRRORS_ONLY_SECONDS = 0.6
"""How long after an answer only mirrors are asked for changes: other members of the group may be
able to answer, and after a start of all machines they are within this time."""
RETRY_SECONDS = 0.1
"""Interval of the attempts to find a mirror within `MIRRORS_ONLY_SECONDS`. An attempt without a
usable mirror costs no call; `evacuation_bounds` counts one interval."""
MAX_SILENT_MIRRORS = 2
"""Mirrors that may be silent before the store itself is asked. A mirror that reports to be behind
costs no time, and the next one is asked."""
MIN_WAIT_SECONDS = 0.25
"""Shortest wait that is requested from a mirror: shorter calls would follow each other all the
time."""
MIN_ASK_SECONDS = 0.1
"""Shortest time left in which a mirror is asked: one in another region answers after 40 ms."""
MAX_CHANGE_SECONDS = MAX_WAIT_SECONDS + MAX_SILENT_MIRRORS * ANSWER_SECONDS + STORE_SECONDS
"""From a change of the store until a gateway knows it, if mirrors that were up to date fall silent:
the first for its whole wait, the next is asked for its present state."""

LEADER_KINDS = frozenset({names.ENGINES})
"""Kinds for which a leader asks the store itself, since it places samples by the engines' loads. It
reads all other kinds as other gateways do, within the same sum of waits."""

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
    topology
        Zones with their regions.
    bounds
        Seconds within which a change must be known, by kind.

    Attributes
    ----------
    reader
        Source of the last answer, by kind: a replica's name, or `store`.
    follows_mirrors
        Whether a mirror has answered this gateway since one reported that it does not mirror.
    relayed
        Direct access to the store, relayed by replicas if it does not answer this machine.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        store: StoreClient,
        replicas: ReplicaDirectory,
        asks_store: Callable[[], bool],
        topology: Topology | None = None,
        bounds: Mapping[str, float] | None = None,
    ) -> None:
        self._topology = topology or Topology()
        self.reader: dict[str, str] = {}
        self.follows_mirrors = False
        self._name = name
        self._zone = zone
        self._store = store
        self._replicas = replicas
        self._asks_store = asks_store
        self._refused_until: dict[str, float] = {}
        self._not_before = 0.0
        self._not_mirrored_seconds = FIRST_MIRRORS_OFF_SECONDS
        self._known: dict[str, int] = {}
        self._answered_at: dict[str, float] = {}
        self._bounds = dict(bounds or {})
        self._known_at: dict[str, float] = {}
        self.relayed = RelayedStore(store, self._ask_members, self._known, self._note_reader)

    async def list_all(self, kind: str) -> StoreListing:
        """Return all objects of a kind, never older than what was returned before."""
        page = await self._ask_mirrors(ReadMirror(kind=kind), 0.0)
        if page is not None and page.at >= self._known.get(kind, 0):
            return self._record(kind, read_listing(page))
        return self._record(kind, await self.relayed.list_all(kind))

    async def watch(self, kind: str, at: int, wait_seconds: float) -> StoreChanges:
        """Return the changes after a revision; raises as the store's own client does."""
        message = ReadMirror(kind=kind, at=at)
        wait = min(wait_seconds, MAX_WAIT_SECONDS)
        page = await self._ask_mirrors(message, wait)
        while page is None and self._may_wait(kind):
            await curio.sleep(RETRY_SECONDS)
            page = await self._ask_mirrors(message, wait)
        if page is not None:
            return self._record(kind, read_changes(page))
        if self._may_ask_mirrors(kind) and self._knows_mirrors():
            # The mirrors may answer again soon; a long call to the store may hang for its whole
            # wait.
            wait_seconds = wait
        try:
            found = await self._ask_store(kind, at, wait_seconds)
        except StoreCallError:
            page = await self._ask_without_store(message)
            if page is None:
                raise
            found = read_changes(page)
        return self._record(kind, found)

    async def _ask_without_store(self, message: ReadMirror) -> MirrorPage | None:
        """Ask mirrors for their present state, since the store does not answer this gateway.

        This includes mirrors that were off recently: they may be on by now, and there is no other
        source.
        """
        self._not_before = 0.0
        return await self._ask_mirrors(message, 0.0, is_late=True)

    def _may_ask_mirrors(self, kind: str) -> bool:
        """Return whether replicas may mirror the store, as far as is known."""
        return not self._asks_directly(kind) and clock.monotonic() >= self._not_before

    def _asks_directly(self, kind: str) -> bool:
        """Return whether this gateway leads and needs every change of a kind at once."""
        return kind in LEADER_KINDS and self._asks_store()

    def _knows_mirrors(self) -> bool:
        """Return whether there is a link to any replica, even if it did not answer recently."""
        return any(place.link is not None for place in self._replicas.replicas.values())

    def _may_wait(self, kind: str) -> bool:
        """Return whether the known state is recent enough to wait for a mirror."""
        if not self._may_ask_mirrors(kind) or self._seconds_left(kind) <= 0.0:
            return False
        return clock.monotonic() < self._answered_at.get(kind, float("-inf")) + MIRRORS_ONLY_SECONDS

    def _seconds_left(self, kind: str) -> float:
        """Return for how many seconds mirrors may be asked before the store itself must be."""
        known_at = self._known_at.get(kind)
        within = self._bounds.get(kind)
        if known_at is None or within is None:
            return math.inf
        return known_at + mirrored_seconds(within) - clock.monotonic()

    def _record(self, kind: str, found: Found) -> Found:
        now = clock.monotonic()
        self._answered_at[kind] = now
        self._known_at[kind] = max(now - found.age_seconds, self._known_at.get(kind, -math.inf))
        self._known[kind] = max(found.at, self._known.get(kind, 0))
        return found

    async def _ask_store(self, kind: str, at: int, wait_seconds: float) -> StoreChanges:
        """Ask the store for changes, leaving time for another call if this one gets no answer."""
        wait = min(wait_seconds, self._seconds_left(kind) - WATCH_MARGIN_SECONDS)
        if wait < min(wait_seconds, MIN_WAIT_SECONDS):
            # Not enough time left to notice that a kept connection is silent.
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
        """Return the answer of the first mirror that can give one in time; None if there is none.

        Parameters
        ----------
        wait
            How long a mirror may delay its answer.
        is_late
            Whether the store has failed to answer, so that no time must be reserved for it.
        """
        if not self._may_ask_mirrors(message.kind):
            return None
        silent = 0
        for mirror in self._mirrors():
            left = math.inf if is_late else self._seconds_left(message.kind)
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
                # It may have been silent for its whole wait, so changes are already late.
                wait = 0.0
            elif page.status == MirrorStatus.UNAVAILABLE:
                continue
            elif page.status == MirrorStatus.NOT_MIRRORED:
                self._suspend_mirrors()
                return None
            else:
                self._not_mirrored_seconds = FIRST_MIRRORS_OFF_SECONDS
                self.follows_mirrors = True
                self._note_reader(message.kind, mirror.name)
                return page
        return None

    async def _ask_members(self, message: ReadMirror) -> MirrorPage | None:
        """Return what a member of the group reads from the store; None if none can in time.

        A member that the store rejects reports that at once, and the next one is asked.
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
            # It may have been silent for its whole wait, so changes are already late.
            wait = 0.0
        return None

    def _suspend_mirrors(self) -> None:
        """Ask no mirror for a while, longer each time until one answers.

        The watches of several kinds get that answer at about the same time, which counts once.
        """
        self.follows_mirrors = False
        now = clock.monotonic()
        if now < self._not_before:
            return
        self._not_before = now + self._not_mirrored_seconds
        self._not_mirrored_seconds = min(2 * self._not_mirrored_seconds, MAX_MIRRORS_OFF_SECONDS)

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
        """Return the distance, then a score that spreads the gateways over the mirrors."""
        distance = self._topology.distance(self._zone, mirror.zone)
        return distance, -score(self._name, mirror.name)

    async def _ask(
        self, mirror: Mirror, message: ReadMirror, wait: float, left: float = math.inf
    ) -> MirrorPage | None:
        """Return a mirror's answer with the age of its contents; None if it is silent.

        Parameters
        ----------
        wait
            How long the mirror may delay its answer; a negative value counts as 0.
        left
            Time limit of the whole call, in seconds.
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
