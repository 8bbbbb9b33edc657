"""The engines behind the services, as the platform's list and own experience tell them.

An engine may start again under its name. Its identifier here names one start of it, so whatever is
kept by identifier belongs to that start, and another start is another engine, also at the same
address. What is leaving or gone gets no new work.

Owns the directory and, for each engine, this gateway's own requests, failures, times and limit; all
lost at a restart, the entries come again with the list. Relies on its callers for the time and for
reading the list. Does not choose among engines: `engine_choice` does for live requests,
`rollouts.placement` for samples; the last look before a request leaves is `send_gate`.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass, field, replace
from enum import StrEnum

from pondtiller.address import Address
from pondtiller.routes.concurrency_limit import ConcurrencyLimit
from pondtiller.routes.engine_starts import EngineStarts
from pondtiller.routes.places import Places

SUSPECT_SECONDS = 1.0
"""How long an engine is kept whose entry went without notice, to serve where no other does: the
list may have lost the entry, not the engine. Chosen, not measured: an attempt at one that is gone
fails at its connection, and within two pauses for failures it is dropped.
"""
FAILURE_PAUSE_SECONDS = 0.5
"""How long an engine comes last after a failure, times its failures in a row. Load: an engine ends,
and each request that tries it pays for a connection. Chosen, not measured: as long as a connection
may take to come up; where it is the only engine left, it is tried all the same.
"""
LONGEST_PAUSE_SECONDS = 2.0
"""Longest pause after failures, four in a row. Chosen, not measured: an engine that is back is used
again within two seconds.
"""
REFUSAL_PAUSE_SECONDS = 0.05
"""How long an engine that refused is passed over. Load: an engine's queue is full. Chosen, not
measured: about one answer's time (half of them took 40 ms on quiet days), within which a place
becomes free; shorter pauses repeat the refusal, longer ones leave the place empty.
"""
EVACUATED_PAUSE_SECONDS = 0.5
"""After another daemon refused to send there: this one learns of the evacuation within seconds."""
ANSWER_WEIGHT = 0.2
"""Weight of the last answer in an engine's smoothed time. Chosen, not measured: an engine that
turns slow is known after about five answers, and one slow answer is not enough.
"""
PACE_SECONDS = 3.0
"""How long an engine's times count after the last was taken. Load: an engine was slow and is left,
so that nothing new is learned of it. Chosen, not measured: it is tried again then, and one that is
still slow costs an answer every 3 s.
"""
LONGEST_COLD_SECONDS = 120.0
"""A longer time in an entry is taken for an error; the next entry says it again if it is true."""
START_MARK = "@"
"""Between an engine's name and the time of its start."""
PACE_SMOOTHING_SECONDS = 1.2
"""Reading a prompt slows all streams of an engine for some tens of milliseconds."""


class EngineState(StrEnum):
    """What an engine says of itself."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class EngineEntry:
    """An engine as the platform's list gives it.

    Attributes
    ----------
    models
        Version of the weights by model.
    cold_seconds
        How much longer it is slow, counted from when the entry was written; 0 once it is warm.
    revision
        Of the store, when the entry was last written; 0 where it is not known.
    is_spot
        Whether it may be taken away, with all others of its kind in its zone.
    leaves_seconds
        How long it still runs, counted from when the entry was written; None while it is not said.
    started_ms
        When it started, in milliseconds since 1970 by its own clock; 0 where it is not said.
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
        """Name of this start of the engine."""
        if self.started_ms or START_MARK in self.engine:
            return f"{self.engine}{START_MARK}{self.started_ms}"
        return self.engine


def name_of(identifier: str) -> str:
    """Return the name that all starts of an engine have in common."""
    name, mark, _ = identifier.rpartition(START_MARK)
    return name if mark else identifier


