"""Runners that keep work of a lost leader send nothing of a step that its successor has ended."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import curio
import pytest

from pondtiller.gateway.process import GatewayProcess
from pondtiller.gateway.tests.system import System, run_system
from pondtiller.gateway.tests.test_ended_steps import (
    CANCEL_SECONDS,
    PLAN_SECONDS,
    Scorers,
    end_step,
    until_asked,
)
from pondtiller.gateway.tests.test_held_runs import cut_from_replicas, end_process
from pondtiller.routes import live_attempts

Change = Callable[[GatewayProcess], None]


def answers(_runner: GatewayProcess) -> None:
    """Leave a runner as it is."""


def has_no_answer(runner: GatewayProcess) -> None:
    """Let no offer of a runner be answered."""
    held = runner.run_host.held
    assert held is not None

    async def silent(*_given: object) -> None:
        await curio.sleep(PLAN_SECONDS)

    held._ask_leader = silent


@pytest.mark.parametrize("lose", [end_process, cut_from_replicas])
@pytest.mark.parametrize("change", [answers, has_no_answer])
def test_no_kept_work_of_an_ended_step_arrives_late(
    change: Change,
    lose: Callable[[System, GatewayProcess], Any],
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(live_attempts, "MIN_SCORER_SECONDS", PLAN_SECONDS)

    async def test(system: System) -> None:
        scorers = Scorers(system)
        leader = await until_asked(system, scorers)
        others = [each for each in system.gateways if each is not leader]
        for each in others:
            change(each)
        await lose(system, leader)
        await system.until(lambda: any(each.duties.term for each in others))
        acknowledged = await end_step(system, system.gateways.index(others[0]))
        await curio.sleep(CANCEL_SECONDS + 1.0)
        assert scorers.arrived_after(acknowledged + CANCEL_SECONDS) == 0

    run_system(tmp_path, test, gateways=3)
