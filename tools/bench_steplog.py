"""Measures what the step log costs: a listed result, a takeover, by number of entries.

Leader and three replicas in one thread, messages encoded and decoded as on links, files synced.
Prints key=value lines; times are processor time but for `commit`, which is elapsed.

Sets no constant: it gives the lines "a listed result" and "takeover" of docs/CAPACITY.md (1.0 ms a
result, 0.31 ms an entry held, a straight line up to 4,000 entries).
"""

import sys
import tempfile
import time
from pathlib import Path

from pondtiller.links.frames import FrameReader, encode, encode_message
from pondtiller.replica.file import LogFile
from pondtiller.rollouts.step_keys import result_key, step_key
from pondtiller.rollouts.steps import StepBook
from pondtiller.steplog.instructions import ElectionWon, Send
from pondtiller.steplog.leader import LeaderLog
from pondtiller.steplog.replica import Replica
from pondtiller.wire.steplog import (
    Append,
    Fetch,
    Group,
    GroupMember,
    Prepare,
    SampleResult,
    Step,
)

RESULT_BYTES = 5000
SIZES = (500, 1000, 2000, 4000)


class Bench:
    """A leader and its replicas."""

    def __init__(self, folder: Path) -> None:
        self.members = [
            GroupMember(name=f"r{n}", disk=f"d{n}", zone="z", host="h", port=1) for n in range(3)
        ]
        self.replicas = [Replica(member, True, 0.0) for member in self.members]
        self.files = [LogFile(folder / member.name) for member in self.members]
        for file in self.files:
            file.read()
        self.now = 10.0
        self.replica_seconds = 0.0
        self.sent_bytes = 0
        self.won: ElectionWon | None = None

    def leader(self, identity: int, highest: int) -> LeaderLog:
        """Have a fresh leader take over."""
        log = LeaderLog(f"l{identity}", "h", 1, identity)
        for number, member in enumerate(self.members, start=1):
            log.connected(number, member, self.now)
        log.campaign(highest, Group(generation=1, members=self.members), self.now)
        self.carry_out(log)
        return log

    def carry_out(self, log: LeaderLog) -> None:
        """Deliver messages until none is left."""
        while instructions := log.pop_instructions():
            for instruction in instructions:
                if isinstance(instruction, Send):
                    self._deliver(log, instruction)
                elif isinstance(instruction, ElectionWon):
                    self.won = instruction

    def _deliver(self, log: LeaderLog, send: Send) -> None:
        data = encode(encode_message(send.message), 1, False)
        self.sent_bytes += len(data)
        began = time.process_time()
        (frame,) = FrameReader().feed(data)
        replica, file = self.replicas[send.link - 1], self.files[send.link - 1]
        message = frame.message
        if isinstance(message, Prepare):
            reply = replica.prepare(message, self.now)
        elif isinstance(message, Append):
            reply = replica.append(message, self.now)
        elif isinstance(message, Fetch):
            reply = replica.fetch(message)
        else:
            return
        if reply.record is not None:
            file.append([reply.record])
        answer = encode(encode_message(reply.message), 1, True)
        self.replica_seconds += time.process_time() - began
        (back,) = FrameReader().feed(answer)
        if isinstance(message, Prepare):
            log.promised(send.link, back.message, self.now)
        elif isinstance(message, Append):
            log.appended(send.link, back.message, self.now)
        else:
            log.fetched(send.link, back.message, self.now)


def measure(size: int) -> None:
    """Write `size` results one by one, then take over, and print the costs."""
    with tempfile.TemporaryDirectory() as folder:
        bench = Bench(Path(folder))
        log = bench.leader(1, 0)
        log.put(step_key("s"), bytes(Step(id="s")))
        bench.replica_seconds, bench.sent_bytes = 0.0, 0
        began, processor = time.perf_counter(), time.process_time()
        for position in range(size):
            result = SampleResult(id=f"i{position}", succeeded=True, text="x" * RESULT_BYTES)
            log.put(result_key("s", position), bytes(result))
            log.flush(bench.now)
            bench.carry_out(log)
        elapsed = time.perf_counter() - began
        replicas = bench.replica_seconds
        leader = time.process_time() - processor - replicas
        print(
            f"entries={size} commit_ms={1000 * elapsed / size:.2f} "
            f"leader_ms={1000 * leader / size:.3f} replica_ms={1000 * replicas / size / 3:.3f} "
            f"bytes_to_replicas={bench.sent_bytes // size}"
        )
        bench.now += 10.0
        bench.replica_seconds = 0.0
        processor = time.process_time()
        bench.leader(2, log.epoch)
        if bench.won is None:
            raise RuntimeError("nobody won")
        StepBook().restore(bench.won.entries)
        whole = time.process_time() - processor
        print(
            f"entries={size} takeover_leader_ms={1000 * (whole - bench.replica_seconds):.1f} "
            f"takeover_replica_ms={1000 * bench.replica_seconds / 3:.1f}"
        )


def main() -> int:
    """Measure each size."""
    for size in SIZES:
        measure(size)
    return 0


if __name__ == "__main__":
    sys.exit(main())
