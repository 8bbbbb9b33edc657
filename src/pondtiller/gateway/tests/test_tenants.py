"""Tenants' keys: access, what engines are told, and that keys do not leave the gateway."""

import json
from pathlib import Path

import curio
import logbook
import pytest

from pondtiller.gateway.tests.system import System, run_system
from pondtiller.settings import Keys
from pondtiller.standins.documents import configuration, step_body, with_tenants

KEYS = {"ann": ["key-of-ann-1", "key-of-ann-2"], "bob": ["key-of-bob-1"]}
ANN, ANN_OTHER, BOB = "key-of-ann-1", "key-of-ann-2", "key-of-bob-1"


def put_tenants(system: System, version: int, keys: dict[str, list[str]]) -> None:
    table = configuration(version, *system.app, *system.llm)
    system.store.put("config", "main", with_tenants(table, keys, public=("listings",)))


async def until_in_force(system: System, version: int) -> None:
    def is_in_force() -> bool:
        tables = [each.front.table for each in system.gateways]
        return all(table is not None and table.version >= version for table in tables)

    await system.until(is_in_force)


def seen_at(engines: list) -> list[tuple[str, str, dict[str, str]]]:
    return [each for engine in engines for each in engine.seen]


async def submit(system: System, step: str, key: str, gateway: int = 0) -> int:
    body = json.dumps(step_body(step, 2, 1)).encode()
    answer = await system.call(
        "POST", "/rollout/x", body, gateway, "train.example", request_id=step, credential=key
    )
    return answer.status


async def step_call(system: System, method: str, target: str, key: str, gateway: int = 0):
    return await system.call(method, target, b"", gateway, "train.example", credential=key)


@pytest.mark.parametrize(
    "headers",
    [{}, {"credential": ""}, {"credential": "nobody"}, {"credential": "Bearer key-of-ann-1"}],
    ids=["missing", "empty", "unknown", "with a scheme"],
)
def test_a_request_without_a_known_key_is_refused_and_reaches_no_engine(
    tmp_path: Path, headers: dict[str, str]
) -> None:
    async def test(system: System) -> None:
        put_tenants(system, 3, KEYS)
        await until_in_force(system, 3)
        answer = await system.call("POST", "/quote/x", b"q", request_id="q1", **headers)
        assert answer.status == 401
        assert not seen_at(system.app)

    run_system(tmp_path, test, with_configuration=False)


