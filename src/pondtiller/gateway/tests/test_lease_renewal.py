"""A leader that nobody replaced during its pause keeps its term and its runs."""

import time
from pathlib import Path

import curio
import pytest

from pondtiller.address import Address
from pondtiller.gateway.leader.run_links import KEEP_SECONDS, RunnerLink
from pondtiller.gateway.tests.system import System, run_system
from pondtiller.gateway.tests.test_held_runs import EVENTS, running
from pondtiller.gateway.tests.test_runs_elsewhere import ORDER, FakeLink, texts
from pondtiller.process import clock
from pondtiller.rollouts.runner_choice import Daemon
from pondtiller.steplog.replica import LEASE_SECONDS
from pondtiller.wire.steplog import KeepRuns


@pytest.mark.parametrize("seconds", [LEASE_SECONDS - 0.1, LEASE_SECONDS + 0.1, 2 * LEASE_SECONDS])
def test_a_pause_longer_than_the_lease_ends_no_term_and_no_run(
    seconds: float, tmp_path: Path
) -> None:
    """Guards against a change of leader that nobody needs, with all runs offered again."""

    async def test(system: System) -> None:
        leader, _ = await running(system)
        epoch = leader.duties.term.epoch
        for each in system.gateways:
            if each is not leader:
                each.leadership._has_resigned = True
        for _ in range(2):
            time.sleep(seconds)
            assert not leader.leadership.log.holds_lease(clock.monotonic())
            await curio.sleep(0.3)
        texts(await system.read_all("s1", 4), EVENTS)
        assert (leader.metrics.takeovers, leader.duties.term.epoch) == (1, epoch)
        assert sum(len(each.seen) for each in system.llm) == 4

    run_system(tmp_path, test, gateways=3)


def test_a_leader_without_its_lease_keeps_no_runner_from_a_successor() -> None:
    """Guards against runs that go on for a leader while its successor begins them anew."""

    async def main() -> None:
        link, holds = FakeLink(), [False]
        daemon = Daemon("d", "z", Address("10.0.0.1", 1), 1.0)
        runner = RunnerLink(daemon, link, 5, lambda *_: None, holds_lease=lambda: holds[0])
        serving = await curio.spawn(runner.serve)
        run = await curio.spawn(runner.run, ORDER, lambda *event: True)
        await curio.sleep(2 * KEEP_SECONDS)
        assert link.of(KeepRuns) == []
        holds[0] = True
        await curio.sleep(0.1)
        assert len(link.of(KeepRuns)) == 1
        await run.cancel()
        await link.drop()
        await serving.join()

    curio.run(main)
