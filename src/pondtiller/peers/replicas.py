"""Links to the replicas, and the leader that they name.

Holds the links and the last view of each replica; they are lost with the process. Whether to
campaign is decided in `gateway/leader/candidacy.py`.
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
"""First pause between two connection attempts; see `RETRY_SECONDS` for why it is short."""
RETRY_SECONDS = 0.4
"""Longest pause between two connection attempts; pauses double from the first up to this. After a
power loss a gateway may be up some tenths of a second before the replicas, and no leader can be
elected until it retries; a refused attempt costs one packet each way."""
LASTING_SECONDS = 1.0
"""How long a link must have lasted for the pause to be reset: a replica that closes each link at
once, as with a full disk, is not retried at the fast rate."""
SILENT_SECONDS = 2.5
"""Time without a byte after which a link is given up: two views (`VIEW_SECONDS`) may be lost or
late. The loss of a leader is not noticed later because of this, since a view is ignored after
`STALE_VIEW_SECONDS`."""
SILENT_LOOKS = 4
"""Consecutive checks without data, within `SILENT_SECONDS`, after which a link is given up."""
STALE_VIEW_SECONDS = 1.2
"""Age at which a replica's view, sent every second (`VIEW_SECONDS`), is ignored. When a zone with
the leader and a replica was lost, gateways outside otherwise campaigned only when their links to
that replica were given up, after 2.5 s, although the lease had ended after 1.2 s."""
DISCONNECTED_SECONDS = 5.0
"""Time without a message of any member after which all known replicas are contacted, since the
group may have moved. Longer than a restart, so that a short power loss opens no further links."""
FORGET_SECONDS = 20.0
"""Time without a link after which a replica's address is forgotten; a leader's messages restore it.
Bounds the attempts to reach machines that are gone for good."""


@dataclass
class ReplicaLink:
    """One replica's address, with its link if there is one.

    Attributes
    ----------
    last_message_at
        When its last data arrived.
    retry_seconds
        Pause before the next connection attempt.
    """

    address: Address
    number: int
    link: Link | None = None
    view: ReplicaView | None = None
    last_message_at: float = 0.0
    known_since: float = field(default_factory=clock.monotonic)
    retry_seconds: float = field(default_factory=lambda: FIRST_RETRY_SECONDS)

    def note_data(self) -> None:
        """Record that bytes arrived: a long answer is not silence."""
        self.last_message_at = clock.monotonic()

    async def pause(self) -> None:
        """Wait before the next connection attempt, longer each time."""
        seconds = self.retry_seconds
        self.retry_seconds = min(2 * seconds, RETRY_SECONDS)
        await curio.sleep(seconds)


@dataclass(frozen=True, slots=True)
class KnownLeader:
    """The leader as replicas name it."""

    name: str
    address: Address
    epoch: int


class ReplicaDirectory:
    """Keeps a link to each replica of the group, or to all known replicas.

    All are needed while no group is known, while none of its members responds, and by the leader,
    which looks for spares among them.

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
        self.replicas: dict[Address, ReplicaLink] = {}
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
        """Add a replica's address; a link to it is kept open from now on."""
        if address in self.replicas:
            return
        replica = ReplicaLink(address, 0)
        self.replicas[address] = replica
        await self._group.spawn(self._keep_link, replica)

    def is_needed(self, replica: ReplicaLink) -> bool:
        """Return whether a link to a replica must be kept."""
        if self.keeps_all or not self.group.generation:
            return True
        if clock.monotonic() > self.last_message_at() + DISCONNECTED_SECONDS:
            return True
        return replica.address in self._member_addresses()

    async def set_keeps_all(self, keeps_all: bool) -> None:
        """Set whether links to replicas outside of the group are kept, as a leader needs."""
        self.keeps_all = keeps_all
        await self._drop_unneeded()

    async def _drop_unneeded(self) -> None:
        for replica in list(self.replicas.values()):
            if replica.link is not None and not self.is_needed(replica):
                await replica.link.drop()

    async def take_no_runs(self) -> None:
        """Announce that this gateway stops: a leader must find others to run samples."""
        self.subscription = Subscribe(daemon=self.subscription.daemon)
        for replica in self.replicas.values():
            if replica.link is not None:
                await replica.link.send(self.subscription)

    async def close(self) -> None:
        """Close all links."""
        await self._group.cancel_all()

    def leader(self) -> KnownLeader | None:
        """Return the leader of the highest epoch that a replica follows.

        A replica without a message for longer than the interval of its views may be disconnected,
        and the leader with it, so its last view is ignored.
        """
        best: KnownLeader | None = None
        since = clock.monotonic() - STALE_VIEW_SECONDS
        for view in self._views_since(since):
            if view.leader and (best is None or view.epoch > best.epoch):
                address = Address(view.leader_host, view.leader_port)
                best = KnownLeader(view.leader, address, view.epoch)
        return best

    def views(self) -> list[ReplicaView]:
        """Return the last views of the connected replicas."""
        return self._views_since(float("-inf"))

    def disagree(self) -> bool:
        """Return whether some replicas name a leader and others do not."""
        return len({bool(view.leader) for view in self.views()}) > 1

    def _views_since(self, since: float) -> list[ReplicaView]:
        return [
            replica.view
            for replica in self.replicas.values()
            if replica.link is not None
            and replica.view is not None
            and replica.last_message_at >= since
        ]

    def link(self, number: int) -> Link | None:
        """Return an open link by its number."""
        for replica in self.replicas.values():
            if replica.number == number:
                return replica.link
        return None

    async def send_to_members(self, message: Message) -> None:
        """Send a message to all connected members of the group."""
        names = {member.name for member in self.group.members}
        for replica in list(self.replicas.values()):
            view = replica.view
            if replica.link is not None and view is not None and view.replica.name in names:
                await replica.link.send(message)

    def last_message_at(self) -> float:
        """Return when the last message of any replica arrived."""
        return max((replica.last_message_at for replica in self.replicas.values()), default=0.0)

    def _member_addresses(self) -> list[Address]:
        return [Address(each.host, each.port) for each in self.group.members]

    def member_links(self) -> list[Link]:
        """Return the open links to members of the group."""
        members = self._member_addresses()
        found = (replica.link for at, replica in self.replicas.items() if at in members)
        return [link for link in found if link is not None]

    def has_quorum_contact(self) -> bool:
        """Return whether a majority of the group's members sent a message recently."""
        since = clock.monotonic() - STALE_VIEW_SECONDS
        recent = {
            at
            for at, replica in self.replicas.items()
            if replica.link and replica.last_message_at >= since
        }
        members = self._member_addresses()
        return 2 * sum(each in recent for each in members) > len(members)

    async def _keep_link(self, replica: ReplicaLink) -> None:
        while True:
            if not self.is_needed(replica):
                replica.known_since = clock.monotonic()
                await curio.sleep(RETRY_SECONDS)
                continue
            last_seen = max(replica.last_message_at, replica.known_since)
            if replica.link is None and clock.monotonic() > last_seen + FORGET_SECONDS:
                self.replicas.pop(replica.address, None)
                return
            try:
                link = await connect(replica.address)
            except LinkLostError:
                await replica.pause()
                continue
            began = clock.monotonic()
            await self._use(replica, link)
            if clock.monotonic() > began + LASTING_SECONDS:
                replica.retry_seconds = FIRST_RETRY_SECONDS
            await replica.pause()

    async def _use(self, replica: ReplicaLink, link: Link) -> None:
        self._last_number += 1
        replica.number = self._last_number
        replica.link = link
        replica.view = None
        replica.last_message_at = clock.monotonic()
        link.on_data = replica.note_data
        watch = await curio.spawn(self._drop_silent, replica, link, daemon=True)

        async def take(_link: Link, _call: int, message: Message) -> None:
            await self._take(replica, message)

        try:
            await link.send(self.subscription)
            await link.run(take)
        finally:
            await watch.cancel(blocking=False)
            had_view = replica.view is not None
            replica.link, replica.view = None, None
            if had_view:
                logs.decision("replica_lost", host=replica.address.host, port=replica.address.port)
            await self._lost(replica.number)
            await self._changed()

    async def _drop_silent(self, replica: ReplicaLink, link: Link) -> None:
        """Give up a link on which nothing arrives.

        Checks are counted instead of seconds: the first check after a pause of this process runs
        before the data that arrived meanwhile is read.
        """
        silent_checks = 0
        while silent_checks < SILENT_LOOKS:
            last_message_at = replica.last_message_at
            await curio.sleep(SILENT_SECONDS / SILENT_LOOKS)
            silent_checks = 0 if replica.last_message_at > last_message_at else silent_checks + 1
        await link.drop()

    async def _take(self, replica: ReplicaLink, message: Message) -> None:
        if not isinstance(message, ReplicaView):
            return
        is_first = replica.view is None
        if replica.view is message:
            # Unchanged view; see `FrameReader`.
            return
        replica.view = message
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
            await self._connected(replica.number, message.replica)
        await self._changed()
