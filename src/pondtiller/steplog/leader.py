"""The leader's side of the step log: the phases of a term, from a candidate to its end. No I/O.

A driver connects to replicas, passes their answers, and executes the instructions. Connections are
ordered and answered in order; a broken one is reported as lost.

The takeover follows Paxos with one epoch for all keys: the candidate has a read quorum promise its
epoch, takes each key's value with the highest epoch, and rewrites what a write quorum does not
provably have. Only then it leads.

Holds the phase of a term; values and messages are in `replication.py`, quorums in `voting.py`, the
reads of a takeover in `takeover_reads.py`, and the rules of its lease in `term_rules.py`. When to
campaign, and which members a group should have, is decided by the driver.
"""

from collections.abc import Callable, Collection

from pondtiller.routes.topology import Topology
from pondtiller.steplog.deferred import DeferredValues
from pondtiller.steplog.entry import Entry, unpack_entries
from pondtiller.steplog.follower import HEARTBEAT, Follower
from pondtiller.steplog.group import GROUP_PREFIX, group_key
from pondtiller.steplog.holder import HOLDER_PREFIX, holder_key, holder_of, older_claims
from pondtiller.steplog.instructions import (
    Committed,
    DeferredLoaded,
    ElectionWon,
    Instruction,
    Phase,
    StepDownReason,
    SteppedDown,
)
from pondtiller.steplog.lease_renewal import LeaseRenewal, Moment
from pondtiller.steplog.order_notes import ORDER_PREFIX, OrderNotes, older_notes
from pondtiller.steplog.replication import Replication
from pondtiller.steplog.takeover_reads import Fetches, best_holders, deferrable
from pondtiller.steplog.term_rules import (
    RefusedPromise,
    TermState,
    is_takeover_complete,
    must_step_down_on,
    step_down_reason,
)
from pondtiller.steplog.voting import VotingGroups
from pondtiller.wire.steplog import Appended, Fetched, Group, GroupMember, Promise

