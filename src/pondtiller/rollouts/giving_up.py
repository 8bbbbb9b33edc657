"""When a sample is given up, that is listed as failed and not made again. No I/O.

Stateless. Outcomes that say nothing about the sample ("refused", "broken", "lost") do not count:
only answers that report a failure do, and the row's time limit.
"""

from pondtiller.rollouts.sample_work import GiveUpReason, RunEnd, ScoreEnd

QUEUE_MARGIN_SECONDS = 3.0
"""How long, in seconds, a sample is still made beyond its row's `queue_seconds`. Bounds the work on
steps that no trainer waits for; a run that is nearly complete by then still counts, and a sample
that is given up cannot be recovered."""


def late_at(accepted_at: float, queue_seconds: float) -> float:
    """Return the wall-clock time in seconds after which an open sample is given up as `LATE`.

    Computed once per sample and row, since each tick compares it for all open samples.

    Parameters
    ----------
    accepted_at
        Acceptance of its step, in wall-clock seconds.
    queue_seconds
        Setting of its row.
    """
    return accepted_at + queue_seconds + QUEUE_MARGIN_SECONDS


def reason_after_run(end: RunEnd, attempts_failed: int, attempts: int) -> GiveUpReason | None:
    """Return why a sample is given up after a run that did not complete it, or None.

    Parameters
    ----------
    attempts_failed
        Runs of it that an engine answered with "failed", including this one.
    attempts
        Limit of its row.
    """
    if end is RunEnd.IMPOSSIBLE:
        return GiveUpReason.IMPOSSIBLE
    return GiveUpReason.RUNS_FAILED if attempts_failed >= attempts else None


def reason_after_scoring(end: ScoreEnd, failures: int, attempts: int) -> GiveUpReason | None:
    """Return why a sample is given up after its scorer did not score it, or None.

    Parameters
    ----------
    failures
        Answers of its scorer that report a failure, including this one.
    attempts
        Failures that the scorer's row allows.
    """
    if end is ScoreEnd.FAILED and failures >= attempts:
        return GiveUpReason.SCORER_FAILED
    return None
