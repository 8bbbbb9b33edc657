"""Near engines, mirrors, members and leaders come first; an unreachable zone comes last."""

import random
from types import SimpleNamespace

import curio
import pytest

from pondtiller.address import Address
from pondtiller.errors import Failure
from pondtiller.gateway.callers.attempts import WholeAnswer
from pondtiller.gateway.callers.forward import Forwarder
from pondtiller.gateway.callers.request import ForwardedRequest
from pondtiller.gateway.engines import zone_reach
from pondtiller.gateway.engines.engine_pool import EnginePool, SilentEngineError
from pondtiller.gateway.leader.candidacy import NO_QUORUM_IN_REGION_SECONDS
from pondtiller.gateway.leader.leadership import Leadership
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.gateway.runs.sample_runner import SampleRunner, ScoreOutcome
from pondtiller.gateway.tests.no_first_group import NoFirstGroup
from pondtiller.process import clock
from pondtiller.rollouts.sample_work import ScoreEnd
from pondtiller.routes.engines import EngineDirectory, EngineEntry, EngineState
from pondtiller.routes.send_gate import SendGate
from pondtiller.routes.table import RequestKind, RouteRow, RouteTable, ServiceShare
from pondtiller.routes.topology import Topology
from pondtiller.steplog.fault_tolerance import GroupRules, Tolerance
from pondtiller.steplog.follower import Follower
from pondtiller.store.mirrored_store import MirroredStore
from pondtiller.wire.steplog import Group, GroupMember, Sample, Scorer

PLACES = Topology({"s1": "s", "s2": "s", "s3": "s", "n1": "n", "n2": "n"})


class Fleet:
    """A gateway's forwarder with engines named after their zones, some of them unreachable."""

    def __init__(self, *zones: str, own: str = "s1") -> None:
        place = Address("10.0.0.1", 1)
        self.engines = EngineDirectory(PLACES)
        entries = [
            EngineEntry(f"{zone}.{count}", "app", place, zone, 6, EngineState.READY)
            for count, zone in enumerate(zones)
        ]
        self.engines.replace_entries(entries, 0.0)
        self.cut: set[str] = set()
        self.tried: list[str] = []
        pool = EnginePool()
        pool.take = self._take  # type: ignore[method-assign,assignment]
        gate = SendGate(self.engines)
        self.forwarder = Forwarder(own, self.engines, pool, GatewayMetrics(), gate)
        self.forwarder._send = self._send  # type: ignore[method-assign]

    def chosen(self) -> set[str]:
        """Return the zones of the engines chosen in many choices."""
        found = [
            self.forwarder.choice.choose("app", set(), frozenset(), clock.monotonic())
            for _ in range(60)
        ]
        return {each.entry.zone for each in found if each is not None}

    async def _take(self, _engine: str, _address: Address) -> object:
        raise SilentEngineError("connection timed out")

    async def _send(self, engine: object, _whole: object) -> WholeAnswer:
        zone = engine.entry.zone  # type: ignore[attr-defined]
        self.tried.append(zone)
        if zone in self.cut:
            raise SilentEngineError("connection timed out")
        self.forwarder.zones.note_answer(engine)  # type: ignore[arg-type]
        headers = (("x-sig", "1"),)
        return WholeAnswer(engine.identifier, 404, headers, b"")  # type: ignore[attr-defined]


def test_engines_of_the_own_zone_then_of_the_own_region_come_first() -> None:
    fleet = Fleet("s1", "s2", "n1")
    assert fleet.chosen() == {"s1"}
    fleet.engines.engines["s1.0"].running = 3
    assert fleet.chosen() == {"s2"}
    fleet.engines.engines["s2.1"].running = 2
    assert fleet.chosen() <= {"s1", "s2"}
    for name in ("s1.0", "s2.1"):
        fleet.engines.engines[name].running = 6
    assert fleet.chosen() == {"n1"}


def test_callers_do_not_wait_one_after_the_other_for_an_unreachable_zone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without marked zones, each unreachable engine delays a caller by the time limit."""
    now = [clock.monotonic()]
    monkeypatch.setattr(clock, "monotonic", lambda: now[0])
    fleet = Fleet("s2", "s2", "s2", "s2", "s3")
    route = RouteRow("r", "h", "/", RequestKind.SAFE, (ServiceShare("app", 1.0),), attempts=9)
    fleet.cut = {"s2"}
    fleet.engines.engines["s3.4"].running = 5

    async def ask() -> WholeAnswer | Failure:
        request = ForwardedRequest("q", "GET", "/", (), b"", now[0] + 3.0)
        return await fleet.forwarder.whole(request, route)

    assert isinstance(curio.run(ask), WholeAnswer)
    assert fleet.tried == ["s2", "s2", "s3"]
    now[0] += 0.5
    curio.run(ask)
    assert fleet.tried[3:] == ["s3"]
    fleet.cut = set()
    now[0] += 0.5
    curio.run(ask)
    assert fleet.tried[4:] == ["s2"]


def score_at_home(fleet: Fleet, home: str) -> ScoreOutcome:
    """Return the outcome of a scorer's request whose row has one home region."""
    row = RouteRow(
        "r",
        "h",
        "/",
        RequestKind.SAFE,
        (ServiceShare("app", 1.0),),
        attempts=2,
        homes=frozenset({home}),
    )
    table = RouteTable(1, (row,))
    runner = SampleRunner(SendGate(fleet.engines), EnginePool(), fleet.forwarder, lambda: table)
    sample = Sample(scorer=Scorer(id="q", host="h", path="/"))
    return curio.run(runner.score, 1, bytes(sample))


