"""Standing for leader, and keeping the lease: the step log's leader over links."""

import random
from collections import Counter

import curio
from betterproto import Message

from pondtiller.address import Address
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.hashing import score
from pondtiller.links.frames import Encoded, encode_message
from pondtiller.peers.replicas import LeaderPlace, ReplicaDirectory
from pondtiller.process import clock, logs
from pondtiller.rollouts.steps import keys_of_ended_steps
from pondtiller.routes.places import Distance
from pondtiller.steplog.entry import Entry
from pondtiller.steplog.fault_tolerance import USUAL_RULES, PlaceRules, shortfall
from pondtiller.steplog.group import write_quorum
from pondtiller.steplog.group_policy import (
    MISSING_SECONDS,
    GroupInputs,
    next_members,
    spare_to_admit,
)
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

STAND_DELAY_SECONDS = 0.25
DELAY_PER_SLOWNESS_SECONDS = 0.15
LONGEST_HANDICAP_SECONDS = 0.5
NO_MEMBER_IN_ZONE_SECONDS = 0.1
NO_QUORUM_IN_REGION_SECONDS = 0.25
"""Each commit of such a leader waits for another region, 40 ms there and back: it stands after the
gateways of a region that holds a quorum, whose random delays are as long at most."""
BACKOFF_SECONDS = 0.5
DISAGREE_SECONDS = 0.1
"""Between two looks for a leader while some replicas name one and others none: nothing arrives when
the last word of a replica that is cut off gets too old."""


GROUP_LOOK_SECONDS = HEARTBEAT_SECONDS
"""Between two looks at the group where no replica came or went: what they look for lasts
`MISSING_SECONDS` or more. A look costs 1.1 ms, a third of what a leader at rest spent where it
looked ten times a second and more."""


class FirstGroupSource:
    """Agrees with the other daemons on the first group, once for the whole system."""

    async def first_group(self, candidates: tuple[GroupMember, ...]) -> Group | None:
        """Return the agreed group, or None while there is none."""
        raise NotImplementedError


class Duties:
    """What a leader does; told of the log's events."""

    async def begin(self, won: Won) -> None:
        """Take over."""
        raise NotImplementedError

    async def committed(self, key: str) -> None:
        """Take a write that is done."""
        raise NotImplementedError

    def loaded(self, entries: tuple[Entry, ...]) -> None:
        """Take values of the log that were not needed to begin."""
        raise NotImplementedError

    async def end(self, reason: StandDown) -> None:
        """Stop at once: another daemon may lead now."""
        raise NotImplementedError

    def retiring(self) -> frozenset[str]:
        """Return the names of replicas that are to be emptied."""
        raise NotImplementedError


