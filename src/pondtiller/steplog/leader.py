"""The leader's side of the step log: takeover, writes, commits and the lease. No I/O.

A driver connects to replicas, hands in what they answer, and carries out the instructions.
Connections keep their order and are answered in order; one that breaks is handed in as lost.

Takeover follows Paxos with one epoch for all keys: the candidate has a read quorum promise
its epoch, takes each key's value of the highest epoch, and writes again what a write quorum
does not provably hold. Only then it leads.
"""

from collections.abc import Callable, Collection

from pondtiller.steplog import group as groups
from pondtiller.steplog.deferred import DeferredValues
from pondtiller.steplog.entry import Entry, pack_entries, unpack_entries
from pondtiller.steplog.follower import HEARTBEAT, PART_OF_WRITES, Follower
from pondtiller.steplog.holder import HOLDER_PREFIX, holder_key, holder_of
from pondtiller.steplog.instructions import (
    Committed,
    Deposed,
    Instruction,
    Loaded,
    Phase,
    Send,
    Won,
)
from pondtiller.steplog.order_notes import ORDER_PREFIX, OrderNote, last_orders, parse_note
from pondtiller.steplog.replica import LEASE_SECONDS
from pondtiller.wire.steplog import (
    Append,
    Appended,
    Fetch,
    Fetched,
    Group,
    GroupMember,
    Prepare,
    Promise,
    Resign,
)

HEARTBEAT_SECONDS = 0.3
LEASE_MARGIN_SECONDS = 0.15
TAKEOVER_SECONDS = 3.0
CHUNK_KEYS = 64
EPOCH_ROUND = 1 << 32
LEASE_ENDED = "the lease ended"
"""Why a leader is deposed that its replicas do not hear, while other daemons may."""


