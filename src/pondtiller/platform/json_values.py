"""Parses JSON that others wrote, in which any writer may have left odd values.

A value is odd if no reader can use it: nested too deeply, with a number out of range, or with text
that is no Unicode. In an answer of the store, it must not prevent reading the objects beside it.
"""

import json
import math
import re
from collections.abc import Iterator
from typing import Any

from pondtiller.platform.values import MAX_INTEGER

MAX_DEPTH = 64
"""Deepest nesting of an object's parts. Python's encoder and decoder fail at some 900, depending on
the depth of the call."""
MAX_NUMBER_CHARACTERS = 400
"""Longest number that is parsed if an answer can't be parsed as it is. Python refuses integers of
more than 4300 digits."""
TOO_DEEP = "nested too deeply"

_ANSWER_DEPTH = 8
"""More than the levels that an answer has around an object's parts."""
_TOKEN = re.compile(r'"(?>[^"\\]+|\\.)*+(?:"|\Z)|[\[{]+|[\]}]+|-?\d[\d.eE+-]*', re.DOTALL)
_OUT_OF_RANGE = "1e999"


def read_json(body: bytes) -> Any:
    """Parse an answer of the store; raises `ValueError` if it is no JSON.

    An answer with an object that can't be parsed is parsed without the parts that prevent it, in
    such a way that `flaw_of` still finds the object's flaw.
    """
    # Invalid UTF-8 in one object must not prevent reading the others.
    text = body.decode("utf-8", "replace")
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        return json.loads("".join(_parsable(text)))


def flaw_of(value: Any) -> str:
    """Return why no reader can use a parsed value; empty if it is sound."""
    level = [value]
    for _ in range(MAX_DEPTH):
        below: list[Any] = []
        for each in level:
            if isinstance(each, dict):
                below += each
                below += each.values()
            elif isinstance(each, list):
                below += each
            elif flaw := _flaw_of_single(each):
                return flaw
        if not below:
            return ""
        level = below
    return TOO_DEEP


def _flaw_of_single(value: Any) -> str:
    if isinstance(value, str):
        return "" if is_unicode(value) else "text that is no Unicode"
    if isinstance(value, float):
        return "" if math.isfinite(value) else "a number out of range"
    if isinstance(value, int) and not -MAX_INTEGER <= value <= MAX_INTEGER:
        return "a number out of range"
    return ""


def is_unicode(text: str) -> bool:
    """Return whether a text can be encoded: JSON may contain half a surrogate pair."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _parsable(text: str) -> Iterator[str]:
    """Yield a text's parts without deep nesting and long numbers."""
    deepest = MAX_DEPTH + _ANSWER_DEPTH
    depth = end = 0
    for token in _TOKEN.finditer(text):
        found = token.group()
        if depth <= deepest:
            yield text[end : token.start()]
        end = token.end()
        if found[0] in "[{":
            yield found[: max(0, deepest - depth)]
            depth += len(found)
            if depth > deepest >= depth - len(found):
                yield "null"
        elif found[0] in "]}":
            yield found[max(0, depth - deepest) :]
            depth -= len(found)
        elif depth <= deepest:
            is_long = found[0] != '"' and len(found) > MAX_NUMBER_CHARACTERS
            yield _OUT_OF_RANGE if is_long else found
    yield text[end:]