def test_two_keys_in_one_request_are_none(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        put_tenants(system, 3, KEYS)
        await until_in_force(system, 3)
        connection = await system.client.open_plain(system.callers())
        headers = (("Host", "app.example"), ("Credential", ANN), ("Credential", BOB))
        await connection.send_plain("POST", "/quote/x", b"q", headers)
        assert (await connection.read_head()).status_code == 401
        await connection.close()
        assert not seen_at(system.app)

    run_system(tmp_path, test, with_configuration=False)


def test_a_key_in_a_malformed_head_is_not_returned_in_the_error(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        put_tenants(system, 3, KEYS)
        await until_in_force(system, 3)
        place = system.callers()
        stream = await curio.open_connection(place.host, place.port)
        await stream.sendall(b"POST /quote/x HTTP/1.1\r\nCredential key-of-ann-1\r\n\r\n")
        answer = await stream.recv(65_536)
        await stream.close()
        assert answer.startswith(b"HTTP/1.1 400 ")
        assert ANN.encode() not in answer

    run_system(tmp_path, test, with_configuration=False)


def test_engines_get_the_keys_tenant_and_not_the_callers_claim(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        put_tenants(system, 3, KEYS)
        await until_in_force(system, 3)
        answer = await system.call(
            "POST", "/quote/x", b"q", request_id="q1", credential=ANN, tenant_id="bob"
        )
        assert answer.status == 200
        [(_, _, headers)] = seen_at(system.app)
        assert headers["tenant-id"] == "ann"
        assert "credential" not in headers

    run_system(tmp_path, test, with_configuration=False)


def test_public_rows_need_no_key_and_forward_none(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        put_tenants(system, 3, KEYS)
        await until_in_force(system, 3)
        answer = await system.call(
            "POST", "/list/x", b"q", request_id="q1", credential=ANN, tenant_id="bob"
        )
        assert answer.status == 200
        [(_, _, headers)] = seen_at(system.app)
        assert "tenant-id" not in headers
        assert "credential" not in headers

    run_system(tmp_path, test, with_configuration=False)


def test_a_step_is_its_tenants_and_another_finds_nothing(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        put_tenants(system, 3, KEYS)
        await until_in_force(system, 3)
        await system.until_led()
        assert await submit(system, "s", ANN) == 202
        read, end, body = "/pondtiller/lots/s", "/pondtiller/lots/s", "/pondtiller/items/s?id=s-0"
        assert (await step_call(system, "GET", read, ANN_OTHER)).status == 200
        assert (await step_call(system, "GET", read, BOB)).status == 404
        assert (await step_call(system, "DELETE", end, BOB)).status == 404
        assert (await step_call(system, "GET", body, BOB)).status == 404
        assert (await step_call(system, "GET", body, ANN)).body == b"prompt"
        assert (await step_call(system, "GET", read, "nobody")).status == 401
        # The same identifier names another step for another tenant, and reveals nothing.
        assert await submit(system, "s", BOB) == 202
        assert (await step_call(system, "DELETE", end, BOB)).status == 200

        async def listed() -> int:
            answer = await step_call(system, "GET", read, ANN)
            return len(answer.json()["results"])

        while await listed() < 2:
            await curio.sleep(0.05)
        tenants = {
            headers.get("tenant-id")
            for name, _, headers in seen_at(system.llm)
            if name.startswith("s-")
        }
        assert "ann" in tenants and tenants <= {"ann", "bob"}
        scorers = [headers for name, _, headers in seen_at(system.app) if name.endswith("-score")]
        assert scorers and not any("tenant-id" in each for each in scorers)

    run_system(tmp_path, test, with_configuration=False)


def test_a_revoked_key_is_rejected_and_its_steps_continue(tmp_path: Path) -> None:
    async def test(system: System) -> None:
        put_tenants(system, 3, KEYS)
        await until_in_force(system, 3)
        await system.until_led()
        assert await submit(system, "s", ANN) == 202
        put_tenants(system, 4, {"ann": [ANN_OTHER], "bob": KEYS["bob"]})
        await until_in_force(system, 4)
        refused = await system.call("POST", "/quote/x", b"q", request_id="q1", credential=ANN)
        assert refused.status == 401
        assert (await step_call(system, "GET", "/pondtiller/lots/s", ANN)).status == 401
        assert (await step_call(system, "GET", "/pondtiller/lots/s", ANN_OTHER)).status == 200
        # An older version does not restore the key.
        put_tenants(system, 3, KEYS)
        await curio.sleep(0.3)
        again = await system.call("POST", "/quote/x", b"q", request_id="q2", credential=ANN)
        assert again.status == 401

    run_system(tmp_path, test, with_configuration=False)


def test_no_key_leaves_the_gateway(tmp_path: Path) -> None:
    """Engines, logs, metrics, the replicas' files and the store's own kinds contain no key."""

    async def test(system: System) -> None:
        put_tenants(system, 3, KEYS)
        await until_in_force(system, 3)
        await system.until_led()
        await system.call("POST", "/quote/x", b"q", request_id="q1", credential=ANN)
        await system.call("POST", "/quote/x", b"q", request_id="q2", credential="guessed-key")
        assert await submit(system, "s", BOB) == 202
        target = "/pondtiller/lots/s"
        while len((await step_call(system, "GET", target, BOB)).json()["results"]) < 2:
            await curio.sleep(0.05)
        places = {
            "engines": json.dumps(seen_at([*system.app, *system.llm])),
            "metrics": "".join(each.pages.render_metrics().decode() for each in system.gateways),
            "store": json.dumps(
                {kind: each for kind, each in system.store.kinds.items() if kind != "config"}
            ),
            "files": "".join(
                path.read_bytes().decode("latin-1")
                for path in tmp_path.rglob("*")
                if path.is_file()
            ),
            "mirrors": repr([replica.server.mirror.kinds for replica in system.replicas]),
            "tables": repr([gateway.front.table for gateway in system.gateways]),
        }
        places["log"] = "\n".join(record.message for record in log.records)
        assert "event=key_refused" in places["log"]
        for place, text in places.items():
            for key in (ANN, ANN_OTHER, BOB, "guessed-key"):
                assert key not in text, place

    log = logbook.TestHandler(level="DEBUG")
    with log.applicationbound():
        run_system(tmp_path, test, with_configuration=False)


@pytest.mark.parametrize("fails_closed", [True, False])
def test_without_store_contact_keys_are_rejected_only_if_the_settings_say_so(
    tmp_path: Path, fails_closed: bool
) -> None:
    async def test(system: System) -> None:
        put_tenants(system, 3, KEYS)
        await until_in_force(system, 3)
        # Without changes, the store still answers often enough.
        await curio.sleep(3.0)
        served = await system.call("POST", "/quote/x", b"q", request_id="q1", credential=ANN)
        assert served.status == 200
        system.store.is_down = True
        await curio.sleep(3.2)
        answer = await system.call("POST", "/quote/x", b"q", request_id="q2", credential=ANN)
        assert answer.status == (503 if fails_closed else 200)
        assert ("retry-after" in dict(answer.headers)) == fails_closed
        public = await system.call("POST", "/list/x", b"q", request_id="q3")
        assert public.status == 200
        system.store.is_down = False

        async def is_served() -> bool:
            again = await system.call("POST", "/quote/x", b"q", request_id="q4", credential=ANN)
            return again.status == 200

        await curio.sleep(2.0)
        assert await is_served()

    keys = Keys(fail_closed=fails_closed, unheard=3.0)
    run_system(tmp_path, test, with_configuration=False, keys=keys)
