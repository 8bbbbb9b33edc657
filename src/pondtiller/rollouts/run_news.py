"""What a runner tells a leader of its runs: events gathered, sent by column. No I/O."""

import json
from collections.abc import Iterator
from typing import NamedTuple

from pondtiller.rollouts.sample_work import RunEnd
from pondtiller.wire.steplog import RunNews


class RunEvent(NamedTuple):
    """One event of a run, with the time at which it came, in seconds."""

    run: int
    number: int
    data: str
    version: int
    at: float


class EndedRun(NamedTuple):
    """A run that has ended at its runner."""

    run: int
    end: RunEnd
    detail: str


class NewsGatherer:
    """Gathers the events and ends of all runs of a runner until they are told."""

    def __init__(self) -> None:
        self.events: list[RunEvent] = []
        self.ended: list[EndedRun] = []

    def drop(self, run: int) -> None:
        """Forget what a run made: nobody waits for it any more."""
        self.events = [event for event in self.events if event.run != run]

    def take(self, now: float) -> RunNews:
        """Return what came since the last call, a part for each run and version."""
        news = RunNews()
        parts: dict[tuple[int, int], list[RunEvent]] = {}
        for event in self.events:
            parts.setdefault((event.run, event.version), []).append(event)
        for (run, version), events in parts.items():
            news.runs.append(run)
            news.first_events.append(events[0].number)
            news.events.append(json.dumps([event.data for event in events]).encode())
            news.versions.append(version)
            news.first_milliseconds.append(_age(events[0], now))
            news.last_milliseconds.append(_age(events[-1], now))
        for ended in self.ended:
            news.ended_runs.append(ended.run)
            news.ends.append(ended.end.value)
            news.details.append(ended.detail)
        self.events, self.ended = [], []
        return news


def _age(event: RunEvent, now: float) -> int:
    return max(0, int((now - event.at) * 1000))


def read_events(news: RunNews, now: float) -> list[RunEvent]:
    """Return the events of a message in order of time; those between two told times evenly.

    Raises
    ------
    ValueError
        Where the columns do not fit each other.
    """
    found = [event for part in _parts(news) for event in _spread(part, now)]
    # Sorting keeps the order of events of one run that came together.
    return sorted(found, key=lambda event: event.at)


def read_ends(news: RunNews) -> list[EndedRun]:
    """Return the runs that ended; raises `ValueError` where the message is not sound."""
    columns = zip(news.ended_runs, news.ends, news.details, strict=True)
    return [EndedRun(run, RunEnd(end), detail) for run, end, detail in columns]


class _Part(NamedTuple):
    run: int
    first: int
    data: list[str]
    version: int
    first_age: float
    last_age: float


def _parts(news: RunNews) -> Iterator[_Part]:
    columns = zip(
        news.runs,
        news.first_events,
        news.events,
        news.versions,
        news.first_milliseconds,
        news.last_milliseconds,
        strict=True,
    )
    for run, first, events, version, first_age, last_age in columns:
        data = json.loads(events)
        yield _Part(run, first, data, version, first_age / 1000.0, last_age / 1000.0)


def _spread(part: _Part, now: float) -> Iterator[RunEvent]:
    steps = max(1, len(part.data) - 1)
    for place, data in enumerate(part.data):
        age = part.first_age + (part.last_age - part.first_age) * place / steps
        yield RunEvent(part.run, part.first + place, data, part.version, now - age)
