"""A configuration is in force within its bound, whichever way to it gives no answer."""

from pathlib import Path

import curio
import pytest

from pondtiller.gateway.process import GatewayProcess
from pondtiller.gateway.tests import test_mirrored_store
from pondtiller.gateway.tests.system import System, run_system
from pondtiller.platform import names
from pondtiller.platform.object_client import StoreChanges
from pondtiller.process import clock
from pondtiller.settings import News
from pondtiller.standins.documents import configuration
from pondtiller.store import mirror as mirrors
from pondtiller.store import store_watch

few_followers = test_mirrored_store.few_followers
"""Replicas mirror for as few gateways as a test has."""
BOUNDS_SECONDS = (2.0, 3.0, 4.0)
"""What the users' deployments give from the acknowledgement until a version is in force."""
LATEST_SECONDS = 12.0


async def seconds_until_in_force(system: System, *gateways: GatewayProcess) -> float:
    """Change the configuration; return how long until the last gateway acts on it."""
    began = clock.monotonic()
    system.store.put("config", "main", configuration(9, *system.app, *system.llm))
    for each in gateways:
        front = each.front
        await system.until(lambda front=front: front.table.version == 9, LATEST_SECONDS)
    return clock.monotonic() - began


async def until_asked(system: System, gateway: GatewayProcess) -> None:
    """Wait until a gateway's next call for changes of the configuration has just begun."""
    watch, asked = gateway.store.watch, curio.Event()

    async def noted(kind: str, at: int, wait_seconds: float) -> StoreChanges:
        if kind == names.CONFIGURATIONS:
            await asked.set()
        return await watch(kind, at, wait_seconds)

    gateway.store.watch = noted  # type: ignore[method-assign]
    await asked.wait()
    await curio.sleep(0.05)


@pytest.mark.parametrize("bound", BOUNDS_SECONDS)
def test_a_call_that_gets_no_answer_does_not_keep_a_version_out_of_force(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, bound: float
) -> None:
    monkeypatch.setattr(mirrors, "FEWEST_FOLLOWERS", 1000)
    monkeypatch.setattr(store_watch, "SHORTEST_FIRST_WATCH_SECONDS", 0.5)
    monkeypatch.setattr(store_watch.random, "uniform", lambda shortest, _longest: shortest)

    async def test(system: System) -> None:
        leader = await system.until_led()
        gateway = next(each for each in system.gateways if each is not leader)
        # Kept connections turn silent too, also those that no call uses.
        for _connection in range(3):
            await curio.spawn(gateway.store.list_all, "config", daemon=True)
        await until_asked(system, gateway)
        system.store.silence_open_connections()
        assert await seconds_until_in_force(system, gateway) < bound

    run_system(tmp_path, test, gateways=2, news=News(configuration=bound))
