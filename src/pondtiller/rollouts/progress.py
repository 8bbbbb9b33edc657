"""Which unfinished texts are saved for a leader's successor; each event is sent once. No I/O.

Losing a text only costs the time that it took to make. Therefore only runs that have lasted a while
are saved, and each replica receives only the events that it was not sent before.

Holds what was sent to each replica, for one term of a leader. The replicas keep the texts
(`steplog/kept_texts.py`); a successor loads them into `unfinished_texts.py`.
"""

import json
from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from pondtiller.rollouts.sample_work import SampleWork
from pondtiller.wire.steplog import SampleProgress

WORTH_KEEPING_SECONDS = 0.5
"""Age of a run from which on its text is sent to replicas. A leader that sent every unfinished text
each second sent 8 MB at once to 13 replicas, which delayed its heartbeats until it lost its lease.
0.5 s is also the interval of the saves: a younger run loses that much again at most."""


def pack_events(events: list[str]) -> bytes:
    """Return events as one part: decoding them one by one would delay a new leader."""
    return json.dumps(events).encode()


def unpack_events(parts: Iterable[bytes]) -> list[str]:
    """Return the events of a text's parts."""
    return [event for part in parts for event in json.loads(part)]


class ProgressUpdate(NamedTuple):
    """Texts that several replicas lack, with the numbers of their links."""

    links: list[int]
    samples: list[SampleProgress]


class ProgressSaver:
    """Tracks what was sent to each replica, by the number of its link."""

    def __init__(self) -> None:
        self.sent: dict[int, dict[str, int]] = {}

    def updates_for(
        self, links: Sequence[int], works: Collection[SampleWork], now: float, is_last: bool
    ) -> list[ProgressUpdate]:
        """Return what replicas lack, grouped by those that were sent the same before."""
        alike: dict[tuple[tuple[str, int], ...], list[int]] = {}
        for link in links:
            before = tuple(self.sent.get(link, {}).items())
            alike.setdefault(before, []).append(link)
        found: list[ProgressUpdate] = []
        for group in alike.values():
            samples = self.update_for(group[0], works, now, is_last)
            for link in group[1:]:
                self.sent[link] = self.sent[group[0]]
            if samples:
                found.append(ProgressUpdate(group, samples))
        return found

    def update_for(
        self, link: int, works: Iterable[SampleWork], now: float, is_last: bool = False
    ) -> list[SampleProgress]:
        """Return what a replica lacks; before a handover (`is_last`) also of recent runs."""
        before = self.sent.get(link, {})
        known: dict[str, int] = {}
        found: list[SampleProgress] = []
        for work in works:
            text = work.text
            is_young = not work.moves and now < work.run_started + WORTH_KEEPING_SECONDS
            if not text.events or text.is_whole or (is_young and not is_last):
                continue
            after = before.get(work.storage_name, 0)
            if text.last_event != after:
                found.append(_since(work, after))
            known[work.storage_name] = text.last_event
        self.sent[link] = known
        return found


def _since(work: SampleWork, after: int) -> SampleProgress:
    """Return a text's events after one; all of them if the text was restarted."""
    text = work.text
    if text.last_event < after:
        after = 0
    return SampleProgress(
        id=work.storage_name,
        parts=[pack_events(text.events[after:])],
        versions=text.versions,
        last_event=text.last_event,
        after_event=after,
        epoch=text.made_by.epoch,
        run=text.made_by.run,
    )
