"""Engine entries as other writers may leave them: no incomplete one is used."""

import copy
import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pondtiller.platform import configuration, engine_entries, engine_orders, objects
from pondtiller.platform.object_client import StoreObject
from pondtiller.routes.engines import EngineState

ENTRY = {
    "service": "llm",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "sequence": 4,
    "born": 1_700_000_000_000,
}
ODD = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(allow_nan=True),
    st.text(max_size=5),
    st.just([]),
    st.just({}),
    st.just([None]),
    st.just([{"name": 3}]),
    st.just("10.0.0.9:99999999"),
    st.sampled_from([10**400, -(10**400), 2**63, 1e300, "name:80", "\0:80"]),
)


def changed(original: dict[str, Any], path: str, value: Any) -> dict[str, Any]:
    made = copy.deepcopy(original)
    made[path] = value
    return made


def test_a_valid_entry_is_parsed() -> None:
    read = engine_entries.engine_entry("e", ENTRY, 7)
    assert read is not None
    assert (read.slots, read.started_ms, read.models) == (8, 1_700_000_000_000, {"m": 1})
    assert read.state is EngineState.READY


@pytest.mark.parametrize(
    "field, value",
    [
        ("service", 7),
        ("service", ""),
        ("service", None),
        ("address", "10.0.0.9"),
        ("address", "10.0.0.9:0"),
        ("address", "10.0.0.9:70000"),
        ("address", ":80"),
        ("address", 80),
        ("zone", 5),
        ("zone", None),
        ("slots", "8"),
        ("slots", 0),
        ("slots", -1),
        ("slots", True),
        ("slots", None),
        ("state", "resting"),
        ("state", None),
        ("models", "m"),
        ("models", [{"name": "m"}]),
        ("models", [{"name": "m", "version": "x"}]),
        ("models", [{"name": 5, "version": 1}]),
        ("models", {"name": "m"}),
        ("models", [{"name": "m", "version": 2**63}]),
        ("address", "10.0.0.9:" + "1" * 5_000),
        ("address", "10.0.0.9:\u0663"),
        ("address", "10.0.0.256:80"),
        ("address", "name:80"),
        ("address", "\0:80"),
        ("address", "\ud800:80"),
        ("slots", 2**31),
        ("slots", 10**400),
        ("sequence", 10**400),
        ("cold_left_ms", 10**400),
        ("cold_left_ms", 1e300),
        ("cold_left_ms", float("nan")),
        ("zone", "z" * 1_000_000),
    ],
)
def test_an_entry_with_an_invalid_field_names_no_engine(field: str, value: object) -> None:
    assert engine_entries.engine_entry("e", changed(ENTRY, field, value), 7) is None


@pytest.mark.parametrize("field", ["service", "address", "zone", "slots", "state"])
def test_an_entry_without_a_field_names_no_engine(field: str) -> None:
    made = {name: value for name, value in ENTRY.items() if name != field}
    assert engine_entries.engine_entry("e", made, 7) is None


@pytest.mark.parametrize("spec", [None, 5, "x", [], [ENTRY], b"\xff"])
def test_a_value_that_is_no_entry_names_no_engine(spec: object) -> None:
    assert engine_entries.engine_entry("e", spec, 7) is None


@pytest.mark.parametrize("value", [None, True, -3, 0, "1700000000000", 1.5, [], {}])
def test_a_start_time_that_is_no_integer_is_unknown(value: object) -> None:
    read = engine_entries.engine_entry("e", changed(ENTRY, "born", value), 7)
    assert read is not None
    assert read.started_ms == 0


@given(field=st.sampled_from(sorted(ENTRY)), value=ODD)
def test_no_field_of_any_type_raises(field: str, value: object) -> None:
    read = engine_entries.engine_entry("e", changed(ENTRY, field, value), 7)
    if read is not None:
        assert read.service and read.slots >= 1 and 0 < read.address.port < 65536
        assert all(isinstance(version, int) for version in read.models.values())


@given(value=st.recursive(ODD, lambda each: st.dictionaries(st.text(max_size=8), each)))
def test_no_object_of_any_type_raises(value: object) -> None:
    found = StoreObject("x", 3, value)
    engine_entries.engine_entry("x", value, 3)
    objects.named_version(found)
    objects.read_group(found)
    objects.read_suspect(found)
    objects.is_retired(StoreObject("x", 3, None, value))
    configuration.route_table(value)
    engine_orders.engine_report(json.dumps(value, default=str).encode())
