"""Trainers' reads of samples: answered at once, or held until samples are ready.

Owns `World.polls`, the reads that wait, each with a timer. A read changes no step but the time of
its latest use: what a trainer has stored it acknowledges, which `steps` handles.
"""

from pondtiller.errors import ErrorKind
from pondtiller.serve.core import constants
from pondtiller.serve.core.events import SamplesRead
from pondtiller.serve.core.instructions import AnswerSamples
from pondtiller.serve.core.step_entities import Sample, SamplePoll, Step, StepKey
from pondtiller.serve.core.timers import TimerKind
from pondtiller.serve.core.world import World
from pondtiller.serve.systems.trainer_answers import fail, refuse_unknown


def read_samples(world: World, read: SamplesRead, now: float) -> None:
    """Answer a trainer's read, at once where samples are ready or it does not wait."""
    step = world.steps.get(read.key)
    if step is None:
        refuse_unknown(world, read.call_id, read.key, read.forwarded)
        return
    step.used_at = now
    if read.cursor < step.cursor:
        detail = f"slots before {step.cursor} are acknowledged"
        fail(world, read.call_id, ErrorKind.CONFLICT, detail)
        return
    until = now + min(read.wait_seconds, constants.SAMPLE_POLL_MAXIMUM_SECONDS)
    world.polls[read.call_id] = SamplePoll(read.call_id, read.key, read.cursor, until)
    if _ready_samples(world, step, read.cursor) or read.wait_seconds <= 0:
        answer_poll(world, read.call_id)
    else:
        world.set_timer(TimerKind.SAMPLE_POLL, until, read.call_id)


def _ready_samples(world: World, step: Step, cursor: int) -> tuple[Sample, ...]:
    """Return the samples that follow each other from the cursor on."""
    samples: list[Sample] = []
    first = cursor if world.mechanisms.slot_cursor else step.cursor
    for slot in step.slots[first : first + constants.SAMPLES_PER_READ]:
        if slot.sample is None:
            break
        samples.append(slot.sample)
    return tuple(samples)


def answer_waiting(world: World, key: StepKey) -> None:
    """Answer the reads that wait for a step, where samples are ready for them."""
    step = world.steps.get(key)
    if step is None:
        return
    for poll in [poll for poll in world.polls.values() if poll.key == key]:
        if _ready_samples(world, step, poll.cursor):
            answer_poll(world, poll.call_id)


def answer_poll(world: World, call_id: str) -> None:
    """Answer a read that waits with what is ready now."""
    poll = world.polls.get(call_id)
    if poll is None:
        return
    forget_poll(world, call_id)
    step = world.steps.get(poll.key)
    if step is None:
        fail(world, call_id, ErrorKind.UNKNOWN_STEP)
        return
    samples = _ready_samples(world, step, poll.cursor)
    next_cursor = poll.cursor + len(samples)
    world.do(AnswerSamples(call_id, poll.key, samples, next_cursor, len(step.slots)))


def forget_poll(world: World, call_id: str) -> None:
    """Drop a read that waits; an unknown one is no error."""
    world.polls.pop(call_id, None)
    world.clear_timer(TimerKind.SAMPLE_POLL, call_id)
