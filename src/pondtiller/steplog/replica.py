"""One replica of the step log: promises, values and the leader's lease. No I/O.

Each handler returns the reply and the record that must be on disk before the reply is sent.

Holds the replica's promise and values, which are durable, and its lease and the ages of notes,
which are lost with the process. What a leader may do with them is decided in `term_rules.py` and
`leader.py`; the disk is the driver's (`replica/`).
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from pondtiller.steplog.entry import Entry, pack_entries, unpack_entries
from pondtiller.steplog.group import GROUP_PREFIX, disks, group_key, groups_of
from pondtiller.steplog.holder import HOLDER_PREFIX, holder_of
from pondtiller.steplog.order_notes import ORDER_PREFIX
from pondtiller.wire.steplog import (
    Append,
    Appended,
    DiskRecord,
    Fetch,
    Fetched,
    Group,
    GroupMember,
    LeaseAge,
    OrderAge,
    Prepare,
    Promise,
    ReplicaView,
    Resign,
)

LEASE_SECONDS = 1.2
"""How long a replica refuses other candidates after its leader's last message. Bounds the time
without a leader after a loss, and how long a leader may be blocked: one that read a step of 32
samples on 0.12 of a core was blocked for 1.1 s and lost its lease ten times. A higher value
tolerates longer pauses but delays each takeover."""


@dataclass(slots=True)
class Lease:
    """The leader that this replica follows, until a time on its own clock."""

    epoch: int = 0
    leader: str = ""
    host: str = ""
    port: int = 0
    until: float = 0.0


class ViewState(NamedTuple):
    """State from which a replica's view is built; equal states give equal views.

    Attributes
    ----------
    leader
        Gateway that holds the lease; empty if none does.
    special_revision
        Counts the changes of groups and claims.
    """

    epoch: int
    leader: str
    special_revision: int


@dataclass(slots=True)
class Reply:
    """Result of a handler.

    Attributes
    ----------
    message
        The answer.
    record
        Must be durable before the answer is sent; None if nothing changed.
    """

    message: Promise | Appended | Fetched
    record: DiskRecord | None = None


@dataclass
class Replica:
    """State of one replica.

    Attributes
    ----------
    member
        Its name, location and disk.
    may_form
        Whether it may become part of a first group: the system's first start with an empty disk.
    promised
        Highest epoch promised; durable.
    promised_to
        Gateway that it was promised to; durable.
    entries
        Values by key; durable.
    special
        Those of them that determine who decides: groups, and claims to order.
    noted_at
        When this process received each note of an order, by key.
    """

    member: GroupMember
    may_form: bool
    started_at: float
    promised: int = 0
    promised_to: str = ""
    entries: dict[str, Entry] = field(default_factory=dict)
    special: dict[str, Entry] = field(default_factory=dict)
    special_revision: int = 0
    noted_at: dict[str, float] = field(default_factory=dict)
    lease: Lease = field(default_factory=Lease)

    def restore(self, record: DiskRecord) -> None:
        """Apply a record read back from the disk."""
        self._take(record, self.started_at)

    def _take(self, record: DiskRecord, now: float) -> None:
        if record.promised >= self.promised and record.promised:
            self.promised, self.promised_to = record.promised, record.promised_to
        for entry in unpack_entries(record.puts):
            self._hold(entry, now)
        for key in record.drops:
            self.entries.pop(key, None)
            if self.special.pop(key, None) is not None:
                self.special_revision += 1
            self.noted_at.pop(key, None)

    def _hold(self, entry: Entry, now: float) -> None:
        self.entries[entry.key] = entry
        if entry.key.startswith(ORDER_PREFIX):
            self.noted_at.setdefault(entry.key, now)
        if entry.key.startswith((GROUP_PREFIX, HOLDER_PREFIX)):
            self.special[entry.key] = entry
            self.special_revision += 1

    @property
    def groups(self) -> list[Group]:
        """Groups that this replica has, oldest first."""
        return groups_of(self.special.values())

    def prepare(self, message: Prepare, now: float) -> Reply:
        """Promise an epoch to a candidate, or refuse because of a lease or a higher promise."""
        if self._is_excluded(message, now) or message.epoch < self.promised:
            refusal = self._promise(granted=False, now=now)
            refusal.wait_milliseconds = int(max(0.0, self._excluded_until() - now) * 1000)
            return Reply(refusal)
        record = DiskRecord(promised=message.epoch, promised_to=message.leader)
        self.promised, self.promised_to = message.epoch, message.leader
        self._form(message.first_group, message.epoch, record)
        self.lease = Lease(
            message.epoch,
            message.leader,
            message.leader_host,
            message.leader_port,
            now + LEASE_SECONDS,
        )
        return Reply(self._promise(granted=True, now=now), record)

    def append(self, message: Append, now: float) -> Reply:
        """Apply the leader's writes and renew its lease."""
        if message.epoch != self.promised:
            return Reply(Appended(accepted=False, epoch=self.promised))
        self.lease.until = now + LEASE_SECONDS
        if not message.puts.keys and not message.drops:
            return Reply(Appended(accepted=True, epoch=self.promised))
        record = DiskRecord(puts=message.puts, drops=message.drops)
        self._take(record, now)
        return Reply(Appended(accepted=True, epoch=self.promised), record)

    def fetch(self, message: Fetch) -> Reply:
        """Return values to the candidate that holds the promise."""
        if message.epoch != self.promised:
            return Reply(Fetched())
        found = [self.entries[key] for key in message.keys if key in self.entries]
        return Reply(Fetched(entries=pack_entries(found)))

    def resign(self, message: Resign) -> None:
        """End the lease of a leader that releases it."""
        if message.epoch == self.lease.epoch:
            self.lease.until = 0.0

    def view_state(self, now: float) -> ViewState:
        """Return the state that determines the view, which is cheaper than building the view."""
        leader = self.lease.leader if now < self.lease.until else ""
        return ViewState(self.promised, leader, self.special_revision)

    def view(self, now: float) -> ReplicaView:
        """Return the view that subscribers are sent."""
        groups = self.groups
        is_held = now < self.lease.until
        return ReplicaView(
            replica=self.member,
            epoch=self.promised,
            leader=self.lease.leader if is_held else "",
            leader_host=self.lease.host if is_held else "",
            leader_port=self.lease.port if is_held else 0,
            group=groups[-1] if groups else Group(),
            may_form=self.may_form and not groups,
            order_holder=holder_of(self.special.values()),
        )

    def lease_age(self, now: float) -> LeaseAge:
        """Return how long ago the leader's last message arrived."""
        left = self.lease.until - now
        if left <= 0:
            return LeaseAge()
        return LeaseAge(epoch=self.lease.epoch, milliseconds=int((LEASE_SECONDS - left) * 1000))

    def _is_excluded(self, message: Prepare, now: float) -> bool:
        """Return whether another gateway may still believe in its lease.

        A restarted replica has forgotten when it granted one, so it waits for the length of a
        lease. A gateway that campaigns again has ended its earlier lease: it gave it up, or its
        process ended. An epoch belongs to one leader, so the same epoch is the same leader again.
        """
        if message.epoch == self.promised:
            return False
        return now < self._excluded_until() and self.promised_to != message.leader

    def _excluded_until(self) -> float:
        """Return until when a lease may exclude a candidate."""
        may_have_granted = bool(self.promised) and not self.lease.leader
        guard = self.started_at + LEASE_SECONDS if may_have_granted else 0.0
        return max(guard, self.lease.until)

    def _promise(self, granted: bool, now: float) -> Promise:
        return Promise(
            granted=granted,
            epoch=self.promised,
            replica=self.member,
            keys=list(self.entries) if granted else [],
            epochs=[entry.epoch for entry in self.entries.values()] if granted else [],
            groups=self.groups,
            orders=self._order_ages(now) if granted else [],
        )

    def _order_ages(self, now: float) -> list[OrderAge]:
        return [
            OrderAge(key=key, milliseconds=int((now - at) * 1000))
            for key, at in self.noted_at.items()
        ]

    def _form(self, group: Group, epoch: int, record: DiskRecord) -> None:
        """Store the first group if this replica belongs to it and has none."""
        if self.groups or not self.may_form or self.member.disk not in disks(group):
            return
        entry = Entry(key=group_key(group.generation), epoch=epoch, value=bytes(group))
        record.puts = pack_entries([entry])
        self._hold(entry, self.started_at)
