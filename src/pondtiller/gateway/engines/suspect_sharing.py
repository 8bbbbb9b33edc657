"""Shares what is known of contents that end engines, through the platform's store.

Each content has one object, which any gateway may write under its revision. A gateway that starts
learns of all contents from there, so that none of them has to end engines again to be known.
While the store does not answer, what was known stays in force, and news wait.

Owns what is still to be removed from the store. Relies on `SuspectContents` for what is known here
and what is to be told. Does not judge when a content is held back: `routes.quarantine` does.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import curio

from pondtiller.gateway.engines.suspects import SuspectContents, no_spare
from pondtiller.platform import names, objects
from pondtiller.platform.object_client import (
    PutOutcome,
    StoreCallError,
    StoreChange,
    StoreObject,
)
from pondtiller.process import clock, logs
from pondtiller.routes.quarantine import Suspect, abbreviate_content
from pondtiller.store.store_watch import (
    LONGEST_RETRY_SECONDS,
    RETRY_SECONDS,
    StoreHealth,
    StoreReader,
    Watch,
)

PAUSE_SECONDS = 0.1
"""Between two writes of one gateway: ten a second, of the 400 that the platform's smallest store
grants to all daemons together."""
MOST_WRITES = 4
"""Writes of one content before others have their turn: another gateway wrote it meanwhile."""
CLEARED_SECONDS = 60.0
"""How long the object of a content stays that was answered: gateways that were cut off meanwhile
learn from its listing that it is gone, the others from the change itself."""
TRIAL_RETRY_SECONDS = 2.0
"""Between two calls to the store for a content's trial: its requests may come many times a second,
and each would ask while the store does not answer."""
TRIAL_LOOK_SECONDS = 0.1
"""Between two looks at whether a content's trial is due, each of which compares it with all others
and goes through the engines of its service."""
REMOVE_SECONDS = 60.0
"""Between two looks of a leader for objects that are out of date."""


class SuspectStore(Protocol):
    """The calls to the store that sharing makes."""

    async def read(self, kind: str, name: str) -> StoreObject | None:
        """Return one object, or None where there is none; raises `StoreCallError`."""

    async def create(self, kind: str, name: str, spec: Any) -> PutOutcome:
        """Make an object; a conflict where it is there. Raises `StoreCallError`."""

    async def replace(self, kind: str, name: str, revision: int, spec: Any) -> PutOutcome:
        """Replace an object's spec at a revision; raises `StoreCallError`."""

    async def remove(self, kind: str, name: str) -> PutOutcome:
        """Remove an object; raises `StoreCallError`."""