EPOCH_ROUND = 1 << 32
"""Distance between two epochs of one gateway: the lower 32 bits of an epoch are its identity, so
that no two candidates share an epoch."""


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
        Name and address at which other gateways find this leader.
    identity
        32-bit number of this process, for epochs.
    may_defer
        Returns which of some keys' values are not needed to lead; they are read afterwards.

    Attributes
    ----------
    admitted
        Names of replicas that are brought up to date to become members.
    defers_reads
        Whether deferred values are not read yet, since a new leader first needs its links and its
        processor for other work. Reset with the leader's term.
    """

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        identity: int,
        may_defer: Callable[[Collection[str]], set[str]] = _no_keys,
    ) -> None:
        self.phase = Phase.IDLE
        self.defers_reads = False
        self.admitted: set[str] = set()
        self._name = name
        self._identity = identity
        self._may_defer = may_defer
        self._replication = Replication(name, host, port)
        self._groups = VotingGroups()
        self._notes = OrderNotes()
        self._fetches = Fetches()
        self._renewal = LeaseRenewal()
        self._first_group = Group()
        self._hint = Group()
        self._advanced_at = 0.0

    def pop_instructions(self) -> list[Instruction]:
        """Return the instructions since the last call."""
        return self._replication.pop_instructions()

    # State of the term

    @property
    def epoch(self) -> int:
        """Epoch of this term, or of the last one."""
        return self._replication.epoch

    @property
    def entries(self) -> dict[str, Entry]:
        """All values by key, except deferred ones."""
        return self._replication.entries

    @property
    def deferred(self) -> DeferredValues:
        """Values that are read after the takeover."""
        return self._replication.deferred

    @property
    def followers(self) -> dict[int, Follower]:
        """Connected replicas by number of the link."""
        return self._replication.followers

    @property
    def group(self) -> Group:
        """The group in force; generation 0 if unknown."""
        return self._groups.group

    @group.setter
    def group(self, group: Group) -> None:
        self._groups.group = group

    @property
    def next_group(self) -> Group | None:
        """The group that is to replace it; None while there is no change."""
        return self._groups.next_group

    @property
    def is_leading(self) -> bool:
        """Whether the takeover is complete."""
        return self.phase is Phase.LEADING

    def holds_lease(self, now: float) -> bool:
        """Return whether no other gateway can be the leader at this moment."""
        return self.is_leading and now < self.lease_until()

    @property
    def awaits_renewal(self) -> bool:
        """Whether the lease expired in a pause of this process and may still be renewed."""
        return self.is_leading and self._renewal.is_awaited

    def lease_until(self) -> float:
        """Return the time until which a write quorum excludes other leaders."""
        return self._groups.lease_until(self.phase, self.followers)

    def synced_members(self) -> list[GroupMember]:
        """Return the connected replicas that have everything."""
        return [
            follower.member
            for follower in self.followers.values()
            if follower.is_synced and follower.acked >= 0
        ]

    def member_links(self, zone: str, places: Topology) -> list[int]:
        """Return the links of the group's members: nearest to a zone first, then by age."""
        names = self._groups.names()
        links = [
            (places.distance(zone, follower.member.zone), link)
            for link, follower in self.followers.items()
            if follower.member.name in names
        ]
        return [link for _, link in sorted(links)]

    # Connections to replicas

    def connected(self, link: int, member: GroupMember, now: float) -> None:
        """Add a replica's connection; a leader brings it up to date."""
        self.followers[link] = Follower(link, member, member.disk)
        self._groups.note_lost_disk(self.phase, member)
        if self.phase is not Phase.IDLE:
            self._prepare_members(now)

    def admit(self, name: str, now: float) -> None:
        """Bring a connected replica up to date that is to become a member."""
        self.admitted.add(name)
        self._prepare_members(now)

    def lost(self, link: int) -> None:
        """Remove a connection."""
        self.followers.pop(link, None)
        self.deferred.link_lost(link)
        if self._fetches.is_asked(link):
            self._step_down(StepDownReason.REPLICA_LOST, self.epoch)

    # Replicas' answers

    def promised(self, link: int, promise: Promise, now: float) -> None:
        """Process a replica's answer to `Prepare`."""
        follower = self.followers.get(link)
        if follower is None:
            return
        if self.phase is Phase.IDLE:
            if promise.granted:
                self._replication.release(follower)
            return
        if not promise.granted:
            self._promise_refused(promise)
            return
        if promise.epoch != self.epoch:
            return
        follower.pop_consent()
        follower.keys = dict(zip(promise.keys, promise.epochs, strict=True))
        self._notes.learn(promise.orders, now)
        if self.phase is Phase.PREPARING:
            self._groups.learn(promise.groups)
            self._prepare_members(now)
            self._try_fetch()
        elif self.phase in (Phase.REWRITING, Phase.LEADING):
            self._replication.bring_up_to_date(follower, now)
            self._try_lead(now)

    def _promise_refused(self, promise: Promise) -> None:
        if must_step_down_on(RefusedPromise(self.phase, promise.epoch, self.epoch)):
            # A refusal states whole milliseconds; the lease may last a fraction of one longer.
            wait = (promise.wait_milliseconds + 1) / 1000.0
            self._step_down(StepDownReason.PROMISE_REFUSED, promise.epoch, wait)

    def fetched(self, link: int, answer: Fetched, now: float) -> None:
        """Process values requested during the takeover, or deferred ones."""
        if self.phase is Phase.LEADING:
            self._take_deferred(answer, now)
            return
        if self.phase is not Phase.FETCHING or not self._fetches.is_asked(link):
            return
        self._advanced_at = now
        wanted = self._fetches.answered(link)
        for entry in unpack_entries(answer.entries):
            self.entries[entry.key] = entry
        if any(key not in self.entries for key in wanted):
            self._step_down(StepDownReason.VALUE_LACKED, self.epoch)
            return
        if not self._fetches:
            self._rewrite(now)

    def appended(self, link: int, answer: Appended, now: float) -> None:
        """Process a replica's answer to `Append`."""
        follower = self.followers.get(link)
        if follower is None or self.phase is Phase.IDLE:
            return
        if not answer.accepted:
            if answer.epoch > self.epoch:
                self._step_down(StepDownReason.HIGHER_EPOCH, answer.epoch)
            return
        number = follower.pop_consent()
        if number != HEARTBEAT:
            self._advanced_at = now
        follower.acked = max(follower.acked, number)
        self._commit()
        self._try_lead(now)

    # Start and end of a term

    def campaign(
        self, highest_seen: int, first_group: Group, now: float, known: Group | None = None
    ) -> None:
        """Ask the group's connected replicas for a promise.

        Parameters
        ----------
        first_group
            Group to form if the replicas have none yet.
        known
            Newest group that any replica named; members of others that promises name are asked too.
            All connected replicas are asked if no group is known.
        """
        self._reset()
        self._hint = known if known is not None else Group()
        self.phase = Phase.PREPARING
        self._replication.epoch = next_epoch(max(highest_seen, self.epoch), self._identity)
        self._first_group = first_group
        self._advanced_at = now
        self._prepare_members(now)

    def tick(self, now: float, running: float | None = None) -> None:
        """Renew the lease, and step down if it has ended.

        Parameters
        ----------
        running
            The time without all pauses of this process, in seconds; no pauses if None.
        """
        if self.phase is Phase.IDLE:
            return
        at = Moment(now, now if running is None else running)
        self._renewal.update(self.lease_until(), at)
        reason = step_down_reason(self._state(), now)
        if reason is not None:
            self._step_down(reason, self.epoch)
            return
        if self.phase is not Phase.PREPARING:
            self._replication.send_heartbeats(now)
        self._try_lead(now)
        self._read_deferred(now)

    def resign(self) -> None:
        """Release the lease."""
        if self.phase is Phase.IDLE:
            return
        self._step_down(StepDownReason.RESIGNED, self.epoch)

    def _state(self) -> TermState:
        return TermState(self.phase, self._advanced_at, self.lease_until(), self.awaits_renewal)

    def _step_down(
        self, reason: StepDownReason, highest_epoch: int, wait_seconds: float = 0.0
    ) -> None:
        self._replication.release_all()
        self._reset()
        self._replication.instruct(SteppedDown(reason, highest_epoch, wait_seconds))

    def _reset(self) -> None:
        self.phase = Phase.IDLE
        self.defers_reads = False
        self.admitted = set()
        self._replication.reset()
        self._groups.reset()
        self._notes = OrderNotes()
        self._fetches = Fetches()
        self._renewal = LeaseRenewal()

    # Takeover

    def _prepare_members(self, now: float) -> None:
        """Ask present and future members of the group for a promise that were not asked yet.

        The other replicas cost nothing: they get no prepare, write or heartbeat.
        """
        known = [self._hint, self._first_group, *self._groups.voting(self.phase)]
        wanted = {member.name for group in known for member in group.members}
        wanted |= self.admitted
        for follower in self.followers.values():
            if not follower.is_asked and (not wanted or follower.member.name in wanted):
                self._replication.send_prepare(follower, self._first_group, now)

    def _try_fetch(self) -> None:
        """Read the log once a read quorum of each voting group has promised."""
        promised = self._replication.promised()
        answered = {follower.disk for follower in promised}
        if not self._groups.have_read_quorums(self.phase, answered):
            return
        self.phase = Phase.FETCHING
        self._replication.deferred = DeferredValues(self._deferrable())
        for key, link in best_holders(self.followers.values()).items():
            if key not in self.deferred.epochs:
                self._fetches.add(link, key)
        for link, keys in self._fetches.requests():
            self._replication.send_fetch(link, keys)

    def _deferrable(self) -> dict[str, int]:
        """Return the keys, with their epochs, whose values are read after the takeover."""
        return deferrable(self._replication.promised(), self._may_defer, self._have_write_quorums)

    def _have_write_quorums(self, disks: set[str]) -> bool:
        return self._groups.have_write_quorums(self.phase, disks)

    def _rewrite(self, now: float) -> None:
        """Rewrite what a write quorum does not provably have, then lead."""
        self._groups.settle(self.phase)
        self.phase = Phase.REWRITING
        promised = self._replication.promised()
        for follower in promised:
            self._groups.note_lost_disk(self.phase, follower.member)
        for entry in list(self.entries.values()):
            if not self._is_written(entry, promised):
                self.put(entry.key, entry.value)
        # Each replica gets what it lacks with the message that brings it up to date.
        self._replication.unwritten.drop_unsent_puts()
        for follower in promised:
            self._replication.bring_up_to_date(follower, now)
        self._commit()
        self._try_lead(now)

    def _is_written(self, entry: Entry, promised: list[Follower]) -> bool:
        holding = {
            follower.disk
            for follower in promised
            if (follower.keys or {}).get(entry.key) == entry.epoch
        }
        return self._have_write_quorums(holding)

    def _try_lead(self, now: float) -> None:
        if self.phase is not Phase.REWRITING:
            return
        has_unwritten = bool(self._replication.unwritten)
        if is_takeover_complete(self._state(), has_unwritten, now):
            self._lead()

    def _lead(self) -> None:
        if self.next_group is not None:
            # Nothing of the newer group had to be rewritten, so it is in force.
            self._finish_change(group_key(self.next_group.generation))
        self.phase = Phase.LEADING
        entries = tuple(
            entry
            for key, entry in self.entries.items()
            if not key.startswith((GROUP_PREFIX, HOLDER_PREFIX, ORDER_PREFIX))
        )
        notes = self._replication.keys_with(ORDER_PREFIX)
        orders = self._notes.last_orders(notes, self._advanced_at)
        holder = holder_of(self.entries.values())
        won = ElectionWon(self.epoch, entries, holder, orders, tuple(self.deferred.epochs))
        self._replication.instruct(won)

    # Deferred values

    def _read_deferred(self, now: float) -> None:
        """Request a part of the deferred values from a replica."""
        if not self.is_leading or self.defers_reads:
            return
        synced = [link for link, follower in self.followers.items() if follower.is_synced]
        request = self.deferred.next_request(synced, now)
        if request is not None:
            self._replication.send_fetch(*request)

    def _take_deferred(self, answer: Fetched, now: float) -> None:
        loaded = self.deferred.pop_awaited(unpack_entries(answer.entries))
        self.entries.update((entry.key, entry) for entry in loaded)
        self._replication.instruct(DeferredLoaded(tuple(loaded)))
        if self.deferred.epochs:
            self._read_deferred(now)
            return
        self._replication.bring_remaining_up_to_date(now)

    # Writes

    def put(self, key: str, value: bytes) -> None:
        """Write a value; `Committed` follows. A key is written once per epoch."""
        self._replication.put(key, value)

    def drop(self, key: str) -> None:
        """Remove a value that is no longer needed."""
        self._replication.drop(key)

    def flush(self, now: float) -> None:
        """Send the writes since the last call, in one message per replica."""
        self._replication.flush(now)

    def _commit(self) -> None:
        """Report the writes that a write quorum of each voting group has on disk."""
        unwritten = self._replication.unwritten
        while (oldest := unwritten.oldest()) is not None:
            number = self._groups.written_number(self.phase, self.followers.values())
            if oldest > number:
                return
            for key in unwritten.written(number):
                unwritten.committed(key)
                self._committed(key)
                if key.startswith(GROUP_PREFIX):
                    # Other groups vote from here on.
                    break

    def _committed(self, key: str) -> None:
        if key.startswith(GROUP_PREFIX):
            self._finish_change(key)
        elif self.phase is Phase.LEADING:
            self._replication.instruct(Committed(key))

    # Changes of the group

    def change_group(self, members: list[GroupMember]) -> None:
        """Start a change of the group; there is only one at a time."""
        if not self.is_leading or self.next_group is not None:
            return
        generation = self.group.generation + 1
        self._hint = self._first_group = Group()
        change = self._groups.next_group = Group(generation=generation, members=members)
        self.put(group_key(generation), bytes(change))

    def _finish_change(self, key: str) -> None:
        if not self._groups.finish_change(key):
            return
        # A replica that has a group without the one before it states that it is in force.
        for each in self._replication.keys_with(GROUP_PREFIX):
            if each < key:
                self.drop(each)
        self._exclude_others()

    def _exclude_others(self) -> None:
        """Send nothing more to replicas that no longer belong to the group."""
        names = self._groups.names()
        self.admitted.clear()
        for follower in self.followers.values():
            if follower.member.name not in names:
                follower.exclude()

    # Permission to order engines

    def note_order(self, engine: str) -> str:
        """Write a note that this leader is about to order an engine; return the note's key.

        The order may be sent once the note is committed. Notes of earlier orders to the same engine
        are obsolete then, see `drop_older_notes`.
        """
        note = self._notes.next_note(self.epoch, engine, self._name)
        self.put(note.key, b"")
        return note.key

    def drop_older_notes(self, key: str) -> None:
        """Remove an engine's notes that are older than a committed one."""
        for each in older_notes(key, self.entries):
            self.drop(each)

    def claim_orders(self) -> str:
        """Claim the permission to order engines; return the key whose commit grants it."""
        key = holder_key(self.epoch)
        self.put(key, self._name.encode())
        return key

    def drop_older_claims(self, key: str) -> None:
        """Remove the claims that are older than a committed one."""
        for each in older_claims(key, self.entries):
            self.drop(each)
