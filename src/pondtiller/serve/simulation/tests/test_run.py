import pytest

from pondtiller.serve.deployment import load_deployment
from pondtiller.serve.simulation.run import RunSettings, run_scenario
from pondtiller.serve.simulation.scenarios import SCENARIOS


@pytest.mark.parametrize("scenario", list(SCENARIOS))
def test_scenario_keeps_every_property(scenario):
    deployment = load_deployment("kyushu").unwrap()
    report = run_scenario(deployment, RunSettings(scenario=scenario, seed=1, seconds=100.0))
    assert report.violations == ()
    assert all(trainer.steps >= 2 for trainer in report.measures.trainers)


def test_same_seed_gives_the_same_bytes():
    deployment = load_deployment("kirjakierto").unwrap()
    settings = RunSettings(scenario="chaos", seed=3, seconds=60.0)
    first, second = (run_scenario(deployment, settings).model_dump_json() for _ in range(2))
    assert first == second
    other = RunSettings(scenario="chaos", seed=4, seconds=60.0)
    assert run_scenario(deployment, other).model_dump_json() != first
