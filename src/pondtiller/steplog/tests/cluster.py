"""A deterministic cluster of replicas and daemons on a virtual clock, for the tests.

Messages may be delayed and links break at any moment; replicas lose power (unacknowledged writes
may be kept or lost), lose their disks, freeze and are replaced; daemons freeze and die. Every
daemon that leads writes numbered keys and remembers, outside of the system, what was reported as
committed. A key's committed value must never change or disappear.
"""

import heapq
import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from pondtiller.steplog.group_policy import GroupInputs, next_members, spare_to_admit
from pondtiller.steplog.holder import HOLDER_PREFIX
from pondtiller.steplog.instructions import (
    Committed,
    DeferredLoaded,
    ElectionWon,
    Phase,
    Send,
    SteppedDown,
)
from pondtiller.steplog.leader import LeaderLog
from pondtiller.steplog.replica import Replica
from pondtiller.wire.steplog import (
    Append,
    DiskRecord,
    Fetch,
    Group,
    GroupMember,
    Prepare,
    Resign,
)


@dataclass
class Disk:
    """Records on one replica's disk; the first `synced` of them survive a power loss."""

    name: str
    records: list[DiskRecord] = field(default_factory=list)
    synced: int = 0
    free_at: float = 0.0


@dataclass
class Node:
    """A replica's machine."""

    name: str
    disk: Disk
    replica: Replica | None
    frozen_until: float = 0.0
    may_form: bool = True
    is_gone: bool = False
    wipes: int = 0


@dataclass
class Daemon:
    """A daemon that may become the leader."""

    name: str
    log: LeaderLog
    links: dict[int, str] = field(default_factory=dict)
    frozen_until: float = 0.0
    frozen_seconds: float = 0.0
    written: int = 0
    is_cut_from: set[str] = field(default_factory=set)
    campaign_at: float | None = None


class ViolationError(AssertionError):
    """A guarantee of the step log was violated."""


