"""Directory of the engines of all services, from the platform's list and from own observations.

An engine may restart under its name. An identifier here names one incarnation, so that everything
kept by identifier belongs to it; a later incarnation is another engine, even at the same address.
An engine that is leaving or gone gets no new work.

Holds the directory and, for each engine, this gateway's requests, failures, times and concurrency
limit. All of it is lost at a restart; the entries are read again with the list. Relies on its
callers for the time and for reading the list. Does not choose among engines: `engine_choice` does
for live requests, `rollouts.placement` for samples, and `send_gate` is the final check before a
request is sent.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass, field, replace
from enum import StrEnum

from pondtiller.address import Address
from pondtiller.routes.concurrency_limit import ConcurrencyLimit
from pondtiller.routes.engine_incarnations import EngineIncarnations
from pondtiller.routes.topology import Topology

UNLISTED_GRACE_SECONDS = 1.0
"""How long an engine stays usable after its entry was removed without notice, as a last resort: the
store may have lost the entry, not the engine. An attempt at an engine that is gone fails to
connect, and the engine is dropped within two failure pauses.
"""
FAILURE_PAUSE_SECONDS = 0.5
"""Pause after a failure, times the consecutive failures; the engine comes last meanwhile. When an
engine ends, each request that tries it pays for a connection attempt, which may take this long. If
it is the only engine left, it is tried all the same.
"""
MAX_FAILURE_PAUSE_SECONDS = 2.0
"""Longest pause, reached after four consecutive failures: an engine that is back is used again
within two seconds.
"""
REFUSAL_PAUSE_SECONDS = 0.05
"""Pause after a refusal because of a full queue. About the duration of an answer (40 ms at the
median without faults), in which a slot becomes free: shorter pauses repeat the refusal, longer ones
leave the slot idle.
"""
EVACUATED_PAUSE_SECONDS = 0.5
"""Pause after another daemon refused to send there because of an evacuation. This daemon receives
the evacuation itself within seconds."""
ANSWER_WEIGHT = 0.2
"""Weight of the latest answer in an engine's smoothed time: about five slow answers mark an engine
as slow, a single one does not.
"""
PACE_EXPIRY_SECONDS = 3.0
"""Age at which an engine's smoothed times expire. A slow engine that is avoided gives no new times;
after this it is tried again, which costs one slow answer every 3 s while it stays slow.
"""
MAX_COLD_SECONDS = 120.0
"""A longer time in an entry is capped as implausible; if it is true, the next entry repeats it."""
INCARNATION_SEPARATOR = "@"
"""Separates an engine's name from its start time in an identifier."""
PACE_SMOOTHING_SECONDS = 1.2
"""Time constant of the smoothed event gap. Reading a prompt delays all streams of an engine by some
tens of milliseconds, which should not count as slowness."""


