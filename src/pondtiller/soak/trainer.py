"""A soak's trainer: submits steps, reads their results, names new versions of the weights."""

import json
import random

import curio

from pondtiller.platform import names
from pondtiller.process.spawner import Spawner
from pondtiller.soak.calls import Calls
from pondtiller.soak.promises import Promises
from pondtiller.standins.documents import step_body
from pondtiller.standins.store import StandInStore

SAMPLES = 8
"""Samples of a step: four groups of two, over three engines of 4 places. Chosen, not measured: all
run at once, so that a fault strikes a step as a whole."""
EVENTS = 12
"""Events of a sample: a long one takes 3.6 s, more than a change of leader. Chosen with the time
between two events."""
STEP_SECONDS = 2.0
"""Between two steps, in seconds. Chosen, not measured: a few steps are open at any time."""
STEPS_PER_VERSION = 2
"""Steps between two new versions: samples of the older one are still at work when it comes."""
SUBMIT_TRIES = 8
"""Tries of one submission, after which the trainer goes on with the next step."""
SUBMIT_PAUSE_SECONDS = 0.3
"""Between two tries. With 8 tries this outlasts a lease of 1.2 s; chosen, not measured."""
READ_PAUSE_SECONDS = 0.2
"""Between two reads of a step. Chosen, not measured."""
EARLIER_READ_SHARE = 0.3
"""Of the reads, those from an earlier position than the last one known. Chosen, not measured."""
READ_WAIT_MS = "300"
HOST = "train.example"


class Trainer:
    """Submits steps until the calm begins, and follows each to its end.

    Attributes
    ----------
    is_calm
        Whether to submit no more.
    is_submitting
        Whether a submission is on its way, which may be accepted in the calm.
    """

    def __init__(
        self,
        source: random.Random,
        calls: Calls,
        promises: Promises,
        store: StandInStore,
        group: Spawner,
    ) -> None:
        self.is_calm = False
        self.is_submitting = False
        self._random = source
        self._calls = calls
        self._promises = promises
        self._store = store
        self._group = group
        self._version = 1

    async def run(self) -> None:
        """Submit steps until the calm begins."""
        number = 0
        while not self.is_calm:
            number += 1
            step = f"s{number}"
            oldest = max(1, self._version - 1)
            # A step that is accepted in the calm must be finished in it, too.
            self.is_submitting = True
            is_accepted = await self._submit(step, oldest)
            self.is_submitting = False
            if is_accepted:
                await self._group.spawn(self._follow, step)
            await curio.sleep(STEP_SECONDS)
            if number % STEPS_PER_VERSION == 0:
                self._version += 1
                spec = {"model": "m", "version": self._version}
                self._store.put(names.VERSIONS_NAMED, "m", spec)

    def has_unfinished(self) -> bool:
        """Return whether a step is being submitted, or an accepted one lacks results."""
        return self.is_submitting or any(
            len(self._promises.results.get(step, {})) < len(samples)
            for step, samples in self._promises.accepted.items()
        )

    async def read_all(self) -> None:
        """Read each accepted step from its beginning at each gateway."""
        for gateway in range(len(self._calls.ports)):
            for step in list(self._promises.accepted):
                await self._read(step, 0, gateway)

    async def _submit(self, step: str, oldest: int) -> bool:
        document = step_body(step, SAMPLES, oldest)
        body = json.dumps(document).encode()
        for _ in range(SUBMIT_TRIES):
            gateway = self._random.randrange(len(self._calls.ports))
            answer = await self._calls.request(
                gateway, "POST", "/rollout/x", body, HOST, request_id=step
            )
            if answer is not None and answer[0] == 202:
                samples = [each["id"] for each in document["requests"]]
                self._promises.step_accepted(step, samples, oldest)
                self._promises.step_reads.accepted(step, gateway, oldest)
                return True
            await curio.sleep(SUBMIT_PAUSE_SECONDS)
        return False

    async def _follow(self, step: str) -> None:
        """Read a step to its end, now and then again from an earlier position."""
        position = 0
        while position < SAMPLES:
            gateway = self._random.randrange(len(self._calls.ports))
            is_earlier = self._random.random() < EARLIER_READ_SHARE
            start = self._random.randint(0, position) if is_earlier else position
            position = max(position, await self._read(step, start, gateway))
            await curio.sleep(READ_PAUSE_SECONDS)

    async def _read(self, step: str, position: int, gateway: int) -> int:
        target = f"{names.STEPS_PATH}{step}?{names.FROM_POSITION}={position}"
        answer = await self._calls.request(gateway, "GET", target, b"", HOST, wait_ms=READ_WAIT_MS)
        reads = self._promises.step_reads
        if answer is None or answer[0] == 503:
            reads.read(step, gateway, "no answer" if answer is None else str(answer[0]))
            return position
        if answer[0] != 200:
            reads.read(step, gateway, str(answer[0]))
            self._promises.breach("nothing accepted is lost", f"{step}: {answer[0]}")
            return position
        page = json.loads(answer[1])
        reads.read(step, gateway, f"{len(page['results'])} from {position}")
        self._promises.page_read(step, position, page["results"], EVENTS)
        return int(page["next_token"])
