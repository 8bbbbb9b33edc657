"""A runner's messages about its runs are decoded unchanged, in order of time."""

import pytest

from pondtiller.rollouts.run_news import (
    EndedRun,
    RunEvent,
    RunNewsBatch,
    ScoredRun,
    read_ends,
    read_events,
    read_scores,
)
from pondtiller.rollouts.sample_work import RunEnd, ScoreEnd
from pondtiller.wire.steplog import RunNews


def gathered(*events: RunEvent) -> RunNewsBatch:
    news = RunNewsBatch()
    news.events += events
    return news


def test_events_of_several_runs_arrive_in_order_of_time_with_their_numbers() -> None:
    made = [
        RunEvent(1, 4, "a", 7, 10.0),
        RunEvent(2, 1, "x", 7, 10.05),
        RunEvent(1, 5, "b", 7, 10.1),
        RunEvent(1, 6, "c", 7, 10.2),
    ]
    message = RunNews().parse(bytes(gathered(*made).pop_message(10.2)))
    read = read_events(message, 20.2)
    assert [each[:4] for each in read] == [each[:4] for each in made]
    assert [each.at for each in read] == pytest.approx([20.0, 20.05, 20.1, 20.2], abs=0.002)


def test_events_whose_times_go_back_keep_their_order() -> None:
    """Guards against a run that restarts since its second event arrived before its first."""
    news = gathered(RunEvent(1, 1, "a", 7, 10.05), RunEvent(1, 2, "b", 7, 10.0))
    assert [each.number for each in read_events(news.pop_message(10.1), 20.0)] == [1, 2]


def test_a_change_of_version_within_a_run_is_kept() -> None:
    news = gathered(RunEvent(1, 1, "a", 7, 1.0), RunEvent(1, 2, "b", 8, 1.1))
    assert [(each.number, each.version) for each in read_events(news.pop_message(1.1), 1.1)] == [
        (1, 7),
        (2, 8),
    ]


def test_events_are_sent_once_and_those_of_a_dropped_run_not_at_all() -> None:
    news = gathered(RunEvent(1, 1, "a", 7, 1.0), RunEvent(2, 1, "b", 7, 1.0))
    news.ended.append(EndedRun(3, RunEnd.FAILED, "500"))
    news.drop(1)
    message = news.pop_message(1.1)
    assert [each.run for each in read_events(message, 1.1)] == [2]
    assert read_ends(message) == [EndedRun(3, RunEnd.FAILED, "500")]
    assert news.pop_message(1.2) == RunNews()


def test_scores_arrive_as_they_were_given() -> None:
    news = RunNewsBatch()
    judged = ScoredRun(4, ScoreEnd.SCORED, "sig", "200", 3, "q")
    news.scored.append(judged)
    assert read_scores(RunNews().parse(bytes(news.pop_message(1.0)))) == [judged]


@pytest.mark.parametrize("sent", [b"{", b"3", b"[3]", b"[[1, 2]]", b'[[1, 1, 1, "a", 0, []]]'])
def test_malformed_messages_are_rejected(sent: bytes) -> None:
    with pytest.raises((ValueError, TypeError)):
        read_events(RunNews(events=sent), 0.0)
    with pytest.raises((ValueError, TypeError)):
        read_ends(RunNews(ended=sent))
    with pytest.raises((ValueError, TypeError)):
        read_scores(RunNews(scored=sent))


def test_versions_that_change_back_and_at_one_moment_keep_their_order() -> None:
    gatherer = RunNewsBatch()
    versions = (1, 2, 1, 1, 2)
    gatherer.events = [
        RunEvent(1, number, f"e{number}", version, 100.0137)
        for number, version in enumerate(versions, 1)
    ]
    told = read_events(gatherer.pop_message(100.7907), 100.7907)
    assert [(each.number, each.data, each.version) for each in told] == [
        (number, f"e{number}", version) for number, version in enumerate(versions, 1)
    ]
