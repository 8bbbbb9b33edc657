"""Texts of samples that no open step has, kept for a step that brings the sample again. No I/O.

Owns them in the leader's memory, for one term: what earlier leaders left comes from the replicas
(`progress.py` sends it there). A text that may not stand in the new step is dropped.
"""

from pondtiller.rollouts.progress import unpack_events
from pondtiller.rollouts.sample_work import RunName, Text
from pondtiller.wire.steplog import SampleProgress

KEPT_SAMPLES = 4000
"""Texts kept; the one kept longest goes first. Chosen, not measured: bounds a leader's memory; a
text that goes is made again, which costs time and nothing else."""


class UnfinishedTexts:
    """Keeps texts by the name under which a sample's text is kept."""

    def __init__(self) -> None:
        self._texts: dict[str, Text] = {}

    def restore(self, progress: SampleProgress) -> None:
        """Take a text that an earlier leader left; the longest where several replicas have one."""
        known = self._texts.get(progress.id)
        if known is not None and known.last_event >= progress.last_event:
            return
        events = unpack_events(progress.parts)
        made_by = RunName(progress.epoch, progress.run)
        text = Text(events, list(progress.versions), progress.last_event, made_by=made_by)
        self._texts[progress.id] = text

    def keep(self, name: str, text: Text) -> None:
        """Keep the text of a sample whose step has ended; an empty one is nothing to keep."""
        if not text.events:
            return
        if len(self._texts) >= KEPT_SAMPLES:
            del self._texts[next(iter(self._texts))]
        self._texts[name] = text

    def adopt(self, name: str, oldest_version: int, single_version: bool) -> Text:
        """Return the text that a step's sample goes on with, an empty one where none may."""
        kept = self._texts.pop(name, None)
        if kept is None or not kept.fits(oldest_version, single_version):
            return Text()
        return kept
