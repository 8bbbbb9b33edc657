"""SWIM membership: random probes, indirect probes, suspicion and refutation.

Updates are piggybacked on the probes. A member that leaves announces it itself (`LEAVING`); a
member that does not answer is suspected, and declared dead if nobody refutes that in time. The cost
for a member is one probe a period, independent of the number of members.
"""

import math
import random
from dataclasses import dataclass, replace

from pondtiller import wire
from pondtiller.coordination.deadlines import DeadlineIndex
from pondtiller.coordination.member import Member, MemberStatus
from pondtiller.coordination.outbound import Outbound


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Timing of the failure detector, in seconds, and sizes of its messages."""

    probe_seconds: float = 1.0
    acknowledge_seconds: float = 0.3
    suspicion_periods: float = 3.0
    reconnect_seconds: float = 5.0
    synchronize_seconds: float = 30.0
    forget_dead_seconds: float = 7200.0
    indirect_probes: int = 3
    updates_a_message: int = 8
    retransmit_factor: float = 2.0
    rumor_fanout: int = 3
    worst_health: int = 4


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A member's state changed in this member's view."""

    member: Member


@dataclass(slots=True)
class _Probe:
    target: str
    requester: str | None = None
    requester_sequence: int = 0


class Membership:
    """One member's view of all members.

    Parameters
    ----------
    member
        This member as others should see it; its status must be `ALIVE`.
    seeds
        Members to contact at the start; their own statements override these.
    settings
        Timing and sizes.
    source
        Seeded random source for the choice of probes.
    """

    def __init__(
        self,
        member: Member,
        seeds: list[Member],
        settings: MembershipSettings,
        source: random.Random,
    ) -> None:
        self.settings = settings
        self.name = member.name
        self.members: dict[str, Member] = {}
        self._source = source
        self._sends_left: dict[str, int] = {}
        self._probe_order: list[str] = []
        self._probes: dict[int, _Probe] = {}
        self._sequence = 0
        self._deadlines: DeadlineIndex[tuple[str, str | int]] = DeadlineIndex()
        self._outputs: list[Outbound] = []
        self._changes: list[MemberChanged] = []
        self._full_sync: set[str] = set()
        self._compare_with: set[str] = set()
        self._live: list[str] | None = None
        self._view_digest = 0
        self._encoded: dict[str, bytes] = {}
        self._held: set[bytes] = set()
        self._health = 0
        self._store(member)
        for seed in seeds:
            if seed.name != member.name:
                self._store(seed)
                self._full_sync.add(seed.name)
        self._deadlines.set(("probe", ""), 0.0)
        self._deadlines.set(("reconnect", ""), settings.reconnect_seconds)
        first_synchronization = source.uniform(0.5, 1.0) * settings.synchronize_seconds
        self._deadlines.set(("synchronize", ""), first_synchronization)

    @property
    def this_member(self) -> Member:
        """Entry of the member that runs this."""
        return self.members[self.name]

    def live_names(self) -> list[str]:
        """Return the sorted names of members that may hold duties."""
        if self._live is None:
            live = (name for name, member in self.members.items() if member.is_live)
            self._live = sorted(live)
        return self._live

    def live_names_in(self, zone: str) -> list[str]:
        """Return the sorted names of the live members of one zone."""
        return [name for name in self.live_names() if self.members[name].zone == zone]

    def next_deadline(self) -> float | None:
        """Return when `run` should be called next."""
        return self._deadlines.next_due()

    def take_outputs(self) -> list[Outbound]:
        """Return and clear the messages to send."""
        outputs, self._outputs = self._outputs, []
        return outputs

    def take_changes(self) -> list[MemberChanged]:
        """Return and clear the changes of view since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def leave(self) -> None:
        """Announce that this member accepts no new work."""
        self._store(replace(self.this_member, status=MemberStatus.LEAVING))
        self._queue_update(self.name)
        self._send_rumors()

    def _send_rumors(self) -> None:
        for target in self.random_live(self.settings.rumor_fanout):
            self._sequence += 1
            self._send(target, wire.Ping(sequence=self._sequence))

    def random_live(self, count: int) -> list[str]:
        """Return up to `count` other live members, drawn at random."""
        others = [name for name in self.live_names() if name != self.name]
        return self._source.sample(others, min(count, len(others)))

    def updates_for(self, target: str) -> list[bytes]:
        """Return the encoded statements to piggyback on a message to `target`."""
        if target in self._full_sync:
            self._full_sync.discard(target)
            return list(self._encoded.values())
        fresh = sorted(self._sends_left, key=lambda name: -self._sends_left[name])
        chosen = fresh[: self.settings.updates_a_message]
        for name in chosen:
            self._sends_left[name] -= 1
            if self._sends_left[name] <= 0:
                del self._sends_left[name]
        return [self._encoded[name] for name in chosen]

    def receive_updates(self, sender: str, updates: list[bytes], now: float) -> None:
        """Merge the statements of `sender` about members; known ones are not decoded."""
        if sender not in self.members:
            self._full_sync.add(sender)
        for data in updates:
            update = None if data in self._held else Member.decode(data)
            if update is not None:
                self._merge(update, now)

    def note_sender(self, sender: str, incarnation: int) -> None:
        """Send the full view to a sender that counts as dead or is unknown here."""
        known = self.members.get(sender)
        outdated = known is None or known.incarnation < incarnation
        if outdated or (known is not None and known.status is MemberStatus.DEAD):
            self._full_sync.add(sender)

    def receive(
        self, sender: str, message: wire.Ping | wire.Ack | wire.IndirectPing, now: float
    ) -> None:
        """Handle one message of the failure detector."""
        if isinstance(message, wire.Ping):
            self._send(sender, wire.Ack(sequence=message.sequence))
        elif isinstance(message, wire.IndirectPing):
            self._start_probe(message.target, now, sender, message.sequence)
        else:
            self._receive_ack(message)

    def run(self, now: float) -> None:
        """Do what is due: start probes, request indirect ones, suspect, declare dead."""
        for kind, key in self._deadlines.take_due(now):
            if kind == "probe":
                self._probe_next(now)
            elif kind == "indirect":
                self._ask_others(int(key))
            elif kind == "unanswered":
                self._end_probe(int(key), now)
            elif kind == "suspicion":
                self._declare_dead(str(key), now)
            elif kind == "forget":
                self._forget(str(key))
            elif kind == "reconnect":
                self._probe_dead(now)
            elif kind == "synchronize":
                self._synchronize(now)

    def _send(self, target: str, message: wire.Ping | wire.Ack | wire.IndirectPing) -> None:
        if target in self.members:
            self._outputs.append(Outbound(target, message))

    def _probe_next(self, now: float) -> None:
        self._deadlines.set(("probe", ""), now + self.settings.probe_seconds)
        while self._probe_order:
            target = self._probe_order.pop()
            if self._is_probed(target):
                self._start_probe(target, now)
                return
        self._probe_order = [name for name in sorted(self.members) if self._is_probed(name)]
        self._source.shuffle(self._probe_order)
        if self._probe_order:
            self._start_probe(self._probe_order.pop(), now)

    def _is_probed(self, name: str) -> bool:
        member = self.members.get(name)
        return name != self.name and member is not None and member.status != MemberStatus.DEAD

    def _start_probe(
        self, target: str, now: float, requester: str | None = None, requester_sequence: int = 0
    ) -> None:
        self._sequence += 1
        self._probes[self._sequence] = _Probe(target, requester, requester_sequence)
        self._send(target, wire.Ping(sequence=self._sequence))
        if requester is None:
            due = now + self.settings.acknowledge_seconds * self._patience()
            self._deadlines.set(("indirect", self._sequence), due)
        due = now + self.settings.probe_seconds * self._patience()
        self._deadlines.set(("unanswered", self._sequence), due)

    def _ask_others(self, sequence: int) -> None:
        probe = self._probes.get(sequence)
        if probe is None:
            return
        helpers = [name for name in self.live_names() if name not in (self.name, probe.target)]
        chosen = self._source.sample(helpers, min(self.settings.indirect_probes, len(helpers)))
        for helper in chosen:
            self._send(helper, wire.IndirectPing(sequence=sequence, target=probe.target))

    def _receive_ack(self, message: wire.Ack) -> None:
        probe = self._probes.pop(message.sequence, None)
        self._deadlines.clear(("indirect", message.sequence))
        self._deadlines.clear(("unanswered", message.sequence))
        if probe is None:
            return
        self._health = max(0, self._health - 1)
        if probe.requester is not None:
            self._send(probe.requester, wire.Ack(sequence=probe.requester_sequence))

    def _end_probe(self, sequence: int, now: float) -> None:
        probe = self._probes.pop(sequence, None)
        if probe is None or probe.requester is not None:
            return
        self._health = min(self.settings.worst_health, self._health + 1)
        member = self.members.get(probe.target)
        if member is not None and member.status in (
            MemberStatus.ALIVE,
            MemberStatus.LEAVING,
        ):
            self._merge(replace(member, status=MemberStatus.SUSPECT), now)

    def _suspicion_seconds(self) -> float:
        scale = max(1.0, math.log10(len(self.members) + 1))
        periods = self.settings.suspicion_periods * scale
        return periods * self.settings.probe_seconds * self._patience()

    def _patience(self) -> int:
        """Return the factor by which to lengthen timeouts.

        A member whose probes keep failing is more likely slow or disconnected itself than all
        others are dead, so it suspects others later (as in Lifeguard).
        """
        return 1 + self._health

    def _declare_dead(self, name: str, now: float) -> None:
        member = self.members.get(name)
        if member is not None and member.status is MemberStatus.SUSPECT:
            self._merge(replace(member, status=MemberStatus.DEAD), now)

    def _forget(self, name: str) -> None:
        member = self.members.get(name)
        if member is not None and member.status is MemberStatus.DEAD:
            del self.members[name]
            self._held.discard(self._encoded.pop(name))
            self._sends_left.pop(name, None)

    def _probe_dead(self, now: float) -> None:
        """Probe one dead member, so that the sides of a healed partition find each other."""
        self._deadlines.set(("reconnect", ""), now + self.settings.reconnect_seconds)
        dead = [
            name
            for name, member in sorted(self.members.items())
            if member.status is MemberStatus.DEAD
        ]
        if dead:
            target = self._source.choice(dead)
            self._full_sync.add(target)
            self._start_probe(target, now)

    def _synchronize(self, now: float) -> None:
        """Compare views with one member; the full view is sent only if they differ."""
        self._deadlines.set(("synchronize", ""), now + self.settings.synchronize_seconds)
        for target in self.random_live(1):
            self._compare_with.add(target)
            self._start_probe(target, now)

    def digest_for(self, target: str) -> int:
        """Return the digest of the view if `target` should compare it, otherwise 0."""
        if target not in self._compare_with:
            return 0
        self._compare_with.discard(target)
        return self._view_digest

    def receive_digest(self, sender: str, digest: int) -> None:
        """Send the full view to a member whose view differs, and request its own."""
        if digest not in (0, self._view_digest):
            self._full_sync.add(sender)
            self._compare_with.add(sender)

    def _store(self, member: Member) -> None:
        known = self.members.get(member.name)
        if known is not None:
            self._view_digest ^= known.digest
        self._view_digest ^= member.digest
        self._held.discard(self._encoded.get(member.name, b""))
        self._encoded[member.name] = member.encode()
        self._held.add(self._encoded[member.name])
        self.members[member.name] = member
        self._live = None

    def _merge(self, update: Member, now: float) -> None:
        if update.name == self.name:
            self._refute(update)
            return
        known = self.members.get(update.name)
        if known is None and update.status is MemberStatus.DEAD:
            return
        if known is not None and update.precedence <= known.precedence:
            return
        self._store(update)
        self._changes.append(MemberChanged(update))
        self._queue_update(update.name)
        self._schedule_status(update, now)

    def _schedule_status(self, member: Member, now: float) -> None:
        self._deadlines.clear(("suspicion", member.name))
        self._deadlines.clear(("forget", member.name))
        if member.status is MemberStatus.SUSPECT:
            self._deadlines.set(("suspicion", member.name), now + self._suspicion_seconds())
        elif member.status is MemberStatus.DEAD:
            due = now + self.settings.forget_dead_seconds
            self._deadlines.set(("forget", member.name), due)

    def _refute(self, update: Member) -> None:
        mine = self.this_member
        if update.incarnation != mine.incarnation or update.precedence <= mine.precedence:
            return
        self._store(replace(mine, refutation=update.refutation + 1))
        self._queue_update(self.name)
        self._send_rumors()

    def _queue_update(self, name: str) -> None:
        scale = math.ceil(math.log2(len(self.members) + 2))
        self._sends_left[name] = int(self.settings.retransmit_factor * scale)
