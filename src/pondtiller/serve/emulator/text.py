"""Deterministic text of the emulated model: token `i` of a prompt never changes.

So an answer can be resumed on another engine, and whoever knows the prompt can check it.
"""

import random

from pondtiller.hashing import score

PATTERN_TOKENS = 61
"""Tokens after which a text repeats: a prime, so that a wrong offset shows."""
LETTERS = "abcdefghijklmnopqrstuvwxyz"
TOKEN_CHARACTERS = 4
"""Characters of a token, its space included."""
MIN_ANSWER = 4
"""Tokens. Modelled."""
MEDIAN_TOKENS = 120
"""Of the lognormal lengths of answers. Modelled: most are short."""
TAIL_SHAPE = 1.1
"""Sigma of the lognormal lengths: a few answers are far longer than the others. Modelled."""


def pattern(prompt: str) -> str:
    """Return the tokens that the answer to a prompt repeats, each of four characters."""
    source = random.Random(score("text", prompt))
    words: list[str] = []
    for _ in range(PATTERN_TOKENS):
        words.append("".join(source.choices(LETTERS, k=TOKEN_CHARACTERS - 1)))
    return "".join(word + " " for word in words)


def text_between(prompt_pattern: str, first: int, count: int) -> str:
    """Return `count` tokens from token `first` on."""
    start = (first % PATTERN_TOKENS) * TOKEN_CHARACTERS
    length = count * TOKEN_CHARACTERS
    repeats = (start + length) // len(prompt_pattern) + 1
    return (prompt_pattern * repeats)[start : start + length]


def answer_length(prompt: str, maximum_tokens: int) -> int:
    """Return the answer's length in tokens: heavy-tailed, fixed by the prompt."""
    source = random.Random(score("length", prompt))
    drawn = source.lognormvariate(0.0, TAIL_SHAPE) * MEDIAN_TOKENS
    return min(maximum_tokens, max(MIN_ANSWER, int(drawn)))


def expected_answer(prompt: str, maximum_tokens: int) -> str:
    """Return the whole answer to a prompt."""
    return text_between(pattern(prompt), 0, answer_length(prompt, maximum_tokens))


def prompt_tokens(prompt: str) -> int:
    """Return the length of a prompt in tokens."""
    return max(1, len(prompt) // TOKEN_CHARACTERS)
