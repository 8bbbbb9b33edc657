"""Pieces of an answer: chunks as engines send them and segments by weight version.

Values only. Whether a chunk continues an answer is decided in `systems.attempts`.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Chunk:
    """Consecutive tokens of one attempt.

    Attributes
    ----------
    first_token
        Index of the chunk's first token within the whole answer, counted from 0.
    token_count
        Number of tokens in the chunk; 0 in a keep-alive.
    text
        Text of the tokens.
    version
        Weight version that made the tokens, as the engine says.
    finish_reason
        `stop` or `length` in the last chunk, else empty.
    digest
        Digest of the whole answer's text in the last chunk, else empty.
    """

    first_token: int
    token_count: int
    text: str
    version: int
    finish_reason: str = ""
    digest: str = ""


@dataclass(frozen=True, slots=True)
class Segment:
    """Tokens in a row that one weight version made.

    Attributes
    ----------
    version
        Weight version.
    first_token, last_token
        Indices of the first and the last token, both included.
    """

    version: int
    first_token: int
    last_token: int


def extend_segments(segments: list[Segment], chunk: Chunk) -> None:
    """Add a chunk's tokens to the segments of an answer."""
    if not chunk.token_count:
        return
    last_token = chunk.first_token + chunk.token_count - 1
    if segments and segments[-1].version == chunk.version:
        segments[-1] = Segment(chunk.version, segments[-1].first_token, last_token)
        return
    segments.append(Segment(chunk.version, chunk.first_token, last_token))


def oldest_version(segments: list[Segment]) -> int | None:
    """Return the oldest weight version of an answer, or None where it has no token."""
    return min((segment.version for segment in segments), default=None)