class Leadership:
    """Drives a `LeaderLog`.

    Parameters
    ----------
    wanted_size
        Replicas that a group should have.
    cores
        Speed of this daemon's machine. A leader does the most work of all, so a slow machine
        stands later, and leads only where no faster one does.
    rules
        Which losses the group is to bear, and where zones lie.

    Attributes
    ----------
    started_at
        When this daemon started.
    shortfall
        Members more that this daemon's group would need to bear what is declared; 0 while it
        bears it, and while another daemon leads.
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
    ) -> None:
        identity = score("epoch", f"{name}/{clock.new_incarnation()}") & 0xFFFFFFFF
        self.log = LeaderLog(name, address.host, address.port, identity, keys_of_ended_steps)
        self.replicas = ReplicaDirectory(name, self._connected, self._lost, self.wake_up)
        self.started_at = clock.monotonic()
        self.may_stand = False
        self._has_resigned = False
        self.handicap = min(LONGEST_HANDICAP_SECONDS, DELAY_PER_SLOWNESS_SECONDS / cores)
        self.name = name
        self.zone = zone
        self._address = address
        self._wanted_size = wanted_size
        self._rules = rules or USUAL_RULES
        self.shortfall = 0
        self.losses = (wanted_size - 1) // 2
        self._first_group = first_group
        self._metrics = metrics
        self._duties: Duties | None = None
        self._wake = curio.Event()
        self._stand_at: float | None = None
        self._not_before = 0.0
        self._missing_since: dict[str, float] = {}
        self._next_group_look = 0.0
        self._last_encoded: tuple[Message, Encoded] | None = None
        self._random = random.Random(identity)

    def serve(self, duties: Duties) -> None:
        """Set what this daemon does when it leads."""
        self._duties = duties

    def leader(self) -> LeaderPlace | None:
        """Return the leader: this daemon where it leads, else whom the replicas name."""
        if self.log.holds_lease(clock.monotonic()):
            return LeaderPlace(self.name, self._address, self.log.epoch)
        return self.replicas.leader()

    async def run(self) -> None:
        """Stand when there is no leader, renew the lease while leading; until cancelled."""
        while True:
            self._wake.clear()
            now = clock.monotonic()
            self.log.tick(now)
            if self.log.is_leading:
                if now >= self._next_group_look:
                    self._next_group_look = now + GROUP_LOOK_SECONDS
                    self._change_group(now)
                self.log.flush(now)
            elif self.log.phase is Phase.IDLE:
                await self._consider_standing(now)
            await self._carry_out()
            await curio.ignore_after(self._pause(now), self._wake.wait)

    async def flush(self) -> None:
        """Send what was written."""
        self.log.flush(clock.monotonic())
        await self._carry_out()

    async def read_rest(self) -> None:
        """Read the values that were not needed to lead, now that the duties have begun."""
        self.log.holds_back = False
        await self._wake.set()

    async def resign(self) -> None:
        """Give leadership back, and do not stand again."""
        self._has_resigned = True
        self.log.resign()
        await self._carry_out()

    def _stand_delay(self) -> float:
        """Return how long to wait before standing.

        The daemon that ordered engines last comes first: it need not wait for its own orders.
        """
        if any(view.order_holder == self.name for view in self.replicas.views()):
            return 0.0
        delay = self.handicap + self._random.random() * STAND_DELAY_SECONDS
        members = self.replicas.group.members
        distances = {self._rules.places.distance(self.zone, each.zone) for each in members}
        if distances and Distance.SAME_ZONE not in distances:
            # Every write would cross zones to all members.
            delay += NO_MEMBER_IN_ZONE_SECONDS
        if self._is_far_from_quorum(members):
            delay += NO_QUORUM_IN_REGION_SECONDS
        return delay

    def _is_far_from_quorum(self, members: list[GroupMember]) -> bool:
        """Return whether each write would wait for another region, and for none elsewhere."""
        places, quorum = self._rules.places, write_quorum(len(members))
        near = [
            each
            for each in members
            if places.distance(self.zone, each.zone) < Distance.OTHER_REGION
        ]
        by_region = Counter(places.region(each.zone) for each in members)
        return len(near) < quorum <= max(by_region.values(), default=0)

    def member_links(self) -> list[int]:
        """Return the links of the group's members, the nearest first."""
        return self.log.member_links(self.zone, self._rules.places)

    def _pause(self, now: float) -> float:
        if self.log.phase is not Phase.IDLE:
            return HEARTBEAT_SECONDS / 3
        if self._stand_at is not None:
            return max(0.01, max(self._stand_at, self._not_before) - now)
        if self.replicas.disagree():
            return DISAGREE_SECONDS
        return 1.0

    # Standing

    async def _consider_standing(self, now: float) -> None:
        views = self.replicas.views()
        may_stand = self.may_stand and not self._has_resigned
        if not may_stand or not views or self.replicas.leader() is not None:
            self._stand_at = None
            return
        if self._stand_at is None:
            self._stand_at = now + self._stand_delay()
        if now < max(self._stand_at, self._not_before):
            return
        self._stand_at = now + BACKOFF_SECONDS + self._random.random() * BACKOFF_SECONDS
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
        self._missing_since.pop(member.name, None)
        self._next_group_look = 0.0
        self.log.connected(number, member, clock.monotonic())
        await self._carry_out()

    async def _lost(self, number: int) -> None:
        self._next_group_look = 0.0
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
        self._next_group_look = 0.0
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
            self._not_before = clock.monotonic() + deposed.wait_seconds + delay
        logs.decision(
            "leader_ended",
            reason=deposed.reason.value,
            highest_epoch=self.replicas.highest_epoch,
            wait=deposed.wait_seconds,
        )
        self.shortfall = 0
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

    # The group

    def _note_shortfall(self, now: float) -> None:
        """Tell when the members that are not missing begin or cease to bear what is declared."""
        members, since = self.log.group.members, self._missing_since
        present = [each for each in members if now < since.get(each.name, now) + MISSING_SECONDS]
        lacking = shortfall(present, len(members), self._rules)
        if bool(lacking) != bool(self.shortfall):
            tolerance = self._rules.tolerance
            logs.decision(
                "group_bears_losses" if not lacking else "group_bears_too_little",
                generation=self.log.group.generation,
                members=len(members),
                present=len(present),
                zones=",".join(sorted(each.zone for each in present)),
                shortfall=lacking,
                to_bear=f"machines={tolerance.machines};zones={tolerance.zones};"
                f"regions={tolerance.regions}",
            )
        self.shortfall = lacking

    def _change_group(self, now: float) -> None:
        synced = tuple(self.log.synced_members())
        names = {member.name for member in synced}
        for member in self.log.group.members:
            if member.name in names:
                self._missing_since.pop(member.name, None)
            else:
                self._missing_since.setdefault(member.name, now)
        if self.log.next_group is not None or not self.log.group.generation:
            return
        retiring = self._duties.retiring() if self._duties is not None else frozenset()
        inputs = GroupInputs(
            self.log.group,
            synced,
            dict(self._missing_since),
            retiring,
            self._wanted_size,
            tuple(follower.member for follower in self.log.followers.values()),
            self._rules,
        )
        self._note_shortfall(now)
        spare = spare_to_admit(inputs, now)
        if spare is not None and spare.name not in self.log.admitted:
            logs.decision("replica_admitted", replica=spare.name, disk=spare.disk)
            self.log.admit(spare.name, now)
        members = next_members(inputs, now)
        if members is not None:
            logs.decision(
                "group_change",
                generation=self.log.group.generation + 1,
                members=",".join(f"{each.name}/{each.disk}" for each in members),
                missing=",".join(sorted(self._missing_since)),
                retiring=",".join(sorted(retiring)),
            )
            self.log.change_group(members)
