"""Samples and their segments as JSON, for trainers; callers' answers have the same segments.

Only forms: the daemon's interfaces write them, the emulated trainer reads them.
"""

from collections.abc import Iterable
from typing import TypedDict

from pondtiller.serve.core.tokens import Segment


class SegmentBody(TypedDict):
    """Tokens of an answer, from the first to the last, that one weight version made."""

    version: int
    first_token: int
    last_token: int


class SampleBody(TypedDict):
    """A sample as trainers read it.

    Attributes
    ----------
    slot
        Place of the sample in its step, from 0.
    tokens
        Number of tokens in `text`.
    """

    slot: int
    sample_id: str
    prompt: str
    text: str
    tokens: int
    finish_reason: str
    score: float
    segments: list[SegmentBody]


def segment_bodies(segments: Iterable[Segment]) -> list[SegmentBody]:
    """Return segments as they are sent to callers and trainers."""
    return [
        {
            "version": segment.version,
            "first_token": segment.first_token,
            "last_token": segment.last_token,
        }
        for segment in segments
    ]
