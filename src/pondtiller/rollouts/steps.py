"""Steps in the log: acceptance, results by position, ends. No I/O.

Every change of a step is written to the step log before anyone is told of it. A result's position
is final once it is written; readers see the positions up to the first unwritten one.

Holds the steps of one leader's term (`step_record.py`) and the writes that they need; the durable
state is in the log, under the keys of `step_keys.py`. Relies on its caller to write and to report
what is on a quorum of disks. Does not run samples (`samples.py`).
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from pondtiller.rollouts.step_keys import (
    STEP_PREFIX,
    StepKey,
    StepKeyKind,
    end_key,
    read_key,
    restore_order,
    result_key,
    step_key,
)
from pondtiller.rollouts.step_record import StepRecord
from pondtiller.routes.tenants import owned_name
from pondtiller.steplog.entry import Entry
from pondtiller.wire.steplog import ResultsPage, SampleBody, SampleResult, Step

MAX_PAGE_BYTES = 900_000
"""Upper bound of the results on one page, in bytes; limits what one read costs a leader and a link.
A page holds at least one result, however large, so a small value costs reads but no results."""
RESULT_OVERHEAD_BYTES = 100
"""Additional bytes of a result on a page: names, numbers, separators. Keeps a page of many small
results from exceeding its bound."""


class StepStatus(IntEnum):
    """Outcome of a call about a step; the numbers are part of the protocol.

    UNKNOWN means that there is no such step or sample, UNAVAILABLE that nothing is known and
    nothing was done, UNCERTAIN that it may have been done.
    """

    OK = 1
    UNKNOWN = 2
    UNAVAILABLE = 3
    UNCERTAIN = 4


def result_size(encoded: bytes) -> int:
    """Return how many bytes a result takes on a page."""
    return len(encoded) + RESULT_OVERHEAD_BYTES


@dataclass(frozen=True, slots=True)
class Write:
    """A value that must be written to the log."""

    key: str
    value: bytes


class StepBook:
    """All steps that the log holds.

    Attributes
    ----------
    steps
        Steps by identifier.
    """

    def __init__(self) -> None:
        self.steps: dict[str, StepRecord] = {}
        self._writes: list[Write] = []

    def take_writes(self) -> list[Write]:
        """Return the writes since the last call."""
        taken, self._writes = self._writes, []
        return taken

    def restore(self, entries: Iterable[Entry], deferred: Iterable[str] = ()) -> list[str]:
        """Load the log's entries; return the keys of results and ends without a step.

        Parameters
        ----------
        deferred
            Keys of ended steps and their results, whose values are passed to `load` later.
        """
        later = [read_key(key) for key in sorted(deferred, key=restore_order)]
        for key in later:
            if key.kind is StepKeyKind.STEP:
                self.steps[key.text.removeprefix(STEP_PREFIX)] = StepRecord(None, is_accepted=True)
        unknown = self._restore(entries)
        return unknown + [key.text for key in later if not self._restore_deferred(key)]

    def _restore_deferred(self, key: StepKey) -> bool:
        """Add a key whose value is read later; return False if its step is unknown."""
        if key.kind is StepKeyKind.STEP:
            return True
        record = self.steps.get(key.step)
        if record is None:
            return False
        record.unread.add(key.position)
        record.note_written(key.position)
        return True

    def load(self, entries: Iterable[Entry]) -> None:
        """Add values whose reading was deferred."""
        for entry in entries:
            key = read_key(entry.key)
            record = self.steps.get(key.step)
            if record is None:
                continue
            if key.kind is StepKeyKind.STEP:
                record.encoded = entry.value
            else:
                record.results[key.position] = entry.value
                record.unread.discard(key.position)

    def _restore(self, entries: Iterable[Entry]) -> list[str]:
        ordered = sorted(entries, key=lambda entry: restore_order(entry.key))
        return [entry.key for entry in ordered if not self._restore_entry(entry)]

    def _restore_entry(self, entry: Entry) -> bool:
        """Add one entry; return False if its step is unknown."""
        key = read_key(entry.key)
        if key.kind is StepKeyKind.STEP:
            self.steps[key.text.removeprefix(STEP_PREFIX)] = StepRecord(
                entry.value, is_accepted=True
            )
            return True
        record = self.steps.get(key.step)
        if record is None:
            return False
        if key.kind is StepKeyKind.END:
            record.is_ended = record.is_end_written = True
            return True
        record.results[key.position] = entry.value
        if not record.is_ended:
            record.listed.add(SampleResult().parse(entry.value).id)
        record.note_written(key.position)
        return True

    def open_samples(self) -> list[str]:
        """Return the stored names of the samples of open steps that are not listed."""
        return [
            owned_name(record.step.tenant, sample.id)
            for record in self.steps.values()
            if record.is_accepted and not record.is_ended
            for sample in record.samples
            if sample.id not in record.listed
        ]

    def open(self, step: Step) -> StepRecord:
        """Add a step, once, and queue the write of its acceptance."""
        record = self.steps.get(step.id)
        if record is None:
            encoded = bytes(step)
            record = StepRecord(encoded)
            record.step = step
            self.steps[step.id] = record
            self._writes.append(Write(step_key(step.id), encoded))
        return record

    def list_result(self, step: str, result: SampleResult) -> bool:
        """Assign the next position to a sample's result; False if it has one or cannot have one."""
        record = self.steps.get(step)
        if record is None or record.is_ended or result.id in record.listed:
            return False
        position = record.claim_position()
        record.results[position] = bytes(result)
        record.listed.add(result.id)
        self._writes.append(Write(result_key(step, position), record.results[position]))
        return True

    def end(self, step: str) -> StepRecord | None:
        """End a step; return None if it is unknown."""
        record = self.steps.get(step)
        if record is not None and not record.is_ended:
            record.is_ended = True
            self._writes.append(Write(end_key(step), b"1"))
        return record

    def committed(self, key: str) -> str:
        """Handle a write that is on a quorum of disks; return the step's identifier."""
        written = read_key(key)
        record = self.steps.get(written.step)
        if record is None:
            return written.step
        if written.kind is StepKeyKind.STEP:
            record.is_accepted = True
        elif written.kind is StepKeyKind.END:
            record.is_end_written = True
        else:
            record.note_written(written.position)
        return written.step

    def read(self, step: str, position: int) -> ResultsPage:
        """Return the results from `position` on, about 1 MB at most."""
        record = self.steps.get(step)
        if record is None or not record.is_accepted or not record.is_read:
            status = StepStatus.UNKNOWN if record is None else StepStatus.UNAVAILABLE
            return ResultsPage(status=status)
        found: list[bytes] = []
        size = 0
        for place in range(position, record.visible):
            encoded = record.results[place]
            size += result_size(encoded)
            if found and size > MAX_PAGE_BYTES:
                break
            found.append(encoded)
        return ResultsPage(
            status=StepStatus.OK,
            total=record.total,
            next_position=position + len(found),
            results=found,
        )

    def sample_body(self, step: str, sample: str) -> SampleBody:
        """Return the body of a sample of a known step."""
        record = self.steps.get(step)
        if record is not None and not (record.is_accepted and record.is_read):
            return SampleBody(status=StepStatus.UNAVAILABLE)
        found = record.sample(sample) if record is not None else None
        if found is None:
            return SampleBody(status=StepStatus.UNKNOWN)
        return SampleBody(status=StepStatus.OK, content=found.content)

    def expired(self, wall_now: float, keep_seconds: float) -> list[str]:
        """Return the closed steps that are older than they must be kept."""
        return [
            identifier
            for identifier, record in self.steps.items()
            if record.is_read
            and (record.is_end_written or record.is_complete)
            and wall_now > record.step.accepted_at + keep_seconds
        ]

    def forget(self, step: str) -> list[str]:
        """Remove a step; return its keys in the log."""
        record = self.steps.pop(step)
        keys = [result_key(step, position) for position in record.written]
        if record.is_ended:
            keys.append(end_key(step))
        return [*keys, step_key(step)]
