"""One step of a trainer: its samples and its results so far. No I/O.

Holds the leader's state of the step in memory; the durable state is in the log, from which
`steps.py` restores it. Does not decide what is written.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import cached_property
from typing import NamedTuple

from pondtiller.wire.steplog import Sample, Step


class SampleHead(NamedTuple):
    """Properties of a sample that a leader needs.

    Attributes
    ----------
    group
        Samples with the same prompt; a trainer waits for all of them.
    expected_tokens
        Number of tokens expected to be made.
    content
        The encoded `Sample`, decoded only by its runner.
    """

    id: str
    group: str
    expected_tokens: float
    content: bytes


def add_sample(step: Step, sample: Sample, expected_tokens: float) -> None:
    """Add a sample to a step, as a row of its columns."""
    step.sample_ids.append(sample.id)
    step.groups.append(sample.group)
    step.expected_tokens.append(expected_tokens)
    step.contents.append(bytes(sample))


def sample_heads(step: Step) -> Iterator[SampleHead]:
    """Return the samples of a step."""
    columns = (step.sample_ids, step.groups, step.expected_tokens, step.contents)
    return map(SampleHead._make, zip(*columns, strict=True))


@dataclass
class StepRecord:
    """One step.

    Values that a new leader finds in the log are read on demand, so that the duration of a takeover
    does not grow with the steps that have ended.

    Attributes
    ----------
    encoded
        The step as it is in the log; None until it is read.
    unread
        Positions whose results are in the log and not read yet.
    results
        Results by position, written or being written.
    written
        Positions whose results are written.
    visible
        Number of positions, from 0, that readers may see.
    listed
        Samples that have a position.
    next_position
        No position below this one is free.
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

    @property
    def is_read(self) -> bool:
        """Whether everything that the log holds of it is loaded."""
        return self.encoded is not None and not self.unread

    @cached_property
    def step(self) -> Step:
        """The step as it was submitted; raises `ValueError` before it is read."""
        if self.encoded is None:
            raise ValueError("the step is not read yet")
        return Step().parse(self.encoded)

    @cached_property
    def samples(self) -> tuple[SampleHead, ...]:
        """Samples in the order of submission."""
        return tuple(sample_heads(self.step))

    @cached_property
    def group_sizes(self) -> Counter[str]:
        """Number of samples of each group."""
        return Counter(head.group for head in self.samples)

    @property
    def total(self) -> int:
        """Number of samples."""
        return len(self.samples)

    @property
    def is_complete(self) -> bool:
        """Whether every sample is listed."""
        return self.visible >= self.total

    def sample(self, identifier: str) -> SampleHead | None:
        """Return a sample by its identifier, or None if there is none."""
        for head in self.samples:
            if head.id == identifier:
                return head
        return None

    def claim_position(self) -> int:
        """Return the lowest free position."""
        while self.next_position in self.results:
            self.next_position += 1
        return self.next_position

    def note_written(self, position: int) -> None:
        """Record that a result is written; readers see the written results up to the first gap."""
        self.written.add(position)
        while self.visible in self.written:
            self.visible += 1
