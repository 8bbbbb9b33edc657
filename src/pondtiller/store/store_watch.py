"""Watches on the platform's store: a kind is listed once, then its changes are followed.

A `Watch` holds the revision up to which it has passed on everything, and starts with a listing
after a restart or when the history is gone. Uses a `StoreReader`: the store's client, a mirror or
the leader's access. Stores no objects and interprets none.
"""

import random
from collections.abc import Awaitable, Callable
from typing import Protocol

import curio

from pondtiller.platform.object_client import (
    WATCH_MARGIN_SECONDS,
    HistoryGoneError,
    StoreCallError,
    StoreChange,
    StoreChanges,
    StoreListing,
    StoreObject,
    StoreSilentError,
)
from pondtiller.process import clock, logs
from pondtiller.process.curio_types import Event
from pondtiller.process.run_until import run_until

WATCH_SECONDS = 6.0
"""How long one call waits for changes. Each call has a price: with 3 s, the watches made most of
the 623 calls of a quiet day. With longer waits a process notices later that the store has gone
without an error; once it answers any watch of the process again, all others ask again."""
MIN_FIRST_WATCH_SECONDS = 1.0
"""First waits are drawn between this and the full wait, so that the watches of a process end at
different times."""
PROBE_SECONDS = 0.5
"""How long the first call after a failure waits for changes: until it is answered, the state of its
kind is unknown."""
RETRY_SECONDS = 0.25
"""First pause after a failed call, doubled each time; `evacuation_bounds` counts one such pause."""
MAX_RETRY_SECONDS = 1.0
"""Maximum pause after a failed call. Every call has a price, even a rejected one; a second is a
fifth of the shortest time that the platform gives a machine to reconnect."""

Replace = Callable[[tuple[StoreObject, ...]], Awaitable[None]]
Change = Callable[[StoreChange], Awaitable[None]]


class StoreReader(Protocol):
    """The store, or a substitute for it."""

    async def list_all(self, kind: str) -> StoreListing:
        """Return all objects of a kind; raises `StoreCallError`."""

    async def watch(self, kind: str, at: int, wait_seconds: float) -> StoreChanges:
        """Return the changes after a revision; raises `HistoryGoneError`, `StoreCallError`."""


class StoreHealth:
    """Whether the store answers, shared by all watches of a process.

    A waiting watch cannot distinguish a quiet store from one that is gone. Once the store answers
    again after a failure, all waiting watches ask again, so that each is up to date within moments
    although a wait may be long.
    """

    def __init__(self) -> None:
        self._is_lost = False
        self._regained: set[Event] = set()

    def note_failure(self, kind: str, error: StoreCallError) -> None:
        """Record a failed call."""
        if not self._is_lost:
            self._is_lost = True
            logs.decision("store_lost", kind=kind, reason=str(error))

    async def note_answer(self, kind: str, at: int) -> None:
        """Record an answer."""
        if not self._is_lost:
            return
        self._is_lost = False
        logs.decision("store_regained", kind=kind, at=at)
        await self._wake_all()

    async def history_gone(self) -> None:
        """Record that the store, or a mirror, has forgotten a requested history.

        A call that reached the store while it forgot gets no answer for its whole wait, up to 6 s.
        So all waiting watches ask again.
        """
        await self._wake_all()

    async def _wake_all(self) -> None:
        for event in list(self._regained):
            await event.set()

    async def wait_regained(self) -> None:
        """Return when the store answers again after a failure, or has forgotten its history."""
        event: Event = curio.Event()
        self._regained.add(event)
        try:
            await event.wait()
        finally:
            self._regained.discard(event)


class Watch:
    """Lists a kind, then follows its changes, for as long as it runs.

    Parameters
    ----------
    health
        Shared by the watches of one process.
    replace, change
        Apply a whole listing, and one change.
    rest
        Returns for how many seconds to gather further changes before asking for them; each change
        would otherwise be a call of each gateway.
    wait_seconds
        How long one call waits for changes.
    longest_retry
        Returns the longest pause between two calls while the store does not answer, in seconds.

    Attributes
    ----------
    at
        Revision of the store up to which everything was passed on; 0 before the first listing.
    last_answer_at
        When the store was last known to hold nothing newer, however late its answer was read.
    """

    def __init__(
        self,
        store: StoreReader,
        health: StoreHealth,
        kind: str,
        replace: Replace,
        change: Change,
        rest: Callable[[], float] | None = None,
        wait_seconds: float = WATCH_SECONDS,
        longest_retry: Callable[[], float] | None = None,
    ) -> None:
        self.at = 0
        self.rest = rest
        self._longest_retry = longest_retry or (lambda: MAX_RETRY_SECONDS)
        self._wait_seconds = wait_seconds
        self._retry_seconds = RETRY_SECONDS
        self._store = store
        self._health = health
        self._kind = kind
        self._replace = replace
        self._change = change
        self.last_answer_at = 0.0

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                await self._follow()
            except HistoryGoneError:
                logs.decision("history_gone", kind=self._kind)
                await self._health.history_gone()
            except StoreCallError as error:
                await self._pause(error)

    async def _pause(self, error: StoreCallError) -> None:
        """Wait before the next call, longer each time, until another watch is answered.

        A call without an answer has already waited.
        """
        self._health.note_failure(self._kind, error)
        if isinstance(error, StoreSilentError):
            return
        await curio.ignore_after(self._retry_seconds, self._health.wait_regained)
        self._retry_seconds = min(2 * self._retry_seconds, self._longest_retry())

    async def _follow(self) -> None:
        listing = await self._list()
        await self._note_answer(listing.at, listing.age_seconds)
        await self._replace(listing.objects)
        at = self.at = listing.at
        # The watches of a process end at different times, so one of them soon notices a failure.
        shortest = min(MIN_FIRST_WATCH_SECONDS, self._wait_seconds)
        seconds = random.uniform(shortest, self._wait_seconds)
        while True:
            try:
                found = await self._ask(at, seconds)
            except StoreCallError as error:
                await self._pause(error)
                seconds = min(PROBE_SECONDS, self._wait_seconds)
                continue
            seconds = self._wait_seconds
            if found is None:
                continue
            await self._note_answer(found.at, found.age_seconds)
            at = found.at
            for change in found.changes:
                await self._change(change)
            self.at = at
            if found.changes and self.rest is not None:
                await curio.sleep(self.rest())

    async def _list(self) -> StoreListing:
        """Return all objects, within the time that a call for changes may take."""
        seconds = self._wait_seconds + WATCH_MARGIN_SECONDS
        try:
            listing: StoreListing = await curio.timeout_after(
                seconds, self._store.list_all, self._kind
            )
        except curio.TaskTimeout as error:
            raise StoreSilentError(f"no listing within {seconds:.2f} s") from error
        return listing

    async def _ask(self, at: int, seconds: float) -> StoreChanges | None:
        """Return the changes; None if the store failed and recovered meanwhile."""
        return await run_until(
            self._health.wait_regained, self._store.watch, self._kind, at, seconds
        )

    async def _note_answer(self, at: int, age_seconds: float) -> None:
        self.last_answer_at = max(self.last_answer_at, clock.monotonic() - age_seconds)
        self._retry_seconds = RETRY_SECONDS
        await self._health.note_answer(self._kind, at)