class Cluster:
    """The simulated system of one seed."""

    def __init__(self, seed: int, replicas: int = 3, daemons: int = 3) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.nodes = {f"r{number}": self._new_node(f"r{number}") for number in range(replicas)}
        self.first_group = Group(
            generation=1, members=[self._member(node) for node in self.nodes.values()]
        )
        self.daemons: list[Daemon] = []
        self.committed: dict[str, bytes] = {}
        self.highest = 0
        self.terms = 0
        self.last_link = 0
        self.next_key = 0
        self.stand_always = False
        self.stands_like_a_gateway = False
        self.fetch_seconds_per_key = 0.0
        self.deferred = 0
        self.loaded = 0
        for number in range(daemons):
            self.add_daemon(number)

    def may_defer(self, keys: Collection[str]) -> set[str]:
        """Let a leader defer the reading of two values of three."""
        return {key for key in keys if key.startswith("slot/") and int(key[5:]) % 3}

    # Machines and their start

    def _new_node(self, name: str) -> Node:
        node = Node(name, Disk(f"{name}-0"), None)
        self._start(node)
        return node

    def _member(self, node: Node) -> GroupMember:
        return GroupMember(name=node.name, disk=node.disk.name, zone="z", host="h", port=1)

    def _start(self, node: Node) -> None:
        node.replica = Replica(self._member(node), node.may_form, self.now)
        for record in node.disk.records:
            node.replica.restore(record)

    def add_daemon(self, number: int) -> None:
        identity = self.random.getrandbits(32)
        log = LeaderLog(f"d{number}", "h", 1, identity, lambda keys: self.may_defer(keys))
        daemon = Daemon(f"d{number}", log)
        self.daemons.append(daemon)
        self.after(self.random.random() * 0.2, lambda: self._daemon_turn(daemon))
        self.after(0.0, lambda: self._connect_all(daemon))

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.events, (self.now + seconds, self.count, action))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = end

    # Links, on which messages keep their order

    def _connect_all(self, daemon: Daemon) -> None:
        connected = set(daemon.links.values())
        for node in self.nodes.values():
            is_up = node.replica is not None and not node.is_gone
            if is_up and node.name not in connected and node.name not in daemon.is_cut_from:
                self.last_link += 1
                daemon.links[self.last_link] = node.name
                daemon.log.connected(self.last_link, self._member(node), self.now)
        self._carry_out(daemon)
        self.after(0.3, lambda: self._connect_all(daemon))

    def break_links(self, node_name: str, daemon: Daemon | None = None) -> None:
        for each in [daemon] if daemon is not None else self.daemons:
            for link in [link for link, name in each.links.items() if name == node_name]:
                del each.links[link]
                each.log.lost(link)
                self._carry_out(each)

    # Behaviour of daemons

    def _daemon_turn(self, daemon: Daemon) -> None:
        self.after(0.1, lambda: self._daemon_turn(daemon))
        if self.now < daemon.frozen_until:
            return
        log = daemon.log
        log.tick(self.now, self.now - daemon.frozen_seconds)
        if log.holds_lease(self.now):
            self._lead(daemon)
        elif log.phase is Phase.IDLE and self._may_campaign(daemon):
            log.campaign(self.highest, self.first_group, self.now, self._known_group(daemon))
        self._carry_out(daemon)

    def _known_group(self, daemon: Daemon) -> Group:
        """Return the newest group that a replica reports to the daemon."""
        found = Group()
        for name in daemon.links.values():
            replica = self.nodes[name].replica
            if replica is not None:
                found = max(found, replica.view(self.now).group, key=lambda each: each.generation)
        return found

    def _may_campaign(self, daemon: Daemon) -> bool:
        if self.stands_like_a_gateway:
            return self._is_time_to_campaign(daemon)
        held = any(
            node.replica is not None and self.now < node.replica.lease.until
            for node in self.nodes.values()
        )
        return (self.stand_always or not held) and self.random.random() < 0.3

    def _is_time_to_campaign(self, daemon: Daemon) -> bool:
        """Follow the gateways' rule: a short delay, and after a refusal the end of its lease."""
        leaders = [
            node.replica.lease.leader
            for node in self.nodes.values()
            if node.replica is not None and self.now < node.replica.lease.until
        ]
        if leaders or not daemon.links:
            daemon.campaign_at = None
            return False
        if daemon.campaign_at is None:
            daemon.campaign_at = self.now + self.random.random() * 0.25
        if self.now < daemon.campaign_at:
            return False
        daemon.campaign_at = self.now + 0.5 + self.random.random() * 0.5
        return True

    def _lead(self, daemon: Daemon) -> None:
        for _ in range(self.random.randrange(3)):
            self.next_key += self.random.random() < 0.7
            key = f"slot/{self.next_key}"
            if key not in daemon.log.entries and key not in daemon.log.deferred.epochs:
                daemon.log.put(key, f"{daemon.name}/{daemon.log.epoch}/{self.count}".encode())
        synced = tuple(daemon.log.synced_members())
        missing = {
            member.name: 0.0
            for member in daemon.log.group.members
            if member.name not in {each.name for each in synced}
        }
        connected = tuple(each.member for each in daemon.log.followers.values())
        inputs = GroupInputs(daemon.log.group, synced, missing, frozenset(), 3, connected)
        spare = spare_to_admit(inputs, self.now)
        if spare is not None:
            daemon.log.admit(spare.name, self.now)
        members = next_members(inputs, self.now)
        if members is not None:
            daemon.log.change_group(members)
        daemon.log.flush(self.now)

    def _carry_out(self, daemon: Daemon) -> None:
        for instruction in daemon.log.pop_instructions():
            match instruction:
                case Send():
                    self._send(daemon, instruction)
                case ElectionWon():
                    self._check_won(daemon, instruction)
                case DeferredLoaded():
                    self._check_loaded(daemon, instruction)
                case Committed():
                    self._note_committed(daemon, instruction.key)
                case SteppedDown():
                    self.highest = max(self.highest, instruction.highest_epoch)
                    if instruction.wait_seconds:
                        delay = self.random.random() * 0.25
                        daemon.campaign_at = self.now + instruction.wait_seconds + delay

    def _check_won(self, daemon: Daemon, won: ElectionWon) -> None:
        self.terms += 1
        held = {entry.key: entry.value for entry in won.entries}
        # Claims to order engines are reported by their holder's name; the log has them as well.
        log = daemon.log.entries
        held |= {key: log[key].value for key in log if key.startswith(HOLDER_PREFIX)}
        self.deferred += len(won.deferred)
        for key, value in self.committed.items():
            if key not in won.deferred and held.get(key) != value:
                raise ViolationError(
                    f"{daemon.name} leads with {key}={held.get(key)!r}, was {value!r}"
                )

    def _check_loaded(self, daemon: Daemon, loaded: DeferredLoaded) -> None:
        self.loaded += len(loaded.entries)
        for entry in loaded.entries:
            known = self.committed.setdefault(entry.key, entry.value)
            if known != entry.value:
                raise ViolationError(
                    f"{daemon.name} read {entry.key}={entry.value!r}, was {known!r}"
                )

    def _note_committed(self, daemon: Daemon, key: str) -> None:
        value = daemon.log.entries[key].value
        if self.committed.setdefault(key, value) != value:
            raise ViolationError(f"{key} was committed as {self.committed[key]!r} and {value!r}")

    # Messages and disks

    def _send(self, daemon: Daemon, send: Send) -> None:
        delay = 0.001 + self.random.random() * (0.2 if self.random.random() < 0.05 else 0.004)
        arrival = max(self.now + delay, self._order.get(send.link, 0.0))
        self._order[send.link] = arrival
        self.after(arrival - self.now, lambda: self._deliver(daemon, send))

    @property
    def _order(self) -> dict[int, float]:
        order: dict[int, float] = self.__dict__.setdefault("_arrivals", {})
        return order

    def _deliver(self, daemon: Daemon, send: Send) -> None:
        name = daemon.links.get(send.link)
        node = self.nodes.get(name or "")
        if node is None or node.replica is None or node.is_gone:
            return
        if self.now < node.frozen_until:
            self.after(node.frozen_until - self.now, lambda: self._deliver(daemon, send))
            return
        message = send.message
        match message:
            case Prepare():
                reply = node.replica.prepare(message, self.now)
            case Append():
                reply = node.replica.append(message, self.now)
            case Fetch():
                reply = node.replica.fetch(message)
            case Resign():
                node.replica.resign(message)
                return
        self.highest = max(self.highest, node.replica.promised)
        synced_at = self._write(node, reply.record)
        answer, epoch, process = reply.message, daemon.log.epoch, node.replica
        # An answer is sent once everything before it is on the disk, as the server ensures.
        delay = synced_at - self.now + 0.001 + self.random.random() * 0.004
        if isinstance(message, Fetch):
            delay += self.fetch_seconds_per_key * len(message.keys)

        def answered() -> None:
            if daemon.links.get(send.link) != name or daemon.log.epoch != epoch:
                return
            if node.replica is not process:
                return
            if self.now < daemon.frozen_until:
                self.after(daemon.frozen_until - self.now, answered)
                return
            if isinstance(message, Prepare):
                daemon.log.promised(send.link, answer, self.now)
            elif isinstance(message, Append):
                daemon.log.appended(send.link, answer, self.now)
            else:
                daemon.log.fetched(send.link, answer, self.now)
            self._carry_out(daemon)

        back = max(self.now, self._order.get(-send.link, 0.0)) + delay
        self._order[-send.link] = back
        self.after(back - self.now, answered)

    def _write(self, node: Node, record: DiskRecord | None) -> float:
        """Write a record; return when it, and all before it, are synced."""
        disk = node.disk
        if record is None:
            return max(self.now, disk.free_at)
        disk.records.append(record)
        slowness = 0.15 if self.random.random() < 0.05 else 0.003
        disk.free_at = max(self.now, disk.free_at) + self.random.random() * slowness
        count, process = len(disk.records), node.replica

        def synced() -> None:
            if node.replica is process:
                disk.synced = max(disk.synced, count)

        self.after(disk.free_at - self.now, synced)
        return disk.free_at

    def _lose_unsynced(self, disk: Disk) -> None:
        """Lose a part of the unsynced records, from the first torn one on."""
        unsynced = len(disk.records) - disk.synced
        kept = self.random.randint(0, unsynced)
        del disk.records[disk.synced + kept :]
        disk.synced = len(disk.records)
        disk.free_at = self.now

    # Injected faults

    def power_off(self, name: str, seconds: float) -> None:
        """Cut the power of a replica's machine; its disk stays."""
        node = self.nodes[name]
        if node.replica is None or node.is_gone:
            return
        node.replica = None
        self._lose_unsynced(node.disk)
        self.break_links(name)
        self.after(seconds, lambda: self._start(node))

    def wipe(self, name: str, seconds: float) -> None:
        """Restart a replica's machine with an empty disk."""
        node = self.nodes[name]
        if node.is_gone:
            return
        node.replica = None
        self.break_links(name)
        node.wipes += 1
        node.disk = Disk(f"{name}-{node.wipes}")
        node.may_form = False
        self.after(seconds, lambda: self._start(node))

    def replace(self, name: str, seconds: float) -> None:
        """Replace a replica's machine by an empty one under another name."""
        node = self.nodes[name]
        if node.is_gone:
            return
        node.is_gone = True
        node.replica = None
        self.break_links(name)
        fresh = f"{name}x"

        def start() -> None:
            new = Node(fresh, Disk(f"{fresh}-0"), None, may_form=False)
            self.nodes[fresh] = new
            self._start(new)

        self.after(seconds, start)

    def freeze(self, name: str, seconds: float) -> None:
        self.nodes[name].frozen_until = self.now + seconds

    def freeze_daemon(self, number: int, seconds: float) -> None:
        daemon, until = self.daemons[number], self.now + seconds
        daemon.frozen_seconds += max(0.0, until - max(self.now, daemon.frozen_until))
        daemon.frozen_until = until

    def cut(self, number: int, name: str, seconds: float) -> None:
        """Disconnect a daemon from a replica."""
        daemon = self.daemons[number]
        daemon.is_cut_from.add(name)
        self.break_links(name, daemon)
        self.after(seconds, lambda: daemon.is_cut_from.discard(name))
