"""Serves a replica over links: messages that arrive together are synced to disk once.

Holds the links of subscribed gateways, and the messages that wait for the disk, in memory. Uses
`steplog.replica` for each answer and `LogFile` for durability; answers nothing while writes fail.
Elects no leader: it reports whom its replica follows.
"""

import uuid
from collections.abc import Mapping
from dataclasses import dataclass

import curio
from betterproto import Message

from pondtiller.links.frames import encode_message
from pondtiller.links.link import Link
from pondtiller.process import clock, logs
from pondtiller.process.spawner import Spawner
from pondtiller.replica.file import LogFile
from pondtiller.steplog.kept_texts import KeptTexts
from pondtiller.steplog.replica import Replica, Reply, ViewState
from pondtiller.store.mirror import FollowTimes, StoreMirror
from pondtiller.store.store_watch import StoreReader
from pondtiller.wire.steplog import (
    Append,
    DaemonList,
    DiskRecord,
    Fetch,
    Prepare,
    ProgressList,
    ReadDaemons,
    ReadLease,
    ReadMirror,
    ReadProgress,
    ReplicaView,
    Resign,
    SaveProgress,
    Subscribe,
)

VIEW_SECONDS = 1.0
"""Interval of the reports of whom this replica follows, if nothing changes; a change is reported at
once. A gateway ignores a report older than 1.2 s (`peers.replicas.STALE_VIEW_SECONDS`)."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """A message that waits for the next sync."""

    link: Link
    call: int
    message: Message


class ReplicaServer:
    """Receives messages, makes them durable, answers."""

    def __init__(
        self,
        replica: Replica,
        file: LogFile,
        texts: KeptTexts,
        store: StoreReader,
        extra_kinds: Mapping[str, FollowTimes] | None = None,
    ) -> None:
        self.mirror = StoreMirror(store, self._expected_followers, extra_kinds)
        self._replica = replica
        self._texts = texts
        self._file = file
        self._arrivals: list[Arrival] = []
        self._arrived = curio.Event()
        self.subscribers: dict[Link, Subscribe] = {}
        # Random, so that no other replica and no earlier run of this one has the same.
        self._subscribers_revision = uuid.uuid4().int >> 80
        self._sent_state: ViewState | None = None
        self._view = encode_message(ReplicaView())
        self._logged_view = ("", 0)
        self._group_size = 0
        self._unsynced: list[DiskRecord] = []
        self._is_refused = False
        self.refused_writes = 0
        self.syncs = 0
        self.messages = 0

    def _expected_followers(self) -> float:
        """Return how many gateways follow this replica's mirror if each follows one member's."""
        return len(self.subscribers) / self._group_size if self._group_size else 0.0

    async def accept(self, link: Link) -> None:
        """Serve one link until it ends."""
        calls = Spawner()

        async def take(_link: Link, call: int, message: Message) -> None:
            if isinstance(message, ReadMirror):
                await calls.spawn(self._answer_mirror, link, call, message)
            else:
                await self._take(link, call, message)

        try:
            await link.run(take)
        finally:
            await calls.__aexit__()
            left = self.subscribers.pop(link, None)
            if left is not None:
                self._subscribers_revision += 1
                logs.decision("daemon_left", daemon=left.daemon)

    async def run(self) -> None:
        """Commit arriving messages until cancelled."""
        next_view = clock.monotonic()
        while True:
            due = min(next_view, self._lease_end(next_view))
            await curio.ignore_after(max(0.0, due - clock.monotonic()), self._arrived.wait)
            self._arrived.clear()
            await self._commit()
            if clock.monotonic() >= next_view:
                next_view = clock.monotonic() + VIEW_SECONDS
                await self._send_views(only_changes=False)
            else:
                await self._send_views(only_changes=True)

    def _lease_end(self, otherwise: float) -> float:
        """Return when the lease ends, so that subscribers are informed at once."""
        until = self._replica.lease.until
        return until + 0.001 if until > clock.monotonic() else otherwise

    async def _answer_mirror(self, link: Link, call: int, message: ReadMirror) -> None:
        await link.reply(call, await self.mirror.answer(message))

    async def _take(self, link: Link, call: int, message: Message) -> None:
        self.messages += 1
        self._arrivals.append(Arrival(link, call, message))
        await self._arrived.set()

    async def _commit(self) -> None:
        arrivals, self._arrivals = self._arrivals, []
        replies: list[tuple[Arrival, Message]] = []
        records: list[DiskRecord] = []
        for arrival in arrivals:
            reply = await self._handle(arrival)
            if reply is None:
                continue
            replies.append((arrival, reply.message))
            if reply.record is not None:
                records.append(reply.record)
        if (records or self._unsynced) and not self._sync(records):
            await _drop_links(arrivals)
            return
        for arrival, message in replies:
            await arrival.link.reply(arrival.call, message)
        if self._file.should_rewrite():
            self._rewrite()

    def _rewrite(self) -> None:
        try:
            self._file.rewrite(self._replica, self._texts)
        except OSError as error:
            logs.decision("rewrite_refused", bytes=self._file.size, reason=str(error))

    def _sync(self, records: list[DiskRecord]) -> bool:
        """Make records durable; return False if the write fails.

        Nothing may be answered then, not even messages without a record: the answer might reveal
        state that is only in memory, and a leader would count it as the answer to an earlier write.
        The records wait, and are written before any later answer is sent.
        """
        self._unsynced += records
        try:
            self._file.append(self._unsynced)
        except OSError as error:
            self.refused_writes += 1
            if not self._is_refused:
                self._is_refused = True
                logs.decision("disk_refused", records=len(self._unsynced), reason=str(error))
            return False
        if self._is_refused:
            self._is_refused = False
            logs.decision("disk_regained", records=len(self._unsynced))
        self._unsynced = []
        self.syncs += 1
        return True

    async def _handle(self, arrival: Arrival) -> Reply | None:
        now = clock.monotonic()
        message = arrival.message
        match message:
            case Prepare():
                reply = self._replica.prepare(message, now)
                logs.decision(
                    "promise",
                    leader=message.leader,
                    epoch=message.epoch,
                    promised=self._replica.promised,
                    granted=reply.record is not None,
                )
                return reply
            case Append():
                return self._replica.append(message, now)
            case Fetch():
                return self._replica.fetch(message)
            case Resign():
                self._replica.resign(message)
            case Subscribe():
                self.subscribers[arrival.link] = message
                self._subscribers_revision += 1
                await arrival.link.send(self._replica.view(now))
            case SaveProgress():
                self._save_progress(message)
            case ReadProgress():
                found = self._texts.find(message.ids)
                await arrival.link.reply(arrival.call, ProgressList(samples=found))
            case ReadLease():
                await arrival.link.reply(arrival.call, self._replica.lease_age(now))
            case ReadDaemons():
                await arrival.link.reply(arrival.call, self._daemons(message.revision))
            case _:
                await arrival.link.drop()
        return None

    def _daemons(self, known_revision: int) -> DaemonList:
        """Return the subscribers; an empty list if the caller knows their revision."""
        found = DaemonList(revision=self._subscribers_revision)
        if known_revision == self._subscribers_revision:
            return found
        for each in self.subscribers.values():
            found.names.append(each.daemon)
            found.zones.append(each.zone)
            found.hosts.append(each.host)
            found.ports.append(each.port)
            found.cores.append(each.cores)
        return found

    def _save_progress(self, message: SaveProgress) -> None:
        """Store unfinished texts; if the write fails, the disk keeps the earlier ones only.

        From a leader with a successor, only texts longer than the stored ones are accepted.
        """
        samples = message.samples
        if message.epoch < self._replica.promised:
            samples = self._texts.longer(samples)
        if not samples:
            return
        self._texts.save(samples)
        try:
            self._file.write([DiskRecord(texts=samples)])
        except OSError as error:
            logs.decision("texts_refused", texts=len(samples), reason=str(error))

    async def _send_views(self, only_changes: bool) -> None:
        now = clock.monotonic()
        state = self._replica.view_state(now)
        if only_changes and state == self._sent_state:
            return
        if state != self._sent_state:
            self._build_view(now, state)
        for link in list(self.subscribers):
            await link.send(self._view)

    def _build_view(self, now: float, state: ViewState) -> None:
        """Build and encode a view, once for all subscribers until it changes."""
        view = self._replica.view(now)
        self._sent_state, self._view = state, encode_message(view)
        self._group_size = len(view.group.members)
        about = (view.leader, view.group.generation)
        if about != self._logged_view:
            self._logged_view = about
            logs.decision(
                "replica_view",
                leader=view.leader,
                epoch=view.epoch,
                generation=view.group.generation,
            )


async def _drop_links(arrivals: list[Arrival]) -> None:
    """Close the links of unanswered messages, whose senders must start again."""
    for link in {arrival.link for arrival in arrivals}:
        await link.drop()
