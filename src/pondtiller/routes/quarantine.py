"""Contents under which engines ended, and which of them no engine gets any more. No I/O.

A request may end each engine that runs it, and come again under other identifiers at other daemons.
So ends are counted by what the request holds, not by request or by daemon. A content under which
a few engines ended with no answer of it between is held back from all engines; each answer of an
engine proves that the content does not end all that run it, and its ends are forgotten.

Owns the contents of one gateway. Does not share them (`gateway.engines.suspect_sharing`) nor refuse
requests (`live_attempts.error_of_held_content`).
"""

import math
from collections import OrderedDict
from typing import NamedTuple

from pondtiller.hashing import DIGEST_SHOWN, content_digest

SAMPLE_PREFIX = "sample-"
MOST_ENDS = 2
"""Ends under a caller's content after which it is sent to no engine. Three engines, a content that
ends them and others' requests beside it, 5 runs of 12 s on loopback, share of the others answered:
1.000 with 2 ends, 0.984 with 3, 0.981 with 4, 0.850 where nothing is held back; no other content
was held back with any (`tools/bench_ending_requests.py`)."""
MOST_SAMPLE_ENDS = 5
"""The same of a sample. It runs for seconds beside others, so three ends are soon shared by samples
that did no harm: with 3, one of three such samples was held back beside one that ends engines."""
ALONE_ENDS = 2
"""Ends from which on the samples of a service that are suspected are run one at a time: so those
that did no harm come to an end of their own, and are cleared."""
QUARANTINE_SECONDS = 3600.0
"""How long ends count, from the last one. A request that is the fault of an engine's software comes
again until that is mended; after an hour it may end as many engines once more."""
TRIAL_PAUSES_SECONDS = (20.0, 60.0, 600.0)
"""From a content's last end, or its last trial, until one request of it goes to one engine again,
by its trials so far. A content that did no harm, and ran at both engines that another one ended,
gets no answer while it is held back, so nothing else clears it. Each trial may end an engine."""
SHARED_TRIAL_PAUSE_SECONDS = 2.0
"""The same while fewer than `MOST_ENDS` of a content's ends are its own. Another held content ran
at the other engines, and one of the two may be harmless: samples that wait are due in seconds."""
ANSWERED_SECONDS = 60.0
"""How long after an answer of a content an end under it tells nothing. Load: a content that many
callers send, as a status call without a body, is at work at every moment, so also when three
engines end within 0.1 s under another one."""
MOST_ANSWERED = 2000
"""Contents that are remembered as answered: 0.2 MB."""
MOST_SUSPECTS = 1000
"""Contents whose ends are kept; the oldest are forgotten first."""


class Suspect(NamedTuple):
    """A content under which engines ended.

    Attributes
    ----------
    content
        Its digest.
    ends
        Names of the starts of engines that ended.
    until
        Time of day until which the ends count, in seconds since 1970.
    trials
        Requests that were let through since it is held back, by all daemons.
    tried_at
        Time of day of the last of them, in seconds since 1970; 0 before the first.
    inconclusive
        Trials among them that told nothing, and may be made once more.
    """

    content: str
    ends: frozenset[str]
    until: float
    trials: int = 0
    tried_at: float = 0.0
    inconclusive: int = 0

    @property
    def is_held(self) -> bool:
        """Whether no engine may get it."""
        is_sample = self.content.startswith(SAMPLE_PREFIX)
        return len(self.ends) >= (MOST_SAMPLE_ENDS if is_sample else MOST_ENDS)

    def next_trial_at(self, own_ends: int, has_spare: bool, others_tried_at: float = 0.0) -> float:
        """Return the time of day from which on one request may go to one engine.

        Parameters
        ----------
        own_ends
            Ends that no other held content shares.
        has_spare
            Whether its service keeps another engine if the trial ends one.
        others_tried_at
            When a content that shares its ends had its last trial, in seconds since 1970: these
            are tried one after the other, so that an answer of one tells of the others too.

        Returns
        -------
        float
            In seconds since 1970; infinite where it had all of its trials.
        """
        spent = self.trials - self.inconclusive
        if spent >= len(TRIAL_PAUSES_SECONDS):
            return math.inf
        last_end = self.until - QUARANTINE_SECONDS
        since = max(last_end, self.tried_at)
        if own_ends < MOST_ENDS and has_spare:
            return max(since, others_tried_at) + SHARED_TRIAL_PAUSE_SECONDS
        # Trials that came early, since ends were shared, do not lengthen the pause.
        return since + TRIAL_PAUSES_SECONDS[min(spent, max(0, own_ends - MOST_ENDS))]

    def tried(self, wall_now: float) -> "Suspect":
        """Return it with one more trial."""
        return self._replace(trials=self.trials + 1, tried_at=wall_now)

    def tried_in_vain(self) -> "Suspect":
        """Return it with one more trial that was inconclusive."""
        return self._replace(inconclusive=min(self.inconclusive + 1, self.trials))

    def joined(self, other: "Suspect") -> "Suspect":
        """Return what both tell of the same content."""
        return Suspect(
            self.content,
            self.ends | other.ends,
            max(self.until, other.until),
            max(self.trials, other.trials),
            max(self.tried_at, other.tried_at),
            max(self.inconclusive, other.inconclusive),
        )


