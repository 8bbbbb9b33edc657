"""Parses engines' list entries, defensively: another writer may leave an incomplete one.

An entry that lacks a field, or has one of the wrong type or out of range, names no usable engine.
"""

from collections.abc import Callable
from typing import Any

from pondtiller.platform.values import (
    MAX_COUNT,
    MAX_DURATION_MS,
    MAX_INTEGER,
    MAX_NAME_CHARACTERS,
    address,
    is_whole,
    started_ms,
)
from pondtiller.routes.engines import EngineEntry, EngineState

STATES = {"ready": EngineState.READY, "draining": EngineState.LEAVING}


def _is_text(given: Any) -> bool:
    return isinstance(given, str) and 0 < len(given) <= MAX_NAME_CHARACTERS


def _is_count(given: Any) -> bool:
    return is_whole(given) and 0 <= given <= MAX_INTEGER


def _is_duration(given: Any) -> bool:
    is_number = isinstance(given, int | float) and not isinstance(given, bool)
    return is_number and 0 <= given <= MAX_DURATION_MS


def _is_address(given: Any) -> bool:
    try:
        address(given)
    except ValueError:
        return False
    return True


def _are_models(given: Any) -> bool:
    return isinstance(given, list) and all(_is_model(each) for each in given)


def _is_model(given: Any) -> bool:
    if not isinstance(given, dict):
        return False
    return _is_text(given.get("name")) and _is_count(given.get("version"))


REQUIRED: dict[str, Callable[[Any], bool]] = {
    "service": _is_text,
    "address": _is_address,
    "zone": _is_text,
    "version": _is_text,
    "slots": lambda given: is_whole(given) and 1 <= given <= MAX_COUNT,
    "state": lambda given: _is_text(given) and given in STATES,
    "cold_left_ms": _is_duration,
    "sequence": _is_count,
}
OPTIONAL: dict[str, Callable[[Any], bool]] = {"models": _are_models}


def problem_of(spec: Any) -> str:
    """Return which field makes an entry invalid; empty if it is valid."""
    if not isinstance(spec, dict):
        return "no entry"
    wrong = [name for name, is_sound in REQUIRED.items() if not is_sound(spec.get(name))]
    wrong += [
        name
        for name, is_sound in OPTIONAL.items()
        if spec.get(name) is not None and not is_sound(spec[name])
    ]
    return ",".join(wrong)


def engine_entry(name: str, spec: Any, revision: int = 0) -> EngineEntry | None:
    """Parse an engine's list entry, written at a revision; None if it is invalid."""
    if problem_of(spec):
        return None
    return EngineEntry(
        engine=name,
        service=spec["service"],
        address=address(spec["address"]),
        zone=spec["zone"],
        slots=spec["slots"],
        state=STATES[spec["state"]],
        models={each["name"]: each["version"] for each in spec.get("models") or ()},
        cold_seconds=spec["cold_left_ms"] / 1000.0,
        is_spot=spec.get("use_spot") is True,
        leaves_seconds=_leaves_seconds(spec.get("leaves_ms")),
        started_ms=started_ms(spec.get("born")),
        revision=revision,
    )


def _leaves_seconds(given: Any) -> float | None:
    """Return how long an engine will still run; None if that is missing or not a valid number."""
    return given / 1000.0 if _is_duration(given) else None