def next_epoch(highest: int, identity: int) -> int:
    """Return an epoch above `highest` that only the holder of `identity` (32 bits) uses."""
    return (highest // EPOCH_ROUND + 1) * EPOCH_ROUND + identity % EPOCH_ROUND


def _no_keys(_keys: Collection[str]) -> set[str]:
    return set()


class LeaderLog:
    """Leads the step log, or tries to.

    Parameters
    ----------
    name, host, port
        Under which other daemons find this leader.
    identity
        32-bit number of this process, for epochs.
    may_wait
        Returns which of some keys' values are not needed to lead: they are read afterwards.

    Attributes
    ----------
    holds_back
        Whether these are not read yet: what a new leader needs first is to have its links and
        its processor. Ends with the leader's term.
    """

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        identity: int,
        may_wait: Callable[[Collection[str]], set[str]] = _no_keys,
    ) -> None:
        self.phase = Phase.IDLE
        self.epoch = 0
        self.entries: dict[str, Entry] = {}
        self.deferred = DeferredValues()
        self.holds_back = False
        self.group = Group()
        self.next_group: Group | None = None
        self.lost_disks: set[str] = set()
        self.followers: dict[int, Follower] = {}
        self._name = name
        self._host = host
        self._port = port
        self._identity = identity
        self._may_wait = may_wait
        self._first_group = Group()
        self._hint = Group()
        self.admitted: set[str] = set()
        self._known_groups: dict[int, Group] = {}
        self._oldest_group = 0
        self._advanced_at = 0.0
        self._sequence = 0
        self._noted_at: dict[str, float] = {}
        self._order_number = 0
        self._pending: dict[str, int] = {}
        self._unsent_puts: list[Entry] = []
        self._unsent_drops: list[str] = []
        self._fetching: dict[int, list[list[str]]] = {}
        self._out: list[Instruction] = []

    def take(self) -> list[Instruction]:
        """Return the instructions since the last call."""
        taken, self._out = self._out, []
        return taken

    # Links

    def connected(self, link: int, member: GroupMember, now: float) -> None:
        """Take a replica's connection; a leader brings it up to date."""
        self.followers[link] = Follower(link, member, member.disk)
        self._note_lost_disk(member)
        if self.phase is not Phase.IDLE:
            self._ask_wanted(now)

    def admit(self, name: str, now: float) -> None:
        """Bring a connected replica up to date that is to become a member."""
        self.admitted.add(name)
        self._ask_wanted(now)

    def lost(self, link: int) -> None:
        """Forget a connection."""
        self.followers.pop(link, None)
        self.deferred.link_lost(link)
        if link in self._fetching:
            self._depose("a replica was lost during takeover", self.epoch)

    # Takeover

    def stand(
        self, highest_seen: int, first_group: Group, now: float, known: Group | None = None
    ) -> None:
        """Ask the group's connected replicas for a promise.

        Parameters
        ----------
        first_group
            Group to form where the replicas hold none yet.
        known
            Newest group that any replica told of; others that promises tell of are asked too.
            All connected replicas are asked where no group is known.
        """
        self._reset()
        self._hint = known if known is not None else Group()
        self.phase = Phase.PREPARING
        self.epoch = next_epoch(max(highest_seen, self.epoch), self._identity)
        self._first_group = first_group
        self._advanced_at = now
        self._ask_wanted(now)

    def promised(self, link: int, promise: Promise, now: float) -> None:
        """Take a replica's answer to `Prepare`."""
        follower = self.followers.get(link)
        if follower is None:
            return
        if self.phase is Phase.IDLE:
            if promise.granted:
                self._release(follower)
            return
        if not promise.granted:
            if promise.epoch > self.epoch or self.phase is Phase.PREPARING:
                # A refusal tells whole milliseconds; the lease may last a part of one longer.
                wait = (promise.wait_milliseconds + 1) / 1000.0
                self._depose("a replica refused its promise", promise.epoch, wait)
            return
        if promise.epoch != self.epoch:
            return
        self._answered(follower)
        follower.keys = dict(zip(promise.keys, promise.epochs, strict=True))
        self._learn_orders(promise, now)
        if self.phase is Phase.PREPARING:
            self._learn_groups(promise.groups)
            self._ask_wanted(now)
            self._try_fetch()
        elif self.phase in (Phase.REWRITING, Phase.LEADING):
            self._bring_up_to_date(follower, now)
            self._try_lead(now)

    def fetched(self, link: int, answer: Fetched, now: float) -> None:
        """Take values asked for during takeover, or those that were left for later."""
        if self.phase is Phase.LEADING:
            self._take_deferred(answer, now)
            return
        chunks = self._fetching.get(link)
        if self.phase is not Phase.FETCHING or not chunks:
            return
        self._advanced_at = now
        wanted = chunks.pop(0)
        if not chunks:
            del self._fetching[link]
        for entry in unpack_entries(answer.entries):
            self.entries[entry.key] = entry
        if any(key not in self.entries for key in wanted):
            self._depose("a replica lacks a value that it named", self.epoch)
            return
        if not self._fetching:
            self._rewrite(now)

    # Writes

    @property
    def is_leading(self) -> bool:
        """Whether takeover is complete."""
        return self.phase is Phase.LEADING

    def holds_lease(self, now: float) -> bool:
        """Return whether no other daemon can lead at this moment."""
        return self.is_leading and now < self.lease_until()

    def lease_until(self) -> float:
        """Return the time until which a write quorum keeps others from leading."""
        untils = [self._lease_of(each) for each in self._voting_groups()]
        return min(untils, default=float("-inf"))

    def put(self, key: str, value: bytes) -> None:
        """Write a value; `Committed` follows. A key is written once an epoch."""
        entry = Entry(key=key, epoch=self.epoch, value=value)
        self.entries[key] = entry
        self.deferred.drop(key)
        self._sequence += 1
        self._pending[key] = self._sequence
        self._unsent_puts.append(entry)

    def drop(self, key: str) -> None:
        """Remove a value that nobody needs any more."""
        self.entries.pop(key, None)
        self.deferred.drop(key)
        self._pending.pop(key, None)
        self._unsent_drops.append(key)

    def flush(self, now: float) -> None:
        """Send what was written since the last call, in one message a replica."""
        if not self._unsent_puts and not self._unsent_drops:
            return
        puts, self._unsent_puts = self._unsent_puts, []
        drops, self._unsent_drops = self._unsent_drops, []
        message = Append(epoch=self.epoch, puts=pack_entries(puts), drops=drops)
        for follower in self.followers.values():
            if follower.is_synced:
                self._send_append(follower, message, self._sequence, now)

    def appended(self, link: int, answer: Appended, now: float) -> None:
        """Take a replica's answer to `Append`."""
        follower = self.followers.get(link)
        if follower is None or self.phase is Phase.IDLE:
            return
        if not answer.accepted:
            if answer.epoch > self.epoch:
                self._depose("a replica follows a higher epoch", answer.epoch)
            return
        number = self._answered(follower)
        if number != HEARTBEAT:
            self._advanced_at = now
        follower.acked = max(follower.acked, number)
        self._commit()
        self._try_lead(now)

    def tick(self, now: float) -> None:
        """Renew the lease, and give up where it has ended."""
        if self.phase is Phase.IDLE:
            return
        if self.phase is not Phase.LEADING and now > self._advanced_at + TAKEOVER_SECONDS:
            self._depose("takeover took too long", self.epoch)
            return
        if self.phase is Phase.LEADING and now >= self.lease_until():
            self._depose(LEASE_ENDED, self.epoch)
            return
        self._send_heartbeats(now)
        self._try_lead(now)
        self._read_deferred(now)

    def resign(self) -> None:
        """Give the lease back."""
        if self.phase is Phase.IDLE:
            return
        self._depose("resigned", self.epoch)

    def change_group(self, members: list[GroupMember]) -> None:
        """Begin a change of the group; only one is under way at a time."""
        if not self.is_leading or self.next_group is not None:
            return
        generation = self.group.generation + 1
        self._hint = self._first_group = Group()
        self.next_group = Group(generation=generation, members=members)
        self.put(groups.group_key(generation), bytes(self.next_group))

    def synced_members(self) -> list[GroupMember]:
        """Return the connected replicas that hold everything."""
        return [
            follower.member
            for follower in self.followers.values()
            if follower.is_synced and follower.acked >= 0
        ]

    def member_links(self, zone: str = "") -> list[int]:
        """Return the links of the group's members: those in a zone, then the longest connected."""
        names = {member.name for member in self.group.members}
        links = [
            (follower.member.zone != zone, link)
            for link, follower in self.followers.items()
            if follower.member.name in names
        ]
        return [link for _, link in sorted(links)]

    # Inside

    def _reset(self) -> None:
        self.phase = Phase.IDLE
        self.entries = {}
        self.deferred = DeferredValues()
        self.holds_back = False
        self.group = Group()
        self.next_group = None
        self.admitted = set()
        self._known_groups = {}
        self._oldest_group = 0
        self._noted_at = {}
        self._order_number = 0
        self._pending = {}
        self._unsent_puts = []
        self._unsent_drops = []
        self._fetching = {}
        for follower in self.followers.values():
            follower.is_asked = False
            follower.keys = None
            follower.is_synced = False
            follower.acked = -1
            follower.waiting = []
            follower.lease_from = float("-inf")

    def _release(self, follower: Follower) -> None:
        """Give back a lease that a failed candidate does not need, so that others can stand."""
        self._out.append(Send(follower.link, Resign(epoch=self.epoch)))

    def _depose(self, reason: str, highest_epoch: int, wait_seconds: float = 0.0) -> None:
        for follower in self.followers.values():
            if follower.keys is not None:
                self._release(follower)
        self._reset()
        self._out.append(Deposed(reason, highest_epoch, wait_seconds))

    def _ask_wanted(self, now: float) -> None:
        """Ask those for a promise that belong to the group, or are to, and were not asked yet.

        The other replicas cost nothing: no promise, no write and no heartbeat goes to them.
        """
        groups_known = [self._hint, self._first_group, *self._voting_groups()]
        wanted = {member.name for group in groups_known for member in group.members}
        wanted |= self.admitted
        for follower in self.followers.values():
            if not follower.is_asked and (not wanted or follower.member.name in wanted):
                self._send_prepare(follower, now)

    def _send_prepare(self, follower: Follower, now: float) -> None:
        follower.is_asked = True
        follower.waiting.append((PART_OF_WRITES, now))
        follower.last_sent = now
        message = Prepare(
            epoch=self.epoch,
            leader=self._name,
            leader_host=self._host,
            leader_port=self._port,
            first_group=self._first_group,
        )
        self._out.append(Send(follower.link, message))

    def _answered(self, follower: Follower) -> int:
        """Note that the oldest message was answered with consent; return its write's number."""
        if not follower.waiting:
            return -1
        number, sent_at = follower.waiting.pop(0)
        follower.lease_from = sent_at
        return number

    def _learn_groups(self, found: list[Group]) -> None:
        """Take the groups that one replica holds; older ones than its oldest are over."""
        for each in found:
            self._known_groups[each.generation] = each
        if found:
            self._oldest_group = max(self._oldest_group, found[0].generation)

    def _learn_orders(self, promise: Promise, now: float) -> None:
        """Take how long a replica has held notes of orders; the youngest copy counts."""
        for order in promise.orders:
            at = now - order.milliseconds / 1000.0
            self._noted_at[order.key] = max(at, self._noted_at.get(order.key, at))

    def _voting_groups(self) -> list[Group]:
        """Return the groups whose quorums count: the newest, and the one that it replaces."""
        if self.phase in (Phase.PREPARING, Phase.FETCHING):
            known = sorted(self._known_groups)
            return [self._known_groups[each] for each in known if each >= self._oldest_group]
        voting = [self.group] if self.group.generation else []
        if self.next_group is not None:
            voting.append(self.next_group)
        return voting

    def _try_fetch(self) -> None:
        answered = {
            follower.disk for follower in self.followers.values() if follower.keys is not None
        }
        voting = self._voting_groups()
        if not voting or not all(groups.has_read_quorum(each, answered) for each in voting):
            return
        self.phase = Phase.FETCHING
        self.deferred = DeferredValues(self._deferrable())
        for key, link in self._best_holders().items():
            if key in self.deferred.epochs:
                continue
            chunks = self._fetching.setdefault(link, [[]])
            if len(chunks[-1]) >= CHUNK_KEYS:
                chunks.append([])
            chunks[-1].append(key)
        # Answers of many messages let heartbeats through between them.
        for link, chunks in self._fetching.items():
            for keys in chunks:
                self._out.append(Send(link, Fetch(epoch=self.epoch, keys=keys)))

    def _deferrable(self) -> dict[str, int]:
        """Return the keys, with their epochs, whose values may be read once this daemon leads.

        A write quorum holds them at the highest epoch that anybody does, so nothing of them is
        to be written again. As long as they are not read, they are as safe as they were without
        a leader. Who lacks one is brought up to date later: the quorum is chosen among those
        that hold most, and lacks none.
        """
        promised = [each for each in self.followers.values() if each.keys is not None]
        highest: dict[str, int] = {}
        for follower in promised:
            for key, epoch in (follower.keys or {}).items():
                highest[key] = max(epoch, highest.get(key, epoch))
        waiting = {key: highest[key] for key in self._may_wait(highest.keys())}
        quorum = self._most_complete_quorum(promised, waiting)
        return {
            key: epoch
            for key, epoch in waiting.items()
            if quorum and all((each.keys or {}).get(key) == epoch for each in quorum)
        }

    def _most_complete_quorum(
        self, promised: list[Follower], values: dict[str, int]
    ) -> list[Follower]:
        """Return a write quorum of those that hold most of some values; empty where none is."""
        voting = self._voting_groups()
        ordered = sorted(
            promised, key=lambda each: len(values.items() & (each.keys or {}).items()), reverse=True
        )
        for size in range(1, len(ordered) + 1):
            disks = {follower.disk for follower in ordered[:size]}
            if all(groups.has_write_quorum(each, disks, self.lost_disks) for each in voting):
                return ordered[:size]
        return []

    def _read_deferred(self, now: float) -> None:
        """Ask a replica for a part of the values that were left for later."""
        if not self.is_leading or self.holds_back:
            return
        synced = [link for link, follower in self.followers.items() if follower.is_synced]
        request = self.deferred.next_request(synced, now)
        if request is not None:
            link, keys = request
            self._out.append(Send(link, Fetch(epoch=self.epoch, keys=keys)))

    def _take_deferred(self, answer: Fetched, now: float) -> None:
        loaded = self.deferred.take(unpack_entries(answer.entries))
        self.entries.update((entry.key, entry) for entry in loaded)
        self._out.append(Loaded(tuple(loaded)))
        if self.deferred.epochs:
            self._read_deferred(now)
            return
        for follower in self.followers.values():
            if follower.keys is not None and not follower.is_synced:
                self._bring_up_to_date(follower, now)

    def _best_holders(self) -> dict[str, int]:
        """Return for each key the link to fetch it from: one that has its highest epoch.

        Where several do, they share the keys.
        """
        highest: dict[str, int] = {}
        holders: dict[str, list[int]] = {}
        for follower in self.followers.values():
            for key, epoch in (follower.keys or {}).items():
                if epoch > highest.get(key, -1):
                    highest[key], holders[key] = epoch, []
                if epoch == highest[key]:
                    holders[key].append(follower.link)
        return {
            key: links[place % len(links)] for place, (key, links) in enumerate(holders.items())
        }

    def _rewrite(self, now: float) -> None:
        """Write again what a write quorum does not provably hold, then lead."""
        # A newer group may not be written yet, so the one that it replaces counts as well.
        voting = self._voting_groups()[-2:]
        self.group = voting[0]
        self.next_group = voting[1] if len(voting) > 1 else None
        self.phase = Phase.REWRITING
        for follower in self.followers.values():
            if follower.keys is not None:
                self._note_lost_disk(follower.member)
        for entry in list(self.entries.values()):
            if not self._is_written(entry):
                self.put(entry.key, entry.value)
        self._unsent_puts = []
        for follower in self.followers.values():
            if follower.keys is not None:
                self._bring_up_to_date(follower, now)
        self._commit()
        self._try_lead(now)

    def _is_written(self, entry: Entry) -> bool:
        holding = {
            follower.disk
            for follower in self.followers.values()
            if follower.keys is not None and follower.keys.get(entry.key) == entry.epoch
        }
        return all(
            groups.has_write_quorum(each, holding, self.lost_disks)
            for each in self._voting_groups()
        )

    def _bring_up_to_date(self, follower: Follower, now: float) -> None:
        held = follower.keys or {}
        if self.deferred.is_lacked_by(held):
            # It is brought up to date once the values are here.
            return
        puts = [entry for key, entry in self.entries.items() if held.get(key, -1) < entry.epoch]
        known = self.entries.keys() | self.deferred.epochs.keys()
        drops = [key for key in held if key not in known]
        follower.is_synced = True
        # Parts let heartbeats through between them; only the last one's answer counts.
        while len(puts) > CHUNK_KEYS:
            part, puts = puts[:CHUNK_KEYS], puts[CHUNK_KEYS:]
            message = Append(epoch=self.epoch, puts=pack_entries(part))
            self._send_append(follower, message, PART_OF_WRITES, now)
        message = Append(epoch=self.epoch, puts=pack_entries(puts), drops=drops)
        self._send_append(follower, message, self._sequence, now)

    def _send_heartbeats(self, now: float) -> None:
        """Renew the lease at all that promised, also while the log is still being read."""
        heartbeat = Append(epoch=self.epoch)
        if self.phase is Phase.PREPARING:
            return
        for follower in self.followers.values():
            if follower.keys is not None and now >= follower.last_sent + HEARTBEAT_SECONDS:
                self._send_append(follower, heartbeat, HEARTBEAT, now)

    def _send_append(self, follower: Follower, message: Append, number: int, now: float) -> None:
        follower.waiting.append((number, now))
        follower.last_sent = now
        self._out.append(Send(follower.link, message))

    def _commit(self) -> None:
        """Tell of the writes that a write quorum of each voting group has on disk."""
        while self._pending and next(iter(self._pending.values())) <= self._written_number():
            number = self._written_number()
            for key in [key for key, each in self._pending.items() if each <= number]:
                del self._pending[key]
                self._committed(key)
                if key.startswith(groups.GROUP_PREFIX):
                    # Other groups count from here on.
                    break

    def _written_number(self) -> float:
        """Return up to which write all voting groups have a write quorum."""
        acked: dict[str, int] = {}
        for follower in self.followers.values():
            if follower.is_synced:
                acked[follower.disk] = max(follower.acked, acked.get(follower.disk, -1))
        return min(
            (groups.quorum_number(each, acked, self.lost_disks) for each in self._voting_groups()),
            default=float("inf"),
        )

    def _committed(self, key: str) -> None:
        if key.startswith(groups.GROUP_PREFIX):
            self._finish_change(key)
        elif self.phase is Phase.LEADING:
            self._out.append(Committed(key))

    def _finish_change(self, key: str) -> None:
        change = self.next_group
        if change is None or groups.group_key(change.generation) != key:
            return
        self.group, self.next_group = change, None
        # A replica that holds a group without the one before it says that it is in force.
        old = [each for each in self.entries if each.startswith(groups.GROUP_PREFIX)]
        for each in old:
            if each < key:
                self.drop(each)
        self._leave_others()

    def _leave_others(self) -> None:
        """Send nothing more to replicas that no longer belong to the group."""
        names = {member.name for member in self.group.members}
        self.admitted.clear()
        for follower in self.followers.values():
            if follower.member.name not in names:
                follower.is_synced = False
                follower.is_asked = False
                follower.keys = None
                follower.acked = -1

    def _try_lead(self, now: float) -> None:
        """Lead once everything is written, and only with a lease that still lasts.

        Reading the log may take longer than the lease that its promises gave. Where it has
        ended, the heartbeats that are under way renew it.
        """
        if self.phase is Phase.REWRITING and not self._pending and now < self.lease_until():
            self._lead()

    def _lead(self) -> None:
        if self.next_group is not None:
            # Nothing of the newer group needed writing again, so it is in force.
            self._finish_change(groups.group_key(self.next_group.generation))
        self.phase = Phase.LEADING
        entries = tuple(
            entry
            for key, entry in self.entries.items()
            if not key.startswith((groups.GROUP_PREFIX, HOLDER_PREFIX, ORDER_PREFIX))
        )
        orders = last_orders(self._noted_at, self._notes(), self._advanced_at)
        holder = holder_of(self.entries.values())
        self._out.append(Won(self.epoch, entries, holder, orders, tuple(self.deferred.epochs)))

    def _notes(self) -> list[str]:
        return [key for key in self.entries if key.startswith(ORDER_PREFIX)]

    def note_order(self, engine: str) -> str:
        """Write that this leader is about to order an engine; return the key of the note.

        The order may be given once the note is committed. The notes of earlier orders to the
        same engine are over then, see `drop_older_notes`.
        """
        self._order_number += 1
        note = OrderNote(self.epoch, self._order_number, engine, self._name)
        self.put(note.key, b"")
        return note.key

    def drop_older_notes(self, key: str) -> None:
        """Remove the notes of an engine before one that is committed."""
        engine = parse_note(key).engine
        for each in self._notes():
            if each < key and parse_note(each).engine == engine:
                self.drop(each)

    def claim_orders(self) -> str:
        """Claim the right to order engines; return the key whose commit grants it."""
        key = holder_key(self.epoch)
        self.put(key, self._name.encode())
        return key

    def drop_older_claims(self, key: str) -> None:
        """Remove the claims before one that is committed."""
        for each in [each for each in self.entries if each.startswith(HOLDER_PREFIX)]:
            if each < key:
                self.drop(each)

    def _lease_of(self, group: Group) -> float:
        members = groups.disks(group)
        times = sorted(
            (
                follower.lease_from
                for follower in self.followers.values()
                if follower.disk in members and follower.is_synced
            ),
            reverse=True,
        )
        needed = groups.write_quorum(len(members))
        needed = max(1, min(needed, len(members - self.lost_disks)))
        if len(times) < needed:
            return float("-inf")
        return times[needed - 1] + LEASE_SECONDS - LEASE_MARGIN_SECONDS

    def _note_lost_disk(self, member: GroupMember) -> None:
        for each in self._voting_groups():
            known = groups.member_named(each, member.name)
            if known is not None and known.disk != member.disk:
                self.lost_disks.add(known.disk)
