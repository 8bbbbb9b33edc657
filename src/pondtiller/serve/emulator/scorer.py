"""A scorer: judges a sample; the score is fixed by prompt and text.

So samples can be checked after a run. No state.
"""

from pondtiller.hashing import score

LARGEST = 2**64
"""One more than the largest 64-bit digest, so that scores lie in [0, 1)."""


def score_sample(prompt: str, text: str) -> float:
    """Return a score between 0 and 1."""
    return score(prompt, text) / LARGEST
