"""Steps of trainers: a step is an ordered set of slots and each slot is filled once.

The trainer reads by slot number from a cursor that it stores with its own state, so a lost
or repeated answer changes nothing. A step whose daemon was lost is opened again by its
trainer at its cursor; slots before the cursor are never made again.
"""

from pondtiller.core import constants
from pondtiller.core.entities import (
    Address,
    Request,
    RequestSpec,
    Sample,
    SamplePoll,
    Slot,
    SlotKey,
    SlotState,
    Step,
    StepKey,
)
from pondtiller.core.events import (
    RequestFinished,
    RolloutStarted,
    SampleCommitted,
    SamplesAcknowledged,
    SamplesRead,
    ScoreArrived,
    StepOpened,
    TrainerLeft,
    VersionPublished,
)
from pondtiller.core.instructions import (
    AnswerSamples,
    AnswerTrainer,
    FailTrainer,
    RedirectTrainer,
    ScoreSample,
)
from pondtiller.core.tokens import oldest_version
from pondtiller.core.world import TimerKind, World
from pondtiller.errors import ErrorKind, Failure
from pondtiller.hashing import digest, owner
from pondtiller.systems import lifecycle
from pondtiller.systems.peers import note_version
from pondtiller.table.sheet import Row, RowKind

IDLE_STEP_SECONDS = 60.0
SCORE_AGAIN_SECONDS = 0.5


def run(world: World, now: float) -> None:
    """Open steps, fill slots, score, commit and answer the trainers' reads."""
    for published in world.batch.of(VersionPublished):
        _publish(world, published, now)
    for opened in world.batch.of(StepOpened):
        _open(world, opened, now)
    for finished in world.batch.of(RequestFinished):
        _take_rollout(world, finished, now)
    for arrived in world.batch.of(ScoreArrived):
        _take_score(world, arrived, now)
    for score_id in world.due_keys(TimerKind.SCORE):
        _ask_scorer_again(world, score_id, now)
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


def trainer_row(world: World, trainer: str) -> Row | None:
    """Return the trainer's row in the table in force."""
    return world.sheet.row(RowKind.TRAINER, trainer)


def minimum_version(world: World, step: Step) -> int:
    """Return the oldest weight version that may make a sample of a step."""
    row = trainer_row(world, step.key.trainer)
    if row is None or row.staleness_bound is None or not world.mechanisms.staleness_checks:
        return 0
    return max(0, step.version - row.staleness_bound)


def _publish(world: World, published: VersionPublished, now: float) -> None:
    row = trainer_row(world, published.trainer)
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
    row = trainer_row(world, opened.key.trainer)
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
        _start_slot(world, step, number, model)
    world.set_timer(TimerKind.IDLE_STEP, now + IDLE_STEP_SECONDS, opened.key.trainer)
    world.log("step_opened", trainer=opened.key.trainer, step=opened.key.step, version=version)
    world.do(AnswerTrainer(opened.call_id, version, step.cursor))


def _start_slot(world: World, step: Step, number: int, model: str) -> None:
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
        _start_slot(world, step, number, row.model)


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
    slot.sample = Sample(
        slot=pending.slot,
        sample_id=pending.sample_id,
        prompt=pending.prompt,
        text=pending.text,
        token_count=pending.token_count,
        finish_reason=pending.finish_reason,
        segments=pending.segments,
        score=score,
    )
    step.committed += 1
    counts = world.row_counts(f"{RowKind.TRAINER.value}/{step.key.trainer}")
    counts.samples += 1
    if oldest is not None:
        counts.staleness = max(0, step.version - oldest)
    world.emit(SampleCommitted(step.key, slot.sample))


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
            _cancel_slot(world, slot, now)
    step.cursor = max(step.cursor, event.cursor)
    step.used_at = now
    if step.cursor >= len(step.slots):
        del world.steps[event.key]
        world.log("step_done", trainer=event.key.trainer, step=event.key.step)
    world.do(AnswerTrainer(event.call_id, step.version, step.cursor))


def _cancel_slot(world: World, slot: Slot, now: float) -> None:
    world.rollouts.pop(slot.request_id, None)
    request = world.requests.get(slot.request_id)
    if request is not None:
        lifecycle.fail(world, request, Failure(ErrorKind.ENGINE_FAILED, "not needed"), now)


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
                _cancel_slot(world, slot, now)
        del world.steps[key]
        world.log("step_dropped", trainer=trainer, step=key.step)
    if _open_count(world, trainer):
        world.set_timer(TimerKind.IDLE_STEP, now + IDLE_STEP_SECONDS, trainer)
