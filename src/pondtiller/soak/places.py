"""Where the programs, engines and the store of a soak stand."""

ZONES = 3
"""Zones, each with a gateway, a replica and an engine of each service: the fewest in which a group
of three replicas outlives the loss of one zone."""
STORE_ZONE = "z0"
NORTH, SOUTH = "north", "south"
REGIONS = {"z0": SOUTH, "z1": SOUTH, "z2": NORTH}
SMALLER_REGION = NORTH
