"""The replicas as this gateway sees them: a link to each, and whom they take for the leader.

Owns the links and what was last heard on each; they end with the process. Whether to stand for
leader is decided in `gateway/leader/standing.py`.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import curio
from betterproto import Message

from pondtiller.address import Address
from pondtiller.links.link import Link, LinkLostError, connect
from pondtiller.process import clock, logs
from pondtiller.process.spawner import Spawner
from pondtiller.wire.steplog import Group, GroupMember, ReplicaView, Subscribe

FIRST_RETRY_SECONDS = 0.05
"""First pause between two tries to connect; why it is short stands at `RETRY_SECONDS`."""
RETRY_SECONDS = 0.4
"""Pause between two tries to connect: twice as long each time, from the first to this. After a loss
of power a gateway may be there some tenths of a second before the replicas, and no leader can be
elected until it tries again; a try that is refused costs a packet each way."""
LASTING_SECONDS = 1.0
"""How long a link must have lasted for the next pause to be the first: a replica that ends each
link at once, as with a full disk, is not tried at this pace."""
SILENT_SECONDS = 2.5
"""After this without a byte a link is given up. Chosen, not measured: two views (`VIEW_SECONDS`)
may be lost or late; a leader is not missed later for it, as a view counts no more after
`STALE_VIEW_SECONDS`."""
SILENT_LOOKS = 4
"""Looks in a row at which nothing had come, in `SILENT_SECONDS`, after which a link is given up."""
STALE_VIEW_SECONDS = 1.2
"""A replica tells its view each second (`VIEW_SECONDS`). Answers the loss of a zone with the leader
and a replica in it: gateways outside stood for leader only when their links to that replica were
given up, 2.5 s after the cut, though the lease had ended after 1.2 s."""
LONELY_SECONDS = 5.0
"""After this without a word of any member all known replicas are linked to: the group may have
moved. Chosen, not measured: longer than a restart, so that a short loss of power opens no further
links."""
FORGET_SECONDS = 20.0
"""After this without a link a replica's address is forgotten; a leader's news bring it again.
Chosen, not measured: it bounds the tries to machines that are gone for good."""


@dataclass
class ReplicaLink:
    """One replica's place, with its link while there is one.

    Attributes
    ----------
    last_message_at
        When it last said anything.
    retry_seconds
        Pause before the next try to connect.
    """

    address: Address
    number: int
    link: Link | None = None
    view: ReplicaView | None = None
    last_message_at: float = 0.0
    known_since: float = field(default_factory=clock.monotonic)
    retry_seconds: float = field(default_factory=lambda: FIRST_RETRY_SECONDS)

    def note_heard(self) -> None:
        """Take that bytes arrived: a long answer is no silence."""
        self.last_message_at = clock.monotonic()

    async def pause(self) -> None:
        """Wait before the next try to connect, longer each time."""
        seconds = self.retry_seconds
        self.retry_seconds = min(2 * seconds, RETRY_SECONDS)
        await curio.sleep(seconds)


@dataclass(frozen=True, slots=True)
class LeaderPlace:
    """The leader as replicas name it."""

    name: str
    address: Address
    epoch: int


class ReplicaDirectory:
    """Keeps a link to each replica of the group, or to all that are known.

    All are needed while no group is known, while none of its members is heard, and by the
    leader, who looks for spares among them.

    Parameters
    ----------
    connected, lost
        Called for each link with the replica's view, and for its end; by number of the link.
    """

    def __init__(
        self,
        gateway: str,
        connected: Callable[[int, GroupMember], Awaitable[None]],
        lost: Callable[[int], Awaitable[None]],
        changed: Callable[[], Awaitable[None]],
    ) -> None:
        self.places: dict[Address, ReplicaLink] = {}
        self.highest_epoch = 0
        self.group = Group()
        self.keeps_all = False
        self.subscription = Subscribe(daemon=gateway)
        self._connected = connected
        self._lost = lost
        self._changed = changed
        self._last_number = 0
        self._group = Spawner()

    async def add(self, address: Address) -> None:
        """Take a replica's address; a link is kept open from now on."""
        if address in self.places:
            return
        place = ReplicaLink(address, 0)
        self.places[address] = place
        await self._group.spawn(self._keep_link, place)

    def is_needed(self, place: ReplicaLink) -> bool:
        """Return whether to keep a link to a replica."""
        if self.keeps_all or not self.group.generation:
            return True
        if clock.monotonic() > self.last_event_at() + LONELY_SECONDS:
            return True
        return place.address in self._member_addresses()

    async def set_keeps_all(self, keeps_all: bool) -> None:
        """Set whether links to replicas outside of the group are kept, as a leader needs."""
        self.keeps_all = keeps_all
        await self._drop_unneeded()

    async def _drop_unneeded(self) -> None:
        for place in list(self.places.values()):
            if place.link is not None and not self.is_needed(place):
                await place.link.drop()

    async def take_no_runs(self) -> None:
        """Say that this gateway stops: a leader is to find others to run samples."""
        self.subscription = Subscribe(daemon=self.subscription.daemon)
        for place in self.places.values():
            if place.link is not None:
                await place.link.send(self.subscription)

    async def close(self) -> None:
        """Close all links."""
        await self._group.cancel_all()

    def leader(self) -> LeaderPlace | None:
        """Return the leader of the highest epoch that a replica follows.

        A replica that was not heard for longer than its views are apart may be cut off, and the
        leader with it: what it said last names nobody any more.
        """
        best: LeaderPlace | None = None
        since = clock.monotonic() - STALE_VIEW_SECONDS
        for view in self._views_since(since):
            if view.leader and (best is None or view.epoch > best.epoch):
                address = Address(view.leader_host, view.leader_port)
                best = LeaderPlace(view.leader, address, view.epoch)
        return best

    def views(self) -> list[ReplicaView]:
        """Return what the connected replicas last said."""
        return self._views_since(float("-inf"))

    def disagree(self) -> bool:
        """Return whether some replicas last named a leader and others none."""
        return len({bool(view.leader) for view in self.views()}) > 1

    def _views_since(self, since: float) -> list[ReplicaView]:
        return [
            place.view
            for place in self.places.values()
            if place.link is not None and place.view is not None and place.last_message_at >= since
        ]

    def link(self, number: int) -> Link | None:
        """Return an open link by its number."""
        for place in self.places.values():
            if place.number == number:
                return place.link
        return None

    async def send_to_members(self, message: Message) -> None:
        """Send a message to all members of the group that are reached."""
        names = {member.name for member in self.group.members}
        for place in list(self.places.values()):
            view = place.view
            if place.link is not None and view is not None and view.replica.name in names:
                await place.link.send(message)

    def last_event_at(self) -> float:
        """Return when any replica was last heard."""
        return max((place.last_message_at for place in self.places.values()), default=0.0)

    def _member_addresses(self) -> list[Address]:
        return [Address(each.host, each.port) for each in self.group.members]

    def member_links(self) -> list[Link]:
        """Return the open links to members of the group."""
        members = self._member_addresses()
        found = (place.link for at, place in self.places.items() if at in members)
        return [link for link in found if link is not None]

    def has_quorum_contact(self) -> bool:
        """Return whether most members of the group were heard lately."""
        since = clock.monotonic() - STALE_VIEW_SECONDS
        heard = {
            at for at, place in self.places.items() if place.link and place.last_message_at >= since
        }
        members = self._member_addresses()
        return 2 * sum(each in heard for each in members) > len(members)

    async def _keep_link(self, place: ReplicaLink) -> None:
        while True:
            if not self.is_needed(place):
                place.known_since = clock.monotonic()
                await curio.sleep(RETRY_SECONDS)
                continue
            heard = max(place.last_message_at, place.known_since)
            if place.link is None and clock.monotonic() > heard + FORGET_SECONDS:
                self.places.pop(place.address, None)
                return
            try:
                link = await connect(place.address)
            except LinkLostError:
                await place.pause()
                continue
            began = clock.monotonic()
            await self._use(place, link)
            if clock.monotonic() > began + LASTING_SECONDS:
                place.retry_seconds = FIRST_RETRY_SECONDS
            await place.pause()

    async def _use(self, place: ReplicaLink, link: Link) -> None:
        self._last_number += 1
        place.number = self._last_number
        place.link = link
        place.view = None
        place.last_message_at = clock.monotonic()
        link.heard = place.note_heard
        watch = await curio.spawn(self._drop_silent, place, link, daemon=True)

        async def take(_link: Link, _call: int, message: Message) -> None:
            await self._take(place, message)

        try:
            await link.send(self.subscription)
            await link.run(take)
        finally:
            await watch.cancel(blocking=False)
            had_view = place.view is not None
            place.link, place.view = None, None
            if had_view:
                logs.decision("replica_lost", host=place.address.host, port=place.address.port)
            await self._lost(place.number)
            await self._changed()

    async def _drop_silent(self, place: ReplicaLink, link: Link) -> None:
        """Give a link up on which nothing comes.

        Looks are counted in place of seconds: the first one after a pause of this process comes
        before what has arrived meanwhile is read.
        """
        silent_looks = 0
        while silent_looks < SILENT_LOOKS:
            last_message_at = place.last_message_at
            await curio.sleep(SILENT_SECONDS / SILENT_LOOKS)
            silent_looks = 0 if place.last_message_at > last_message_at else silent_looks + 1
        await link.drop()

    async def _take(self, place: ReplicaLink, message: Message) -> None:
        if not isinstance(message, ReplicaView):
            return
        is_first = place.view is None
        if place.view is message:
            # The same view again; see `FrameReader`.
            return
        place.view = message
        self.highest_epoch = max(self.highest_epoch, message.epoch)
        if message.group.generation > self.group.generation:
            self.group = message.group
            for member in message.group.members:
                await self.add(Address(member.host, member.port))
            await self._drop_unneeded()
        if is_first:
            logs.decision(
                "replica_found",
                replica=message.replica.name,
                disk=message.replica.disk,
                epoch=message.epoch,
                leader=message.leader,
            )
            await self._connected(place.number, message.replica)
        await self._changed()
