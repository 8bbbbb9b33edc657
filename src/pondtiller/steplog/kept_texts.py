"""Unfinished texts as replicas keep them for a leader's successor. No I/O.

Losing one only costs the time that it took to make. They are written to the replica's file without
a sync of their own; the next write of the log makes them durable too, so that most of them survive
the end of all processes or a power loss.
"""

from collections.abc import Iterable

from pondtiller.wire.steplog import SampleProgress

MAX_TEXTS = 2000
"""Texts that a replica keeps; the least recently saved one is dropped first. At 40 KB for a long
text these are 80 MB, and some hundred runs are in progress at a time."""


class KeptTexts:
    """Texts of the most recently saved samples.

    Attributes
    ----------
    by_sample
        Texts by the sample's identifier, the most recently saved last.
    """

    def __init__(self) -> None:
        self.by_sample: dict[str, SampleProgress] = {}

    def save(self, parts: Iterable[SampleProgress]) -> None:
        """Add new parts of some texts; the least recently saved texts are dropped."""
        for part in parts:
            whole = extend(self.by_sample.pop(part.id, None), part)
            if whole is not None:
                self.by_sample[part.id] = whole
        while len(self.by_sample) > MAX_TEXTS:
            del self.by_sample[next(iter(self.by_sample))]

    def longer(self, parts: Iterable[SampleProgress]) -> list[SampleProgress]:
        """Return the complete texts among some that are longer than the kept ones.

        A disconnected leader hands its texts over when its lease ends, and the next one may be
        promised its epoch while they are in transit.
        """
        return [
            each
            for each in parts
            if not each.after_event and self._length(each.id) < each.last_event
        ]

    def _length(self, sample: str) -> int:
        kept = self.by_sample.get(sample)
        return kept.last_event if kept is not None else 0

    def find(self, samples: Iterable[str]) -> list[SampleProgress]:
        """Return the texts of those samples that have one."""
        return [self.by_sample[each] for each in samples if each in self.by_sample]


def extend(kept: SampleProgress | None, news: SampleProgress) -> SampleProgress | None:
    """Return a kept text extended by a new part; None if events between them are missing."""
    if not news.after_event:
        return news
    if kept is None or kept.last_event != news.after_event:
        return None
    return SampleProgress(
        id=news.id,
        parts=[*kept.parts, *news.parts],
        versions=news.versions,
        last_event=news.last_event,
        epoch=news.epoch,
        run=news.run,
    )
