"""What callers, trainers and engines saw, and the promises that it must keep."""

from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple, TypedDict

from pondtiller.soak.step_reads import StepReads

NOT_RUN = (401, 408, 421, 429, 503)
"""Answers that say that a request did not run, and will not."""


class ListedResult(TypedDict, total=False):
    """One result as a trainer reads it."""

    id: str
    state: str
    text: str
    versions: list[int]
    score: str


class Breach(NamedTuple):
    """One promise that was broken."""

    promise: str
    detail: str


@dataclass
class Promises:
    """Collects what was seen, and says at once what broke a promise.

    Attributes
    ----------
    accepted
        Samples of each step that was accepted.
    results
        Results by step and position, as they were first read.
    runs
        How often an engine began each request that must not be repeated.
    step_reads
        How each step was accepted and read last.
    """

    breaches: list[Breach] = field(default_factory=list)
    accepted: dict[str, list[str]] = field(default_factory=dict)
    results: dict[str, dict[int, ListedResult]] = field(default_factory=dict)
    oldest: dict[str, int] = field(default_factory=dict)
    runs: Counter[str] = field(default_factory=Counter)
    reads: int = 0
    answers: int = 0
    step_reads: StepReads = field(default_factory=StepReads)

    def breach(self, promise: str, detail: str) -> None:
        """Note a broken promise."""
        self.breaches.append(Breach(promise, detail))

    def step_accepted(self, step: str, samples: list[str], oldest: int) -> None:
        """Take the acceptance of a step."""
        self.accepted[step] = samples
        self.oldest[step] = oldest

    def page_read(self, step: str, position: int, page: list[ListedResult], events: int) -> None:
        """Take a page of results; each has `events` events where it succeeded."""
        self.reads += 1
        known = self.results.setdefault(step, {})
        for place, result in enumerate(page, start=position):
            first = known.setdefault(place, result)
            if first != result:
                self.breach("a result never changes", f"{step}/{place}: {first} then {result}")
            self._check_result(step, result, events)
        listed = Counter(result["id"] for result in known.values())
        for sample, count in listed.items():
            if count > 1:
                self.breach("each sample is listed once", f"{step}: {sample} {count} times")

    def _check_result(self, step: str, result: ListedResult, events: int) -> None:
        identifier = result["id"]
        if identifier not in self.accepted.get(step, [identifier]):
            self.breach("results belong to their step", f"{step}: {identifier}")
        if result["state"] != "succeeded":
            return
        expected = [f"{identifier}/{number}" for number in range(1, events + 1)]
        lines = result["text"].split("\n")
        if [line.rpartition("@")[0] for line in lines] != expected:
            self.breach("a text is whole", f"{step}: {identifier}: {len(lines)} events")
        made_by = {int(line.rpartition("@")[2]) for line in lines}
        if made_by != set(result["versions"]):
            self.breach(
                "versions are named", f"{identifier}: {made_by}, listed {result['versions']}"
            )
        if min(made_by) < self.oldest.get(step, 0):
            self.breach("no version is too old", f"{identifier}: {made_by}")
        if result.get("score") != f"sig-{identifier}-score":
            self.breach("a score is its own", f"{identifier}: {result.get('score')}")

    def answered(self, identifier: str, status: int, body: bytes, sent: bytes) -> None:
        """Take the end of a request that must not be repeated."""
        self.answers += 1
        if status == 200 and body != b"answer " + sent:
            self.breach("each caller gets its own whole answer", f"{identifier}: {body!r}")
        if status in NOT_RUN and self.runs[identifier]:
            self.breach("not run is true", f"{identifier}: {status} after a run")

    def began(self, identifier: str, is_once: bool, refused: bool) -> None:
        """Take that an engine began a request."""
        self.runs[identifier] += 1
        if is_once and self.runs[identifier] > 1:
            self.breach("at most once", identifier)
        if refused:
            self.breach("not run is true", f"{identifier}: began after its refusal")

    def ended(self) -> None:
        """Check at the end that nothing accepted is lost."""
        for step, samples in self.accepted.items():
            listed = {result["id"] for result in self.results.get(step, {}).values()}
            missing = sorted(set(samples) - listed)
            if missing:
                detail = f"{step}: {missing}; {self.step_reads.tell(step)}"
                self.breach("nothing accepted is lost", detail)
