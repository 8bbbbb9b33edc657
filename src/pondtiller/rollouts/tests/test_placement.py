"""Where a sample runs, by the distance of engines from the leader."""

from pondtiller.rollouts.samples import SampleScheduler
from pondtiller.rollouts.step_record import add_sample
from pondtiller.rollouts.steps import StepBook
from pondtiller.rollouts.tests.scheduling import ROUTE, entry
from pondtiller.routes.engines import EngineDirectory
from pondtiller.routes.topology import Topology
from pondtiller.wire.steplog import Sample, Step

PLACES = Topology({"s1": "s", "s2": "s", "n1": "n"})


def shares(samples: int, places: Topology = PLACES) -> dict[str, int]:
    """Return how many samples run on each of three engines with eight slots; a leader in s1."""
    directory = EngineDirectory(places)
    directory.replace_entries([entry(zone, slots=8, zone=zone) for zone in ("n1", "s1", "s2")], 0.0)
    scheduler = SampleScheduler(directory, lambda _engine, _model: False, "s1")
    step = Step(id="step", model="m", oldest_version=1, accepted_at=0.0)
    for number in range(samples):
        add_sample(step, Sample(id=f"p{number}", group=f"g{number}"), 1.0)
    scheduler.open(StepBook().open(step), ROUTE)
    scheduler.tick(0.0, 0.0)
    return {name: engine.running for name, engine in directory.engines.items()}


def test_near_engines_get_a_quarter_of_their_slots_more_than_those_of_another_region() -> None:
    assert shares(4) == {"n1": 0, "s1": 2, "s2": 2}
    assert shares(12) == {"n1": 3, "s1": 5, "s2": 4} or shares(12) == {"n1": 2, "s1": 5, "s2": 5}


def test_all_engines_are_used_where_there_is_work_for_them() -> None:
    assert shares(30) == {"n1": 8, "s1": 8, "s2": 8}


def test_without_regions_all_engines_are_alike() -> None:
    assert shares(12, Topology()) == {"n1": 4, "s1": 4, "s2": 4}
