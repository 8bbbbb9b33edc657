"""The configuration of a soak: rows that need a key or a home beside public ones, rates, cold."""

from collections.abc import Sequence
from typing import Any

from pondtiller.soak.caller_rules import RATE
from pondtiller.soak.callers import KEYS
from pondtiller.soak.engine_rules import COLD_RATE, COLD_SECONDS
from pondtiller.soak.kept_callers import LONG_PATH
from pondtiller.soak.places import NORTH, SOUTH
from pondtiller.soak.stand_ins import SoakEngine
from pondtiller.standins.documents import (
    configuration,
    copied_route,
    public_routes,
    with_tenants,
)

VERSION = 3
"""Of the first configuration."""
PROBE_HOST = "probe.example"
PROBE_SERVICE = "nowhere"
"""A service without engines: a call that reaches it shows that its row is in force, and no more."""
LONG_LISTINGS = "long listings"
LONG_LIMIT_MS = 12_000
"""Time limit of a row whose requests may not be repeated: longer than the grace of a stop (8 s)."""
PUBLIC = ("quotes", "listings", LONG_LISTINGS, "rollouts")


def probe_path(version: int) -> str:
    """Return a path that a version of the configuration has, and none before it."""
    return f"/v{version}/"


def soak_configuration(
    engines: list[SoakEngine], versions: Sequence[int] = (VERSION,)
) -> dict[str, Any]:
    """Return the operator's configuration object.

    Parameters
    ----------
    versions
        Its own version, last, and those before it whose probes it still has.
    """
    given = configuration(versions[-1], *engines)
    listings = next(each for each in given["routes"] if each["name"] == "listings")
    given["routes"].append(copied_route(listings, LONG_LISTINGS, LONG_PATH, LONG_LIMIT_MS))
    made = with_tenants(given, KEYS, PUBLIC)
    listings = next(each for each in made["routes"] if each["name"] == "listings")
    made["routes"] += [
        {**listings, "name": "tenants", "host": "tenants.example", "public": False},
        {**listings, "name": NORTH, "host": "north.example", "allowed_regions": [NORTH]},
    ]
    for tenant in made["tenants"]:
        if tenant["name"] == "rated":
            tenant["rate_per_s"] = RATE
        else:
            tenant["allowed_regions"] = [SOUTH]
    made["routes"] += public_routes(PROBE_HOST, list(map(probe_path, versions)), PROBE_SERVICE)
    made["services"].append({"name": PROBE_SERVICE})
    for service in made["services"]:
        service["cold_per_s"], service["cold_start_s"] = COLD_RATE, COLD_SECONDS
    return made
