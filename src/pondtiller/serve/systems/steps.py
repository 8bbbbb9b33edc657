"""Steps of trainers: a step is an ordered set of slots and each slot is filled once.

The trainer reads by slot number from a cursor that it stores with its own state, so a lost
or repeated answer changes nothing. A step whose daemon was lost is opened again by its
trainer at its cursor; slots before the cursor are never made again.
"""

from pondtiller.address import Address
from pondtiller.errors import ErrorKind, Failure
from pondtiller.hashing import digest, owner
from pondtiller.serve.core import constants
from pondtiller.serve.core.entities import Sample, SamplePoll, Slot, SlotState, Step, StepKey
from pondtiller.serve.core.events import (
    SampleCommitted,
    SamplesAcknowledged,
    SamplesRead,
    StepOpened,
    TrainerLeft,
    VersionPublished,
)
from pondtiller.serve.core.instructions import (
    AnswerSamples,
    AnswerTrainer,
    FailTrainer,
    RedirectTrainer,
)
from pondtiller.serve.core.timers import TimerKind
from pondtiller.serve.core.world import World
from pondtiller.serve.systems import slots
from pondtiller.serve.systems.peers import note_version

IDLE_STEP_SECONDS = 60.0
"""A step that nobody reads for so long is closed; a trainer's next call opens it again at its
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
        _read(world, read, now)
    for committed in world.batch.of(SampleCommitted):
        _answer_waiting(world, committed.key)
    for call_id in world.due_keys(TimerKind.SAMPLE_POLL):
        _answer_poll(world, call_id)
    for left in world.batch.of(TrainerLeft):
        _forget_poll(world, left.call_id)
    for trainer in world.due_keys(TimerKind.IDLE_STEP):
        _drop_idle(world, trainer, now)


def _publish(world: World, published: VersionPublished, now: float) -> None:
    row = slots.trainer_row(world, published.trainer)
    if row is None or row.model is None:
        _fail(world, published.call_id, ErrorKind.UNKNOWN_ROW, f"trainer/{published.trainer}")
        return
    note_version(world, row.model, published.version, now)
    world.log("version_published", model=row.model, version=published.version)
    world.do(AnswerTrainer(published.call_id, world.model_versions[row.model], 0))


def _fail(world: World, call_id: str, kind: ErrorKind, detail: str = "") -> None:
    world.do(FailTrainer(call_id, Failure(kind, detail)))


def _open(world: World, opened: StepOpened, now: float) -> None:
    known = world.steps.get(opened.key)
    fingerprint = digest("\0".join(opened.prompts) + f"\0{opened.maximum_tokens}")
    if known is not None:
        _open_again(world, opened, known, fingerprint)
        return
    row = slots.trainer_row(world, opened.key.trainer)
    if not world.ready:
        _fail(world, opened.call_id, ErrorKind.NOT_READY)
    elif row is None or row.model is None:
        _fail(world, opened.call_id, ErrorKind.UNKNOWN_ROW, f"trainer/{opened.key.trainer}")
    elif (home := _other_home(world, opened.key, opened.forwarded)) is not None:
        world.do(RedirectTrainer(opened.call_id, home))
    elif world.draining:
        _fail(world, opened.call_id, ErrorKind.DRAINING)
    elif _open_count(world, opened.key.trainer) >= constants.OPEN_STEPS_A_TRAINER:
        _fail(world, opened.call_id, ErrorKind.QUEUE_FULL, "too many steps are open")
    else:
        _start_step(world, opened, row.model, fingerprint, now)


def _open_again(world: World, opened: StepOpened, step: Step, fingerprint: str) -> None:
    if step.fingerprint != fingerprint:
        _fail(world, opened.call_id, ErrorKind.CONFLICT, "the step is open with other prompts")
        return
    world.do(AnswerTrainer(opened.call_id, step.version, step.cursor))


def _other_home(world: World, key: StepKey, forwarded: bool) -> Address | None:
    """Return the daemon that should make a step where it is another one."""
    home = owner(f"step/{key.trainer}", world.membership.live_names())
    if forwarded or home is None or home == world.name:
        return None
    member = world.membership.members[home]
    return Address(member.host, member.http_port)


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
        _refuse_unknown(world, event.call_id, event.key, event.forwarded)
        return
    if event.cursor > len(step.slots):
        _fail(world, event.call_id, ErrorKind.BAD_REQUEST, "the cursor is past the last slot")
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


def _refuse_unknown(world: World, call_id: str, key: StepKey, forwarded: bool) -> None:
    home = _other_home(world, key, forwarded)
    if home is not None:
        world.do(RedirectTrainer(call_id, home))
    else:
        _fail(world, call_id, ErrorKind.UNKNOWN_STEP)


def _read(world: World, read: SamplesRead, now: float) -> None:
    step = world.steps.get(read.key)
    if step is None:
        _refuse_unknown(world, read.call_id, read.key, read.forwarded)
        return
    step.used_at = now
    if read.cursor < step.cursor:
        detail = f"slots before {step.cursor} are acknowledged"
        _fail(world, read.call_id, ErrorKind.CONFLICT, detail)
        return
    until = now + min(read.wait_seconds, constants.SAMPLE_POLL_MAXIMUM_SECONDS)
    world.polls[read.call_id] = SamplePoll(read.call_id, read.key, read.cursor, until)
    if _ready_samples(world, step, read.cursor) or read.wait_seconds <= 0:
        _answer_poll(world, read.call_id)
    else:
        world.set_timer(TimerKind.SAMPLE_POLL, until, read.call_id)


def _ready_samples(world: World, step: Step, cursor: int) -> tuple[Sample, ...]:
    """Return the samples that follow each other from the cursor on."""
    samples: list[Sample] = []
    first = cursor if world.mechanisms.slot_cursor else step.cursor
    for slot in step.slots[first : first + constants.SAMPLES_A_READ]:
        if slot.sample is None:
            break
        samples.append(slot.sample)
    return tuple(samples)


def _answer_waiting(world: World, key: StepKey) -> None:
    step = world.steps.get(key)
    if step is None:
        return
    for poll in [poll for poll in world.polls.values() if poll.key == key]:
        if _ready_samples(world, step, poll.cursor):
            _answer_poll(world, poll.call_id)


def _answer_poll(world: World, call_id: str) -> None:
    poll = world.polls.get(call_id)
    if poll is None:
        return
    _forget_poll(world, call_id)
    step = world.steps.get(poll.key)
    if step is None:
        _fail(world, call_id, ErrorKind.UNKNOWN_STEP)
        return
    samples = _ready_samples(world, step, poll.cursor)
    next_cursor = poll.cursor + len(samples)
    world.do(AnswerSamples(call_id, poll.key, samples, next_cursor, len(step.slots)))


def _forget_poll(world: World, call_id: str) -> None:
    world.polls.pop(call_id, None)
    world.clear_timer(TimerKind.SAMPLE_POLL, call_id)


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
