"""The two programs of a deployment: settings, start, reload and stop as separate processes."""

import http.client
import os
import re
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from cleo.testers.command_tester import CommandTester

from pondtiller.cli.deployed import GatewayCommand, ReplicaCommand

ROOT = Path(__file__).resolve().parents[4]
GATEWAY = """
name = "g"
zone = "z"
callers = "127.0.0.1:0"
readiness = "127.0.0.1:0"
links = "127.0.0.1:0"
store = "127.0.0.1:9"
"""


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("name = 3", "name"),
        (GATEWAY + "colour = 1", "colour"),
        (GATEWAY.replace('"127.0.0.1:9"', '"nowhere"'), "store"),
        (GATEWAY + "[durations]\nstop = -1", "durations.stop"),
        ("= 3", "syntax"),
    ],
)
def test_wrong_settings_are_named_by_file_and_key(tmp_path: Path, text: str, key: str) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(text)
    tester = CommandTester(GatewayCommand())
    assert tester.execute(f"--settings {path}") == 2
    assert f"{path}: {key}: " in tester.io.fetch_error()


def test_a_missing_file_and_a_missing_option_are_reported(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv("PONDTILLER_SETTINGS", raising=False)
    assert CommandTester(ReplicaCommand()).execute("") == 2
    assert CommandTester(ReplicaCommand()).execute(f"--settings {tmp_path / 'none'}") == 2


def wait_for(lines: "subprocess.Popen[str]", pattern: str) -> re.Match[str]:
    assert lines.stdout is not None
    give_up = time.monotonic() + 15.0
    while time.monotonic() < give_up:
        found = re.search(pattern, lines.stdout.readline())
        if found is not None:
            return found
    raise AssertionError(f"no line with {pattern}")


def test_a_gateway_starts_reloads_and_stops_as_a_process(tmp_path: Path) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(GATEWAY)
    process = subprocess.Popen(
        [sys.executable, str(ROOT / "deploy" / "run.py"), "gateway"],
        env={**os.environ, "PONDTILLER_SETTINGS": str(path)},
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        started = wait_for(process, r"event=started .*readiness=127\.0\.0\.1:(\d+)")
        connection = http.client.HTTPConnection("127.0.0.1", int(started.group(1)), timeout=5)
        connection.request("GET", "/pondtiller/readyz")
        assert connection.getresponse().status == 503
        connection.close()
        path.write_text(GATEWAY + "losses = 2\n")
        process.send_signal(signal.SIGHUP)
        wait_for(process, "event=reloaded daemon=g changed=True")
        path.write_text("name = 1")
        process.send_signal(signal.SIGHUP)
        wait_for(process, "event=settings_refused")
        process.send_signal(signal.SIGTERM)
        wait_for(process, "event=stopped daemon=g")
        assert process.wait(10.0) == 0
    finally:
        process.kill()
        process.wait()