class SuspectSharing:
    """Tells others of contents, and takes what they tell.

    Parameters
    ----------
    reader
        The store as this gateway reads it.
    changed
        Called when a content is held back, or no longer is.
    is_leading
        Returns whether this gateway removes what is out of date.
    longest_retry
        As for the other watches.
    """

    def __init__(
        self,
        suspects: SuspectContents,
        store: SuspectStore,
        reader: StoreReader,
        health: StoreHealth,
        changed: Callable[[], Awaitable[None]],
        is_leading: Callable[[], bool],
        longest_retry: Callable[[], float] | None = None,
    ) -> None:
        self._suspects = suspects
        self._store = store
        self._changed = changed
        self._is_leading = is_leading
        self._retry_seconds = RETRY_SECONDS
        self._kept_until: dict[str, float] = {}
        self._no_trial_before: dict[str, float] = {}
        self.watch = Watch(
            reader,
            health,
            names.SUSPECTS,
            self._replace,
            self._change,
            longest_retry=longest_retry,
        )

    # What others tell

    async def _replace(self, found: tuple[StoreObject, ...]) -> None:
        """Take all contents; one that is not listed was removed, unless it waits to be shared."""
        listed = {each.name for each in found}
        self._kept_until.clear()
        for content in list(self._suspects.quarantine.suspects):
            if content not in listed and content not in self._suspects.untold:
                self._suspects.quarantine.forget(content)
        for each in found:
            await self._take(each)
        await self._changed()

    async def _change(self, change: StoreChange) -> None:
        if change.is_gone:
            self._kept_until.pop(change.object.name, None)
            self._suspects.quarantine.forget(change.object.name)
        else:
            await self._take(change.object)
        await self._changed()

    async def _take(self, found: StoreObject) -> None:
        told = objects.read_suspect(found)
        if told is None:
            # Left as it is: a later version of this program may have written it.
            logs.decision("suspect_unreadable", name=found.name, revision=found.revision)
            return
        self._kept_until[told.content] = told.until
        if not told.ends:
            self._suspects.untold.pop(told.content, None)
        if clock.wall() >= told.until or not await self._suspects.take(told):
            return
        logs.decision(
            "content_told",
            content=abbreviate_content(told.content),
            ends=len(told.ends),
            is_held=told.is_quarantined,
            revision=found.revision,
        )

    # Trials

    async def take_trial(self, content: str, has_spare: Callable[[], bool] = no_spare) -> bool:
        """Return whether this gateway takes a held content's next trial, which is then counted.

        Parameters
        ----------
        has_spare
            Returns whether the content's service keeps another engine if the trial ends one.
        """
        now = clock.monotonic()
        if now < self._no_trial_before.get(content, 0.0):
            return False
        is_spare = has_spare()
        if not self._suspects.quarantine.is_trial_due(content, clock.wall(), is_spare):
            self._no_trial_before[content] = now + TRIAL_LOOK_SECONDS
            return False
        self._no_trial_before[content] = now + TRIAL_RETRY_SECONDS
        try:
            return await self._write_trial(content, is_spare)
        except StoreCallError as error:
            logs.decision("content_untold", content=abbreviate_content(content), reason=str(error))
            return False

    async def _write_trial(self, content: str, has_spare: bool) -> bool:
        """Count a trial in the content's object; False where another gateway did so first."""
        quarantine = self._suspects.quarantine

        def count(known: Suspect) -> Suspect | None:
            now = clock.wall()
            return (
                known.with_trial(now) if quarantine.is_trial_due(content, now, has_spare) else None
            )

        if not await self._update(content, count):
            return False
        logs.decision(
            "content_tried",
            content=abbreviate_content(content),
            ends=quarantine.crash_count(content),
            own_ends=quarantine.count_own_crashes(content),
            trials=quarantine.suspects[content].trials,
        )
        return True

    async def give_trial_back(self, content: str) -> None:
        """Let a trial that told nothing of its content count no longer.

        Where the store does not take that, the trial stays used up.
        """
        try:
            for _ in range(MOST_WRITES):
                if await self._update(content, Suspect.with_inconclusive_trial):
                    return
            reason = "it was cleared, or others wrote it each time first"
        except StoreCallError as error:
            reason = str(error)
        logs.decision("content_untold", content=abbreviate_content(content), reason=reason)

    async def _update(self, content: str, change: Callable[[Suspect], Suspect | None]) -> bool:
        """Change what the store holds of a content; False where it did not take the change.

        Parameters
        ----------
        change
            Returns the content with its change, from all that is known of it; None for no change.
        """
        found = await self._store.read(names.SUSPECTS, content)
        told = objects.read_suspect(found) if found is not None else None
        if found is None or told is None or not told.ends:
            return False
        if not self._suspects.is_held(content):
            # An engine answered it here meanwhile: what the store holds is out of date.
            return False
        self._suspects.quarantine.merge_report(told)
        changed = change(self._suspects.quarantine.suspects[content])
        if changed is None:
            return False
        outcome = await self._store.replace(
            names.SUSPECTS, content, found.revision, objects.suspect_spec(changed)
        )
        if outcome is PutOutcome.DONE:
            self._suspects.quarantine.merge_report(changed)
        return outcome is PutOutcome.DONE

    # What others are told

    async def run(self) -> None:
        """Tell what is new, until cancelled."""
        remove_at = clock.monotonic() + REMOVE_SECONDS
        while True:
            wait = min(self._next_due(), remove_at) - clock.monotonic()
            self._suspects.has_news.clear()
            await curio.ignore_after(max(0.0, wait), self._suspects.has_news.wait)
            if clock.monotonic() >= remove_at:
                remove_at = clock.monotonic() + REMOVE_SECONDS
                await self._remove_old()
            content = self._due_content()
            if content is not None:
                await self._tell(content)

    def _next_due(self) -> float:
        return min(self._suspects.untold.values(), default=float("inf"))

    def _due_content(self) -> str | None:
        """Return the content to tell now: the one with the most ends first."""
        now = clock.monotonic()
        due = [each for each, by in self._suspects.untold.items() if now >= by]
        return max(due, key=self._suspects.quarantine.crash_count, default=None)

    async def _tell(self, content: str) -> None:
        # What comes while this is written is told anew.
        self._suspects.untold.pop(content, None)
        try:
            is_told = await self._write(content)
        except StoreCallError as error:
            logs.decision("content_untold", content=abbreviate_content(content), reason=str(error))
            is_told = False
        pause = PAUSE_SECONDS
        if is_told:
            self._retry_seconds = RETRY_SECONDS
        else:
            pause = self._retry_seconds
            self._retry_seconds = min(2 * pause, LONGEST_RETRY_SECONDS)
            self._suspects.untold.setdefault(content, clock.monotonic())
        await curio.sleep(pause)

    async def _write(self, content: str) -> bool:
        """Write a content's object; False where others wrote it each time first."""
        for _ in range(MOST_WRITES):
            known = self._suspects.quarantine.suspects.get(content)
            if known is not None:
                spec = objects.suspect_spec(known)
                if await self._store.create(names.SUSPECTS, content, spec) is PutOutcome.DONE:
                    return True
            found = await self._store.read(names.SUSPECTS, content)
            if found is None and known is None:
                return True
            if found is not None and await self._renew(found):
                return True
        return False

    async def _renew(self, found: StoreObject) -> bool:
        """Replace an object by what is known here and there; without ends where it was answered."""
        told = objects.read_suspect(found)
        quarantine = self._suspects.quarantine
        if told is not None and told.ends and found.name in quarantine.suspects:
            quarantine.merge_report(told)
        cleared = Suspect(found.name, frozenset(), clock.wall() + CLEARED_SECONDS)
        renewed = quarantine.suspects.get(found.name, cleared)
        if told is not None and renewed._replace(until=told.until) == told:
            return True
        outcome = await self._store.replace(
            names.SUSPECTS, found.name, found.revision, objects.suspect_spec(renewed)
        )
        return outcome is PutOutcome.DONE

    async def _remove_old(self) -> None:
        """Remove objects whose ends count no longer, where this gateway leads."""
        now = clock.wall()
        quarantine = self._suspects.quarantine
        quarantine.drop_expired(now)
        for content in set(self._no_trial_before) - set(quarantine.suspects):
            del self._no_trial_before[content]
        if not self._is_leading():
            return
        for name in [each for each, until in self._kept_until.items() if now >= until]:
            try:
                await self._store.remove(names.SUSPECTS, name)
            except StoreCallError:
                # The next look comes to it again.
                return
            await curio.sleep(PAUSE_SECONDS)
