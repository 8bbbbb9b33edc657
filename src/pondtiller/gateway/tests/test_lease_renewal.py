"""A leader that was not replaced during its pause keeps its term and its runs."""

import time
from pathlib import Path

import curio
import pytest

from pondtiller.address import Address
from pondtiller.gateway.leader.run_links import KEEP_RUNS_SECONDS, RunnerLink
from pondtiller.gateway.runs.leaderless_runs import CHECK_SECONDS
from pondtiller.gateway.tests.system import System, run_system
from pondtiller.gateway.tests.test_held_runs import BEGIN, EVENTS, LONG_SECONDS, World, running
from pondtiller.gateway.tests.test_runs_elsewhere import ORDER, FakeLink, texts
from pondtiller.process import clock
from pondtiller.rollouts.run_holding import LEADER_SILENT_SECONDS, RETURNED_LEADER_SECONDS
from pondtiller.rollouts.runner_choice import Daemon
from pondtiller.steplog.replica import LEASE_SECONDS
from pondtiller.wire.steplog import BeginRun, KeepRuns


@pytest.mark.parametrize("seconds", [LEASE_SECONDS - 0.1, LEASE_SECONDS + 0.1, 2 * LEASE_SECONDS])
def test_a_pause_longer_than_the_lease_ends_no_term_and_no_run(
    seconds: float, tmp_path: Path
) -> None:
    """Guards against an unnecessary change of leader, in which all runs are offered again."""

    async def test(system: System) -> None:
        leader, _ = await running(system)
        epoch = leader.duties.term.epoch
        for each in system.gateways:
            if each is not leader:
                each.leadership._has_resigned = True
        for _ in range(2):
            time.sleep(seconds)
            log = leader.leadership.log
            assert not log.holds_lease(clock.monotonic())
            await system.until(lambda log=log: log.holds_lease(clock.monotonic()))
            await curio.sleep(0.3)
        texts(await system.read_all("s1", 4), EVENTS)
        assert (leader.metrics.takeovers, leader.duties.term.epoch) == (1, epoch)
        assert sum(len(each.seen) for each in system.llm) == 4

    run_system(tmp_path, test, gateways=3)


def test_a_leader_without_its_lease_keeps_no_runner_from_a_successor() -> None:
    """Guards against runs that continue for a leader while its successor starts them again."""

    async def main() -> None:
        link, holds = FakeLink(), [False]
        daemon = Daemon("d", "z", Address("10.0.0.1", 1), 1.0)
        runner = RunnerLink(daemon, link, 5, lambda *_: None, holds_lease=lambda: holds[0])
        serving = await curio.spawn(runner.serve)
        run = await curio.spawn(runner.run, ORDER, lambda *event: True)
        await curio.sleep(2 * KEEP_RUNS_SECONDS)
        assert link.of(KeepRuns) == []
        holds[0] = True
        await curio.sleep(0.1)
        assert len(link.of(KeepRuns)) == 1
        await run.cancel()
        await link.drop()
        await serving.join()

    curio.run(main)


@pytest.mark.parametrize("is_named", [True, False])
def test_a_runner_offers_its_runs_to_a_leader_that_returns_from_a_pause(
    is_named: bool,
) -> None:
    """Guards against runs that end just before their leader asks for them again."""

    async def main() -> None:
        world, first, second = World(), FakeLink(), FakeLink()
        world.epoch, world.leader_age = 5 if is_named else None, 1.0
        await world.host.handle(first, BEGIN)
        world.host.by_link[first].last_message_at -= LEADER_SILENT_SECONDS
        await world.host.lost(first)
        await curio.sleep(3 * CHECK_SECONDS)
        assert (world.host.runs, world.offers) == (1, [])
        world.epoch, world.leader_age = 5, 0.05
        while world.host.runs and not world.offers:
            await curio.sleep(0.01)
        assert [each.runs for each in world.offers] == [[1]]
        again = BeginRun(epoch=5, run=1, engine="e", sample="s", held_epoch=5, held_run=1)
        await world.host.handle(second, again)
        await curio.sleep(0.05)
        assert (world.host.runs, world.engine.working, world.held.runs) == (1, 1, {})

    curio.run(main)


@pytest.mark.parametrize("answer", ["not taken", "none"])
def test_runs_end_if_a_returned_leader_does_not_take_them(answer: str) -> None:
    async def main() -> None:
        world, link = World(), FakeLink()
        world.epoch, world.leader_age, world.takes = 5, 1.0, False
        if answer == "none":

            async def hangs(*_given: object) -> None:
                await curio.sleep(LONG_SECONDS)

            world.held._ask_leader = hangs
        await world.host.handle(link, BEGIN)
        world.host.by_link[link].last_message_at -= LEADER_SILENT_SECONDS
        await world.host.lost(link)
        await curio.sleep(2 * CHECK_SECONDS)
        world.leader_age = 0.05
        await curio.sleep(2 * CHECK_SECONDS + RETURNED_LEADER_SECONDS)
        assert (world.host.runs, world.engine.working) == (0, 0)

    curio.run(main)
