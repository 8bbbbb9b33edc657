"""Standing for leader, and keeping the lease: the step log's leader over links.

Owns the links to replicas and the messages on them; nothing of it outlives the process. The log's
side is `steplog/leader.py`, when to stand `standing.py`, the members of the group
`group_upkeep.py`. What a leader does with its term is `duties.py`'s.
"""

import random
from typing import Protocol

import curio
from betterproto import Message

from pondtiller.address import Address
from pondtiller.gateway.leader.group_upkeep import GroupUpkeep
from pondtiller.gateway.leader.standing import (
    Candidacy,
    CandidatePlace,
    CandidateView,
    handicap,
    stand_delay,
)
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.hashing import score
from pondtiller.links.frames import Encoded, encode_message
from pondtiller.peers.replicas import LeaderPlace, ReplicaDirectory
from pondtiller.process import clock, logs
from pondtiller.process.stalls import StallWatch
from pondtiller.rollouts.step_keys import keys_of_ended_steps
from pondtiller.steplog.entry import Entry
from pondtiller.steplog.fault_tolerance import USUAL_RULES, PlaceRules
from pondtiller.steplog.instructions import (
    Committed,
    Deposed,
    Loaded,
    Phase,
    Send,
    StandDown,
    Won,
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
"""Between two looks for a leader while some replicas name one and others none: nothing arrives when
the last word of a replica that is cut off gets too old."""
SHORTEST_PAUSE_SECONDS = 0.01
"""Between two looks of a candidate: a look that comes early does not repeat at once."""
LONGEST_PAUSE_SECONDS = 1.0
"""Between two looks of a gateway that has nothing to do: replicas' news wake it before. Chosen, not
measured: it costs one look a second."""


class FirstGroupSource(Protocol):
    """Agrees with the other gateways on the first group, once for the whole system."""

    async def first_group(self, candidates: tuple[GroupMember, ...]) -> Group | None:
        """Return the agreed group, or None while there is none."""


class Duties(Protocol):
    """What a leader does; called for each event of the log."""

    async def begin(self, won: Won) -> None:
        """Take over."""

    async def committed(self, key: str) -> None:
        """Take a write that is done."""

    def loaded(self, entries: tuple[Entry, ...]) -> None:
        """Take values of the log that were not needed to begin."""

    async def end(self, reason: StandDown) -> None:
        """Stop at once: another gateway may lead now."""

    def retiring(self) -> frozenset[str]:
        """Return the names of replicas that are to be emptied."""


class Leadership:
    """Drives a `LeaderLog`.

    Parameters
    ----------
    wanted_size
        Replicas that a group should have.
    cores
        Speed of this gateway's machine: a slow one leads only where no faster one does.
    rules
        Which losses the group is to bear, and where zones lie.
    stalls
        Knows how long this process was paused; a watch that sees no pause where it is None.

    Attributes
    ----------
    started_at
        When this gateway started, on the steady clock.
    may_stand
        Whether it is ready to lead.
    handicap
        How much later it stands than a fast machine, in seconds.
    losses
        How many members of a group of the wanted size may be lost at a time.
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
        rules: PlaceRules | None = None,
        stalls: StallWatch | None = None,
    ) -> None:
        identity = score("epoch", f"{name}/{clock.new_incarnation()}") & 0xFFFFFFFF
        self.log = LeaderLog(name, address.host, address.port, identity, keys_of_ended_steps)
        self.replicas = ReplicaDirectory(name, self._connected, self._lost, self.wake_up)
        self.started_at = clock.monotonic()
        self.may_stand = False
        self._has_resigned = False
        self.handicap = handicap(cores)
        self.name = name
        self.zone = zone
        self._address = address
        self._rules = rules or USUAL_RULES
        self.group_upkeep = GroupUpkeep(self.log, wanted_size, self._rules)
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
        """Set what this gateway does when it leads."""
        self._duties = duties

    @property
    def shortfall(self) -> int:
        """Members more that the group would need; see `GroupUpkeep.shortfall`."""
        return self.group_upkeep.shortfall

    def leader(self) -> LeaderPlace | None:
        """Return the leader: this gateway where it leads, else whom the replicas name."""
        if self.log.holds_lease(clock.monotonic()):
            return LeaderPlace(self.name, self._address, self.log.epoch)
        return self.replicas.leader()

    async def run(self) -> None:
        """Stand when there is no leader, renew the lease while leading; until cancelled."""
        while True:
            self._wake.clear()
            now = clock.monotonic()
            self.log.tick(now, self._stalls.running_seconds())
            self._log_renewal(now)
            if self.log.is_leading:
                if self.group_upkeep.is_due(now):
                    self.group_upkeep.look(self._retiring(), now)
                self.log.flush(now)
            elif self.log.phase is Phase.IDLE:
                await self._consider_standing(now)
            await self._carry_out()
            await curio.ignore_after(self._pause(now), self._wake.wait)

    def _log_renewal(self, now: float) -> None:
        """Tell when a lease that ended in a pause is to be renewed, and when it was."""
        if self.log.awaits_renewal is self._awaits_renewal:
            return
        self._awaits_renewal = self.log.awaits_renewal
        if self._awaits_renewal:
            seconds = now - self.log.lease_until()
            logs.decision("lease_ended_in_pause", epoch=self.log.epoch, seconds=seconds)
        elif self.log.is_leading:
            logs.decision("lease_renewed", epoch=self.log.epoch)

    async def flush(self) -> None:
        """Send what was written."""
        self.log.flush(clock.monotonic())
        await self._carry_out()

    async def read_rest(self) -> None:
        """Read the values that were not needed to lead, now that the term has begun."""
        self.log.holds_back = False
        await self._wake.set()

    async def resign(self) -> None:
        """Give leadership back, and do not stand again."""
        self._has_resigned = True
        self.log.resign()
        await self._carry_out()

    def _stand_delay(self) -> float:
        place = CandidatePlace(
            self.handicap,
            self.zone,
            self.replicas.group.members,
            self._rules.places,
            any(view.order_holder == self.name for view in self.replicas.views()),
        )
        return stand_delay(place, self._random)

    def _retiring(self) -> frozenset[str]:
        return self._duties.retiring() if self._duties is not None else frozenset()

    def member_links(self) -> list[int]:
        """Return the links of the group's members, the nearest first."""
        return self.log.member_links(self.zone, self._rules.places)

    def _pause(self, now: float) -> float:
        if self.log.phase is not Phase.IDLE:
            return HEARTBEAT_SECONDS / 3
        stand_at = self._candidacy.next_at()
        if stand_at is not None:
            return max(SHORTEST_PAUSE_SECONDS, stand_at - now)
        if self.replicas.disagree():
            return DISAGREE_SECONDS
        return LONGEST_PAUSE_SECONDS

    # Standing

    async def _consider_standing(self, now: float) -> None:
        views = self.replicas.views()
        candidate = CandidateView(
            self.may_stand and not self._has_resigned,
            bool(views),
            self.replicas.leader() is not None,
        )
        if not self._candidacy.is_due(candidate, now, self._stand_delay):
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
        self.log.stand(self.replicas.highest_epoch, group, clock.monotonic(), known)

    # Links

    async def wake_up(self) -> None:
        """Look at once whether to stand."""
        await self._wake.set()

    async def _connected(self, number: int, member: GroupMember) -> None:
        self.group_upkeep.connected(member)
        self.group_upkeep.look_soon()
        self.log.connected(number, member, clock.monotonic())
        await self._carry_out()

    async def _lost(self, number: int) -> None:
        self.group_upkeep.look_soon()
        self.log.lost(number)
        await self._carry_out()

    async def _carry_out(self) -> None:
        while True:
            instructions = self.log.take()
            if not instructions:
                return
            for instruction in instructions:
                match instruction:
                    case Send():
                        await self._send(instruction)
                    case Won():
                        await self._won(instruction)
                    case Loaded():
                        if self._duties is not None:
                            self._duties.loaded(instruction.entries)
                    case Committed():
                        if self._duties is not None:
                            await self._duties.committed(instruction.key)
                    case Deposed():
                        await self._deposed(instruction)

    async def _won(self, won: Won) -> None:
        self._metrics.takeovers += 1
        self.group_upkeep.look_soon()
        logs.decision(
            "leader_won",
            epoch=won.epoch,
            entries=len(won.entries),
            deferred=len(won.deferred),
            order_holder=won.order_holder,
        )
        await self.replicas.set_keeps_all(True)
        if self._duties is not None:
            self.log.holds_back = True
            await self._duties.begin(won)

    async def _deposed(self, deposed: Deposed) -> None:
        self.replicas.highest_epoch = max(self.replicas.highest_epoch, deposed.highest_epoch)
        if deposed.wait_seconds:
            # Nobody can lead before that lease ends; the delay keeps candidates apart.
            delay = self._stand_delay()
            self._candidacy.refused(clock.monotonic() + deposed.wait_seconds + delay)
        logs.decision(
            "leader_ended",
            reason=deposed.reason.value,
            highest_epoch=self.replicas.highest_epoch,
            wait=deposed.wait_seconds,
        )
        self.group_upkeep.term_ended()
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
        """Encode a message that goes to several replicas only once."""
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
