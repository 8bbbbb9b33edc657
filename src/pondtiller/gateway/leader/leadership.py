"""Election of the leader and renewal of its lease: drives the leader's step log over links.

Holds the links to the replicas and the messages on them; nothing of it outlives the process. The
log's logic is in `steplog/leader.py`, the time of a candidacy in `candidacy.py`, the maintenance of
the group in `group_maintenance.py`, and the work of a term in `duties.py`.
"""

import random
from typing import Protocol

import curio
from betterproto import Message

from pondtiller.address import Address
from pondtiller.gateway.leader.candidacy import (
    Candidacy,
    CandidateLocation,
    CandidateView,
    election_delay,
    handicap,
)
from pondtiller.gateway.leader.group_maintenance import GroupMaintenance
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.hashing import score
from pondtiller.links.frames import Encoded, encode_message
from pondtiller.peers.replicas import KnownLeader, ReplicaDirectory
from pondtiller.process import clock, logs
from pondtiller.process.stalls import StallWatch
from pondtiller.rollouts.step_keys import keys_of_ended_steps
from pondtiller.steplog.entry import Entry
from pondtiller.steplog.fault_tolerance import DEFAULT_RULES, GroupRules
from pondtiller.steplog.instructions import (
    Committed,
    DeferredLoaded,
    ElectionWon,
    Phase,
    Send,
    StepDownReason,
    SteppedDown,
)
from pondtiller.steplog.leader import LeaderLog
from pondtiller.steplog.term_rules import HEARTBEAT_SECONDS
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

DISAGREE_SECONDS = 0.1
"""Interval at which a gateway looks for a leader while some replicas name one and others do not. No
message arrives when the last view of a disconnected replica becomes outdated."""
MIN_PAUSE_SECONDS = 0.01
"""Shortest interval between two checks of a candidate, so that an early one does not repeat in a
busy loop."""
MAX_PAUSE_SECONDS = 1.0
"""Longest interval between two checks of an idle gateway, which costs one wake-up a second;
messages of replicas wake it earlier."""


class FirstGroupSource(Protocol):
    """Agrees with the other gateways on the first group, once for the whole system."""

    async def first_group(self, candidates: tuple[GroupMember, ...]) -> Group | None:
        """Return the agreed group, or None if there is none yet."""


class Duties(Protocol):
    """Callbacks for the log's events while this gateway is the leader."""

    async def begin(self, won: ElectionWon) -> None:
        """Start a term."""

    async def committed(self, key: str) -> None:
        """Handle a committed write."""

    def loaded(self, entries: tuple[Entry, ...]) -> None:
        """Add values of the log whose reading was deferred at the start of the term."""

    async def end(self, reason: StepDownReason) -> None:
        """Stop at once: another gateway may be the leader now."""

    def retiring(self) -> frozenset[str]:
        """Return the names of the replicas that are to be drained."""


