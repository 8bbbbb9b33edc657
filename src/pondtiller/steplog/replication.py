"""The leader's copy of the log, and the messages that replicate it. No I/O.

Holds values, followers and the instructions for the driver for one term; the followers last as long
as their links. When a write is committed is decided in `voting.py`; the phases of a term are in
`leader.py`.
"""

from pondtiller.steplog.deferred import DeferredValues
from pondtiller.steplog.entry import Entry, pack_entries
from pondtiller.steplog.follower import HEARTBEAT, PARTIAL_WRITES, Follower
from pondtiller.steplog.instructions import Instruction, Send
from pondtiller.steplog.takeover_reads import CHUNK_KEYS
from pondtiller.steplog.term_rules import HEARTBEAT_SECONDS
from pondtiller.steplog.unwritten import UnwrittenValues
from pondtiller.wire.steplog import Append, Fetch, Group, Prepare, Resign


class Replication:
    """The leader's copy of the log, and its messages to replicas.

    Parameters
    ----------
    name, host, port
        Name and address at which other gateways find this leader.

    Attributes
    ----------
    epoch
        Epoch of the writes.
    entries
        All values by key, except deferred ones.
    deferred
        Values that are read after the takeover.
    followers
        Connected replicas by number of the link.
    """

    def __init__(self, name: str, host: str, port: int) -> None:
        self.epoch = 0
        self.entries: dict[str, Entry] = {}
        self.deferred = DeferredValues()
        self.followers: dict[int, Follower] = {}
        self.unwritten = UnwrittenValues()
        self._name = name
        self._host = host
        self._port = port
        self._out: list[Instruction] = []

    def pop_instructions(self) -> list[Instruction]:
        """Return the instructions since the last call."""
        taken, self._out = self._out, []
        return taken

    def instruct(self, instruction: Instruction) -> None:
        """Have the driver execute an instruction."""
        self._out.append(instruction)

    def reset(self) -> None:
        """Reset the state of a term."""
        self.entries = {}
        self.deferred = DeferredValues()
        self.unwritten.reset()
        for follower in self.followers.values():
            follower.reset()

    def promised(self) -> list[Follower]:
        """Return the replicas that promised this term's epoch."""
        return [each for each in self.followers.values() if each.has_promised]

    # Values of the log

    def put(self, key: str, value: bytes) -> None:
        """Write a value; it is sent with the next `flush`."""
        entry = Entry(key=key, epoch=self.epoch, value=value)
        self.entries[key] = entry
        self.deferred.drop(key)
        self.unwritten.put(entry)

    def drop(self, key: str) -> None:
        """Remove a value; that is sent with the next `flush`."""
        self.entries.pop(key, None)
        self.deferred.drop(key)
        self.unwritten.drop(key)

    def keys_with(self, prefix: str) -> list[str]:
        """Return the keys that start with a prefix."""
        return [key for key in self.entries if key.startswith(prefix)]

    # Messages to replicas

    def flush(self, now: float) -> None:
        """Send the writes since the last call, in one message per replica."""
        unsent = self.unwritten.take_unsent()
        if unsent is None:
            return
        message = Append(epoch=self.epoch, puts=pack_entries(unsent.puts), drops=unsent.drops)
        for follower in self.followers.values():
            if follower.is_synced:
                self._send_append(follower, message, self.unwritten.sequence, now)

    def bring_up_to_date(self, follower: Follower, now: float) -> None:
        """Send a replica all that it lacks; nothing while a part of it is deferred."""
        held = follower.keys or {}
        if self.deferred.is_lacked_by(held):
            return
        puts = [entry for key, entry in self.entries.items() if held.get(key, -1) < entry.epoch]
        known = self.entries.keys() | self.deferred.epochs.keys()
        drops = [key for key in held if key not in known]
        follower.is_synced = True
        # Split so that heartbeats are sent in between; only the last part's answer counts.
        while len(puts) > CHUNK_KEYS:
            part, puts = puts[:CHUNK_KEYS], puts[CHUNK_KEYS:]
            message = Append(epoch=self.epoch, puts=pack_entries(part))
            self._send_append(follower, message, PARTIAL_WRITES, now)
        message = Append(epoch=self.epoch, puts=pack_entries(puts), drops=drops)
        self._send_append(follower, message, self.unwritten.sequence, now)

    def bring_remaining_up_to_date(self, now: float) -> None:
        """Bring the replicas up to date that promised and waited for deferred values."""
        for follower in self.followers.values():
            if follower.has_promised and not follower.is_synced:
                self.bring_up_to_date(follower, now)

    def send_heartbeats(self, now: float) -> None:
        """Renew the lease at all replicas that promised, also while the log is still being read."""
        heartbeat = Append(epoch=self.epoch)
        for follower in self.followers.values():
            if follower.has_promised and now >= follower.last_sent + HEARTBEAT_SECONDS:
                self._send_append(follower, heartbeat, HEARTBEAT, now)

    def send_prepare(self, follower: Follower, first_group: Group, now: float) -> None:
        """Ask a replica for its promise."""
        follower.is_asked = True
        follower.note_sent(PARTIAL_WRITES, now)
        message = Prepare(
            epoch=self.epoch,
            leader=self._name,
            leader_host=self._host,
            leader_port=self._port,
            first_group=first_group,
        )
        self.instruct(Send(follower.link, message))

    def send_fetch(self, link: int, keys: list[str]) -> None:
        """Request values from a replica."""
        self.instruct(Send(link, Fetch(epoch=self.epoch, keys=keys)))

    def release(self, follower: Follower) -> None:
        """Release a lease that a failed candidate does not need, so that others can campaign."""
        self.instruct(Send(follower.link, Resign(epoch=self.epoch)))

    def release_all(self) -> None:
        """Release the leases of all replicas that promised."""
        for follower in self.promised():
            self.release(follower)

    def _send_append(self, follower: Follower, message: Append, number: int, now: float) -> None:
        follower.note_sent(number, now)
        self.instruct(Send(follower.link, message))
