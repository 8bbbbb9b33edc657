"""When a run leaves its engine for another one. No I/O.

Owns nothing: the scheduler tells what is known of a run, and acts on the answer. What moves is
continued elsewhere after its last whole event. Not decided here: which engine takes it next
(`placement.py`), and moves from an engine that has started again (`samples.py`).
"""

from typing import NamedTuple

from pondtiller.rollouts.sample_work import CancelReason

FASTER_FACTOR = 1.2
"""How many times as fast another engine must be for a run to move there. Answers engines of one
service that differ in speed by 1.3 (38 and 50 ms between events): samples of 165 events ran for
8.2 s at a slow one beside free places at fast ones, where only 1.9 times as fast was enough to
move. A full batch alone costs 6 %, so less than a fifth may be the load of the moment."""
MOVE_SECONDS = 0.25
"""What a move costs, in seconds, with a margin: a connection, and reading prompt and text anew.
Chosen, not measured: too high keeps young runs where they are, which have least to gain."""
SLOW_AFTER_SECONDS = 0.4
"""How old a run must be before its engine's pace moves it, in seconds. Chosen, not measured: the
first event waits for a connection and for the prompt, so the first moments tell no pace. Does no
harm: at this age only an engine 1.6 times as fast is worth a move (`MOVE_SECONDS`)."""
SILENT_SECONDS = 0.7
"""Without an event for so long, in seconds, a run is taken for broken. Chosen, not measured: longer
than two deliveries of a runner's news (0.25 s each), shorter than the three heartbeats (3.6 s) for
which an engine without power stays in the list."""
SILENT_GAPS = 8.0
"""The same in usual times between two events, for slow models: whichever is longer counts. Chosen,
not measured: it decides only where that time is above 88 ms."""
SLOW_SILENT_GAPS = 6.0
"""Events that must be missing before a silence, rather than the pace, makes an engine slow. Answers
pauses of the leader itself: one of 0.1 s, 2.5 usual gaps, made all engines look slow at once, and
37 runs left theirs each time."""
MOST_MOVES = 4
"""Moves of one sample for silence or slowness; after them it stays until its run ends. Chosen, not
measured: bounds what a sample costs where every engine looks slow, each move `MOVE_SECONDS` of an
engine. Does no harm to a sample at a lost engine: its run ends as broken, which counts for none."""


class MoveChoice(NamedTuple):
    """Why a run is to move.

    Attributes
    ----------
    reason
        SILENT, or SLOW; None where it stays.
    pace
        Where it is slow: seconds between two events where it is.
    factor
        Where it is slow: it moves only to an engine that is so many times as fast and has room.
    """

    reason: CancelReason | None
    pace: float = 0.0
    factor: float = 0.0


_SLOW = CancelReason.SLOW
STAYS = MoveChoice(None)
SILENT = MoveChoice(CancelReason.SILENT)


def may_move(moves: int) -> bool:
    """Return whether a sample that was moved so often may be moved again."""
    return moves < MOST_MOVES


def choose_move(
    now: float,
    began_at: float,
    silence: float,
    engine_pace: float | None,
    usual_pace: float,
) -> MoveChoice:
    """Return whether a run is to leave its engine, and why.

    Takes plain numbers: it is asked for every run ten times a second.

    Parameters
    ----------
    now, began_at
        This moment and when the run began, in seconds of the steady clock.
    silence
        Seconds from its last event, or its begin, until when it is known what came.
    engine_pace
        Seconds between two events at its engine; 0 while unknown, None where the engine is gone.
    usual_pace
        The same of the service's engines; 0 while unknown.
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
    # Lengths have a heavy tail: a run has about as long before it as behind it.
    return MoveChoice(_SLOW, pace, max(FASTER_FACTOR, 1.0 + MOVE_SECONDS / (now - began_at)))
