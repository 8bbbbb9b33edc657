"""Messages of a runner to a leader about its runs: batched events, ends, scores. No I/O.

Holds what is not sent yet; it is lost with the gateway, and its runs with it. The message's fields
are JSON rows in the order of the types here. When messages are sent is decided in
`gateway/runs/leader_runs.py`.
"""

import json
from collections.abc import Sequence
from typing import Any, NamedTuple

from pondtiller.rollouts.sample_work import RunEnd, ScoreEnd
from pondtiller.wire.steplog import RunNews


class RunEvent(NamedTuple):
    """One event of a run, with its arrival time in seconds."""

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


class ScoredRun(NamedTuple):
    """Result of scoring the text that a run completed.

    Attributes
    ----------
    attempts
        Number of failures after which the sample is given up.
    request
        Identifier of the scorer's request.
    """

    run: int
    end: ScoreEnd
    score: str
    detail: str
    attempts: int
    request: str


class EventPart(NamedTuple):
    """Events of one run and version, numbered without a gap, as a row of the message.

    Attributes
    ----------
    number
        Number of the first event.
    first_age, last_age
        Age of the first and the last event when the message is sent, in milliseconds.
    """

    run: int
    number: int
    version: int
    first_age: int
    last_age: int
    data: list[str]


class RunNewsBatch:
    """Batches the events of all runs of a runner until they are sent."""

    def __init__(self) -> None:
        self.events: list[RunEvent] = []
        self.ended: list[EndedRun] = []
        self.scored: list[ScoredRun] = []

    def drop(self, run: int) -> None:
        """Discard the events of a run that is no longer wanted."""
        self.events = [event for event in self.events if event.run != run]

    def pop_message(self, now: float) -> RunNews:
        """Return what was batched since the last call, by run and version."""
        events = [_part(each, now) for each in _parts(self.events)]
        news = RunNews(_encode(events), _encode(self.ended), _encode(self.scored))
        self.events, self.ended, self.scored = [], [], []
        return news


def _parts(events: list[RunEvent]) -> list[list[RunEvent]]:
    """Return events in parts of one run and version, each numbered consecutively."""
    parts: list[list[RunEvent]] = []
    last: dict[int, list[RunEvent]] = {}
    for event in events:
        part = last.get(event.run)
        is_next = part is not None and event.number == part[-1].number + 1
        if part is None or not is_next or part[-1].version != event.version:
            part = last[event.run] = []
            parts.append(part)
        part.append(event)
    return parts


def _part(events: list[RunEvent], now: float) -> EventPart:
    first, last = events[0], events[-1]
    return EventPart(
        run=first.run,
        number=first.number,
        version=first.version,
        first_age=_milliseconds(first, now),
        last_age=_milliseconds(last, now),
        data=[event.data for event in events],
    )


def _milliseconds(event: RunEvent, now: float) -> int:
    return max(0, int((now - event.at) * 1000))


def _encode(rows: Sequence[EventPart | EndedRun | ScoredRun]) -> bytes:
    return json.dumps(rows).encode() if rows else b""


def _rows(encoded: bytes) -> list[Any]:
    rows = json.loads(encoded) if encoded else []
    if not isinstance(rows, list):
        raise ValueError("no list")
    return rows


def read_events(news: RunNews, now: float) -> list[RunEvent]:
    """Return the events of a message in order of time, interpolated between the transmitted times.

    Raises
    ------
    ValueError, TypeError
        If the message is malformed.
    """
    found: list[RunEvent] = []
    last_at: dict[int, float] = {}
    for run, number, version, first_age, last_age, data in _rows(news.events):
        # Never negative, whatever the ages are: sorting would reorder a run's events.
        step = max(0, first_age - last_age) / 1000.0 / max(1, len(data) - 1)
        # Times are rounded: the parts of a run must not overlap, or sorting would mix them.
        began = max(now - first_age / 1000.0, last_at.get(run, 0.0))
        found += [
            RunEvent(run, number + place, each, version, began + step * place)
            for place, each in enumerate(data)
        ]
        last_at[run] = found[-1].at
    # Sorting is stable, so simultaneous events of one run keep their order.
    return sorted(found, key=lambda event: event.at)


def read_ends(news: RunNews) -> list[EndedRun]:
    """Return the runs that ended; raises as `read_events` does."""
    return [EndedRun(run, RunEnd(end), detail) for run, end, detail in _rows(news.ended)]


def read_scores(news: RunNews) -> list[ScoredRun]:
    """Return the results of scoring; raises as `read_events` does."""
    return [ScoredRun(run, ScoreEnd(end), *rest) for run, end, *rest in _rows(news.scored)]