class EngineState(StrEnum):
    """State that an engine reports of itself."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class EngineEntry:
    """An engine's entry in the platform's list.

    Attributes
    ----------
    models
        Weight version by model.
    cold_seconds
        How much longer the engine is slow, counted from the writing of the entry; 0 if warm.
    revision
        Store revision of the last write of the entry; 0 if unknown.
    is_spot
        Whether it runs on preemptible (spot) capacity, which a zone may lose all at once.
    leaves_seconds
        Remaining run time, counted from the writing of the entry; None if not stated.
    started_ms
        Start time in milliseconds since 1970, by the engine's own clock; 0 if not stated.
    """

    engine: str
    service: str
    address: Address
    zone: str
    slots: int
    state: EngineState
    models: dict[str, int] = field(default_factory=dict)
    cold_seconds: float = 0.0
    revision: int = field(default=0, compare=False)
    is_spot: bool = False
    leaves_seconds: float | None = None
    started_ms: int = 0

    @property
    def identifier(self) -> str:
        """Identifier of this incarnation of the engine."""
        if self.started_ms or INCARNATION_SEPARATOR in self.engine:
            return f"{self.engine}{INCARNATION_SEPARATOR}{self.started_ms}"
        return self.engine


def name_of(identifier: str) -> str:
    """Return the name that all incarnations of an engine share."""
    name, mark, _ = identifier.rpartition(INCARNATION_SEPARATOR)
    return name if mark else identifier


@dataclass
class Engine:
    """An engine and what this daemon knows about it.

    Attributes
    ----------
    running
        This daemon's requests in flight.
    failures
        Consecutive failures.
    not_before
        No new work before this time, after a failure or a refusal.
    full_until
        No new work before this time, after a refusal.
    gone_at
        When its entry was removed without the engine having said that it leaves; None otherwise.
    event_seconds
        Smoothed time between two events of a stream; 0 if unknown.
    answer_seconds
        Smoothed duration of a whole answer; 0 if unknown.
    cold_until
        End of its warm-up, by its entry.
    failed_at
        When it last failed here, if it has written no entry since; None otherwise.
    limit
        Limit of this daemon's concurrent live requests.
    """

    entry: EngineEntry
    running: int = 0
    failures: int = 0
    not_before: float = 0.0
    full_until: float = 0.0
    gone_at: float | None = None
    event_seconds: float = 0.0
    paced_at: float = 0.0
    answer_seconds: float = 0.0
    answered_at: float = 0.0
    cold_until: float = float("-inf")
    failed_at: float | None = None
    limit: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)

    @property
    def identifier(self) -> str:
        """Identifier of this incarnation of the engine."""
        return self.entry.identifier

    @property
    def place(self) -> str:
        """Network address; another incarnation at the same address may be another engine."""
        return f"{self.entry.address.host}:{self.entry.address.port}"

    def end_work(self) -> None:
        """Count one request in flight less."""
        self.running = max(0, self.running - 1)

    def note_failure(self, now: float) -> None:
        """Pause an engine that failed, longer with each consecutive failure."""
        self.failures += 1
        self.failed_at = now
        pause = min(FAILURE_PAUSE_SECONDS * self.failures, MAX_FAILURE_PAUSE_SECONDS)
        self.not_before = now + pause

    def note_refusal(self, now: float) -> None:
        """Pause an engine whose queue is full."""
        self.full_until = now + REFUSAL_PAUSE_SECONDS
        self.not_before = max(self.not_before, self.full_until)

    def note_evacuated(self, now: float) -> None:
        """Pause an engine whose zone another daemon knows to be evacuated; it did not fail."""
        self.not_before = max(self.not_before, now + EVACUATED_PAUSE_SECONDS)

    def note_success(self) -> None:
        """Reset the consecutive failures."""
        self.failures = 0

    def take_entry(self, entry: EngineEntry, now: float) -> None:
        """Apply an entry; one that is repeated or late does not change the warm-up time."""
        is_new = entry.revision == 0 or entry.revision > self.entry.revision
        self.entry = entry
        if is_new:
            self.failed_at = None
            self.note_cold(entry.cold_seconds, now)

    def note_cold(self, seconds: float, now: float) -> None:
        """Record how much longer the engine is slow, by its entry."""
        self.cold_until = now + min(seconds, MAX_COLD_SECONDS) if seconds > 0 else -math.inf

    def note_event_gap(self, seconds: float, now: float) -> None:
        """Record the time between two events of one stream.

        The weight grows with the elapsed time, so that the smoothing does not depend on the number
        of streams.
        """
        # Reports of other daemons about the same engine may arrive out of order.
        passed = max(0.0, now - self.paced_at)
        self.paced_at = max(now, self.paced_at)
        if self.event_seconds == 0:
            self.event_seconds = seconds
        else:
            weight = 1.0 - math.exp(-passed / PACE_SMOOTHING_SECONDS)
            self.event_seconds += weight * (seconds - self.event_seconds)

    def skip_event_gap(self, now: float) -> None:
        """Skip a gap that says nothing about the engine; the next one gets its usual weight."""
        self.paced_at = max(now, self.paced_at)

    def note_answer(self, seconds: float, now: float) -> None:
        """Record an answer's duration, or the time spent so far on one that was abandoned."""
        self.answered_at = now
        if self.answer_seconds == 0:
            self.answer_seconds = seconds
        else:
            self.answer_seconds += ANSWER_WEIGHT * (seconds - self.answer_seconds)

    def forget_pace(self, now: float) -> None:
        """Reset expired times, so that a slow engine is tried again."""
        if now > self.answered_at + PACE_EXPIRY_SECONDS:
            self.answer_seconds = 0.0
        if now > self.paced_at + PACE_EXPIRY_SECONDS:
            self.event_seconds = 0.0


