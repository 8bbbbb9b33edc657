"""Measures what a daemon adds to a request, against straight to the engine, as processes.

Prints ratios from one run: latency added, processor time of the daemon a request and a
streamed token (from the operating system's accounting), and its resident memory at rest.

Sets no constant: it gives "request through a daemon" (0.36 ms) and the resident memory (55 MB at
rest, 57 MB after load) of docs/CAPACITY.md, against which a change's cost is held.
"""

import argparse
import json
import os
import re
import statistics
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import curio

from pondtiller.address import Address
from pondtiller.httpio.client import HttpClient

COMMAND = [sys.executable, "-c", "from pondtiller.cli.application import main; main()"]
DEPLOYMENT = """
name = "bench"
zones = ["a"]
daemons_a_zone = 1
[latencies]
between_zones_seconds = 0
clients_seconds = 0
[[engines]]
name = "fast"
count = 1
models = ["m"]
slots = 256
step_seconds = 0.00002
step_seconds_a_request = 0.0000001
chunk_tokens = {chunk}
[[table]]
kind = "service"
name = "s"
model = "m"
"""
SETTINGS = """
name = "d"
zone = "a"
http_port = {http}
register_replicas = 1
log_level = "error"
[platform]
host = "127.0.0.1"
port = {platform}
scorer_host = "127.0.0.1"
scorer_port = {platform}
"""
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True, slots=True)
class Route:
    """One way to the model: where to send, under which model name."""

    address: Address
    model: str


def processor_seconds(pid: int) -> float:
    """Return user and system time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_mebibytes(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES / 2**20


async def ask(client: HttpClient, path: Route, prompt: str, tokens: int, stream: bool) -> float:
    """Send one request and return its seconds."""
    body = {"model": path.model, "prompt": prompt, "max_tokens": tokens, "stream": stream}
    started = time.perf_counter()
    data = json.dumps(body).encode()
    response = await client.request(path.address, "POST", "/v1/completions", data, seconds=30)
    if response.status != 200:
        raise RuntimeError(response.body.decode())
    return time.perf_counter() - started


async def latencies(paths: list[Route], count: int) -> list[list[float]]:
    """Return seconds of requests one at a time, the paths in turn."""
    client = HttpClient()
    found: list[list[float]] = [[] for _ in paths]
    for number in range(count):
        for position, path in enumerate(paths):
            found[position].append(await ask(client, path, f"{number}", 4, stream=False))
    return found


async def throughput(path: Route, count: int, at_once: int, tokens: int, stream: bool) -> float:
    """Send requests, some at once, and return the seconds for all."""
    client = HttpClient()
    numbers = iter(range(count))

    async def work() -> None:
        for number in numbers:
            await ask(client, path, f"{number}", tokens, stream)

    started = time.perf_counter()
    async with curio.TaskGroup(wait=all) as group:
        for _ in range(at_once):
            await group.spawn(work)
    return time.perf_counter() - started


def quantile(values: list[float], fraction: float) -> float:
    """Return a quantile in milliseconds."""
    return sorted(values)[int(fraction * (len(values) - 1))] * 1e3


def main() -> None:
    """Start emulator and daemon, measure, print, and end both."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=1500)
    parser.add_argument("--chunk", type=int, default=16, help="tokens an engine sends at a time")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        deployment = Path(folder) / "bench.toml"
        deployment.write_text(DEPLOYMENT.format(chunk=options.chunk))
        emulate = [*COMMAND, "emulate", "--deployment", str(deployment)]
        emulator = subprocess.Popen(emulate, stdout=subprocess.PIPE, text=True)
        assert emulator.stdout is not None
        platform, engine = (
            int(re.search(r":(\d+)$", emulator.stdout.readline().strip())[1]) for _ in range(2)
        )
        settings = Path(folder) / "d.toml"
        http = engine + 1 if engine < 60_000 else engine - 7
        settings.write_text(SETTINGS.format(http=http, platform=platform))
        daemon = subprocess.Popen([*COMMAND, "serve", "--settings", str(settings)])
        try:
            measure(options, daemon.pid, platform, engine, http)
        finally:
            daemon.terminate()
            daemon.wait(30)
            emulator.terminate()
            emulator.wait(30)


def measure(
    options: argparse.Namespace, daemon: int, platform: int, engine: int, http: int
) -> None:
    """Measure and print."""
    straight = Route(Address("127.0.0.1", engine), "m")
    through = Route(Address("127.0.0.1", http), "s")
    time.sleep(4)
    print(f"daemon at rest: {resident_mebibytes(daemon):.1f} MiB resident")
    curio.run(latencies, [straight, through], 50)
    direct, added = curio.run(latencies, [straight, through], options.requests)
    for name, fraction in (("median", 0.5), ("99%", 0.99)):
        plain, whole = quantile(direct, fraction), quantile(added, fraction)
        print(f"{name}: straight {plain:.2f} ms, through {whole:.2f} ms, x {whole / plain:.2f}")
    gaps = [whole - plain for whole, plain in zip(added, direct, strict=True)]
    print(f"added, pair by pair: median {statistics.median(gaps) * 1e3:.2f} ms")
    before = processor_seconds(daemon)
    seconds = curio.run(throughput, through, options.requests, 16, 4, False)
    spent = processor_seconds(daemon) - before
    print(f"plain: {options.requests / seconds:.0f} requests/s seen by one client; the daemon")
    print(
        f"  spent {spent / options.requests * 1e3:.2f} ms a request: "
        f"{options.requests / spent:.0f} requests/s on one core"
    )
    before = processor_seconds(daemon)
    count, tokens = max(20, options.requests // 20), 4000
    curio.run(throughput, through, count, 16, tokens, True)
    spent = processor_seconds(daemon) - before
    from pondtiller.serve.emulator.text import answer_length

    made = sum(answer_length(str(number), tokens) for number in range(count))
    print(f"streamed, {options.chunk} tokens a piece: {made / spent:.0f} tokens/s on one core")
    print(f"daemon after load: {resident_mebibytes(daemon):.1f} MiB resident")


if __name__ == "__main__":
    main()
