"""Usage reports of a small system."""

import json
from pathlib import Path

import curio

from pondtiller.gateway.process import GatewayProcess
from pondtiller.gateway.tests.system import System, run_system
from pondtiller.gateway.tests.test_tenants import ANN, BOB, KEYS, put_tenants, until_in_force

WINDOW = 1.0


async def until_tenants(system: System) -> GatewayProcess:
    put_tenants(system, 3, KEYS)
    await until_in_force(system, 3)
    return await system.until_led()


async def ask(system: System, number: int, key: str, gateway: int = 0) -> None:
    answer = await system.call(
        "POST", "/quote/x", b"q", gateway, request_id=f"q{number}", credential=key
    )
    assert answer.status == 200


def total(system: System) -> dict[str, int]:
    found: dict[str, int] = {}
    for counts in system.operator.taken().values():
        for tenant, count in counts.items():
            found[tenant] = found.get(tenant, 0) + count
    return found


def test_each_request_is_reported_once_whoever_served_it(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        await until_tenants(system)
        # The first answer of every second report is lost, so it is sent again.
        system.operator.next_statuses = [200, 0, 429, 200, 0]
        for number in range(12):
            await ask(system, number, ANN if number % 3 else BOB, number % 2)
            await curio.sleep(0.2)
        await system.until(lambda: total(system) == {"ann": 8, "bob": 4}, 12.0)
        holders = {holder for holder, _, _ in system.operator.reports}
        assert len(holders) == 1
        windows = sorted(system.operator.taken())
        assert windows == list(range(windows[0], windows[-1] + 1))

    run_system(tmp_path, test, gateways=2, with_configuration=False, use_window=WINDOW)


def test_items_of_steps_and_their_scorers_are_not_reported(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        await until_tenants(system)
        body = json.dumps({"requests": []}).encode()
        await system.call("POST", "/rollout/x", body, 0, "train.example", credential=ANN)
        await ask(system, 1, BOB)
        await system.until(lambda: total(system) == {"bob": 1}, 12.0)

    run_system(tmp_path, test, with_configuration=False, use_window=WINDOW)


def test_a_successor_reports_the_counts_of_a_leader_that_ended(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        leader = await until_tenants(system)
        other = next(each for each in system.gateways if each is not leader)
        for number in range(4):
            await ask(system, number, ANN, system.gateways.index(leader))
        await system.until(
            lambda: leader.duties.term is not None and any(leader.duties.term.usage.reports.tallies)
        )
        await leader.stop()
        await system.until(lambda: other.duties.term is not None)
        await system.until(lambda: total(system) == {"ann": 4}, 20.0)
        fences = [fence for _, fence, _ in system.operator.reports]
        assert fences == sorted(fences)

    run_system(tmp_path, test, gateways=2, with_configuration=False, use_window=WINDOW)
