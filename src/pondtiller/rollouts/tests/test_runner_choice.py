"""Which daemons run samples, and for which engines."""

from collections import Counter

from pondtiller.address import Address
from pondtiller.rollouts.runner_choice import Daemon, EngineRunners, wanted_runners
from pondtiller.routes.engines import Engine, EngineEntry, EngineState
from pondtiller.routes.topology import Topology


def daemon(name: str, zone: str = "z", cores: float = 1.0) -> Daemon:
    return Daemon(name, zone, Address("10.0.0.1", 1), cores)


def engine(name: str, zone: str = "z", slots: int = 6) -> Engine:
    place = Address("10.0.0.2", 1)
    return Engine(EngineEntry(name, "llm", place, zone, slots, EngineState.READY, {"m": 1}))


def names(chosen: list[Daemon]) -> list[str]:
    return [each.name for each in chosen]


def test_the_fastest_are_wanted_and_at_least_two_in_a_zone_with_engines() -> None:
    daemons = [daemon("slow", cores=0.1), daemon("fast", cores=4.0), daemon("middle", cores=1.0)]
    assert names(wanted_runners(daemons, [engine("e")], frozenset())) == ["fast", "middle"]
    assert wanted_runners([daemon("a", zone="other")], [engine("e")], frozenset()) == []


def test_slow_daemons_are_wanted_until_they_suffice() -> None:
    daemons = [daemon(f"d{number}", cores=0.12) for number in range(9)]
    engines = [engine(f"e{number}") for number in range(4)]
    assert len(wanted_runners(daemons, engines, frozenset())) == 7
    assert len(wanted_runners(daemons, [*engines, *engines], frozenset())) == 9


def test_those_that_are_connected_stay() -> None:
    daemons = [daemon("a", cores=1.0), daemon("b", cores=1.0), daemon("c", cores=2.0)]
    assert names(wanted_runners(daemons, [engine("e")], frozenset({"a", "b"}))) == ["a", "b"]


def test_an_engine_keeps_its_runner_and_finds_another_when_it_is_lost() -> None:
    chosen = EngineRunners()
    runners = {each.name: each for each in (daemon("a"), daemon("b"), daemon("far", "other"))}
    first = chosen.choose(engine("e"), runners)
    assert first in ("a", "b")
    assert chosen.choose(engine("e"), runners) == first
    del runners[first]
    second = chosen.choose(engine("e"), runners)
    assert second in {"a", "b"} - {first}
    del runners[second]
    assert chosen.choose(engine("e"), runners) == "far"
    assert chosen.choose(engine("e"), {}) is None


def test_engines_are_shared_by_power() -> None:
    chosen = EngineRunners()
    runners = {"slow": daemon("slow", cores=1.0), "fast": daemon("fast", cores=3.0)}
    shares = Counter(chosen.choose(engine(f"e{number}"), runners) for number in range(8))
    assert shares == {"fast": 6, "slow": 2}
    chosen.forget(["e1"])
    assert list(chosen.runner_of) == ["e1"]


PLACES = Topology({"s1": "s", "s2": "s", "n1": "n", "n2": "n"})


def test_a_runner_of_another_region_serves_only_while_none_is_nearer() -> None:
    chosen = EngineRunners(PLACES, "n2")
    far, near = daemon("far", "n1", cores=9.0), daemon("near", "s2")
    assert chosen.choose(engine("e", "s1"), {"far": far}) == "far"
    assert chosen.choose(engine("e", "s1"), {"far": far, "near": near}) == "near"
    here = daemon("here", "s1")
    assert chosen.choose(engine("e", "s1"), {"near": near, "here": here}) == "near"
    assert chosen.choose(engine("f", "s1"), {"near": near, "here": here}) == "here"


def test_a_leader_near_an_engine_serves_it_rather_than_a_runner_of_another_region() -> None:
    chosen = EngineRunners(PLACES, "s2")
    assert chosen.choose(engine("e", "s1"), {"far": daemon("far", "n1")}) is None
    assert chosen.choose(engine("e", "n2"), {"far": daemon("far", "n1")}) == "far"
