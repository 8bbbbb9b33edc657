"""Shares information about contents that crash engines through the platform's store.

Each content has one object, which any gateway may write under its revision. A gateway that starts
reads all contents from there, so that they need not crash engines again to be known. While the
store does not answer, the known state stays in force and updates wait.

Holds what is still to be removed from the store. Relies on `SuspectContents` for what is known here
and what is to be shared. When a content is quarantined is decided in `routes.quarantine`.
"""

from collections.abc import Awaitable, Callable
from functools import partial
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
    MAX_RETRY_SECONDS,
    RETRY_SECONDS,
    StoreHealth,
    StoreReader,
    Watch,
)

PAUSE_SECONDS = 0.1
"""Pause between two writes of one gateway: at most ten a second, of the 400 that the platform's
smallest store allows to all daemons together."""
MAX_WRITES = 4
"""Attempts to write one content, if other gateways write it at the same time, before others are
written."""
CLEARED_SECONDS = 60.0
"""How long the object of an answered content is kept: gateways that were disconnected meanwhile
learn from the listing that it is removed, the others from the change itself."""
TRIAL_RETRY_SECONDS = 2.0
"""Pause between two calls to the store for a content's trial: its requests may arrive many times a
second, and each would call the store while it does not answer."""
TRIAL_CHECK_SECONDS = 0.1
"""Interval of the check whether a content's trial is due, which compares the content with all
others and goes through the engines of its service."""
REMOVE_SECONDS = 60.0
"""Interval at which a leader removes outdated objects."""


class TrialCheck(Protocol):
    """Checks whether a content's trial is due."""

    def __call__(self, *, wall_now: float) -> bool:
        """Return whether it is due at a wall-clock time in seconds since 1970."""


class SuspectStore(Protocol):
    """Store calls needed for sharing."""

    async def read(self, kind: str, name: str) -> StoreObject | None:
        """Return one object, or None if there is none; raises `StoreCallError`."""

    async def create(self, kind: str, name: str, spec: Any) -> PutOutcome:
        """Create an object; a conflict if it exists. Raises `StoreCallError`."""

    async def replace(self, kind: str, name: str, revision: int, spec: Any) -> PutOutcome:
        """Replace an object's spec at a revision; raises `StoreCallError`."""

    async def remove(self, kind: str, name: str) -> PutOutcome:
        """Remove an object; raises `StoreCallError`."""


