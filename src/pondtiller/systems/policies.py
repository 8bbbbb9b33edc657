"""How requests are ordered and engines chosen: the product's policy and two baselines.

The baselines exist for experiments: they are what a service without this project's sharing
would do.
"""

from pondtiller.core import constants
from pondtiller.core.entities import Engine, Request
from pondtiller.core.routing_policy import RoutingPolicy
from pondtiller.core.world import World
from pondtiller.hashing import score


def needs_room(policy: RoutingPolicy) -> bool:
    """Return whether requests wait at the daemon until an engine has room."""
    return policy is RoutingPolicy.FAIR_TWO_CHOICES


def engine_priority(policy: RoutingPolicy, request: Request) -> int:
    """Return the priority passed to the engine; baselines pass none."""
    return request.priority if policy is RoutingPolicy.FAIR_TWO_CHOICES else 0


def pick(
    world: World, policy: RoutingPolicy, request: Request, able: list[Engine], now: float
) -> Engine:
    """Return one of the engines in `able`, which is not empty."""
    if policy is RoutingPolicy.RANDOM:
        return world.source.choice(able)
    if policy is RoutingPolicy.LEAST_LOADED:
        return min(able, key=lambda engine: (engine.estimate() / engine.slots, engine.name))
    drawn = able if len(able) <= 2 else world.source.sample(able, 2)
    return min(drawn, key=lambda engine: (_cost(world, engine, request, now), engine.name))


def _cost(world: World, engine: Engine, request: Request, now: float) -> float:
    """Return the predicted occupancy, corrected for zone and cached prefix."""
    cost = engine.estimate() / engine.slots
    if engine.zone != world.zone:
        cost += constants.OTHER_ZONE_PENALTY
    hint = world.prefix_hints.get(prefix_key(request))
    if hint is not None and hint.engine == engine.name:
        age = now - hint.at
        cost -= constants.PREFIX_BONUS * max(0.0, 1 - age / constants.PREFIX_HINT_SECONDS)
    return cost


def prefix_key(request: Request) -> int:
    """Return the key under which a prompt's beginning is remembered."""
    spec = request.spec
    return score(spec.model, spec.prompt[: constants.PREFIX_HINT_CHARACTERS])
