"""When a sample is given up: listed as failed, not made again. No I/O.

Owns nothing. What a run or a scorer could not say ("refused", "broken", "lost") counts for nothing:
only answers that say failed do, and the time that the row allows.
"""

from pondtiller.rollouts.sample_work import GiveUpReason, RunEnd, ScoreEnd

QUEUE_MARGIN_SECONDS = 3.0
"""For how long, in seconds, a sample is made beyond its row's `queue_seconds`. Chosen, not
measured: bounds the work on steps that no trainer waits for; a run that is nearly whole by then
still counts, and one given up too early could not be had back."""


def late_at(accepted_at: float, queue_seconds: float) -> float:
    """Return after which time of day an open sample is given up as `LATE`, in seconds.

    Worked out once a sample and row: each tick compares it for all open samples.

    Parameters
    ----------
    accepted_at
        Of its step, in seconds of the time of day.
    queue_seconds
        Of its row.
    """
    return accepted_at + queue_seconds + QUEUE_MARGIN_SECONDS


def why_after_run(end: RunEnd, attempts_failed: int, attempts: int) -> GiveUpReason | None:
    """Return why a sample is given up after a run that did not make it whole.

    Parameters
    ----------
    attempts_failed
        Runs of it that an engine answered with "failed", this one among them.
    attempts
        Of its row.
    """
    if end is RunEnd.IMPOSSIBLE:
        return GiveUpReason.IMPOSSIBLE
    return GiveUpReason.RUNS_FAILED if attempts_failed >= attempts else None


def why_after_scoring(end: ScoreEnd, failures: int, attempts: int) -> GiveUpReason | None:
    """Return why a sample is given up after its scorer did not score it.

    Parameters
    ----------
    failures
        Answers of its scorer that say failed, this one among them.
    attempts
        Failures that the scorer's row allows.
    """
    if end is ScoreEnd.FAILED and failures >= attempts:
        return GiveUpReason.SCORER_FAILED
    return None
