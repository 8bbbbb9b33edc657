"""The properties that must always hold, judged from what really happened.

Each check reads only `Truth`: what engines ran, what callers and trainers received, and
what the object service accepted.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from pondtiller.errors import Ran
from pondtiller.serve.emulator.text import expected_answer
from pondtiller.serve.emulator.trainer import ReceivedSample
from pondtiller.serve.simulation.truth import AcceptedEdit, TokenRun, Truth

LEAVING_SECONDS = 5.0
"""Time for which a leaving engine may get new work, from when daemons can know that it leaves.
Bound of the property."""
IN_FORCE_SECONDS = 8.0
"""Time until an accepted edit is in force, from when daemons can know of it. Bound of the
property."""


class Property(StrEnum):
    """Names of the properties."""

    VERSIONS_NAMED = "versions_named"
    STALENESS_BOUND = "staleness_bound"
    EXACTLY_ONCE = "exactly_once"
    OWN_WHOLE_ANSWER = "own_whole_answer"
    NOT_RUN_IS_TRUE = "not_run_is_true"
    AT_MOST_ONCE = "at_most_once"
    LEAVING_GETS_NOTHING = "leaving_gets_nothing"
    STOP_CUTS_NOTHING = "stop_cuts_nothing"
    TABLE_IN_FORCE = "table_in_force"
    LIMIT_KEPT = "limit_kept"


@dataclass(frozen=True, slots=True)
class Violation:
    """A property that did not hold, with the case."""

    property: Property
    detail: str


@dataclass(frozen=True, slots=True)
class CheckSettings:
    """What the checks must know of the deployment and the scenario.

    Attributes
    ----------
    staleness_bounds
        Bound by trainer.
    samples
        Samples of a step by trainer.
    unreachable
        Times during which some daemon could not be reached or was paused; a table change
        counts from the end of the last one.
    limits
        Limit by caller class.
    """

    staleness_bounds: dict[str, int]
    samples: dict[str, int]
    unreachable: tuple[tuple[float, float], ...] = ()
    limits: dict[str, int] = field(default_factory=dict)


def check_all(truth: Truth, settings: CheckSettings) -> list[Violation]:
    """Return every violation of every property."""
    violations: list[Violation] = []
    for check in CHECKS:
        violations.extend(check(truth, settings))
    return violations


def check_versions(truth: Truth, settings: CheckSettings) -> list[Violation]:
    """Every segment of a sample was made by the version that it names."""
    return [
        Violation(Property.VERSIONS_NAMED, f"{trainer}: {received.sample.sample_id}")
        for trainer, samples in truth.received.items()
        for received in samples
        if not _segments_are_true(received, truth.tokens.get(received.sample.prompt, []))
    ]


def _segments_are_true(received: ReceivedSample, runs: list[TokenRun]) -> bool:
    """Return whether segments cover the whole sample and engines made them so."""
    next_token = 0
    for segment in received.sample.segments:
        if segment.first_token != next_token:
            return False
        made = [run for run in runs if run.version == segment.version]
        if not _covers(made, segment.first_token, segment.last_token):
            return False
        next_token = segment.last_token + 1
    return next_token == received.sample.token_count


def _covers(runs: list[TokenRun], first: int, last: int) -> bool:
    reached = first
    for run in sorted(runs, key=lambda each: each.first_token):
        if run.first_token <= reached <= run.last_token:
            reached = run.last_token + 1
    return reached > last


def check_staleness(truth: Truth, settings: CheckSettings) -> list[Violation]:
    """No token is from weights older than the bound, seen from the version that trains."""
    violations: list[Violation] = []
    for trainer, samples in truth.received.items():
        bound = settings.staleness_bounds[trainer]
        for received in samples:
            oldest = oldest_made(received, truth.tokens.get(received.sample.prompt, []))
            if oldest < received.trainer_version - bound:
                detail = f"{trainer}: {received.sample.sample_id} has version {oldest}"
                violations.append(Violation(Property.STALENESS_BOUND, detail))
    return violations


def oldest_made(received: ReceivedSample, runs: list[TokenRun]) -> int:
    """Return the oldest version in a sample, from the engines' side where it is certain.

    A prompt that was generated more than once leaves open which engine's tokens were
    used; then the sample's own segments, checked by `check_versions`, decide.
    """
    generated = sum(run.last_token - run.first_token + 1 for run in runs)
    if generated == received.sample.token_count:
        return min((run.version for run in runs), default=0)
    return min((segment.version for segment in received.sample.segments), default=0)


def check_exactly_once(truth: Truth, settings: CheckSettings) -> list[Violation]:
    """Every slot of a finished step reached the trainer once, and no sample twice."""
    violations: list[Violation] = []
    for trainer, samples in truth.received.items():
        slots = Counter((each.step, each.sample.slot) for each in samples)
        identifiers = Counter(each.sample.sample_id for each in samples)
        doubled = [key for key, count in slots.items() if count > 1]
        doubled_ids = [key for key, count in identifiers.items() if count > 1]
        last_step = max((each.step for each in samples), default=0)
        wanted = {
            (step, slot)
            for step in range(1, last_step)
            for slot in range(settings.samples[trainer])
        }
        missing = wanted - set(slots)
        for key in [*doubled, *doubled_ids]:
            violations.append(Violation(Property.EXACTLY_ONCE, f"{trainer}: twice: {key}"))
        for step_slot in sorted(missing):
            violations.append(Violation(Property.EXACTLY_ONCE, f"{trainer}: missing: {step_slot}"))
        for each in samples:
            expected = expected_answer(each.sample.prompt, 10**9)
            if not expected.startswith(each.sample.text):
                detail = f"{trainer}: wrong text: {each.sample.sample_id}"
                violations.append(Violation(Property.EXACTLY_ONCE, detail))
    return violations


def check_own_answer(truth: Truth, settings: CheckSettings) -> list[Violation]:
    """Every caller that got an answer got the whole answer to its own request."""
    return [
        Violation(Property.OWN_WHOLE_ANSWER, request.prompt)
        for request in truth.callers
        for each in request.tries
        if each.text is not None
        and each.text != expected_answer(request.prompt, request.maximum_tokens)
    ]


def check_not_run(truth: Truth, settings: CheckSettings) -> list[Violation]:
    """No request whose every try ended with `not run` was started by an engine."""
    started = {start.prompt for start in truth.starts}
    return [
        Violation(Property.NOT_RUN_IS_TRUE, request.prompt)
        for request in truth.callers
        if request.tries
        and all(each.ran is Ran.NO for each in request.tries)
        and request.prompt in started
    ]


def check_at_most_once(truth: Truth, settings: CheckSettings) -> list[Violation]:
    """No request that must not be repeated was started twice."""
    starts = Counter(start.prompt for start in truth.starts)
    return [
        Violation(Property.AT_MOST_ONCE, f"{request.prompt}: {starts[request.prompt]} starts")
        for request in truth.callers
        if request.once and starts[request.prompt] > 1
    ]


def check_leaving(truth: Truth, settings: CheckSettings) -> list[Violation]:
    """No engine started new work a few seconds after the platform showed it as leaving."""
    since = {leaving.engine: leaving.visible_at for leaving in truth.leaving}
    violations: list[Violation] = []
    for start in truth.starts:
        if start.engine not in since:
            continue
        limit = _reachable_after(since[start.engine], settings) + LEAVING_SECONDS
        if start.given_at > limit:
            detail = f"{start.engine}: {start.attempt_id} at {start.given_at:.1f}"
            violations.append(Violation(Property.LEAVING_GETS_NOTHING, detail))
    return violations


def check_stop(truth: Truth, settings: CheckSettings) -> list[Violation]:
    """No planned stop broke a caller's connection."""
    return [
        Violation(Property.STOP_CUTS_NOTHING, f"{each.daemon} at {each.at:.1f}")
        for each in truth.broken
        if each.planned
    ]


