"""Shares of a concurrency limit: an allocator divides it, holders use what they were granted.

The sum of what holders may start never exceeds the limit, because

* the book of grants is a register, so two allocators cannot both commit a division;
* a holder counts its lease from when it asked, so a late grant has already expired;
* an allocator takes a share back only when the holder reports that it holds less, or when
  the lease and the longest request that it could have started are over.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from pondtiller import wire

LEASE_SECONDS = 3.0
"""How long a share may be used, counted by its holder from when it asked. Three rounds, so that a
lost demand does not lose the share; a lost holder's share returns after it."""
ROUND_SECONDS = 1.0
"""Interval of a holder's demands. In large groups `pace` lengthens it, since an allocator's work is
proportional to the demands a second."""
MAX_PACE = 10.0
"""Largest factor by which rounds and leases are lengthened, reached at 400 members. The book of
another allocator does not contain its leases, so it is honoured for this many times
`LEASE_SECONDS`."""
MEMBERS_AT_FULL_PACE = 40
"""Members up to which rounds are not lengthened; above, they grow in proportion, so that one row
takes 40 demands a second. Dividing one row among 340 holders took 15% of a core with rounds of a
second, and 1.9% with this, including the holders' side, where 2.3% were allowed."""


def pace(members: int) -> float:
    """Return the factor by which rounds and leases are lengthened in a group of a size.

    An allocator's work is proportional to the demands a second. In a large group each holder asks
    less often, so that one row does not take more than a few percent of one core.
    """
    return min(MAX_PACE, max(1.0, members / MEMBERS_AT_FULL_PACE))


@dataclass(slots=True)
class HeldShare:
    """One member's share of one row's limit.

    Attributes
    ----------
    granted
        Requests that may be in progress at a time.
    expires_at
        End of the lease in seconds.
    asked_at
        When the latest demand was sent, in seconds.
    request
        Number of the latest demand; only its grant is accepted.
    lease_seconds
        Length of the lease that the latest demand asked for.
    """

    granted: int = 0
    expires_at: float = 0.0
    asked_at: float = float("-inf")
    request: int = 0
    lease_seconds: float = LEASE_SECONDS

    def usable(self, now: float) -> int:
        """Return how many requests may be in progress now."""
        return self.granted if now < self.expires_at else 0

    def ask(
        self,
        row: str,
        wanted: int,
        in_use: int,
        now: float,
        lease_seconds: float = LEASE_SECONDS,
    ) -> wire.ShareDemand:
        """Return the next demand to send to the allocator."""
        self.request += 1
        self.lease_seconds = lease_seconds
        self.asked_at = now
        return wire.ShareDemand(
            row=row,
            request=self.request,
            wanted=wanted,
            holding=max(self.usable(now), in_use),
            in_use=in_use,
            lease_milliseconds=round(lease_seconds * 1000),
        )

    def receive(self, grant: wire.ShareGrant) -> bool:
        """Apply a grant if it answers the latest demand; return whether it did."""
        if grant.request != self.request:
            return False
        self.granted = grant.granted
        self.expires_at = self.asked_at + self.lease_seconds
        return True


@dataclass(frozen=True, slots=True)
class HolderKey:
    """One incarnation of a member that holds a share."""

    member: str
    incarnation: int


@dataclass(slots=True)
class _Demand:
    request: int
    wanted: int
    in_use: int
    received_at: float
    lease_seconds: float
    answered: bool = False


@dataclass(slots=True)
class _Reservation:
    amount: int
    until: float


@dataclass(frozen=True, slots=True)
class Grant:
    """A grant that is committed and may be sent."""

    holder: HolderKey
    message: wire.ShareGrant


