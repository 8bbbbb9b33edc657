"""Measures what a content that ends engines costs, by the ends after which it is held back.

    python tools/bench_ending_requests.py --seeds 5

Three engines that end under one content and are back 1.5 s later, three gateways, other callers
whose contents come once (or, with `--hot`, that all send one content), all on loopback.

Sets `MAX_CRASHES` (`routes/quarantine.py`): share of the other callers answered 1.000 with
2 ends, 0.984 with 3, 0.981 with 4, 0.850 where nothing is held back.
"""

import argparse
import random
import tempfile
from pathlib import Path
from typing import NamedTuple

import curio

from pondtiller.gateway.tests.ending_engines import replace_engines
from pondtiller.gateway.tests.system import System, run_system
from pondtiller.process import clock
from pondtiller.routes import quarantine
from pondtiller.standins import ending_engine
from pondtiller.standins.ending_engine import ENDING

SECONDS = 12.0
DOWN_SECONDS = 1.5
CALLERS = 6
CALLER_PAUSE_SECONDS = 0.08
ENDING_PAUSE_SECONDS = 0.5
NEVER = 1_000_000
"""Ends after which nothing is held back: as if nobody counted them."""


class Outcome(NamedTuple):
    """What became of one run.

    Attributes
    ----------
    ends
        Runs under which an engine ended.
    answered, asked
        Requests of the other callers.
    held
        Contents of the other callers that were held back at its end.
    """

    ends: int
    answered: int
    asked: int
    held: int


async def measure(system: System, seed: int, is_hot: bool) -> Outcome:
    """Run callers beside the content for a while."""
    source = random.Random(seed)
    counts = {200: 0, "asked": 0}
    await system.until_led()
    await system.until(lambda: all(each.is_ready() for each in system.gateways))
    engines = await replace_engines(system, "app", 3)
    end = clock.monotonic() + SECONDS

    async def call_others(caller: int) -> None:
        number = 0
        while clock.monotonic() < end:
            number += 1
            body = b"same" if is_hot else f"{caller} {number}".encode()
            gateway = source.randrange(len(system.gateways))
            answer = await system.call("POST", "/quote/8", body, gateway, request_id=f"o{number}")
            counts["asked"] += 1
            counts[200] += answer.status == 200
            await curio.sleep(source.uniform(0.5, 1.5) * CALLER_PAUSE_SECONDS)

    async def call_ending() -> None:
        number = 0
        while clock.monotonic() < end:
            number += 1
            gateway = source.randrange(len(system.gateways))
            await system.call("POST", "/quote/7", ENDING, gateway, request_id=f"e{number}")
            await curio.sleep(source.uniform(0.5, 1.5) * ENDING_PAUSE_SECONDS)

    async with curio.TaskGroup() as group:
        for caller in range(CALLERS):
            await group.spawn(call_others, caller)
        await group.spawn(call_ending)
    suspects = system.gateways[0].suspects
    held = sum(each.is_held for each in suspects.quarantine.suspects.values())
    ends = sum(len(engine.runs) for engine in engines)
    return Outcome(ends, counts[200], counts["asked"], max(0, held - 1))


def run_once(seed: int, most_ends: int, is_hot: bool) -> Outcome:
    """Return the outcome of one seed under one bound."""
    quarantine.MAX_CRASHES = most_ends
    ending_engine.DOWN_SECONDS = DOWN_SECONDS
    found: list[Outcome] = []

    async def test(system: System) -> None:
        found.append(await measure(system, seed, is_hot))

    with tempfile.TemporaryDirectory() as folder:
        run_system(Path(folder), test, gateways=3)
    return found[0]


def main() -> None:
    """Print one line for each bound."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--hot", action="store_true")
    given = parser.parse_args()
    for most_ends in (2, 3, 4, NEVER):
        outcomes = [run_once(seed, most_ends, given.hot) for seed in range(given.seeds)]
        name = "never" if most_ends == NEVER else str(most_ends)
        ends = sum(each.ends for each in outcomes) / len(outcomes)
        share = sum(each.answered for each in outcomes) / sum(each.asked for each in outcomes)
        held = sum(each.held for each in outcomes)
        print(f"held after {name}: {ends:.1f} ends a run, {share:.3f} answered, {held} others held")


if __name__ == "__main__":
    main()
