"""When a run is moved from its engine to another one. No I/O.

Stateless: the scheduler passes what is known of a run, and acts on the answer. A moved run
continues elsewhere after its last complete event. Not decided here: which engine takes it next
(`placement.py`), and moves from an engine that has restarted (`samples.py`).
"""

from typing import NamedTuple

from pondtiller.rollouts.sample_work import CancelReason

FASTER_FACTOR = 1.2
"""How many times as fast another engine must be. Engines of one service may differ in speed by 1.3
(38 and 50 ms between events): with 1.9, samples of 165 events ran for 8.2 s at a slow engine next
to free slots at fast ones. A full batch alone costs 6%, so a difference below a fifth may be due to
the current load."""
MOVE_SECONDS = 0.25
"""Cost of a move, with a margin: a connection, and reading the prompt and the text again. A higher
value keeps young runs in place, which gain least."""
SLOW_AFTER_SECONDS = 0.4
"""Minimum age of a run before its engine's pace may move it. The first event waits for a connection
and for the prompt, so it does not reflect the pace. At this age only an engine 1.6 times as fast is
worth a move (`MOVE_SECONDS`)."""
SILENT_SECONDS = 0.7
"""A run without an event for this long counts as broken. Longer than two messages of a runner
(0.25 s each), shorter than the three heartbeats (3.6 s) for which an engine without power stays
listed."""
SILENT_GAPS = 8.0
"""The same in usual times between two events, for slow models; the longer one applies, which is
this one for times above 88 ms."""
SLOW_SILENT_GAPS = 6.0
"""Missing events from which on a silence, rather than the pace, makes an engine slow. A pause of
the leader of 0.1 s, 2.5 usual gaps, made all engines look slow at once, and 37 runs were moved."""
MAX_MOVES = 4
"""Moves of one sample for silence or slowness; after them it stays until its run ends. Bounds the
cost of a sample while every engine looks slow, `MOVE_SECONDS` of an engine for each move. At a lost
engine the run ends as broken, which does not count."""


class MoveChoice(NamedTuple):
    """Whether and why a run is moved.

    Attributes
    ----------
    reason
        SILENT or SLOW; None if it stays.
    pace
        If slow: seconds between two events at its engine.
    factor
        If slow: it moves only to an engine that is this many times as fast and has a free slot.
    """

    reason: CancelReason | None
    pace: float = 0.0
    factor: float = 0.0


_SLOW = CancelReason.SLOW
STAYS = MoveChoice(None)
SILENT = MoveChoice(CancelReason.SILENT)


def may_move(moves: int) -> bool:
    """Return whether a sample that was moved so often may be moved again."""
    return moves < MAX_MOVES


def choose_move(
    now: float,
    began_at: float,
    silence: float,
    engine_pace: float | None,
    usual_pace: float,
) -> MoveChoice:
    """Return whether a run is moved from its engine, and why.

    Takes plain numbers, since it is called for every run ten times a second.

    Parameters
    ----------
    now, began_at
        Current time and start of the run, in monotonic seconds.
    silence
        Seconds from its last event, or its start, until the time up to which its events are known.
    engine_pace
        Seconds between two events at its engine; 0 if unknown, None if the engine is gone.
    usual_pace
        Median of the service's engines; 0 if unknown.
    """
    if silence > SILENT_SECONDS and silence > SILENT_GAPS * usual_pace:
        return SILENT
    if engine_pace is None or not usual_pace or now < began_at + SLOW_AFTER_SECONDS:
        return STAYS
    pace = engine_pace
    if silence > SLOW_SILENT_GAPS * usual_pace:
        pace = max(pace, silence)
    if not pace:
        return STAYS
    # Lengths have a heavy tail: a run's expected remaining time is about its age.
    return MoveChoice(_SLOW, pace, max(FASTER_FACTOR, 1.0 + MOVE_SECONDS / (now - began_at)))
