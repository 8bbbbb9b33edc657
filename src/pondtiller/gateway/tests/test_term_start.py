"""The first second of a term: tasks that need no earlier texts do not wait for them."""

from collections.abc import Iterable
from pathlib import Path

import curio
import pytest

from pondtiller.gateway.leader.unfinished_texts import UnfinishedTexts
from pondtiller.gateway.tests.system import System, run_system

SLOW_SECONDS = 1.5


def read_texts_slowly(monkeypatch: pytest.MonkeyPatch) -> None:
    usual = UnfinishedTexts.read

    async def slowly(texts: UnfinishedTexts, samples: Iterable[str]) -> None:
        await curio.sleep(SLOW_SECONDS)
        await usual(texts, samples)

    monkeypatch.setattr(UnfinishedTexts, "read", slowly)


def test_engines_are_ordered_and_runners_found_while_texts_are_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Trainers wait for the newest weights, which are loaded while texts are being read."""
    read_texts_slowly(monkeypatch)

    async def test(system: System) -> None:
        system.store.put("versions", "m", {"model": "m", "version": 2})
        leader = await system.until_led()
        term = leader.duties.term
        assert await system.submit("s1", oldest=2) == 202
        await system.until(lambda: all(each.orders for each in system.llm), SLOW_SECONDS)
        await system.until(lambda: len(term.runners.links) >= 1, SLOW_SECONDS)
        assert not term.scheduler.work, "samples wait for the texts that were made of them"
        for engine in system.llm:
            system.store.put("servers", engine.identifier, engine.entry())
        found = await system.read_all("s1", 4)
        assert all(each["versions"] == [2] for each in found)

    run_system(tmp_path, test, gateways=2)
