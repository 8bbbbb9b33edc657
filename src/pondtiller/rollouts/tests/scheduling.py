"""Shared parts of scheduler tests: a route, engine entries, and a scheduler with a step."""

from pondtiller.address import Address
from pondtiller.rollouts.samples import SampleScheduler
from pondtiller.rollouts.step_record import StepRecord, add_sample
from pondtiller.rollouts.steps import StepBook
from pondtiller.routes.engines import EngineDirectory, EngineEntry, EngineState
from pondtiller.routes.table import RequestKind, RouteRow, ServiceShare
from pondtiller.wire.steplog import Sample, Step

ROUTE = RouteRow(
    name="r",
    host="h",
    path_prefix="/p/",
    kind=RequestKind.STEP,
    shares=(ServiceShare("llm", 1.0),),
    attempts=3,
    queue_seconds=40.0,
)


def entry(name: str, version: int = 1, slots: int = 2, zone: str = "z") -> EngineEntry:
    place = Address("10.0.0.1", 1)
    return EngineEntry(name, "llm", place, zone, slots, EngineState.READY, {"m": version})


class Bench:
    """A scheduler with engines and one step."""

    def __init__(self, engines: int = 2, oldest: int = 1) -> None:
        self.directory = EngineDirectory()
        self.directory.replace_entries([entry(f"e{number}") for number in range(engines)], 0.0)
        self.loading: set[str] = set()
        self.scheduler = SampleScheduler(self.directory, lambda engine, _: engine in self.loading)
        self.oldest = oldest

    def open(
        self,
        groups: int = 1,
        size: int = 2,
        desired: int = 0,
        step: str = "s",
        accepted_at: float = 0.0,
        names: str = "",
    ) -> StepRecord:
        """Open a step whose samples are named after it, or like those of another one."""
        samples = [
            Sample(id=f"{names or step}-{group}-{number}", group=f"g{group}")
            for group in range(groups)
            for number in range(size)
        ]
        opened = Step(
            id=step,
            model="m",
            oldest_version=self.oldest,
            desired_groups=desired,
            accepted_at=accepted_at,
        )
        for place, sample in enumerate(samples):
            add_sample(opened, sample, float(place))
        record = StepBook().open(opened)
        self.scheduler.open(record, ROUTE)
        return record

    def tick(self, now: float, wall: float = 0.0) -> list[object]:
        self.scheduler.tick(now, wall)
        return list(self.scheduler.pop_instructions())
