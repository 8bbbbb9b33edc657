"""Quarantine of contents that crash engines. No I/O.

A request may crash each engine that runs it, and it may be retried under other identifiers at other
daemons. Crashes are therefore counted by the content of the request, not by request or daemon. A
content under which several engines crashed, without an answer in between, is sent to no engine for
some time. An answer of an engine shows that the content does not crash every engine, so its crashes
are then forgotten.

Holds the contents known to one gateway. Does not share them (`gateway.engines.suspect_sharing`) and
does not reject requests (`live_attempts.error_of_quarantined_content`).
"""

import math
from collections import OrderedDict
from typing import NamedTuple

from pondtiller.hashing import DIGEST_SHOWN

UNCOUNTED_CONTENT = ""
"""Content of requests under which crashes are not counted. Samples have it: they are accepted to be
run later and share their engines with many others, so a crash tells nothing of one of them."""
MAX_CRASHES = 2
"""Crashes under a content after which it is quarantined. With three engines, one content
that crashes them and other requests beside it, 1.000 of the others were answered with a limit of 2
crashes, 0.984 with 3, 0.981 with 4, and 0.850 without a quarantine; no other content was
quarantined with any limit."""
QUARANTINE_SECONDS = 3600.0
"""How long crashes count, from the latest one. A request that triggers a fault of the engine's
software may be retried until that is fixed; after this time it may crash as many engines again."""
TRIAL_PAUSES_SECONDS = (20.0, 60.0, 600.0)
"""Pauses from a content's last crash or trial until one request of it goes to one engine again, by
the number of its trials. A harmless content that ran at the engines which another one crashed gets
no answer while it is quarantined, so only a trial can clear it. Each trial may crash an engine."""
SHARED_TRIAL_PAUSE_SECONDS = 2.0
"""Pause before a trial while fewer than `MAX_CRASHES` of a content's crashes are its own.
Another quarantined content ran at the other engines, so one of the two may be harmless, and waiting
samples are due in seconds."""
ANSWERED_SECONDS = 60.0
"""How long after an answer of a content a crash under it is ignored. A content that many callers
send, such as a status call without a body, is in flight at all times, so also when three engines
crash within 0.1 s because of another content."""
MAX_ANSWERED = 2000
"""Contents that are remembered as answered; they take 0.2 MB."""
OWED_TRIAL_PAUSE_SECONDS = 2.0
"""Pause before each trial of a content that must be answered in the end, whatever the number of its
trials: an accepted sample waits for it, and its step is due in seconds."""
MAX_SUSPECTS = 1000
"""Contents whose crashes are kept; the oldest are dropped first."""


class Suspect(NamedTuple):
    """A content under which engines crashed.

    Attributes
    ----------
    content
        Digest of the content.
    ends
        Identifiers of the engine incarnations that crashed.
    until
        Wall-clock time until which the crashes count, in seconds since 1970.
    trials
        Requests allowed since it was quarantined, over all daemons.
    tried_at
        Wall-clock time of the last trial, in seconds since 1970; 0 before the first.
    inconclusive
        Trials without a result, each of which may be repeated once.
    """

    content: str
    ends: frozenset[str]
    until: float
    trials: int = 0
    tried_at: float = 0.0
    inconclusive: int = 0

    @property
    def is_quarantined(self) -> bool:
        """Whether the content is quarantined."""
        return len(self.ends) >= MAX_CRASHES

    def next_trial_at(
        self,
        own_crashes: int,
        has_spare: bool,
        others_tried_at: float = 0.0,
        is_owed: bool = False,
    ) -> float:
        """Return the wall-clock time from which on one request may go to one engine.

        Parameters
        ----------
        own_crashes
            Crashes that no other quarantined content shares.
        has_spare
            Whether its service still has another engine if the trial crashes one.
        others_tried_at
            Last trial of a content that shares its crashes, in seconds since 1970. These are
            tried one after the other, so that an answer to one also informs about the others.
        is_owed
            Whether it must be answered in the end, so that its trials are never used up.

        Returns
        -------
        float
            Seconds since 1970; infinite if all of its trials are used up.
        """
        last_end = self.until - QUARANTINE_SECONDS
        since = max(last_end, self.tried_at)
        if is_owed:
            return max(since, others_tried_at) + OWED_TRIAL_PAUSE_SECONDS
        spent = self.trials - self.inconclusive
        if spent >= len(TRIAL_PAUSES_SECONDS):
            return math.inf
        if own_crashes < MAX_CRASHES and has_spare:
            return max(since, others_tried_at) + SHARED_TRIAL_PAUSE_SECONDS
        # Early trials, made because crashes were shared, do not lengthen the pause.
        return since + TRIAL_PAUSES_SECONDS[min(spent, max(0, own_crashes - MAX_CRASHES))]

    def with_trial(self, wall_now: float) -> "Suspect":
        """Return a copy with one more trial."""
        return self._replace(trials=self.trials + 1, tried_at=wall_now)

    def with_inconclusive_trial(self) -> "Suspect":
        """Return a copy with one more inconclusive trial."""
        return self._replace(inconclusive=min(self.inconclusive + 1, self.trials))

    def merged_with(self, other: "Suspect") -> "Suspect":
        """Return the union of two reports about the same content."""
        return Suspect(
            self.content,
            self.ends | other.ends,
            max(self.until, other.until),
            max(self.trials, other.trials),
            max(self.tried_at, other.tried_at),
            max(self.inconclusive, other.inconclusive),
        )