@dataclass(slots=True)
class Allocator:
    """Divides one row's limit; this duty may move, its book is in a register.

    Attributes
    ----------
    row
        Name of the row.
    writer
        Unique name of this allocator; it must differ between incarnations of a member.
    reserve_seconds
        How long a silent holder's share stays reserved after its lease: the longest duration of a
        request of this row.
    """

    row: str
    writer: str
    reserve_seconds: float
    known: bytes | None = None
    sequence: int = 0
    divided_at: float = float("-inf")
    planned: bytes | None = None
    planned_grants: dict[HolderKey, int] = field(default_factory=dict)
    planned_requests: dict[HolderKey, int] = field(default_factory=dict)
    _demands: dict[HolderKey, _Demand] = field(default_factory=dict)
    _reserved: dict[HolderKey, _Reservation] = field(default_factory=dict)

    def receive(self, holder: HolderKey, demand: wire.ShareDemand, now: float) -> None:
        """Record a demand; the holder's reported share replaces the reserved one."""
        last = self._demands.get(holder)
        if last is not None and demand.request <= last.request:
            return
        lease = demand.lease_milliseconds / 1000
        self._demands[holder] = _Demand(demand.request, demand.wanted, demand.in_use, now, lease)
        if demand.holding:
            until = self._reserve_until(now, lease)
            self._reserved[holder] = _Reservation(demand.holding, until)
        else:
            self._reserved.pop(holder, None)

    def has_unanswered(self) -> bool:
        """Return whether a demand waits for a division."""
        return any(not demand.answered for demand in self._demands.values())

    def plan(self, limit: int, now: float) -> None:
        """Compute the next division; `change` then writes it to the register."""
        self._forget_silent(now)
        wanted = {holder: demand.wanted for holder, demand in self._demands.items()}
        targets = divide(limit, wanted)
        free = limit - sum(each.amount for each in self._reserved.values())
        self.planned_grants = {}
        for holder, demand in self._demands.items():
            reserved = self._reserved[holder].amount if holder in self._reserved else 0
            target = max(targets[holder], min(demand.in_use, reserved))
            extra = min(max(0, target - reserved), max(0, free))
            free -= extra
            self.planned_grants[holder] = min(target, reserved + extra)
        self.planned_requests = {holder: demand.request for holder, demand in self._demands.items()}
        self.planned = self._book()

    def change(self, current: bytes) -> bytes:
        """Return the register's next value; unchanged if another allocator has written."""
        if self.planned is None or (self.known is not None and current != self.known):
            return current
        if self.known is None and current:
            return current
        return self.planned

    def settle(self, value: bytes, now: float) -> list[Grant]:
        """Process the register's value after an operation; return the grants to send."""
        committed = value == self.planned
        self.known = value
        self.planned = None
        book = wire.ShareBook().parse(value) if value else wire.ShareBook()
        self.sequence = book.sequence
        if not committed:
            self._adopt(book, now)
            return []
        grants: list[Grant] = []
        for holder, amount in self.planned_grants.items():
            demand = self._demands.get(holder)
            if demand is not None and not demand.answered:
                grants.append(self._grant(holder, amount, now))
        return grants

    def abandon(self) -> None:
        """Give up the planned division, which may have taken effect all the same."""
        self.known = None
        self.planned = None

    def _grant(self, holder: HolderKey, amount: int, now: float) -> Grant:
        request = self.planned_requests[holder]
        demand = self._demands.get(holder)
        if demand is not None and demand.request == request:
            demand.answered = True
        reserved = self._reserved.get(holder)
        held = max(amount, reserved.amount if reserved is not None else 0)
        if held:
            lease = demand.lease_seconds if demand is not None else LEASE_SECONDS * MAX_PACE
            self._reserved[holder] = _Reservation(held, self._reserve_until(now, lease))
        message = wire.ShareGrant(row=self.row, request=request, granted=amount)
        return Grant(holder, message)

    def _adopt(self, book: wire.ShareBook, now: float) -> None:
        """Honour the grants of another allocator for as long as they could be in use."""
        for share in book.shares:
            holder = HolderKey(share.member, share.incarnation)
            reserved = self._reserved.get(holder)
            amount = max(share.granted, reserved.amount if reserved is not None else 0)
            if amount:
                # The book does not contain the length of the lease; the longest is safe.
                until = self._reserve_until(now, LEASE_SECONDS * MAX_PACE)
                self._reserved[holder] = _Reservation(amount, until)

    def _reserve_until(self, now: float, lease_seconds: float) -> float:
        return now + lease_seconds + self.reserve_seconds

    def _forget_silent(self, now: float) -> None:
        for holder, demand in list(self._demands.items()):
            if now - demand.received_at > demand.lease_seconds:
                del self._demands[holder]
        for holder, reservation in list(self._reserved.items()):
            if reservation.until <= now:
                del self._reserved[holder]

    def _book(self) -> bytes:
        amounts = {holder: each.amount for holder, each in self._reserved.items()}
        for holder, amount in self.planned_grants.items():
            amounts[holder] = max(amount, amounts.get(holder, 0))
        shares = [
            wire.Share(member=holder.member, incarnation=holder.incarnation, granted=amount)
            for holder, amount in sorted(
                amounts.items(), key=lambda entry: (entry[0].member, entry[0].incarnation)
            )
            if amount
        ]
        return bytes(wire.ShareBook(shares=shares, sequence=self.sequence + 1, writer=self.writer))


def divide(limit: int, wanted: dict[HolderKey, int]) -> dict[HolderKey, int]:
    """Divide `limit` so that nobody gets more than wanted and the rest is shared evenly."""
    granted = dict.fromkeys(wanted, 0)
    left = limit
    open_holders = sorted(wanted, key=lambda holder: (wanted[holder], holder.member))
    for position, holder in enumerate(open_holders):
        fair = left // (len(open_holders) - position)
        granted[holder] = min(wanted[holder], max(fair, 0))
        left -= granted[holder]
    _give_remainder(granted, wanted, left, reversed(open_holders))
    return granted


def _give_remainder(
    granted: dict[HolderKey, int],
    wanted: dict[HolderKey, int],
    left: int,
    holders: Iterable[HolderKey],
) -> None:
    for holder in holders:
        extra = min(left, wanted[holder] - granted[holder])
        if extra > 0:
            granted[holder] += extra
            left -= extra
