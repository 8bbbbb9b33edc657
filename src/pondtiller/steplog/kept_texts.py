"""Unfinished texts as replicas keep them for a leader's successor. No I/O.

Losing one costs the time that it took to make, nothing else. They stand in the replica's file
without a sync of their own: the next write of the log makes them durable too, so that most of
them outlive also the end of all processes or a loss of power.
"""

from collections.abc import Iterable

from pondtiller.wire.steplog import SampleProgress

MOST_TEXTS = 2000
"""Texts that a replica keeps; the one not saved for longest gives way. Chosen, not measured: some
40 KB a long text are 80 MB, and some hundred runs go on at a time."""


class KeptTexts:
    """The texts of the samples that were saved last.

    Attributes
    ----------
    by_sample
        Texts by the sample's identifier, those saved last at the end.
    """

    def __init__(self) -> None:
        self.by_sample: dict[str, SampleProgress] = {}

    def save(self, parts: Iterable[SampleProgress]) -> None:
        """Take what is new of some texts; the texts not saved for longest give way."""
        for part in parts:
            whole = extend(self.by_sample.pop(part.id, None), part)
            if whole is not None:
                self.by_sample[part.id] = whole
        while len(self.by_sample) > MOST_TEXTS:
            del self.by_sample[next(iter(self.by_sample))]

    def longer(self, parts: Iterable[SampleProgress]) -> list[SampleProgress]:
        """Return the whole texts among some that are longer than those kept.

        A leader that was cut off hands its texts over when its lease ends, and the next one may
        be promised its epoch while they are on their way.
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
    """Return a kept text with its news; None where events between them are missing."""
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