def usual_pace(engines: list[Engine]) -> float:
    """Return the median of the engines' times between two events, in seconds; 0 if unknown."""
    paces = sorted(engine.event_seconds for engine in engines if engine.event_seconds)
    return paces[(len(paces) - 1) // 2] if paces else 0.0


class EngineDirectory:
    """All engines by identifier.

    Parameters
    ----------
    topology
        Zones and their regions.

    Attributes
    ----------
    revision
        Raised by each change; for logs.
    evacuated
        Zones whose engines get no work until the operator ends the evacuation.
    awaits_evacuations
        Whether evacuations are not known yet; until then no engine gets work.
    restarts
        Number of engine restarts observed.
    services
        Services named by the rows in force; None while there are no rows. Entries of other services
        may belong to anyone, and those engines get no instructions.
    """

    def __init__(self, topology: Topology | None = None) -> None:
        self.topology = topology or Topology()
        self.evacuated: frozenset[str] = frozenset()
        self.awaits_evacuations = False
        self.engines: dict[str, Engine] = {}
        self._by_service: dict[str, dict[str, Engine]] = {}
        self._incarnations = EngineIncarnations()
        self.restarts = 0
        self.services: frozenset[str] | None = None
        self.revision = 0
        self.is_known = False

    def replace_entries(
        self, entries: list[EngineEntry], now: float, unread: Collection[str] = ()
    ) -> None:
        """Apply the whole list.

        Parameters
        ----------
        unread
            Names of engines that are listed with entries that cannot be parsed.
        """
        self.is_known = True
        self.revision += 1
        listed = {entry.engine for entry in entries}
        for entry in entries:
            self._take(entry, now)
        for identifier in list(self.engines):
            if name_of(identifier) not in listed:
                if name_of(identifier) in unread:
                    self.mark_unreadable(name_of(identifier))
                else:
                    self._entry_gone(identifier, now)

    def update_entry(self, entry: EngineEntry, now: float = 0.0) -> None:
        """Apply one engine's new entry.

        Parameters
        ----------
        now
            Monotonic time that the entry's remaining times count from.
        """
        self.revision += 1
        self._take(entry, now)

    def remove_entry(self, name: str, now: float) -> None:
        """Handle the removal of an engine's entry."""
        self.revision += 1
        self._entry_gone(self._incarnations.latest(name), now)

    def mark_unreadable(self, name: str) -> None:
        """Handle an entry that cannot be parsed: no new work, running requests continue.

        A later valid entry belongs to the same engine.
        """
        self.revision += 1
        engine = self.current(name)
        if engine is not None:
            engine.entry = replace(engine.entry, state=EngineState.LEAVING)

    def current(self, name: str) -> Engine | None:
        """Return the latest known incarnation of an engine."""
        return self.engines.get(self._incarnations.latest(name))

    def has_restarted(self, identifier: str) -> bool:
        """Return whether a later incarnation of the engine is known, so this one has ended."""
        return self._incarnations.is_superseded(identifier)

    def has_left(self, identifier: str, now: float) -> bool:
        """Return whether an engine is known to be leaving or gone; False for an unknown one."""
        engine = self.engines.get(identifier)
        if engine is None:
            return self._incarnations.has_left(identifier)
        is_gone = engine.gone_at is not None and now >= engine.gone_at + UNLISTED_GRACE_SECONDS
        return is_gone or engine.entry.state is EngineState.LEAVING

    def drop_expired(self, now: float) -> None:
        """Reset expired times, and remove idle engines whose entries were removed a while ago."""
        self._incarnations.drop_expired(now)
        for engine in list(self.engines.values()):
            engine.forget_pace(now)
            if engine.gone_at is None or now < engine.gone_at + UNLISTED_GRACE_SECONDS:
                continue
            if engine.running == 0:
                self._forget(engine)

    def is_evacuated(self, engine: Engine) -> bool:
        """Return whether an engine's zone is evacuated, or may be while that is unknown."""
        return self.awaits_evacuations or engine.entry.zone in self.evacuated

    def has_service_row(self, engine: Engine) -> bool:
        """Return whether a row in force names the engine's service; True while rows are unknown."""
        return self.services is None or engine.entry.service in self.services

    def usable(self, service: str, now: float, homes: frozenset[str] = frozenset()) -> list[Engine]:
        """Return the engines of a service that may get new work now.

        Engines whose entry was just removed without notice are included only if there are no
        others. Engines in evacuated zones are never included.

        Parameters
        ----------
        homes
            Regions that the work may be in; empty for any.
        """
        of_service = [
            each
            for each in self._by_service.get(service, {}).values()
            if not self.is_evacuated(each) and self.topology.allows_zone(each.entry.zone, homes)
        ]
        listed = [
            each
            for each in of_service
            if each.gone_at is None and each.entry.state is EngineState.READY
        ]
        if listed:
            return listed
        return [
            each
            for each in of_service
            if each.entry.state is EngineState.READY
            and each.gone_at is not None
            and now < each.gone_at + UNLISTED_GRACE_SECONDS
        ]

    def _take(self, entry: EngineEntry, now: float) -> None:
        before = self.current(entry.engine)
        if before is not None and before.identifier != entry.identifier:
            if not entry.started_ms:
                # Without a start time, a restart cannot be recognized.
                entry = replace(entry, started_ms=before.entry.started_ms)
            elif 0 < entry.revision < before.entry.revision:
                # Store revisions order two incarnations; the engines' clocks may disagree.
                return
            else:
                self._supersede(before, now)
        identifier = entry.identifier
        self._incarnations.note_entry(entry.engine, identifier)
        engine = self.engines.get(identifier)
        if engine is None:
            engine = self.engines[identifier] = Engine(entry)
            engine.note_cold(entry.cold_seconds, now)
        else:
            self._by_service[engine.entry.service].pop(identifier, None)
            engine.gone_at = None
            engine.take_entry(entry, now)
        self._by_service.setdefault(engine.entry.service, {})[identifier] = engine

    def _supersede(self, engine: Engine, now: float) -> None:
        """Replace an incarnation whose engine has restarted."""
        self.restarts += 1
        self._incarnations.note_superseded(engine.identifier, now)
        self._forget(engine)

    def _forget(self, engine: Engine) -> None:
        self._incarnations.forget(engine.entry.engine, engine.identifier)
        del self.engines[engine.identifier]
        del self._by_service[engine.entry.service][engine.identifier]

    def _entry_gone(self, identifier: str, now: float) -> None:
        engine = self.engines.get(identifier)
        if engine is None:
            return
        self._incarnations.note_left(identifier, now)
        if engine.entry.state is EngineState.LEAVING and engine.running == 0:
            self._forget(engine)
        elif engine.gone_at is None:
            engine.gone_at = now
