"""Which of the engines with room gets a request: the cheaper of two that are drawn.

Owns no state. Costs are the engine's predicted occupancy, its zone, and whether it lately had a
prompt that begins in the same way. Which engines are able is decided in `dispatch`.
"""

from pondtiller.hashing import score
from pondtiller.serve.core import constants
from pondtiller.serve.core.entities import Engine, Request
from pondtiller.serve.core.world import World


def cheaper_of_two(world: World, request: Request, able: list[Engine], now: float) -> Engine:
    """Return one of the engines in `able`, which is not empty."""
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
