"""Answer times of services and rows at one gateway. No I/O.

Keeps the times by service, for hedges, and by row, for waiting requests; they are lost at a
restart. An engine's own time and limit are kept in `Engine` and updated from here, so that each
answer is processed in one place.
"""

from pondtiller.routes.answer_times import AnswerTimes, SmoothedTime
from pondtiller.routes.engines import Engine, EngineDirectory
from pondtiller.routes.live_queue import Pace, pace_of
from pondtiller.routes.table import RouteRow


class ServiceTimes:
    """Durations of attempts and answers."""

    def __init__(self, engines: EngineDirectory) -> None:
        self._engines = engines
        self._by_service: dict[str, AnswerTimes] = {}
        self._by_row: dict[str, SmoothedTime] = {}

    def usual_seconds(self, service: str) -> float:
        """Return the time within which nearly all answers of a service arrive here."""
        return self._of(service).usual_seconds

    def pace(self, route: RouteRow, service: str, now: float) -> Pace:
        """Return how fast a service answers the requests of a row."""
        own = self._by_row.get(route.name)
        usable = self._engines.usable(service, now, route.homes)
        return pace_of(usable, own.seconds(now) if own is not None else 0.0)

    def note_attempt(self, engine: Engine, seconds: float, is_answered: bool, now: float) -> None:
        """Record an attempt's duration; for an abandoned one it is only a lower bound.

        Parameters
        ----------
        is_answered
            Whether it got a complete and successful answer.
        """
        if is_answered or seconds > engine.answer_seconds > 0:
            engine.note_answer(seconds, now)
        if is_answered or seconds > self.usual_seconds(engine.entry.service):
            self._of(engine.entry.service).note(seconds)

    def note_answer(self, engine: Engine, route: RouteRow, seconds: float, now: float) -> None:
        """Record an answer's duration for its row's pace and for its engine's limit."""
        self._by_row.setdefault(route.name, SmoothedTime()).note(seconds, now)
        running = engine.running + 1
        engine.limit.note_answer(running, engine.entry.slots, seconds, route.objective_seconds, now)

    def _of(self, service: str) -> AnswerTimes:
        return self._by_service.setdefault(service, AnswerTimes())