def test_a_scorer_is_not_asked_while_only_engines_outside_its_homes_have_room() -> None:
    """The request may go to its homes only, and would wait there in a long queue."""
    fleet = Fleet("s1", "n1")
    fleet.engines.engines["n1.1"].running = 12
    outcome = score_at_home(fleet, "n")
    assert (outcome.end, outcome.detail) == (ScoreEnd.LOST, "no room")
    assert fleet.tried == []


def test_a_scorer_is_asked_at_home_though_a_nearer_engine_elsewhere_is_full() -> None:
    fleet = Fleet("s1", "n1")
    fleet.engines.engines["s1.0"].running = 12
    fleet.engines.engines["n1.1"].running = 11
    outcome = score_at_home(fleet, "n")
    assert (outcome.end, outcome.detail) == (ScoreEnd.LOST, "404")
    assert fleet.tried == ["n1"]


def member(zone: str) -> GroupMember:
    return GroupMember(name=zone, disk=f"{zone}-0", zone=zone, host="h", port=1)


def leadership(zone: str, *members: str) -> Leadership:
    rules = GroupRules(Tolerance(machines=1), PLACES)
    place = Address("127.0.0.1", 1)
    made = Leadership("me", place, 4.0, 3, NoFirstGroup(), GatewayMetrics(), zone, rules)
    made._random = random.Random(5)
    made.replicas.group = Group(generation=1, members=[member(each) for each in members])
    return made


def test_a_gateway_whose_writes_would_wait_for_another_region_campaigns_later() -> None:
    near = leadership("s1", "s1", "s2", "n1")._election_delay()
    far = leadership("n1", "s1", "s2", "n1")._election_delay()
    assert far == pytest.approx(near + NO_QUORUM_IN_REGION_SECONDS)
    nowhere = leadership("n1", "s1", "s2", "n1", "n2")._election_delay()
    assert nowhere == pytest.approx(near)


def test_a_leader_calls_members_of_its_zone_then_of_its_region_first() -> None:
    leader = leadership("s2", "n1", "s1", "s2")
    leader.log.group = leader.replicas.group
    for number, each in enumerate(leader.log.group.members):
        leader.log.followers[number] = Follower(number, each, each.disk)
    assert leader.member_links() == [2, 1, 0]


def test_a_leader_logs_when_its_group_starts_and_stops_tolerating_the_losses() -> None:
    leader = leadership("s1", "s1", "s2", "n1")
    leader.log.group = leader.replicas.group
    leader.group_maintenance.note_shortfall(10.0)
    assert leader.shortfall == 0
    leader.group_maintenance._missing_since["s1"] = 10.0
    leader.group_maintenance.note_shortfall(10.9)
    assert leader.shortfall == 0
    leader.group_maintenance.note_shortfall(11.1)
    assert leader.shortfall == 1
    leader.group_maintenance._missing_since.clear()
    leader.group_maintenance.note_shortfall(11.2)
    assert leader.shortfall == 0


def test_mirrors_of_the_own_zone_then_of_the_own_region_are_asked_first() -> None:
    replicas = SimpleNamespace(
        replicas={
            zone: SimpleNamespace(link=object(), view=SimpleNamespace(replica=member(zone)))
            for zone in ("n1", "s3", "s1", "n2", "s2")
        }
    )
    orders = set()
    for number in range(20):
        store = MirroredStore(f"g{number}", "s1", None, replicas, lambda: False, PLACES)  # type: ignore[arg-type]
        names = [each.name for each in store._mirrors()]
        assert names[0] == "s1" and set(names[1:3]) == {"s2", "s3"}
        orders.add(tuple(names))
    assert len(orders) > 1


class MuteConnection:
    """A kept connection into an unreachable zone: accepts everything, never answers."""

    async def send_plain(self, *_given: object) -> None:
        return

    async def read_answer(self, _request: str) -> object:
        await curio.sleep(60.0)
        raise AssertionError("nobody waits for so long")

    async def close(self) -> None:
        return


def test_silent_kept_connections_mark_a_zone_as_new_ones_do(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(zone_reach, "SILENT_ANSWER_SECONDS", 0.05)
    engines = Fleet("s2", "s2", "s2", "n1").engines
    pool = EnginePool()
    asked: set[str] = set()

    async def take(engine: str, _address: Address) -> MuteConnection:
        asked.add(engine)
        return MuteConnection()

    pool.take = take  # type: ignore[method-assign,assignment]
    forwarder = Forwarder("s1", engines, pool, GatewayMetrics(), SendGate(engines))
    route = RouteRow("r", "h", "/", RequestKind.UNSAFE, (ServiceShare("app", 1.0),))

    async def ask() -> None:
        request = ForwardedRequest("q", "POST", "/", (), b"", clock.monotonic() + 0.1)
        assert isinstance(await forwarder.whole(request, route), Failure)

    def chosen() -> str:
        engine = forwarder.choice.choose("app", set(), frozenset(), clock.monotonic())
        return engine.entry.zone if engine is not None else ""

    while len(asked) < 2:
        assert chosen() == "s2"
        curio.run(ask)
    assert chosen() == "n1"
