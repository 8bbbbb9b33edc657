"""Keys of steps in the log: `step/S`, `result/S/POSITION`, `end/S`. No I/O.

Defines the form of the keys, which is stored data. Values are read by `steps.py`.
"""

from collections.abc import Collection
from enum import StrEnum
from typing import NamedTuple


class StepKeyKind(StrEnum):
    """Kind of a key's value."""

    STEP = "step"
    RESULT = "result"
    END = "end"


STEP_PREFIX = f"{StepKeyKind.STEP}/"
RESULT_PREFIX = f"{StepKeyKind.RESULT}/"
END_PREFIX = f"{StepKeyKind.END}/"

_RESTORE_ORDER = {StepKeyKind.STEP: 0, StepKeyKind.END: 1, StepKeyKind.RESULT: 2}


class StepKey(NamedTuple):
    """A key of the log that belongs to a step.

    Attributes
    ----------
    text
        The key as it is in the log.
    position
        Position of a result; 0 otherwise.
    """

    text: str
    kind: StepKeyKind
    step: str
    position: int = 0


def step_key(step: str) -> str:
    """Return the key of a step's acceptance."""
    return f"{STEP_PREFIX}{step}"


def result_key(step: str, position: int) -> str:
    """Return the key of a result."""
    return f"{RESULT_PREFIX}{step}/{position:06d}"


def end_key(step: str) -> str:
    """Return the key of a step's end."""
    return f"{END_PREFIX}{step}"


def read_key(key: str) -> StepKey:
    """Parse a key; raises `ValueError` if it is no key of a step.

    A step's identifier may contain slashes; a position never does.
    """
    name, _, rest = key.partition("/")
    kind = StepKeyKind(name)
    if kind is not StepKeyKind.RESULT:
        return StepKey(key, kind, rest)
    step, _, position = rest.rpartition("/")
    return StepKey(key, kind, step, int(position))


def restore_order(key: str) -> int:
    """Return a sort key: steps first, then their ends, then results."""
    return _RESTORE_ORDER[StepKeyKind(key.partition("/")[0])]


def keys_of_ended_steps(keys: Collection[str]) -> set[str]:
    """Return the keys of steps that have ended and of their results, which are not needed soon."""
    ended = {key.removeprefix(END_PREFIX) for key in keys if key.startswith(END_PREFIX)}
    return {key for key in keys if _step_of(key) in ended}


def _step_of(key: str) -> str | None:
    """Return the step whose acceptance or result a key is; None for any other key."""
    if key.startswith(STEP_PREFIX):
        return key.removeprefix(STEP_PREFIX)
    if key.startswith(RESULT_PREFIX):
        return key.removeprefix(RESULT_PREFIX).rpartition("/")[0]
    return None
