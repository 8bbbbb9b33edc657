"""Unfinished texts as replicas keep them, in memory only. No I/O."""

from pondtiller.wire.steplog import SampleProgress


def extend(kept: SampleProgress | None, news: SampleProgress) -> SampleProgress | None:
    """Return a kept text with its news; None where events between them are missing."""
    if not news.after_event:
        return news
    if kept is None or kept.last_event != news.after_event:
        return None
    return SampleProgress(
        id=news.id,
        events=[*kept.events, *news.events],
        versions=news.versions,
        last_event=news.last_event,
    )
