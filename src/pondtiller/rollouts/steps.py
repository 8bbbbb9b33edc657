"""Steps as the log keeps them: acceptance, results by position, ends. No I/O.

What a step becomes is written to the step log before anyone is told. A result's position is
final once it is written; readers see the positions up to the first that is not.
"""

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from functools import cached_property
from typing import NamedTuple

from pondtiller.routes.tenants import owned_name
from pondtiller.steplog.entry import Entry
from pondtiller.wire.steplog import (
    ResultsPage,
    Sample,
    SampleBody,
    SampleResult,
    Step,
)

STEP_PREFIX = "step/"
RESULT_PREFIX = "result/"
END_PREFIX = "end/"
LARGEST_PAGE_BYTES = 900_000
RESULT_OVERHEAD_BYTES = 100
RESTORE_ORDER = {"step": 0, "end": 1, "result": 2}


class StepStatus(IntEnum):
    """How a step call ended; the numbers are part of the protocol.

    UNKNOWN says that there is no such step or sample, UNAVAILABLE that nothing is known and
    nothing was done, UNCERTAIN that it may have been done.
    """

    OK = 1
    UNKNOWN = 2
    UNAVAILABLE = 3
    UNCERTAIN = 4


def step_key(step: str) -> str:
    """Return the key of a step's acceptance."""
    return f"{STEP_PREFIX}{step}"


def result_key(step: str, position: int) -> str:
    """Return the key of a result."""
    return f"{RESULT_PREFIX}{step}/{position:06d}"


def end_key(step: str) -> str:
    """Return the key of a step's end."""
    return f"{END_PREFIX}{step}"


def result_size(encoded: bytes) -> int:
    """Return how many bytes a result takes on a page."""
    return len(encoded) + RESULT_OVERHEAD_BYTES


class SampleHead(NamedTuple):
    """What a leader needs of a sample.

    Attributes
    ----------
    group
        Samples with the same prompt, of which a trainer waits for all.
    expected_tokens
        How many tokens it is expected to make.
    content
        The encoded `Sample`; only who runs it reads it.
    """

    id: str
    group: str
    expected_tokens: float
    content: bytes


def add_sample(step: Step, sample: Sample, expected_tokens: float) -> None:
    """Put a sample into a step, as a row of its columns."""
    step.sample_ids.append(sample.id)
    step.groups.append(sample.group)
    step.expected_tokens.append(expected_tokens)
    step.contents.append(bytes(sample))


def sample_heads(step: Step) -> Iterator[SampleHead]:
    """Return the samples of a step."""
    columns = (step.sample_ids, step.groups, step.expected_tokens, step.contents)
    return map(SampleHead._make, zip(*columns, strict=True))


def keys_of_ended_steps(keys: Collection[str]) -> set[str]:
    """Return the keys of steps that have ended, and of their results: nobody works on them."""
    ended = {key.removeprefix(END_PREFIX) for key in keys if key.startswith(END_PREFIX)}
    return {
        key
        for key in keys
        if key.startswith((STEP_PREFIX, RESULT_PREFIX)) and key.split("/")[1] in ended
    }


@dataclass(frozen=True, slots=True)
class Write:
    """A value that must go to the log."""

    key: str
    value: bytes


