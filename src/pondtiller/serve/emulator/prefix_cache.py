"""An engine's cache of prompts' beginnings: the least recently used ones are dropped."""

from collections import OrderedDict

from pondtiller.serve.emulator.text import prompt_tokens

PREFIX_CHARACTERS = 256
"""Beginning of a prompt that is cached as one. Modelled, not measured."""


class PrefixCache:
    """Beginnings of prompts whose tokens need not be read again.

    Parameters
    ----------
    capacity_tokens
        Prompt tokens that the cache holds.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_tokens = capacity_tokens
        self._tokens: OrderedDict[str, int] = OrderedDict()
        self._used_tokens = 0

    def read(self, prompt: str) -> int:
        """Return how many of a prompt's tokens are not cached, and cache its beginning."""
        prefix = prompt[:PREFIX_CHARACTERS]
        tokens = prompt_tokens(prompt)
        if prefix in self._tokens:
            self._tokens.move_to_end(prefix)
            return max(0, tokens - prompt_tokens(prefix))
        self._tokens[prefix] = prompt_tokens(prefix)
        self._used_tokens += prompt_tokens(prefix)
        while self._used_tokens > self._capacity_tokens:
            self._used_tokens -= self._tokens.popitem(last=False)[1]
        return tokens

    def clear(self) -> None:
        """Forget all beginnings."""
        self._tokens.clear()
        self._used_tokens = 0
