"""A soak's second trainer: ends its steps while their samples are made or scored."""

import json
import random

import curio

from pondtiller.platform import names
from pondtiller.process import clock
from pondtiller.soak.calls import Calls
from pondtiller.soak.cancelled_steps import CancelledSteps
from pondtiller.standins.documents import step_body

PREFIX = "end"
"""Begins the names of its steps."""
SAMPLES = 4
"""Samples of a step: one or two for each way in which a scorer's request fails."""
STEP_SECONDS = 3.0
"""Time between two steps."""
MIN_OPEN_SECONDS = 0.1
"""Shortest time for which a step is open."""
MAX_OPEN_SECONDS = 4.0
"""Longest time for which a step is open; a short sample takes 0.6 s of it, a long one 3.6 s."""
TRY_PAUSE_SECONDS = 0.3
"""Pause between two tries of a call."""
HOST = "train.example"


class CancellingTrainer:
    """Submits one step after the other, and ends each before its samples can be listed.

    Attributes
    ----------
    is_calm
        Whether to submit no more.
    """

    def __init__(self, source: random.Random, calls: Calls, steps: CancelledSteps) -> None:
        self.is_calm = False
        self._random = source
        self._calls = calls
        self._steps = steps

    async def run(self) -> None:
        """Submit and end steps until the calm begins."""
        number = 0
        while not self.is_calm:
            number += 1
            step = f"{PREFIX}{number}"
            document = step_body(step, SAMPLES, 1)
            if await self._until(202, "POST", "/rollout/x", step, json.dumps(document).encode()):
                await curio.sleep(self._random.uniform(MIN_OPEN_SECONDS, MAX_OPEN_SECONDS))
                if await self._until(200, "DELETE", f"{names.STEPS_PATH}{step}", step):
                    samples = [each["id"] for each in document["requests"]]
                    self._steps.acknowledged(samples, clock.monotonic())
            await curio.sleep(STEP_SECONDS)

    async def _until(
        self, status: int, method: str, target: str, step: str, body: bytes = b""
    ) -> bool:
        """Call gateways until one answers with a status; return False if the calm begins first."""
        while not self.is_calm:
            gateway = self._random.randrange(len(self._calls.ports))
            answer = await self._calls.request(gateway, method, target, body, HOST, request_id=step)
            if answer is not None and answer[0] == status:
                return True
            await curio.sleep(TRY_PAUSE_SECONDS)
        return False


def is_cancelled(identifier: str) -> bool:
    """Return whether a request is of a step of this trainer."""
    return identifier.startswith(PREFIX)
