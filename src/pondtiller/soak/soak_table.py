"""The configuration of a soak: rows that need a key or a home beside public ones, rates, cold."""

from typing import Any

from pondtiller.soak.caller_rules import RATE
from pondtiller.soak.callers import KEYS
from pondtiller.soak.engine_rules import COLD_RATE, COLD_SECONDS
from pondtiller.soak.places import NORTH, SOUTH
from pondtiller.soak.stand_ins import SoakEngine
from pondtiller.standins.documents import configuration, with_tenants

VERSION = 3
"""Of the configuration; it does not change during a soak, so any positive number serves."""
PUBLIC = ("quotes", "listings", "rollouts")


def soak_configuration(engines: list[SoakEngine]) -> dict[str, Any]:
    """Return the operator's configuration object."""
    made = with_tenants(configuration(VERSION, *engines), KEYS, PUBLIC)
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
    for service in made["services"]:
        service["cold_per_s"], service["cold_start_s"] = COLD_RATE, COLD_SECONDS
    return made
