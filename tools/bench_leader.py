"""Measures what a leader's tick costs by the number of engines, in milliseconds of a core.

Steps stay the same while engines grow, as on the users' sweep: three trainers with a step of 96
samples each, six places an engine, three models on each engine. The figures are the best of several
rounds of processor time; the capacity page multiplies them by ticks a second.

Sets `COMPARED_ENGINES` (`rollouts/candidates.py`: 0.58 s of a core for 288 samples on 3,000 engines
where all are compared) and how many engines a version goes to (`rollouts/load_shares.py`: three
versions on 3,000 engines 337 ms and 3,000 orders where all load, 70 ms and 72 orders); its table is
in docs/CAPACITY.md, "What carries it".
"""

import time
from collections.abc import Callable
from dataclasses import replace

from pondtiller.address import Address
from pondtiller.rollouts.samples import SampleScheduler
from pondtiller.rollouts.step_record import add_sample
from pondtiller.rollouts.steps import StepBook
from pondtiller.rollouts.versions import OrderVersion, VersionSteward
from pondtiller.routes.engines import EngineDirectory, EngineEntry, EngineState
from pondtiller.routes.table import RequestKind, RouteRow, ServiceShare
from pondtiller.wire.steplog import Sample, Step

MODELS = ("m0", "m1", "m2")
GROUPS, GROUP_SIZE = 12, 8
SLOTS = 6
ROUNDS = 5
ENGINES = (30, 300, 3000)
ROUTE = RouteRow("r", "h", "/p/", RequestKind.STEP, (ServiceShare("llm", 1.0),), attempts=3)


class Leader:
    """The deciding parts of a leader, with a fleet and three open steps."""

    def __init__(self, engines: int) -> None:
        self.engines = EngineDirectory()
        place = Address("10.0.0.1", 1)
        versions = dict.fromkeys(MODELS, 1)
        entries = [
            EngineEntry(f"e{n}", "llm", place, f"z{n % 4}", SLOTS, EngineState.READY, versions)
            for n in range(engines)
        ]
        self.engines.replace(entries, 0.0)
        self.steward = VersionSteward(self.engines)
        self.steward.may_order_from = 0.0
        for each in entries:
            self.steward.note_report(each.engine, dict(versions), 0, busy=False)
        self.scheduler = SampleScheduler(self.engines, self.steward.is_loading)
        self.book = StepBook()

    def open_steps(self, number: int) -> None:
        """Open a step of each model."""
        for model in MODELS:
            step = Step(id=f"{model}-{number}", model=model, oldest_version=1)
            for place in range(GROUPS * GROUP_SIZE):
                sample = Sample(id=f"{step.id}-{place}", group=f"{step.id}-{place // GROUP_SIZE}")
                add_sample(step, sample, 100.0)
            record = self.book.open(step)
            self.steward.step_opened(model, 100.0 * GROUPS * GROUP_SIZE, GROUPS * GROUP_SIZE)
            self.scheduler.open(record, ROUTE)

    def name_versions(self) -> int:
        """Name the next version of each model, carry all orders out; return how many there were."""
        for model in MODELS:
            self.steward.note_version(model, 2)
        orders = 0
        now = 0.0
        while True:
            now += 0.1
            self.steward.tick(now)
            given = [
                each for each in self.steward.pop_instructions() if isinstance(each, OrderVersion)
            ]
            if not given:
                return orders
            for order in given:
                orders += 1
                entry = self.engines.engines[order.engine].entry
                models = {**entry.models, order.model: order.version}
                self.steward.note_answer(order.engine, True, now)
                self.engines.changed(replace(entry, models=models))


def best(action: Callable[[], None]) -> float:
    """Return milliseconds of one call, the best of several rounds."""
    found = []
    for _ in range(ROUNDS):
        began = time.process_time()
        action()
        found.append(time.process_time() - began)
    return min(found) * 1e3


def main() -> None:
    """Print all figures."""
    for count in ENGINES:
        leader = Leader(count)
        leader.open_steps(0)
        began = time.process_time()
        leader.scheduler.tick(0.0, 0.0)
        first = (time.process_time() - began) * 1e3
        started = len(leader.scheduler.runs)
        again = best(lambda leader=leader: leader.scheduler.tick(0.05, 0.0))
        idle = best(lambda leader=leader: leader.steward.tick(0.05))
        began = time.process_time()
        orders = leader.name_versions()
        versions = (time.process_time() - began) * 1e3
        print(
            f"{count} engines: samples' first tick {first:.2f} ms ({started} started), further "
            f"{again:.2f} ms; versions' tick {idle:.2f} ms; three versions {versions:.1f} ms "
            f"({orders} orders)"
        )


if __name__ == "__main__":
    main()