def check_table(truth: Truth, settings: CheckSettings) -> list[Violation]:
    """Requests sent seconds after an accepted edit reach engines with the edited priority."""
    arrivals = {request.prompt: request for request in truth.callers}
    violations: list[Violation] = []
    for start in truth.starts:
        request = arrivals.get(start.prompt)
        if request is None or not request.tries:
            continue
        sent_at = max(each.sent_at for each in request.tries if each.sent_at <= start.given_at)
        wanted = _priority_in_force(truth.edits, request.caller, sent_at, settings)
        if start.priority < wanted:
            detail = f"{start.attempt_id}: priority {start.priority} instead of {wanted}"
            violations.append(Violation(Property.TABLE_IN_FORCE, detail))
    return violations


def _priority_in_force(
    edits: list[AcceptedEdit], caller: str, sent_at: float, settings: CheckSettings
) -> int:
    in_force = [
        edit.priority
        for edit in edits
        if edit.caller == caller
        and _reachable_after(edit.accepted_at, settings) + IN_FORCE_SECONDS < sent_at
    ]
    return max(in_force, default=0)


def _reachable_after(at: float, settings: CheckSettings) -> float:
    """Return the first time from `at` on at which everyone could be reached."""
    for start, end in sorted(settings.unreachable):
        if start - IN_FORCE_SECONDS <= at <= end:
            at = end
    return at


def check_limits(truth: Truth, settings: CheckSettings) -> list[Violation]:
    """Engines together never ran more requests of a caller class than its limit."""
    return [
        Violation(Property.LIMIT_KEPT, f"{each.caller}: {each.count} at {each.at:.1f}")
        for each in truth.in_progress
        if each.count > settings.limits.get(each.caller, each.count)
    ]


Check = Callable[[Truth, CheckSettings], list[Violation]]

CHECKS: tuple[Check, ...] = (
    check_versions,
    check_staleness,
    check_exactly_once,
    check_own_answer,
    check_not_run,
    check_at_most_once,
    check_leaving,
    check_stop,
    check_table,
    check_limits,
)
