"""The stand-in store keeps to the waits that it is asked for, also in a process that is busy."""

import time

import curio

from pondtiller.address import to_address
from pondtiller.httpio.client import HttpClient
from pondtiller.platform import names
from pondtiller.process import clock
from pondtiller.standins.store import StandInStore

WAIT_SECONDS = 0.6
BLOCKED_SECONDS = 0.03


async def block_often() -> None:
    """Take the loop for a while again and again, as busy parts of one process do."""
    while True:
        time.sleep(BLOCKED_SECONDS)
        await curio.sleep(0)


def test_a_quiet_watch_ends_when_its_wait_is_over_however_busy_the_process_is() -> None:
    async def main() -> float:
        store = StandInStore()
        tasks = [await curio.spawn(store.serve), await curio.spawn(block_often)]
        target = f"{names.OBJECTS_PATH}servers?watch=1&wait_ms={WAIT_SECONDS * 1000:.0f}"
        began = clock.monotonic()
        answer = await HttpClient().request(to_address(store.address), "GET", target)
        took = clock.monotonic() - began
        for task in tasks:
            await task.cancel()
        assert answer.status == 200
        return took

    assert WAIT_SECONDS - 0.05 < curio.run(main) < WAIT_SECONDS + 10 * BLOCKED_SECONDS
