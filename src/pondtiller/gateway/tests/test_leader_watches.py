"""A leader's store watches are restarted after an internal error."""

from pathlib import Path

import pytest

from pondtiller.gateway.tests.system import System, run_system
from pondtiller.platform import objects
from pondtiller.platform.object_client import StoreObject


def test_versions_are_followed_again_after_a_fault_in_reading_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against accepted steps that wait for a version which no engine is told to load."""
    usual, failed = objects.named_version, []

    def fails_once(found: StoreObject) -> objects.NamedVersion | None:
        if not failed:
            failed.append(found.name)
            raise ValueError("a fault")
        return usual(found)

    monkeypatch.setattr(objects, "named_version", fails_once)

    async def test(system: System) -> None:
        await system.until_led()
        system.store.put("versions", "m", {"model": "m", "version": 2})
        await system.until(lambda: all(engine.version == 2 for engine in system.llm))
        assert failed == ["m"]

    run_system(tmp_path, test)
