"""Real daemons and stand-ins on loopback, in a curio kernel on its own thread."""

import threading
import time
from contextlib import contextmanager

import curio

from pondtiller.httpio.client import HttpClient
from pondtiller.serve.demo.run import build_daemons
from pondtiller.serve.deployment import load_deployment
from pondtiller.serve.emulator.server import build_emulator

START_SECONDS = 30.0


class Service:
    """A running deployment."""

    def __init__(self, deployment):
        self.emulator = build_emulator(deployment, 1, "127.0.0.1", 0)
        self.daemons = build_daemons(deployment, self.emulator.platform.address)
        self.client = HttpClient()
        self._calls = curio.UniversalQueue()
        self._thread = threading.Thread(target=curio.run, args=(self._run,), daemon=True)
        self._thread.start()
        self._wait_ready()

    async def _run(self):
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self.emulator.run)
            for daemon in self.daemons:
                await group.spawn(daemon.run)
            await group.spawn(self._make_calls)

    async def _make_calls(self):
        while (entry := await self._calls.get()) is not None:
            function, arguments, answers = entry
            try:
                await answers.put((await function(*arguments), None))
            except Exception as error:
                await answers.put((None, error))

    def _wait_ready(self):
        end = time.monotonic() + START_SECONDS
        while not all(each.world.ready and each.world.engines for each in self.daemons):
            assert time.monotonic() < end, "the daemons did not become ready"
            time.sleep(0.02)
        while not all(
            each.world.proposer.configuration.shards and self._knows_engines(each)
            for each in self.daemons
        ):
            assert time.monotonic() < end, "the registers did not become ready"
            time.sleep(0.02)

    @staticmethod
    def _knows_engines(daemon):
        return all(engine.reported_at is not None for engine in daemon.world.engines.values())

    def call(self, function, *arguments):
        """Run a coroutine function inside the kernel and return its result."""
        answers = curio.UniversalQueue()
        self._calls.put((function, arguments, answers))
        result, error = answers.get()
        if error is not None:
            raise error
        return result

    def url(self, number=0):
        return f"http://127.0.0.1:{self.daemons[number].sockets.http_port}"

    def close(self):
        self._calls.put(None)
        self._thread.join(START_SECONDS)


@contextmanager
def running(name="kyushu"):
    service = Service(load_deployment(name).unwrap())
    try:
        yield service
    finally:
        service.close()
