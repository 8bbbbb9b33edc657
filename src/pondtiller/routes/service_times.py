"""How long services' and rows' answers take at one gateway. No I/O.

Owns the times, by service for hedges and by row for those that wait; lost at a restart. An engine's
own time and limit stand in `Engine`, and are noted here so that one answer is taken at one place.
"""

from pondtiller.routes.answer_times import AnswerTimes, SmoothedTime
from pondtiller.routes.engines import Engine, EngineDirectory
from pondtiller.routes.live_queue import Pace, pace_of
from pondtiller.routes.table import RouteRow


class ServiceTimes:
    """Times of attempts and answers."""

    def __init__(self, engines: EngineDirectory) -> None:
        self._engines = engines
        self._by_service: dict[str, AnswerTimes] = {}
        self._by_row: dict[str, SmoothedTime] = {}

    def usual_seconds(self, service: str) -> float:
        """Return the time within which nearly all answers of a service came here."""
        return self._of(service).usual_seconds

    def pace(self, route: RouteRow, service: str, now: float) -> Pace:
        """Return how fast a service answers a row's requests."""
        own = self._by_row.get(route.name)
        usable = self._engines.usable(service, now, route.homes)
        return pace_of(usable, own.seconds(now) if own is not None else 0.0)

    def note_attempt(self, engine: Engine, seconds: float, is_answered: bool, now: float) -> None:
        """Take how long an attempt took; one that was left tells only that it took so long.

        Parameters
        ----------
        is_answered
            Whether it got a whole answer that is a success.
        """
        if is_answered or seconds > engine.answer_seconds > 0:
            engine.note_answer(seconds, now)
        if is_answered or seconds > self.usual_seconds(engine.entry.service):
            self._of(engine.entry.service).note(seconds)

    def note_answer(self, engine: Engine, route: RouteRow, seconds: float, now: float) -> None:
        """Take how long an answer took, for its row's pace and for its engine's limit."""
        self._by_row.setdefault(route.name, SmoothedTime()).note(seconds, now)
        running = engine.running + 1
        engine.limit.note_answer(running, engine.entry.slots, seconds, route.objective_seconds, now)

    def _of(self, service: str) -> AnswerTimes:
        return self._by_service.setdefault(service, AnswerTimes())