class SuspectSharing:
    """Sends reports about contents to other gateways, and applies theirs.

    Parameters
    ----------
    reader
        The store as this gateway reads it.
    changed
        Called when a quarantine starts or ends.
    is_leading
        Returns whether this gateway removes outdated objects.
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

    # Reports from other gateways

    async def _replace(self, found: tuple[StoreObject, ...]) -> None:
        """Apply the whole listing; a content that is missing was removed, unless it is unshared."""
        listed = {each.name for each in found}
        self._kept_until.clear()
        for content in list(self._suspects.quarantine.suspects):
            if content not in listed and content not in self._suspects.unshared:
                self._suspects.quarantine.forget(content)
        for each in found:
            await self._apply(each)
        await self._changed()

    async def _change(self, change: StoreChange) -> None:
        if change.is_gone:
            self._kept_until.pop(change.object.name, None)
            self._suspects.quarantine.forget(change.object.name)
        else:
            await self._apply(change.object)
        await self._changed()

    async def _apply(self, found: StoreObject) -> None:
        reported = objects.read_suspect(found)
        if reported is None:
            # Left unchanged: a later version of this program may have written it.
            logs.decision("suspect_unreadable", name=found.name, revision=found.revision)
            return
        self._kept_until[reported.content] = reported.until
        if not reported.ends:
            self._suspects.unshared.pop(reported.content, None)
        if clock.wall() >= reported.until or not await self._suspects.merge_report(reported):
            return
        logs.decision(
            "content_told",
            content=abbreviate_content(reported.content),
            ends=len(reported.ends),
            is_held=reported.is_quarantined,
            revision=found.revision,
        )

    # Trials

    async def take_trial(
        self, content: str, has_spare: Callable[[], bool] = no_spare, is_owed: bool = False
    ) -> bool:
        """Return whether this gateway takes a quarantined content's next trial, which then counts.

        Parameters
        ----------
        has_spare
            Returns whether the content's service keeps another engine if the trial crashes one.
        is_owed
            Whether the request must be answered in the end.
        """
        now = clock.monotonic()
        if now < self._no_trial_before.get(content, 0.0):
            return False
        is_due = partial(
            self._suspects.quarantine.is_trial_due,
            content,
            has_spare=has_spare(),
            is_owed=is_owed,
        )
        if not is_due(wall_now=clock.wall()):
            self._no_trial_before[content] = now + TRIAL_CHECK_SECONDS
            return False
        self._no_trial_before[content] = now + TRIAL_RETRY_SECONDS
        try:
            return await self._write_trial(content, is_due)
        except StoreCallError as error:
            logs.decision("content_untold", content=abbreviate_content(content), reason=str(error))
            return False

    async def _write_trial(self, content: str, is_due: TrialCheck) -> bool:
        """Count a trial in the content's object; False if another gateway did so first."""
        quarantine = self._suspects.quarantine

        def count(known: Suspect) -> Suspect | None:
            now = clock.wall()
            return known.with_trial(now) if is_due(wall_now=now) else None

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

    async def return_trial(self, content: str) -> None:
        """Exclude an inconclusive trial from the count.

        If the store does not accept this, the trial stays counted.
        """
        try:
            for _ in range(MAX_WRITES):
                if await self._update(content, Suspect.with_inconclusive_trial):
                    return
            reason = "it was cleared, or others wrote it each time first"
        except StoreCallError as error:
            reason = str(error)
        logs.decision("content_untold", content=abbreviate_content(content), reason=reason)

    async def _update(self, content: str, change: Callable[[Suspect], Suspect | None]) -> bool:
        """Change a content's object in the store; return False if the change was not accepted.

        Parameters
        ----------
        change
            Returns the changed content from all that is known of it; None for no change.
        """
        found = await self._store.read(names.SUSPECTS, content)
        reported = objects.read_suspect(found) if found is not None else None
        if found is None or reported is None or not reported.ends:
            return False
        if not self._suspects.is_quarantined(content):
            # An engine has answered it here meanwhile, so the stored object is outdated.
            return False
        self._suspects.quarantine.merge_report(reported)
        changed = change(self._suspects.quarantine.suspects[content])
        if changed is None:
            return False
        outcome = await self._store.replace(
            names.SUSPECTS, content, found.revision, objects.suspect_spec(changed)
        )
        if outcome is PutOutcome.DONE:
            self._suspects.quarantine.merge_report(changed)
        return outcome is PutOutcome.DONE

    # Reports to other gateways

    async def run(self) -> None:
        """Share reports until cancelled."""
        remove_at = clock.monotonic() + REMOVE_SECONDS
        while True:
            wait = min(self._next_due(), remove_at) - clock.monotonic()
            self._suspects.has_unshared.clear()
            await curio.ignore_after(max(0.0, wait), self._suspects.has_unshared.wait)
            if clock.monotonic() >= remove_at:
                remove_at = clock.monotonic() + REMOVE_SECONDS
                await self._remove_old()
            content = self._next_content()
            if content is not None:
                await self._share(content)

    def _next_due(self) -> float:
        return min(self._suspects.unshared.values(), default=float("inf"))

    def _next_content(self) -> str | None:
        """Return the next content to share: the one with the most crashes first."""
        now = clock.monotonic()
        due = [each for each, by in self._suspects.unshared.items() if now >= by]
        return max(due, key=self._suspects.quarantine.crash_count, default=None)

    async def _share(self, content: str) -> None:
        # Removed first, so that a change during the write is shared again.
        self._suspects.unshared.pop(content, None)
        try:
            is_shared = await self._write(content)
        except StoreCallError as error:
            logs.decision("content_untold", content=abbreviate_content(content), reason=str(error))
            is_shared = False
        pause = PAUSE_SECONDS
        if is_shared:
            self._retry_seconds = RETRY_SECONDS
        else:
            pause = self._retry_seconds
            self._retry_seconds = min(2 * pause, MAX_RETRY_SECONDS)
            self._suspects.unshared.setdefault(content, clock.monotonic())
        await curio.sleep(pause)

    async def _write(self, content: str) -> bool:
        """Write a content's object; return False if other gateways were faster each time."""
        for _ in range(MAX_WRITES):
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
        """Merge the known state into an object; without crashes if the content was answered."""
        reported = objects.read_suspect(found)
        quarantine = self._suspects.quarantine
        if reported is not None and reported.ends and found.name in quarantine.suspects:
            quarantine.merge_report(reported)
        cleared = Suspect(found.name, frozenset(), clock.wall() + CLEARED_SECONDS)
        renewed = quarantine.suspects.get(found.name, cleared)
        if reported is not None and renewed._replace(until=reported.until) == reported:
            return True
        outcome = await self._store.replace(
            names.SUSPECTS, found.name, found.revision, objects.suspect_spec(renewed)
        )
        return outcome is PutOutcome.DONE

    async def _remove_old(self) -> None:
        """Remove objects whose crashes no longer count, if this gateway is the leader."""
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
                # Retried at the next interval.
                return
            await curio.sleep(PAUSE_SECONDS)
