"""The commands as separate processes: stand-ins, three daemons, operators, load."""

import random
import re
import signal
import subprocess
import sys
import time

import curio
import httpx2 as httpx
import pytest

from pondtiller.address import Address
from pondtiller.serve.demo.load import LiveLoad
from pondtiller.serve.deployment import Traffic
from pondtiller.serve.emulator.text import expected_answer
from pondtiller.soak.ports import ReservedPorts

COMMAND = [sys.executable, "-c", "from pondtiller.cli.application import main; main()"]
START_SECONDS = 60.0
SETTINGS = """
name = "d{number}"
zone = "{zone}"
peer_port = {peer}
http_port = {http}
register_replicas = 3

[platform]
host = "127.0.0.1"
port = {platform}
scorer_host = "127.0.0.1"
scorer_port = {platform}
{peers}
"""
PEER = """
[[peers]]
name = "d{number}"
zone = "{zone}"
host = "127.0.0.1"
peer_port = {peer}
http_port = {http}
"""
ZONES = ("fukuoka-a", "kumamoto-b", "kitakyu-c")


def run(*arguments, code=0):
    done = subprocess.run([*COMMAND, *arguments], capture_output=True, text=True, timeout=60)
    assert done.returncode == code, done.stdout + done.stderr
    return done.stdout + done.stderr


@pytest.fixture(scope="module")
def platform():
    process = subprocess.Popen(
        [*COMMAND, "emulate", "--deployment", "kyushu"], stdout=subprocess.PIPE, text=True
    )
    first = process.stdout.readline()
    yield re.search(r"(127\.0\.0\.1:\d+)", first)[1]
    process.send_signal(signal.SIGINT)
    assert process.wait(30) == 0


@pytest.fixture(scope="module")
def daemons(platform, tmp_path_factory):
    folder = tmp_path_factory.mktemp("settings")
    reserved = ReservedPorts()
    ports = [reserved.port() for _ in range(6)]
    places = [
        {"number": n, "zone": ZONES[n], "peer": ports[2 * n], "http": ports[2 * n + 1]}
        for n in range(3)
    ]
    peers = "".join(PEER.format(**place) for place in places)
    started = []
    for place in places:
        path = folder / f"d{place['number']}.toml"
        port = platform.rpartition(":")[2]
        path.write_text(SETTINGS.format(platform=port, peers=peers, **place))
        run("check", str(path))
        (folder / f"data{place['number']}").mkdir()
        started.append(start_daemon(folder, place["number"]))
    urls = [f"http://127.0.0.1:{place['http']}" for place in places]
    wait_served(urls)
    yield urls, started, folder
    for process in started:
        process.send_signal(signal.SIGTERM)
    assert [process.wait(60) for process in started] == [0, 0, 0]


def start_daemon(folder, number):
    arguments = ["serve", "--settings", str(folder / f"d{number}.toml")]
    arguments += ["--data-folder", str(folder / f"data{number}")]
    with open(folder / f"d{number}.log", "a") as log:
        return subprocess.Popen([*COMMAND, *arguments], stderr=log)


def wait_served(urls):
    """Wait until every daemon serves a request that needs engines and registers."""
    end = time.monotonic() + START_SECONDS
    for number, url in enumerate(urls):
        while True:
            assert time.monotonic() < end, f"{url} does not serve"
            try:
                headers = {"Idempotency-Key": f"up{number}", "X-Run-At-Most-Once": "true"}
                body = {"model": "quote", "prompt": f"up {number}", "max_tokens": 4}
                sent = httpx.post(f"{url}/v1/completions", json=body, headers=headers, timeout=10)
                if sent.status_code == 200:
                    break
            except httpx.TransportError:
                pass
            time.sleep(0.1)


def test_a_request_passes_end_to_end(daemons):
    urls, _, _ = daemons
    for url in urls:
        body = {"model": "quote", "prompt": "a bracket", "max_tokens": 24}
        answer = httpx.post(f"{url}/v1/completions", json=body).json()
        assert answer["choices"][0]["text"] == expected_answer("a bracket", 24)


def test_a_table_edit_takes_effect_on_every_daemon(daemons, platform):
    urls, _, _ = daemons
    before = run("table", "export", "--platform", platform)
    assert "service,quote,quote-api" in before
    said = run("table", "set", "service/quote", "weight", "7.5", "--platform", platform)
    revision = int(re.search(r"revision (\d+)", said)[1])
    end = time.monotonic() + START_SECONDS
    for url in urls:
        while httpx.get(f"{url}/readyz").json()["table_revision"] < revision:
            assert time.monotonic() < end
            time.sleep(0.02)
    assert "service/quote weight" in run("table", "history", "--platform", platform)
    assert "7.5" in run("table", "show", "--platform", platform)


def test_same_cell_of_two_operators_conflicts_and_others_do_not(platform):
    arguments = ("table", "set", "trainer/drawing-policy", "weight", "3", "--seen", "9.0")
    said = run(*arguments, "--platform", platform, code=1)
    assert "you saw '9.0', it is now" in said
    run("table", "set", "trainer/drawing-policy", "worth", "2", "--platform", platform)


def test_apply_shows_the_difference_and_refuses_bad_files(platform, tmp_path):
    path = tmp_path / "table.csv"
    text = run("table", "export", "--platform", platform)
    path.write_text(text.replace("caller,estimator,,3.0,", "caller,estimator,,4.0,"))
    shown = run("table", "apply", str(path), "--dry-run", "--platform", platform)
    assert "caller/estimator weight: '3.0' -> '4.0'" in shown
    assert "caller/estimator weight" in run("table", "apply", str(path), "--platform", platform)
    assert "no difference" in run("table", "apply", str(path), "--platform", platform)
    path.write_text("kind,name\nservice,x\n")
    assert "'weight' is missing" in run("table", "apply", str(path), "--platform", platform, code=2)


def test_open_loop_load_gets_only_right_answers(daemons):
    urls, _, _ = daemons
    host, _, port = urls[0].removeprefix("http://").rpartition(":")
    traffic = Traffic(service="quote", caller="estimator", requests_a_second=30.0, maximum_tokens=8)
    load = LiveLoad([Address(host, int(port))], {}, random.Random())
    curio.run(load.run, (traffic,), 2.0)
    answered = [each.answered() for each in load.result.requests]
    assert any(answered)
    for request, answer in zip(load.result.requests, answered, strict=True):
        assert answer is None or answer.text == expected_answer(request.prompt, 8)


def test_a_killed_daemon_restarts_from_its_journal(daemons, platform):
    urls, started, folder = daemons
    started[2].kill()
    started[2].wait(30)
    started[2] = start_daemon(folder, 2)
    wait_served(urls)
    headers = {"Idempotency-Key": "up0", "X-Run-At-Most-Once": "true"}
    body = {"model": "quote", "prompt": "up 0", "max_tokens": 4}
    again = httpx.post(f"{urls[2]}/v1/completions", json=body, headers=headers, timeout=10)
    assert again.json()["choices"][0]["text"] == expected_answer("up 0", 4)


def test_an_unanswering_object_service_is_reported(tmp_path):
    reserved = ReservedPorts()
    said = run("table", "show", "--platform", f"127.0.0.1:{reserved.port()}", code=3)
    reserved.close()
    assert "object service" in said
