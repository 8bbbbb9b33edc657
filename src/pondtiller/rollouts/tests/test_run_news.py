"""What a runner tells of its runs arrives as it was made, in order of time."""

import pytest

from pondtiller.rollouts.run_news import (
    EndedRun,
    NewsGatherer,
    RunEvent,
    read_ends,
    read_events,
)
from pondtiller.rollouts.sample_work import RunEnd
from pondtiller.wire.steplog import RunNews


def gathered(*events: RunEvent) -> NewsGatherer:
    news = NewsGatherer()
    news.events += events
    return news


def test_events_of_several_runs_arrive_in_order_of_time_with_their_numbers() -> None:
    made = [
        RunEvent(1, 4, "a", 7, 10.0),
        RunEvent(2, 1, "x", 7, 10.05),
        RunEvent(1, 5, "b", 7, 10.1),
        RunEvent(1, 6, "c", 7, 10.2),
    ]
    message = RunNews().parse(bytes(gathered(*made).take(10.2)))
    read = read_events(message, 20.2)
    assert [each[:4] for each in read] == [each[:4] for each in made]
    assert [each.at for each in read] == pytest.approx([20.0, 20.05, 20.1, 20.2], abs=0.002)


def test_a_change_of_version_within_a_run_is_kept() -> None:
    news = gathered(RunEvent(1, 1, "a", 7, 1.0), RunEvent(1, 2, "b", 8, 1.1))
    assert [(each.number, each.version) for each in read_events(news.take(1.1), 1.1)] == [
        (1, 7),
        (2, 8),
    ]


def test_news_are_told_once_and_a_dropped_run_not_at_all() -> None:
    news = gathered(RunEvent(1, 1, "a", 7, 1.0), RunEvent(2, 1, "b", 7, 1.0))
    news.ended.append(EndedRun(3, RunEnd.FAILED, "500"))
    news.drop(1)
    message = news.take(1.1)
    assert [each.run for each in read_events(message, 1.1)] == [2]
    assert read_ends(message) == [EndedRun(3, RunEnd.FAILED, "500")]
    assert news.take(1.2) == RunNews()


def test_columns_that_do_not_fit_are_refused() -> None:
    with pytest.raises(ValueError):
        read_events(RunNews(runs=[1], first_events=[1]), 0.0)
    with pytest.raises(ValueError):
        read_ends(RunNews(ended_runs=[1], ends=["nonsense"], details=[""]))
