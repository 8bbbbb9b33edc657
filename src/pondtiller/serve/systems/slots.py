"""Slots of steps: makes a sample for each, has it scored and commits it once.

A slot is filled only by its latest try, and only with weights that the bound in force at
that moment allows.

Owns `World.rollouts` and `World.scoring`, the tries and scores under way by their identifiers. A
sample that failed is made again for as long as its step is open.
"""

from dataclasses import replace

from pondtiller.errors import ErrorKind, Failure
from pondtiller.serve.core import constants
from pondtiller.serve.core.entities import Request, RequestSpec
from pondtiller.serve.core.events import (
    RequestFinished,
    RolloutStarted,
    SampleCommitted,
    ScoreArrived,
)
from pondtiller.serve.core.instructions import ScoreSample
from pondtiller.serve.core.step_entities import Sample, Slot, SlotKey, SlotState, Step, StepKey
from pondtiller.serve.core.timers import TimerKind
from pondtiller.serve.core.tokens import oldest_version
from pondtiller.serve.core.world import World
from pondtiller.serve.systems import lifecycle
from pondtiller.table.sheet import Row, RowKind

SCORE_AGAIN_SECONDS = 0.5
"""Pause before a scorer that failed is asked again. Chosen, not measured."""


def run(world: World, now: float) -> None:
    """Take finished rollouts and scores."""
    for finished in world.batch.of(RequestFinished):
        _take_rollout(world, finished, now)
    for arrived in world.batch.of(ScoreArrived):
        _take_score(world, arrived, now)
    for score_id in world.due_keys(TimerKind.SCORE):
        _ask_scorer_again(world, score_id, now)


def trainer_row(world: World, trainer: str) -> Row | None:
    """Return the trainer's row in the table in force."""
    return world.sheet.row(RowKind.TRAINER, trainer)


def minimum_version(world: World, step: Step) -> int:
    """Return the oldest weight version that may make a sample of a step."""
    row = trainer_row(world, step.key.trainer)
    if row is None or row.staleness_bound is None or not world.mechanisms.staleness_checks:
        return 0
    return max(0, step.version - row.staleness_bound)


def start_slot(world: World, step: Step, number: int, model: str) -> None:
    """Ask for one sample; what an earlier try still sends is ignored."""
    slot = step.slots[number]
    slot.state = SlotState.RUNNING
    slot.tries += 1
    slot.request_id = world.next_id(f"{step.key.trainer}/{step.key.step}/{number}")
    world.rollouts[slot.request_id] = SlotKey(step.key, number)
    spec = RequestSpec(
        request_id=slot.request_id,
        row=f"{RowKind.TRAINER.value}/{step.key.trainer}",
        caller="",
        model=model,
        prompt=slot.prompt,
        maximum_tokens=step.maximum_tokens,
        stream=False,
        once=False,
        idempotency_key="",
        fingerprint="",
        minimum_version=minimum_version(world, step),
        is_rollout=True,
    )
    world.emit(RolloutStarted(spec))


def _restart_slot(world: World, step: Step, number: int) -> None:
    row = trainer_row(world, step.key.trainer)
    if row is not None and row.model is not None:
        start_slot(world, step, number, row.model)


def _take_rollout(world: World, event: RequestFinished, now: float) -> None:
    request = event.finished.request
    place = world.rollouts.pop(request.spec.request_id, None)
    step = world.steps.get(place.step) if place is not None else None
    if place is None or step is None:
        return
    slot = step.slots[place.slot]
    if slot.request_id != request.spec.request_id or slot.state is not SlotState.RUNNING:
        return
    if event.finished.failure is not None:
        _restart_slot(world, step, place.slot)
        return
    slot.state = SlotState.SCORING
    slot.pending = _sample(request, place.slot)
    _ask_scorer(world, step.key, place.slot, slot.pending, now)


def _sample(request: Request, number: int) -> Sample:
    return Sample(
        slot=number,
        sample_id=request.spec.request_id,
        prompt=request.spec.prompt,
        text=request.text(),
        token_count=request.token_count,
        finish_reason=request.finish_reason,
        segments=tuple(request.segments),
        score=0.0,
    )


def _ask_scorer(world: World, key: StepKey, number: int, sample: Sample, now: float) -> None:
    score_id = world.next_id("score")
    world.scoring[score_id] = SlotKey(key, number)
    world.do(ScoreSample(score_id, sample.prompt, sample.text))
    world.set_timer(TimerKind.SCORE, now + constants.SCORE_TIMEOUT_SECONDS, score_id)


def _ask_scorer_again(world: World, score_id: str, now: float) -> None:
    place = world.scoring.pop(score_id, None)
    step = world.steps.get(place.step) if place is not None else None
    if place is None or step is None:
        return
    pending = step.slots[place.slot].pending
    if pending is not None:
        _ask_scorer(world, place.step, place.slot, pending, now)


def _take_score(world: World, arrived: ScoreArrived, now: float) -> None:
    place = world.scoring.get(arrived.score_id)
    if place is None:
        return
    if arrived.score is None:
        world.set_timer(TimerKind.SCORE, now + SCORE_AGAIN_SECONDS, arrived.score_id)
        return
    del world.scoring[arrived.score_id]
    world.clear_timer(TimerKind.SCORE, arrived.score_id)
    step = world.steps.get(place.step)
    if step is not None and step.slots[place.slot].pending is not None:
        _commit(world, step, place.slot, arrived.score)


def _commit(world: World, step: Step, number: int, score: float) -> None:
    """Fill a slot, unless the bound in force now finds its weights too old."""
    slot = step.slots[number]
    pending, slot.pending = slot.pending, None
    if pending is None:
        return
    oldest = oldest_version(list(pending.segments))
    is_stale = oldest is not None and oldest < minimum_version(world, step)
    if is_stale:
        _restart_slot(world, step, number)
        return
    slot.state = SlotState.COMMITTED
    slot.sample = replace(pending, score=score)
    counts = world.row_counts(f"{RowKind.TRAINER.value}/{step.key.trainer}")
    counts.samples += 1
    if oldest is not None:
        counts.staleness = max(0, step.version - oldest)
    world.emit(SampleCommitted(step.key, slot.sample))


def cancel_slot(world: World, slot: Slot, now: float) -> None:
    """Stop making a sample that nobody needs."""
    world.rollouts.pop(slot.request_id, None)
    request = world.requests.get(slot.request_id)
    if request is not None:
        lifecycle.fail(world, request, Failure(ErrorKind.ENGINE_FAILED, "not needed"), now)