class Leadership:
    """Drives a `LeaderLog`.

    Parameters
    ----------
    wanted_size
        Wanted number of replicas in the group.
    cores
        Speed of this gateway's machine, in cores: a slow one leads only if there is no faster one.
    rules
        Losses that the group must tolerate, and the regions of zones.
    stalls
        Measures pauses of this process; without it no pauses are seen.

    Attributes
    ----------
    started_at
        When this gateway started, in monotonic time.
    may_campaign
        Whether this gateway is ready to become the leader.
    handicap
        Additional delay of its candidacies compared with a fast machine, in seconds.
    losses
        How many members of a group of the wanted size may fail at the same time.
    """

    def __init__(
        self,
        name: str,
        address: Address,
        cores: float,
        wanted_size: int,
        first_group: FirstGroupSource,
        metrics: GatewayMetrics,
        zone: str = "",
        rules: GroupRules | None = None,
        stalls: StallWatch | None = None,
    ) -> None:
        identity = score("epoch", f"{name}/{clock.new_incarnation()}") & 0xFFFFFFFF
        self.log = LeaderLog(name, address.host, address.port, identity, keys_of_ended_steps)
        self.replicas = ReplicaDirectory(name, self._connected, self._lost, self.wake_up)
        self.started_at = clock.monotonic()
        self.may_campaign = False
        self._has_resigned = False
        self.handicap = handicap(cores)
        self.name = name
        self.zone = zone
        self._address = address
        self._rules = rules or DEFAULT_RULES
        self.group_maintenance = GroupMaintenance(self.log, wanted_size, self._rules)
        self.losses = (wanted_size - 1) // 2
        self._stalls = stalls or StallWatch()
        self._awaits_renewal = False
        self._first_group = first_group
        self._metrics = metrics
        self._duties: Duties | None = None
        self._wake = curio.Event()
        self._last_encoded: tuple[Message, Encoded] | None = None
        self._random = random.Random(identity)
        self._candidacy = Candidacy(self._random)

    def serve(self, duties: Duties) -> None:
        """Set the callbacks for the time in which this gateway is the leader."""
        self._duties = duties

    @property
    def shortfall(self) -> int:
        """Additional members that the group would need; see `GroupMaintenance.shortfall`."""
        return self.group_maintenance.shortfall

    def leader(self) -> KnownLeader | None:
        """Return the leader: this gateway if it is one, otherwise the one that replicas name."""
        if self.log.holds_lease(clock.monotonic()):
            return KnownLeader(self.name, self._address, self.log.epoch)
        return self.replicas.leader()

    async def run(self) -> None:
        """Campaign if there is no leader, renew the lease while leading; runs until cancelled."""
        while True:
            self._wake.clear()
            now = clock.monotonic()
            self.log.tick(now, self._stalls.running_seconds())
            self._log_renewal(now)
            if self.log.is_leading:
                if self.group_maintenance.is_due(now):
                    self.group_maintenance.check(self._retiring(), now)
                self.log.flush(now)
            elif self.log.phase is Phase.IDLE:
                await self._campaign_if_due(now)
            await self._carry_out()
            await curio.ignore_after(self._pause(now), self._wake.wait)

    def _log_renewal(self, now: float) -> None:
        """Log when a lease that expired in a pause awaits its renewal, and when it is renewed."""
        if self.log.awaits_renewal is self._awaits_renewal:
            return
        self._awaits_renewal = self.log.awaits_renewal
        if self._awaits_renewal:
            seconds = now - self.log.lease_until()
            logs.decision("lease_ended_in_pause", epoch=self.log.epoch, seconds=seconds)
        elif self.log.is_leading:
            logs.decision("lease_renewed", epoch=self.log.epoch)

    async def flush(self) -> None:
        """Send pending writes."""
        self.log.flush(clock.monotonic())
        await self._carry_out()

    async def read_deferred(self) -> None:
        """Read the deferred values of the log, now that the term has started."""
        self.log.defers_reads = False
        await self._wake.set()

    async def resign(self) -> None:
        """Give up leadership for good."""
        self._has_resigned = True
        self.log.resign()
        await self._carry_out()

    def _election_delay(self) -> float:
        place = CandidateLocation(
            self.handicap,
            self.zone,
            self.replicas.group.members,
            self._rules.topology,
            any(view.order_holder == self.name for view in self.replicas.views()),
        )
        return election_delay(place, self._random)

    def _retiring(self) -> frozenset[str]:
        return self._duties.retiring() if self._duties is not None else frozenset()

    def member_links(self) -> list[int]:
        """Return the links of the group's members, nearest first."""
        return self.log.member_links(self.zone, self._rules.topology)

    def _pause(self, now: float) -> float:
        if self.log.phase is not Phase.IDLE:
            return HEARTBEAT_SECONDS / 3
        campaign_at = self._candidacy.next_at()
        if campaign_at is not None:
            return max(MIN_PAUSE_SECONDS, campaign_at - now)
        if self.replicas.disagree():
            return DISAGREE_SECONDS
        return MAX_PAUSE_SECONDS

    # Election

    async def _campaign_if_due(self, now: float) -> None:
        views = self.replicas.views()
        candidate = CandidateView(
            self.may_campaign and not self._has_resigned,
            bool(views),
            self.replicas.leader() is not None,
        )
        if not self._candidacy.is_due(candidate, now, self._election_delay):
            return
        group = Group()
        known = max((view.group for view in views), key=lambda each: each.generation)
        if not known.generation:
            candidates = tuple(view.replica for view in views if view.may_form)
            found = await self._first_group.first_group(candidates)
            if found is None:
                return
            group = found
        logs.decision(
            "standing",
            highest_epoch=self.replicas.highest_epoch,
            replicas=len(views),
            generation=known.generation,
        )
        self.log.campaign(self.replicas.highest_epoch, group, clock.monotonic(), known)

    # Connections to replicas

    async def wake_up(self) -> None:
        """Check at once whether to campaign."""
        await self._wake.set()

    async def _connected(self, number: int, member: GroupMember) -> None:
        self.group_maintenance.connected(member)
        self.group_maintenance.check_soon()
        self.log.connected(number, member, clock.monotonic())
        await self._carry_out()

    async def _lost(self, number: int) -> None:
        self.group_maintenance.check_soon()
        self.log.lost(number)
        await self._carry_out()

    async def _carry_out(self) -> None:
        while True:
            instructions = self.log.pop_instructions()
            if not instructions:
                return
            for instruction in instructions:
                match instruction:
                    case Send():
                        await self._send(instruction)
                    case ElectionWon():
                        await self._won(instruction)
                    case DeferredLoaded():
                        if self._duties is not None:
                            self._duties.loaded(instruction.entries)
                    case Committed():
                        if self._duties is not None:
                            await self._duties.committed(instruction.key)
                    case SteppedDown():
                        await self._deposed(instruction)

    async def _won(self, won: ElectionWon) -> None:
        self._metrics.takeovers += 1
        self.group_maintenance.check_soon()
        logs.decision(
            "leader_won",
            epoch=won.epoch,
            entries=len(won.entries),
            deferred=len(won.deferred),
            order_holder=won.order_holder,
        )
        await self.replicas.set_keeps_all(True)
        if self._duties is not None:
            self.log.defers_reads = True
            await self._duties.begin(won)

    async def _deposed(self, deposed: SteppedDown) -> None:
        self.replicas.highest_epoch = max(self.replicas.highest_epoch, deposed.highest_epoch)
        if deposed.wait_seconds:
            # Nobody can lead before that lease expires; the delay separates the candidates.
            delay = self._election_delay()
            self._candidacy.note_refusal(clock.monotonic() + deposed.wait_seconds + delay)
        logs.decision(
            "leader_ended",
            reason=deposed.reason.value,
            highest_epoch=self.replicas.highest_epoch,
            wait=deposed.wait_seconds,
        )
        self.group_maintenance.term_ended()
        await self.replicas.set_keeps_all(False)
        if self._duties is not None:
            await self._duties.end(deposed.reason)

    async def _send(self, send: Send) -> None:
        link = self.replicas.link(send.link)
        if link is None:
            return
        number = send.link
        match send.message:
            case Resign():
                await link.send(send.message)
            case Prepare() | Append() | Fetch():
                epoch = self.log.epoch

                async def answered(answer: Message) -> None:
                    if self.log.epoch == epoch:
                        await self._answered(number, answer)

                await link.request(self._encoded(send.message), answered)

    def _encoded(self, message: Message) -> Encoded:
        """Encode a message once, even if it goes to several replicas."""
        if self._last_encoded is None or self._last_encoded[0] is not message:
            self._last_encoded = (message, encode_message(message))
        return self._last_encoded[1]

    async def _answered(self, number: int, answer: Message) -> None:
        now = clock.monotonic()
        match answer:
            case Promise():
                self.log.promised(number, answer, now)
            case Fetched():
                self.log.fetched(number, answer, now)
            case Appended():
                self.log.appended(number, answer, now)
        await self._carry_out()