def abbreviate_content(content: str) -> str:
    """Return a content's key shortened for log lines, long enough to tell contents apart."""
    return content[:DIGEST_SHOWN]


class Quarantine:
    """Contents that one daemon knows of, from its own requests and from others' reports."""

    def __init__(self) -> None:
        self.suspects: dict[str, Suspect] = {}
        self._answered: OrderedDict[str, float] = OrderedDict()

    def is_quarantined(self, content: str, wall_now: float) -> bool:
        """Return whether a content is quarantined."""
        suspect = self.suspects.get(content)
        return suspect is not None and suspect.is_quarantined and wall_now < suspect.until

    def crash_count(self, content: str) -> int:
        """Return how many engines are known to have crashed under a content."""
        suspect = self.suspects.get(content)
        return len(suspect.ends) if suspect is not None else 0

    def seconds_left(self, content: str, wall_now: float) -> float:
        """Return the remaining seconds of a content's quarantine."""
        suspect = self.suspects.get(content)
        return max(0.0, suspect.until - wall_now) if suspect is not None else 0.0

    def note_crash(self, content: str, engine: str, now: float, wall_now: float) -> Suspect | None:
        """Record an engine crash under a content; None if it adds no information.

        Parameters
        ----------
        engine
            Identifier of the engine incarnation.
        now, wall_now
            Monotonic time and wall-clock time.
        """
        if self.was_answered(content, now):
            return None
        before = self.suspects.get(content)
        suspect = Suspect(content, frozenset({engine}), wall_now + QUARANTINE_SECONDS)
        if before is not None and wall_now < before.until:
            if engine in before.ends:
                return None
            suspect = suspect.merged_with(before)
        self._keep(suspect)
        return suspect

    def note_answer(self, content: str, now: float) -> bool:
        """Record that an engine answered a content; return whether crashes under it were known."""
        self._answered[content] = now
        self._answered.move_to_end(content)
        if len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)
        return self.suspects.pop(content, None) is not None

    def was_answered(self, content: str, now: float) -> bool:
        """Return whether a content was answered here so recently that crashes are ignored."""
        return now < self._answered.get(content, float("-inf")) + ANSWERED_SECONDS

    def merge_report(self, reported: Suspect) -> bool:
        """Merge the shared report of all daemons about a content; return whether it is news.

        A report without crashes means that the content was answered somewhere.
        """
        before = self.suspects.get(reported.content)
        if not reported.ends:
            return self.suspects.pop(reported.content, None) is not None
        if before is None:
            self._keep(reported)
            return True
        merged = before.merged_with(reported)
        self._keep(merged)
        return merged != before

    def count_own_crashes(self, content: str) -> int:
        """Return how many engines crashed under a content and no other quarantined one."""
        suspect = self.suspects.get(content)
        if suspect is None:
            return 0
        return len(suspect.ends.difference(*(each.ends for each in self._sharing(suspect))))

    def _sharing(self, suspect: Suspect) -> list[Suspect]:
        """Return the other quarantined contents that share crashes with a content."""
        return [
            each
            for each in self.suspects.values()
            if each.is_quarantined
            and each.content != suspect.content
            and not each.ends.isdisjoint(suspect.ends)
        ]

    def is_crash_explained(self, content: str, engine: str) -> bool:
        """Return whether another quarantined content explains an engine's crash under a content.

        If a request of the content broke off at the crash, only ordinary requests of the other
        content explain it. Otherwise two contents that both crash engines would each explain the
        crashes in the other's trials.
        """
        others = [
            each
            for each in self.suspects.values()
            if each.is_quarantined and each.content != content and engine in each.ends
        ]
        suspect = self.suspects.get(content)
        if suspect is not None and engine in suspect.ends:
            others = [each for each in others if not each.trials]
        return bool(others)

    def is_trial_due(
        self, content: str, wall_now: float, has_spare: bool = False, is_owed: bool = False
    ) -> bool:
        """Return whether one request of a quarantined content may go to one engine.

        Parameters
        ----------
        has_spare, is_owed
            See `Suspect.next_trial_at`.
        """
        suspect = self.suspects.get(content)
        if suspect is None:
            return False
        others_tried_at = max((each.tried_at for each in self._sharing(suspect)), default=0.0)
        own_crashes = self.count_own_crashes(content)
        due_at = suspect.next_trial_at(own_crashes, has_spare, others_tried_at, is_owed)
        return wall_now >= due_at

    def forget(self, content: str) -> None:
        """Remove a content from the suspects."""
        self.suspects.pop(content, None)

    def drop_expired(self, wall_now: float) -> None:
        """Remove suspects whose crashes no longer count."""
        for content in [each for each, known in self.suspects.items() if wall_now >= known.until]:
            del self.suspects[content]

    def _keep(self, suspect: Suspect) -> None:
        self.suspects.pop(suspect.content, None)
        self.suspects[suspect.content] = suspect
        if len(self.suspects) > MAX_SUSPECTS:
            del self.suspects[next(iter(self.suspects))]
