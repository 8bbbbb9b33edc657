"""Texts of samples without an open step, kept for a step that submits the sample again. No I/O.

Holds them in the leader's memory for one term; texts that earlier leaders saved come from the
replicas (`progress.py` sends them there). A text that the new step must not use is dropped.
"""

from pondtiller.rollouts.progress import unpack_events
from pondtiller.rollouts.sample_work import RunName, Text
from pondtiller.wire.steplog import SampleProgress

MAX_TEXTS = 4000
"""Largest number of texts; the oldest one is dropped first. Bounds a leader's memory; a dropped
text only has to be made again."""


class UnfinishedTexts:
    """Texts by the name under which a sample's text is stored."""

    def __init__(self) -> None:
        self._texts: dict[str, Text] = {}

    def restore(self, progress: SampleProgress) -> None:
        """Add a text that an earlier leader saved; the longest one if replicas differ."""
        known = self._texts.get(progress.id)
        if known is not None and known.last_event >= progress.last_event:
            return
        events = unpack_events(progress.parts)
        made_by = RunName(progress.epoch, progress.run)
        text = Text(events, list(progress.versions), progress.last_event, made_by=made_by)
        self._texts[progress.id] = text

    def keep(self, name: str, text: Text) -> None:
        """Keep the text of a sample whose step has ended, unless it is empty."""
        if not text.events:
            return
        if len(self._texts) >= MAX_TEXTS:
            del self._texts[next(iter(self._texts))]
        self._texts[name] = text

    def adopt(self, name: str, oldest_version: int, single_version: bool) -> Text:
        """Return the text that a step's sample continues; an empty one if none may be used."""
        kept = self._texts.pop(name, None)
        if kept is None or not kept.fits(oldest_version, single_version):
            return Text()
        return kept