@dataclass
class Engine:
    """An engine with what this daemon knows of it.

    Attributes
    ----------
    running
        Requests of this daemon that it works on.
    failures
        Failures one after the other.
    not_before
        No new work before this time, after a failure or refusal.
    full_until
        No new work before this time, after a refusal.
    gone_at
        When its entry went without it having said that it leaves; None while it stands.
    event_seconds
        Smoothed time between two events of a stream; 0 while unknown.
    answer_seconds
        Smoothed time of a whole answer; 0 while unknown.
    cold_until
        Until when it is slow, by its entry.
    failed_at
        When it last failed here, while no entry has been written since; None otherwise.
    limit
        How many live requests of this daemon it may have at once.
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
        """Name of this start of the engine."""
        return self.entry.identifier

    @property
    def place(self) -> str:
        """Where it is reached; another start at the same place may be another engine."""
        return f"{self.entry.address.host}:{self.entry.address.port}"

    def end_work(self) -> None:
        """Count one request less."""
        self.running = max(0, self.running - 1)

    def note_failure(self, now: float) -> None:
        """Pause an engine that failed, longer each time."""
        self.failures += 1
        self.failed_at = now
        pause = min(FAILURE_PAUSE_SECONDS * self.failures, LONGEST_PAUSE_SECONDS)
        self.not_before = now + pause

    def note_refusal(self, now: float) -> None:
        """Pause an engine that was full."""
        self.full_until = now + REFUSAL_PAUSE_SECONDS
        self.not_before = max(self.not_before, self.full_until)

    def note_evacuated(self, now: float) -> None:
        """Pause an engine that another daemon knows to be in an evacuated zone; it did not fail."""
        self.not_before = max(self.not_before, now + EVACUATED_PAUSE_SECONDS)

    def note_success(self) -> None:
        """Forget earlier failures."""
        self.failures = 0

    def take_entry(self, entry: EngineEntry, now: float) -> None:
        """Take an entry; one that was read again, or comes late, says nothing new of its start."""
        is_new = entry.revision == 0 or entry.revision > self.entry.revision
        self.entry = entry
        if is_new:
            self.failed_at = None
            self.note_cold(entry.cold_seconds, now)

    def note_cold(self, seconds: float, now: float) -> None:
        """Take how much longer the engine is slow, by its entry."""
        self.cold_until = now + min(seconds, LONGEST_COLD_SECONDS) if seconds > 0 else -math.inf

    def note_event_gap(self, seconds: float, now: float) -> None:
        """Take the time between two events of one stream.

        Weighed by the time that passed, so that a dozen streams and a single one forget alike.
        """
        # What other daemons report of one engine does not come in order of time.
        passed = max(0.0, now - self.paced_at)
        self.paced_at = max(now, self.paced_at)
        if self.event_seconds == 0:
            self.event_seconds = seconds
        else:
            weight = 1.0 - math.exp(-passed / PACE_SMOOTHING_SECONDS)
            self.event_seconds += weight * (seconds - self.event_seconds)

    def skip_event_gap(self, now: float) -> None:
        """Leave out a gap that tells nothing of the engine, so that the next weighs as usual."""
        self.paced_at = max(now, self.paced_at)

    def note_answer(self, seconds: float, now: float) -> None:
        """Take how long a whole answer took, or has taken so far when it was given up."""
        self.answered_at = now
        if self.answer_seconds == 0:
            self.answer_seconds = seconds
        else:
            self.answer_seconds += ANSWER_WEIGHT * (seconds - self.answer_seconds)

    def forget_pace(self, now: float) -> None:
        """Drop a pace that is out of date: a slow engine is tried again."""
        if now > self.answered_at + PACE_SECONDS:
            self.answer_seconds = 0.0
        if now > self.paced_at + PACE_SECONDS:
            self.event_seconds = 0.0


def usual_pace(engines: list[Engine]) -> float:
    """Return the middle of the engines' times between two events, in seconds; 0 while unknown."""
    paces = sorted(engine.event_seconds for engine in engines if engine.event_seconds)
    return paces[(len(paces) - 1) // 2] if paces else 0.0


class EngineDirectory:
    """All engines by identifier.

    Parameters
    ----------
    places
        Zones with their regions.

    Attributes
    ----------
    revision
        Raised by each change, for the logs.
    evacuated
        Zones whose engines get nothing until the operator takes that back.
    awaits_evacuations
        Whether that is not known yet: no engine gets anything before.
    starts_again
        How often an engine was seen to have started again.
    services
        Services that the rows in force name; None while there are none. Entries of others may be
        anybody's, and get no orders.
    """

    def __init__(self, places: Places | None = None) -> None:
        self.places = places or Places()
        self.evacuated: frozenset[str] = frozenset()
        self.awaits_evacuations = False
        self.engines: dict[str, Engine] = {}
        self._by_service: dict[str, dict[str, Engine]] = {}
        self._starts = EngineStarts()
        self.starts_again = 0
        self.services: frozenset[str] | None = None
        self.revision = 0
        self.is_known = False

    def replace(self, entries: list[EngineEntry], now: float, unread: Collection[str] = ()) -> None:
        """Take the whole list.

        Parameters
        ----------
        unread
            Names of engines whose entries stand in it and cannot be read.
        """
        self.is_known = True
        self.revision += 1
        listed = {entry.engine for entry in entries}
        for entry in entries:
            self._take(entry, now)
        for identifier in list(self.engines):
            if name_of(identifier) not in listed:
                if name_of(identifier) in unread:
                    self.unread(name_of(identifier))
                else:
                    self._entry_gone(identifier, now)

    def changed(self, entry: EngineEntry, now: float = 0.0) -> None:
        """Take one engine's new entry.

        Parameters
        ----------
        now
            Steady time; how long an engine is cold counts from it.
        """
        self.revision += 1
        self._take(entry, now)

    def gone(self, name: str, now: float) -> None:
        """Take the end of an engine's entry."""
        self.revision += 1
        self._entry_gone(self._starts.latest(name), now)

    def unread(self, name: str) -> None:
        """Take an entry that cannot be read: the engine gets nothing new, what runs there goes on.

        A later entry that can be read is of the same engine.
        """
        self.revision += 1
        engine = self.current(name)
        if engine is not None:
            engine.entry = replace(engine.entry, state=EngineState.LEAVING)

    def current(self, name: str) -> Engine | None:
        """Return the start of an engine that is known last."""
        return self.engines.get(self._starts.latest(name))

    def has_started_again(self, identifier: str) -> bool:
        """Return whether a later start of an engine is known: nothing of this one goes on."""
        return self._starts.is_superseded(identifier)

    def has_left(self, identifier: str, now: float) -> bool:
        """Return whether an engine is known to leave, or to be gone; an unknown one is not."""
        engine = self.engines.get(identifier)
        if engine is None:
            return self._starts.has_left(identifier)
        is_gone = engine.gone_at is not None and now >= engine.gone_at + SUSPECT_SECONDS
        return is_gone or engine.entry.state is EngineState.LEAVING

    def keep_house(self, now: float) -> None:
        """Drop old paces, and engines whose entries went some time ago and have no work."""
        self._starts.keep_house(now)
        for engine in list(self.engines.values()):
            engine.forget_pace(now)
            if engine.gone_at is None or now < engine.gone_at + SUSPECT_SECONDS:
                continue
            if engine.running == 0:
                self._forget(engine)

    def is_evacuated(self, engine: Engine) -> bool:
        """Return whether an engine's zone is evacuated, or may be as far as it is known."""
        return self.awaits_evacuations or engine.entry.zone in self.evacuated

    def is_named(self, engine: Engine) -> bool:
        """Return whether a row in force names an engine's service, as far as rows are known."""
        return self.services is None or engine.entry.service in self.services

    def usable(self, service: str, now: float, homes: frozenset[str] = frozenset()) -> list[Engine]:
        """Return the engines of a service that may get new work now.

        Those whose entry has just gone without a notice serve only where there is no other.
        Engines of evacuated zones never do.

        Parameters
        ----------
        homes
            Regions that the work may be in; empty where any will do.
        """
        of_service = [
            each
            for each in self._by_service.get(service, {}).values()
            if not self.is_evacuated(each) and self.places.may_hold(each.entry.zone, homes)
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
            and now < each.gone_at + SUSPECT_SECONDS
        ]

    def _take(self, entry: EngineEntry, now: float) -> None:
        before = self.current(entry.engine)
        if before is not None and before.identifier != entry.identifier:
            if not entry.started_ms:
                # It does not say when it started: nothing tells that it did so again.
                entry = replace(entry, started_ms=before.entry.started_ms)
            elif 0 < entry.revision < before.entry.revision:
                # The store's revisions tell which of two starts is the later one, clocks do not.
                return
            else:
                self._supersede(before, now)
        identifier = entry.identifier
        self._starts.note_entry(entry.engine, identifier)
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
        """Take that an engine has started again: its earlier start gets nothing, and has ended."""
        self.starts_again += 1
        self._starts.note_superseded(engine.identifier, now)
        self._forget(engine)

    def _forget(self, engine: Engine) -> None:
        self._starts.forget(engine.entry.engine, engine.identifier)
        del self.engines[engine.identifier]
        del self._by_service[engine.entry.service][engine.identifier]

    def _entry_gone(self, identifier: str, now: float) -> None:
        engine = self.engines.get(identifier)
        if engine is None:
            return
        self._starts.note_left(identifier, now)
        if engine.entry.state is EngineState.LEAVING and engine.running == 0:
            self._forget(engine)
        elif engine.gone_at is None:
            engine.gone_at = now
