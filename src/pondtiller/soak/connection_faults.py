"""Faults of connections: slow, silent, or silent between some programs only."""

from pondtiller.process import clock
from pondtiller.soak.fault_targets import Fault, FaultTargets
from pondtiller.soak.places import REGIONS, SMALLER_REGION, STORE_ZONE
from pondtiller.soak.proxy import Proxy

DELAY_SECONDS = (0.02, 0.5)
"""How long each piece waits on a slow connection, drawn between these, in seconds: up to 12
times the 40 ms that a connection between regions takes. Chosen, not measured."""

Cut = tuple[Proxy, set[str]]
"""A proxy, and the programs for whose connections it is silent."""


def cut_leader(targets: FaultTargets) -> Fault:
    """Have the leader and the replicas not hear each other; all else hears it."""
    leader = targets.find_leader().spec.name
    replicas = [each.spec.name for each in targets.programs if each.spec.role == "replica"]
    return _cut("cut_leader", leader, [(targets.links[each], {leader}) for each in replicas])


def cut_runner(targets: FaultTargets) -> Fault:
    """Have the leader not reach another gateway, which hears all else and is heard by it."""
    leader = targets.find_leader()
    others = [each for each in targets.gateways if each is not leader]
    runner = targets.random.choice(others).spec.name
    return _cut("cut_runner", runner, [(targets.links[runner], {leader.spec.name})])


def cut_region(targets: FaultTargets) -> Fault:
    """Have no program reach anything in the other region: engines, links, the store."""
    placed = [(targets.store_proxy, STORE_ZONE)]
    placed += [(each.proxy, each.zone) for each in targets.engines]
    placed += [(targets.links[each.spec.name], each.spec.zone) for each in targets.programs]
    cuts = [(proxy, _outside(targets, zone)) for proxy, zone in placed]
    fault = _cut("cut_region", SMALLER_REGION, cuts)
    smaller = [each for each in targets.programs if REGIONS[each.spec.zone] == SMALLER_REGION]
    for program in smaller:
        program.connected_since = float("inf")

    def undo() -> None:
        fault.undo()
        for program in smaller:
            program.connected_since = clock.monotonic()

    return fault._replace(undo=undo)


def _outside(targets: FaultTargets, zone: str) -> set[str]:
    """Return the programs that stand in another region than a zone."""
    region = REGIONS[zone]
    return {each.spec.name for each in targets.programs if REGIONS[each.spec.zone] != region}


def _cut(kind: str, target: str, cuts: list[Cut]) -> Fault:
    for proxy, openers in cuts:
        proxy.silent_for |= openers

    def undo() -> None:
        for proxy, _ in cuts:
            proxy.heal()

    return Fault(kind, target, undo)


def slow_link(targets: FaultTargets) -> Fault:
    """Slow the connections to an engine or to the store down."""
    # Not between programs: an order to end a run would be later than the rules of a soak allow.
    engines = [each.proxy for each in targets.engines]
    proxy = targets.random.choice([targets.store_proxy, *engines])
    proxy.delay_seconds = targets.random.uniform(*DELAY_SECONDS)
    return Fault("slow_link", proxy.address, proxy.heal)


def silent_link(targets: FaultTargets) -> Fault:
    """Silence all connections to one address."""
    proxy = targets.random.choice(targets.proxies)
    proxy.is_silent = True
    return Fault("silent_link", proxy.address, proxy.heal)


def silent_zone(targets: FaultTargets) -> Fault:
    """Silence all engines of a zone; its gateway and replica still reach the others."""
    zone = targets.draw_zone()
    proxies = [each.proxy for each in targets.engines_of(zone)]
    for proxy in proxies:
        proxy.is_silent = True

    def undo() -> None:
        for proxy in proxies:
            proxy.heal()

    return Fault("silent_zone", zone, undo)
