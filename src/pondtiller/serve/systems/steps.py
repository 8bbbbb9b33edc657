"""Steps of trainers: a step is an ordered set of slots and each slot is filled once.

The trainer reads by slot number from a cursor that it stores with its own state, so a lost
or repeated answer changes nothing. A step whose daemon was lost is opened again by its
trainer at its cursor; slots before the cursor are never made again.

Owns `World.steps`. `slots` makes the samples, `sample_reads` answers reads.
"""

from pondtiller.errors import ErrorKind
from pondtiller.hashing import digest
from pondtiller.serve.core import constants
from pondtiller.serve.core.events import (
    SampleCommitted,
    SamplesAcknowledged,
    SamplesRead,
    StepOpened,
    TrainerLeft,
    VersionPublished,
)
from pondtiller.serve.core.instructions import AnswerTrainer, RedirectTrainer
from pondtiller.serve.core.step_entities import Slot, SlotState, Step
from pondtiller.serve.core.timers import TimerKind
from pondtiller.serve.core.world import World
from pondtiller.serve.systems import sample_reads, slots
from pondtiller.serve.systems.peers import note_version
from pondtiller.serve.systems.trainer_answers import fail, other_home, refuse_unknown

IDLE_STEP_SECONDS = 60.0
"""Time without a read after which a step is closed; its trainer's next call opens it again at its
cursor. Chosen, not measured: twice the longest wait of a read."""


def run(world: World, now: float) -> None:
    """Open steps, answer the trainers' reads and take their acknowledgements."""
    for published in world.batch.of(VersionPublished):
        _publish(world, published, now)
    for opened in world.batch.of(StepOpened):
        _open(world, opened, now)
    for acknowledged in world.batch.of(SamplesAcknowledged):
        _acknowledge(world, acknowledged, now)
    for read in world.batch.of(SamplesRead):
        sample_reads.read_samples(world, read, now)
    for committed in world.batch.of(SampleCommitted):
        sample_reads.answer_waiting(world, committed.key)
    for call_id in world.due_keys(TimerKind.SAMPLE_POLL):
        sample_reads.answer_poll(world, call_id)
    for left in world.batch.of(TrainerLeft):
        sample_reads.forget_poll(world, left.call_id)
    for trainer in world.due_keys(TimerKind.IDLE_STEP):
        _drop_idle(world, trainer, now)


def _publish(world: World, published: VersionPublished, now: float) -> None:
    row = slots.trainer_row(world, published.trainer)
    if row is None or row.model is None:
        fail(world, published.call_id, ErrorKind.UNKNOWN_ROW, f"trainer/{published.trainer}")
        return
    note_version(world, row.model, published.version, now)
    world.log("version_published", model=row.model, version=published.version)
    world.do(AnswerTrainer(published.call_id, world.model_versions[row.model], 0))


def _open(world: World, opened: StepOpened, now: float) -> None:
    known = world.steps.get(opened.key)
    fingerprint = digest("\0".join(opened.prompts) + f"\0{opened.maximum_tokens}")
    if known is not None:
        _open_again(world, opened, known, fingerprint)
        return
    row = slots.trainer_row(world, opened.key.trainer)
    if not world.ready:
        fail(world, opened.call_id, ErrorKind.NOT_READY)
    elif row is None or row.model is None:
        fail(world, opened.call_id, ErrorKind.UNKNOWN_ROW, f"trainer/{opened.key.trainer}")
    elif (home := other_home(world, opened.key, opened.forwarded)) is not None:
        world.do(RedirectTrainer(opened.call_id, home))
    elif world.draining:
        fail(world, opened.call_id, ErrorKind.DRAINING)
    elif _open_count(world, opened.key.trainer) >= constants.OPEN_STEPS_PER_TRAINER:
        fail(world, opened.call_id, ErrorKind.QUEUE_FULL, "too many steps are open")
    else:
        _start_step(world, opened, row.model, fingerprint, now)


def _open_again(world: World, opened: StepOpened, step: Step, fingerprint: str) -> None:
    if step.fingerprint != fingerprint:
        fail(world, opened.call_id, ErrorKind.CONFLICT, "the step is open with other prompts")
        return
    world.do(AnswerTrainer(opened.call_id, step.version, step.cursor))


def _open_count(world: World, trainer: str) -> int:
    return sum(1 for key in world.steps if key.trainer == trainer)


def _start_step(world: World, opened: StepOpened, model: str, fingerprint: str, now: float) -> None:
    version = opened.version
    if version is None:
        version = world.model_versions.get(model, 0)
    step = Step(
        key=opened.key,
        version=version,
        maximum_tokens=opened.maximum_tokens,
        fingerprint=fingerprint,
        slots=[Slot(prompt) for prompt in opened.prompts],
        opened_at=now,
        cursor=opened.cursor if world.mechanisms.slot_cursor else 0,
        used_at=now,
    )
    world.steps[opened.key] = step
    for number in range(step.cursor, len(step.slots)):
        slots.start_slot(world, step, number, model)
    world.set_timer(TimerKind.IDLE_STEP, now + IDLE_STEP_SECONDS, opened.key.trainer)
    world.log("step_opened", trainer=opened.key.trainer, step=opened.key.step, version=version)
    world.do(AnswerTrainer(opened.call_id, version, step.cursor))


def _acknowledge(world: World, event: SamplesAcknowledged, now: float) -> None:
    step = world.steps.get(event.key)
    if step is None:
        refuse_unknown(world, event.call_id, event.key, event.forwarded)
        return
    if event.cursor > len(step.slots):
        fail(world, event.call_id, ErrorKind.BAD_REQUEST, "the cursor is past the last slot")
        return
    for number in range(step.cursor, event.cursor):
        slot = step.slots[number]
        slot.sample = None
        if slot.state is SlotState.RUNNING:
            slots.cancel_slot(world, slot, now)
    step.cursor = max(step.cursor, event.cursor)
    step.used_at = now
    if step.cursor >= len(step.slots):
        del world.steps[event.key]
        world.log("step_done", trainer=event.key.trainer, step=event.key.step)
    world.do(AnswerTrainer(event.call_id, step.version, step.cursor))


def _drop_idle(world: World, trainer: str, now: float) -> None:
    """Stop making steps that their trainer stopped reading: it reads them elsewhere."""
    for key, step in [each for each in world.steps.items() if each[0].trainer == trainer]:
        waits = any(poll.key == key for poll in world.polls.values())
        if waits or now - step.used_at < IDLE_STEP_SECONDS:
            continue
        for slot in step.slots:
            if slot.state is SlotState.RUNNING:
                slots.cancel_slot(world, slot, now)
        del world.steps[key]
        world.log("step_dropped", trainer=trainer, step=key.step)
    if _open_count(world, trainer):
        world.set_timer(TimerKind.IDLE_STEP, now + IDLE_STEP_SECONDS, trainer)
