"""Changes in the store take effect within their bounds although a call gets no answer."""

from pathlib import Path

import curio
import pytest

from pondtiller.gateway.process import GatewayProcess
from pondtiller.gateway.tests.system import System, run_system
from pondtiller.platform import names
from pondtiller.platform.object_client import (
    WATCH_MARGIN_SECONDS,
    StoreCallError,
    StoreChanges,
    StoreListing,
    StoreSilentError,
)
from pondtiller.process import clock
from pondtiller.settings import News
from pondtiller.standins.documents import configuration
from pondtiller.store import mirror as mirrors
from pondtiller.store import store_watch

BOUNDS_SECONDS = (2.0, 3.0, 4.0)
"""Bounds of deployments for a version, and for an engine that leaves."""
LATEST_SECONDS = 12.0
PAUSE_SECONDS = 0.05
"""From this length on a pause of the test's process is not counted as waiting time."""


class Stopwatch:
    """Measures the running time of the test's process."""

    def __init__(self, system: System) -> None:
        self._began = clock.monotonic()
        self._stalls = system.stalls
        self._before = len(system.stalls)

    def seconds(self) -> float:
        """Return the seconds since the start, without pauses of the process."""
        pauses = (each for each in self._stalls[self._before :] if each >= PAUSE_SECONDS)
        return clock.monotonic() - self._began - sum(pauses)


async def seconds_until_in_force(system: System, *gateways: GatewayProcess) -> float:
    """Change the configuration; return how long until the last gateway applies it."""
    watch = Stopwatch(system)
    system.store.put("config", "main", configuration(9, *system.app, *system.llm))
    for each in gateways:
        front = each.front
        await system.until(lambda front=front: front.table.version == 9, LATEST_SECONDS)
    return watch.seconds()


async def until_asked(gateway: GatewayProcess, kind: str) -> None:
    """Wait until a gateway's next call for changes of a kind has just started."""
    watch, asked = gateway.store.watch, curio.Event()

    async def noted(of_kind: str, at: int, wait_seconds: float) -> StoreChanges:
        if of_kind == kind:
            await asked.set()
        return await watch(of_kind, at, wait_seconds)

    gateway.store.watch = noted  # type: ignore[method-assign]
    await asked.wait()
    await curio.sleep(0.05)


class RejectingStore:
    """Replaces a gateway's calls to a store that rejects its machine."""

    def __init__(self, gateway: GatewayProcess, is_silent: bool) -> None:
        self._is_silent = is_silent
        self.asked = curio.Event()
        gateway.store.list_all = self.list_all  # type: ignore[method-assign]
        gateway.store.watch = self.watch  # type: ignore[method-assign]

    async def list_all(self, _kind: str) -> StoreListing:
        await self._fail(0.0)
        raise AssertionError

    async def watch(self, kind: str, _at: int, wait_seconds: float) -> StoreChanges:
        if kind == names.CONFIGURATIONS:
            await self.asked.set()
        await self._fail(wait_seconds)
        raise AssertionError

    async def _fail(self, wait_seconds: float) -> None:
        if not self._is_silent:
            raise StoreCallError("status 503")
        await curio.sleep(wait_seconds + WATCH_MARGIN_SECONDS)
        raise StoreSilentError("no answer in time")


async def silence(system: System, kind: str) -> GatewayProcess:
    """Make all connections silent when a gateway has just called; return that gateway."""
    leader = await system.until_led()
    gateway = next(each for each in system.gateways if each is not leader)
    # Kept connections become silent too, also those that no call uses.
    for _connection in range(3):
        await curio.spawn(gateway.store.list_all, "config", daemon=True)
    await until_asked(gateway, kind)
    system.store.silence_open_connections()
    return gateway


@pytest.fixture
def without_mirrors(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(mirrors, "MIN_FOLLOWERS", 1000)
    monkeypatch.setattr(store_watch, "MIN_FIRST_WATCH_SECONDS", 0.5)
    monkeypatch.setattr(store_watch.random, "uniform", lambda shortest, _longest: shortest)


@pytest.mark.usefixtures("without_mirrors")
@pytest.mark.parametrize("bound", BOUNDS_SECONDS)
def test_a_call_that_gets_no_answer_does_not_keep_a_version_out_of_force(
    tmp_path: Path, bound: float
) -> None:
    async def test(system: System) -> None:
        gateway = await silence(system, names.CONFIGURATIONS)
        assert await seconds_until_in_force(system, gateway) < bound

    run_system(tmp_path, test, gateways=2, news=News(configuration=bound))


@pytest.mark.usefixtures("without_mirrors")
@pytest.mark.parametrize("bound", BOUNDS_SECONDS)
def test_a_call_that_gets_no_answer_does_not_keep_a_leaving_engine_in_use(
    tmp_path: Path, bound: float
) -> None:
    async def test(system: System) -> None:
        gateway = await silence(system, names.ENGINES)
        watch = Stopwatch(system)
        system.store.put(names.ENGINES, "a0", system.app[0].entry("draining"))
        entry = gateway.engines.engines["a0"]
        await system.until(lambda: entry.entry.state.value == "leaving", LATEST_SECONDS)
        assert watch.seconds() < bound

    run_system(tmp_path, test, gateways=2, news=News(engines=bound))


@pytest.mark.usefixtures("without_mirrors")
@pytest.mark.parametrize("bound", BOUNDS_SECONDS)
@pytest.mark.parametrize("is_leader", [False, True])
@pytest.mark.parametrize("is_silent", [False, True])
def test_a_gateway_that_the_store_rejects_applies_a_version_that_others_have(
    tmp_path: Path, is_silent: bool, is_leader: bool, bound: float
) -> None:
    async def test(system: System) -> None:
        leader = await system.until_led()
        follower = next(each for each in system.gateways if each is not leader)
        gateway = leader if is_leader else follower
        await RejectingStore(gateway, is_silent).asked.wait()
        assert await seconds_until_in_force(system, gateway) < bound

    run_system(tmp_path, test, gateways=2, news=News(configuration=bound))
