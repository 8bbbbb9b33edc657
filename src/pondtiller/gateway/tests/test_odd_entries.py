"""Odd objects among those that a gateway follows: no task ends, and later changes are seen."""

import json
from pathlib import Path
from typing import Any

import curio
import logbook
import pytest

from pondtiller.gateway.tests.system import System, run_system
from pondtiller.gateway.tests.test_system import ready
from pondtiller.platform import names
from pondtiller.standins.documents import configuration
from pondtiller.standins.engine import StandInEngine

HUGE = 10**400
TEXTS = {
    "deep": "[" * 100_000 + "]" * 100_000,
    "deep_for_a_writer": "[" * 960 + "]" * 960,
    "deep_objects": '{"spec":' * 3_000 + "1" + "}" * 3_000,
    "infinite": '{"version":1e400,"generation":1e400,"until":1e400,"model":"m"}',
    "huge": json.dumps({"version": HUGE, "generation": HUGE, "until": HUGE}),
    "beyond_the_parser": '{"version":1' + "0" * 5_000 + "}",
    "long": json.dumps({"x": ["y" * 100] * 10_000}),
}
KINDS = (
    names.ENGINES,
    names.CONFIGURATIONS,
    names.VERSIONS_NAMED,
    names.RETIREMENTS,
    names.EVACUATIONS,
    names.REPLICAS,
    names.SUSPECTS,
)


def put_odd(system: System, text: str) -> None:
    """Write an odd object of each kind, between and among the sound ones."""
    for kind in KINDS:
        system.store.put_text(kind, "a0b", text)
    system.store.put_text(names.ENGINES, "a1", text)


async def check_followed(system: System) -> None:
    """Check that the other engines are in use, and that later changes take effect."""
    await ready(system)
    for number in range(6):
        answer = await system.call("POST", "/quote/7", b"x", request_id=f"q{number}")
        assert answer.status == 200
    added = StandInEngine("a2", "app")
    await system.group.spawn(added.serve)
    system.store.put(names.ENGINES, "a2", added.entry())
    system.store.put(names.CONFIGURATIONS, "main", configuration(9, *system.app, *system.llm))
    system.store.put(names.VERSIONS_NAMED, "m", {"model": "m", "version": 2})
    gateway = system.gateways[0]
    await system.until(lambda: gateway.engines.current("a2") is not None)
    await system.until(lambda: gateway.front.table.version == 9)
    await system.until(lambda: all(engine.version == 2 for engine in system.llm))


def check_logs(handler: logbook.TestHandler) -> None:
    """Check that no task failed, and that each odd object was logged once for each reader."""
    lines = [record.message for record in handler.records]
    assert not [line for line in lines if "event=task_failed" in line]
    odd = [line for line in lines if "event=entry_unreadable" in line]
    assert len({line.split("revision=")[0] for line in odd}) == len(odd)


@pytest.mark.parametrize("text", TEXTS.values(), ids=TEXTS)
@pytest.mark.parametrize("is_listed", [True, False])
def test_lists_with_an_odd_object_are_followed_further(
    tmp_path: Path, text: str, is_listed: bool
) -> None:
    """Guards against a gateway that follows a list no longer, or fails again and again."""

    async def test(system: System) -> None:
        if is_listed:
            put_odd(system, text)
        await ready(system)
        if not is_listed:
            put_odd(system, text)
        await check_followed(system)
        assert system.gateways[0].engines.current("a0b") is None

    with logbook.TestHandler(bubble=True) as handler:
        run_system(tmp_path, test, evacuate_within=5.0)
    check_logs(handler)


ODD_FIELDS: list[tuple[str, Any]] = [
    *(("address", f"127.0.0.1:{port}") for port in (0, -1, 65536, 99999999, "\u0663", "1" * 5_000)),
    *(
        ("address", f"{host}:80")
        for host in ("no-host", "127.0.0.256", "a" * 70 + ".b", "\0", "\ud800", "[::1")
    ),
    ("cold_left_ms", 10**400),
    ("cold_left_ms", 2**62),
    ("cold_left_ms", 1.5e300),
    ("slots", 10**400),
    ("slots", 2**62),
    ("sequence", 10**400),
    ("models", [{"name": "m", "version": 10**400}]),
    ("models", [{"name": "m", "version": 1}] * 10 + [{"name": "m", "version": -1}]),
    ("zone", "z" * 1_000_000),
    ("service", "\ud800"),
]


@pytest.mark.parametrize(
    ("field", "value"),
    ODD_FIELDS,
    ids=[f"{field}-{number}" for number, (field, _) in enumerate(ODD_FIELDS)],
)
def test_an_entry_with_an_odd_field_names_no_engine(
    tmp_path: Path, field: str, value: object
) -> None:
    """Guards against an entry that ends a reader, and against work for a place that is none."""

    async def test(system: System) -> None:
        await ready(system)
        sound = StandInEngine("odd", "app")
        system.store.put(names.ENGINES, "odd", {**sound.entry(), field: value})
        gateway = system.gateways[0]
        await system.until(lambda: gateway.watches.entries_unread > 0)
        await check_followed(system)
        assert gateway.engines.current("odd") is None

    with logbook.TestHandler(bubble=True) as handler:
        run_system(tmp_path, test)
    check_logs(handler)


def test_a_step_with_a_number_out_of_range_keeps_no_next_leader_from_its_samples(
    tmp_path: Path,
) -> None:
    """Guards against an accepted step that no later leader can parse."""
    sample = {"id": "x", "path": "/", "tokens": 1}
    odd = json.dumps({"step": HUGE, "model": "m", "requests": [sample]}).encode()

    async def test(system: System) -> None:
        await ready(system)
        leader = await system.until_led()
        first = system.gateways.index(leader)
        answer = await system.call(
            "POST", "/rollout/x", odd, first, "train.example", request_id="odd"
        )
        assert answer.status == 400
        await system.tasks[leader].cancel()
        other = 1 - first
        await system.until(lambda: system.gateways[other].duties.term is not None, 20.0)
        assert await system.submit("s1", gateway=other) == 202
        for _ in range(400):
            listed = await system.read("s1", gateway=other)
            if len(listed["results"]) == 4:
                return
            await curio.sleep(0.02)
        raise AssertionError("the samples were not made")

    run_system(tmp_path, test, gateways=2)