@dataclass
class StepRecord:
    """One step.

    What a new leader finds in the log is read when somebody asks for it, so that taking over
    does not grow with the steps that have ended.

    Attributes
    ----------
    encoded
        The step as it stands in the log; None until it is read.
    unread
        Positions whose results are in the log and not read yet.
    results
        Results by position, written or on their way.
    written
        Positions whose results are written.
    visible
        Positions that readers may see, from 0.
    names
        Samples by position, where the step is open.
    whole_groups
        Groups of which readers see all.
    enough_until
        Positions up to the one with which as many groups were whole as the trainer wants.
    """

    encoded: bytes | None
    is_accepted: bool = False
    is_ended: bool = False
    is_end_written: bool = False
    results: dict[int, bytes] = field(default_factory=dict)
    written: set[int] = field(default_factory=set)
    visible: int = 0
    listed: set[str] = field(default_factory=set)
    next_position: int = 0
    unread: set[int] = field(default_factory=set)
    names: dict[int, str] = field(default_factory=dict)
    whole_groups: int = 0
    enough_until: int = 0

    @property
    def is_read(self) -> bool:
        """Whether all that the log holds of it is at hand."""
        return self.encoded is not None and not self.unread

    @cached_property
    def step(self) -> Step:
        """The step as it was submitted; raises `ValueError` before it is read."""
        if self.encoded is None:
            raise ValueError("the step is not read yet")
        return Step().parse(self.encoded)

    @cached_property
    def samples(self) -> tuple[SampleHead, ...]:
        """The samples in the order submitted."""
        return tuple(sample_heads(self.step))

    @property
    def total(self) -> int:
        """Number of samples."""
        return len(self.samples)

    @property
    def is_complete(self) -> bool:
        """Whether every sample is listed."""
        return self.visible >= self.total

    def sample(self, identifier: str) -> SampleHead | None:
        """Return a sample by its identifier, or None where there is none."""
        for head in self.samples:
            if head.id == identifier:
                return head
        return None

    def claim_position(self) -> int:
        """Return the lowest free position."""
        while self.next_position in self.results:
            self.next_position += 1
        return self.next_position

    @cached_property
    def _open_samples(self) -> dict[str, set[str]]:
        """The samples of each group that readers do not see yet."""
        found: dict[str, set[str]] = {}
        for head in self.samples:
            found.setdefault(head.group, set()).add(head.id)
        return found

    @cached_property
    def _group_of(self) -> dict[str, str]:
        return {head.id: head.group for head in self.samples}

    def advance(self) -> None:
        """Show readers what is written without a gap."""
        while self.visible in self.written:
            name = self.names.pop(self.visible, "")
            self.visible += 1
            if name:
                self._note_visible(name)

    def _note_visible(self, name: str) -> None:
        group = self._group_of.get(name)
        if group is None:
            return
        left = self._open_samples[group]
        left.discard(name)
        if left:
            return
        self.whole_groups += 1
        if self.whole_groups == self.step.desired_groups:
            self.enough_until = self.visible

    def is_worth_reading(self, position: int) -> bool:
        """Return whether a held page is to be let go.

        A trainer goes on once enough groups are whole, and pauses after each page. A page with a
        part of them would have it pause while the last one becomes whole.
        """
        if self.is_end_written or self.is_complete:
            return True
        return self.enough_until > position


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
        """Return what must be written since the last call."""
        taken, self._writes = self._writes, []
        return taken

    def restore(self, entries: Iterable[Entry], deferred: Iterable[str] = ()) -> list[str]:
        """Take what the log holds; return the keys of results and ends without a step.

        Parameters
        ----------
        deferred
            Keys of ended steps and their results, whose values `load` takes later.
        """
        later = sorted(deferred, key=lambda key: RESTORE_ORDER[key.partition("/")[0]])
        for key in later:
            if key.startswith(STEP_PREFIX):
                self.steps[key.removeprefix(STEP_PREFIX)] = StepRecord(None, is_accepted=True)
        unknown = self._restore(entries)
        return unknown + [key for key in later if not self._restore_deferred(key)]

    def _restore_deferred(self, key: str) -> bool:
        kind, _, rest = key.partition("/")
        if f"{kind}/" == STEP_PREFIX:
            return True
        identifier, _, position = rest.partition("/")
        record = self.steps.get(identifier)
        if record is None:
            return False
        record.unread.add(int(position))
        record.written.add(int(position))
        record.advance()
        return True

    def load(self, entries: Iterable[Entry]) -> None:
        """Take values that were left for later."""
        for entry in entries:
            kind, _, rest = entry.key.partition("/")
            identifier, _, position = rest.partition("/")
            record = self.steps.get(identifier)
            if record is None:
                continue
            if f"{kind}/" == STEP_PREFIX:
                record.encoded = entry.value
            else:
                record.results[int(position)] = entry.value
                record.unread.discard(int(position))

    def _restore(self, entries: Iterable[Entry]) -> list[str]:
        ordered = sorted(entries, key=lambda entry: RESTORE_ORDER[entry.key.partition("/")[0]])
        return [entry.key for entry in ordered if not self._restore_entry(entry)]

    def _restore_entry(self, entry: Entry) -> bool:
        kind, _, rest = entry.key.partition("/")
        if f"{kind}/" == STEP_PREFIX:
            self.steps[rest] = StepRecord(entry.value, is_accepted=True)
            return True
        identifier, _, position = rest.partition("/")
        record = self.steps.get(identifier)
        if record is None:
            return False
        if f"{kind}/" == END_PREFIX:
            record.is_ended = record.is_end_written = True
            return True
        record.results[int(position)] = entry.value
        if not record.is_ended:
            name = SampleResult().parse(entry.value).id
            record.listed.add(name)
            record.names[int(position)] = name
        record.written.add(int(position))
        record.advance()
        return True

    def open_samples(self) -> list[str]:
        """Return the samples of open steps that are not listed, as their texts are kept."""
        return [
            owned_name(record.step.tenant, sample.id)
            for record in self.steps.values()
            if record.is_accepted and not record.is_ended
            for sample in record.samples
            if sample.id not in record.listed
        ]

    def open(self, step: Step) -> StepRecord:
        """Take a step, once; its acceptance is on its way to the log."""
        record = self.steps.get(step.id)
        if record is None:
            encoded = bytes(step)
            record = StepRecord(encoded)
            record.step = step
            self.steps[step.id] = record
            self._writes.append(Write(step_key(step.id), encoded))
        return record

    def list_result(self, step: str, result: SampleResult) -> bool:
        """Give a sample's result the next position; False where it has one or cannot have one."""
        record = self.steps.get(step)
        if record is None or record.is_ended or result.id in record.listed:
            return False
        position = record.claim_position()
        record.results[position] = bytes(result)
        record.listed.add(result.id)
        record.names[position] = result.id
        self._writes.append(Write(result_key(step, position), record.results[position]))
        return True

    def end(self, step: str) -> StepRecord | None:
        """End a step; None where it is not known."""
        record = self.steps.get(step)
        if record is not None and not record.is_ended:
            record.is_ended = True
            self._writes.append(Write(end_key(step), b"1"))
        return record

    def committed(self, key: str) -> str:
        """Take a write that is on a quorum of disks; return the step's identifier."""
        kind, _, rest = key.partition("/")
        identifier, _, position = rest.partition("/")
        record = self.steps.get(identifier)
        if record is None:
            return identifier
        if f"{kind}/" == STEP_PREFIX:
            record.is_accepted = True
        elif f"{kind}/" == END_PREFIX:
            record.is_end_written = True
        else:
            record.written.add(int(position))
            record.advance()
        return identifier

    def read(self, step: str, position: int) -> ResultsPage:
        """Return the results at `position` and on, about 1 MB at most."""
        record = self.steps.get(step)
        if record is None or not record.is_accepted or not record.is_read:
            status = StepStatus.UNKNOWN if record is None else StepStatus.UNAVAILABLE
            return ResultsPage(status=status)
        found: list[bytes] = []
        size = 0
        for place in range(position, record.visible):
            encoded = record.results[place]
            size += result_size(encoded)
            if found and size > LARGEST_PAGE_BYTES:
                break
            found.append(encoded)
        return ResultsPage(
            status=StepStatus.OK,
            total=record.total,
            next_position=position + len(found),
            results=found,
        )

    def sample_body(self, step: str, sample: str) -> SampleBody:
        """Return a sample of a step that is known, for the reader of its body."""
        record = self.steps.get(step)
        if record is not None and not (record.is_accepted and record.is_read):
            return SampleBody(status=StepStatus.UNAVAILABLE)
        found = record.sample(sample) if record is not None else None
        if found is None:
            return SampleBody(status=StepStatus.UNKNOWN)
        return SampleBody(status=StepStatus.OK, content=found.content)

    def expired(self, wall_now: float, keep_seconds: float) -> list[str]:
        """Return the steps that are closed and older than they must be kept."""
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