def sample_content(kept_as: str) -> str:
    """Return the name that stands for a sample's content: it comes again as the same sample.

    Parameters
    ----------
    kept_as
        Name under which the sample's unfinished text is kept.
    """
    return SAMPLE_PREFIX + content_digest(kept_as.encode("utf-8", "surrogatepass"))


def shown_content(content: str) -> str:
    """Return a content's name as log lines show it: enough digits to tell contents apart.

    A sample's begins with a word, which alone filled the line: 16 names stood for all samples.
    """
    prefix = SAMPLE_PREFIX if content.startswith(SAMPLE_PREFIX) else ""
    return content[: len(prefix) + DIGEST_SHOWN]


class Quarantine:
    """The contents that one daemon knows of, by its own requests and by others' word."""

    def __init__(self) -> None:
        self.suspects: dict[str, Suspect] = {}
        self._answered: OrderedDict[str, float] = OrderedDict()

    def is_held(self, content: str, wall_now: float) -> bool:
        """Return whether no engine may get a content."""
        suspect = self.suspects.get(content)
        return suspect is not None and suspect.is_held and wall_now < suspect.until

    def ends(self, content: str) -> int:
        """Return how many engines ended under a content, as far as it is known."""
        suspect = self.suspects.get(content)
        return len(suspect.ends) if suspect is not None else 0

    def seconds_left(self, content: str, wall_now: float) -> float:
        """Return for how long a content is still held back."""
        suspect = self.suspects.get(content)
        return max(0.0, suspect.until - wall_now) if suspect is not None else 0.0

    def note_end(self, content: str, engine: str, now: float, wall_now: float) -> Suspect | None:
        """Take that an engine ended under a content; None where that tells nothing new.

        Parameters
        ----------
        engine
            Name of the start of the engine.
        now, wall_now
            Steady time, and time of day.
        """
        if self.was_answered(content, now):
            return None
        before = self.suspects.get(content)
        suspect = Suspect(content, frozenset({engine}), wall_now + QUARANTINE_SECONDS)
        if before is not None and wall_now < before.until:
            if engine in before.ends:
                return None
            suspect = suspect.joined(before)
        self._keep(suspect)
        return suspect

    def note_answer(self, content: str, now: float) -> bool:
        """Take that an engine answered a content; return whether ends under it were known."""
        self._answered[content] = now
        self._answered.move_to_end(content)
        if len(self._answered) > MOST_ANSWERED:
            self._answered.popitem(last=False)
        return self.suspects.pop(content, None) is not None

    def was_answered(self, content: str, now: float) -> bool:
        """Return whether an engine answered a content here so lately that an end tells nothing."""
        return now < self._answered.get(content, float("-inf")) + ANSWERED_SECONDS

    def take(self, told: Suspect) -> bool:
        """Take what all daemons together know of a content; return whether that is new here.

        Told without ends: the content was answered somewhere.
        """
        before = self.suspects.get(told.content)
        if not told.ends:
            return self.suspects.pop(told.content, None) is not None
        if before is None:
            self._keep(told)
            return True
        merged = before.joined(told)
        self._keep(merged)
        return merged != before

    def own_ends(self, content: str) -> int:
        """Return how many engines ended under a content and under no other that is held back."""
        suspect = self.suspects.get(content)
        if suspect is None:
            return 0
        return len(suspect.ends.difference(*(each.ends for each in self._sharing(suspect))))

    def _sharing(self, suspect: Suspect) -> list[Suspect]:
        """Return the other held contents under which some of a content's engines ended too."""
        return [
            each
            for each in self.suspects.values()
            if each.is_held
            and each.content != suspect.content
            and not each.ends.isdisjoint(suspect.ends)
        ]

    def is_explained(self, content: str, engine: str) -> bool:
        """Return whether an engine that got a content ended under another one that is held back.

        Where a request of the content broke off with the engine, only ordinary requests of the
        other one explain the end: of two contents that both end engines, each would otherwise stand
        for the ends of the other's trials.
        """
        others = [
            each
            for each in self.suspects.values()
            if each.is_held and each.content != content and engine in each.ends
        ]
        suspect = self.suspects.get(content)
        if suspect is not None and engine in suspect.ends:
            others = [each for each in others if not each.trials]
        return bool(others)

    def is_trial_due(self, content: str, wall_now: float, has_spare: bool = False) -> bool:
        """Return whether one request of a content that is held back may go to one engine.

        Parameters
        ----------
        has_spare
            As for `Suspect.next_trial_at`.
        """
        suspect = self.suspects.get(content)
        if suspect is None:
            return False
        others_tried_at = max((each.tried_at for each in self._sharing(suspect)), default=0.0)
        due_at = suspect.next_trial_at(self.own_ends(content), has_spare, others_tried_at)
        return wall_now >= due_at

    def forget(self, content: str) -> None:
        """Take that a content is to be suspected no longer."""
        self.suspects.pop(content, None)

    def keep_house(self, wall_now: float) -> None:
        """Forget ends that are too old to count."""
        for content in [each for each, known in self.suspects.items() if wall_now >= known.until]:
            del self.suspects[content]

    def _keep(self, suspect: Suspect) -> None:
        self.suspects.pop(suspect.content, None)
        self.suspects[suspect.content] = suspect
        if len(self.suspects) > MOST_SUSPECTS:
            del self.suspects[next(iter(self.suspects))]
