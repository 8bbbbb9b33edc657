"""Names of the ways to order requests and choose engines."""

from enum import StrEnum


class RoutingPolicy(StrEnum):
    """Closed list of policies.

    `FAIR_TWO_CHOICES`: fair queueing over rows, engines with room, the better of two drawn.
    `RANDOM`: at once, to any engine, first come first served there.
    `LEAST_LOADED`: at once, to the engine that reports least, first come first served there.
    """

    FAIR_TWO_CHOICES = "fair_two_choices"
    RANDOM = "random"
    LEAST_LOADED = "least_loaded"
