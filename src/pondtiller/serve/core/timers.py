"""Kinds of timers of a daemon: what falls due, and for which entity.

Owns no state: the set timers are in `World.timers`. `systems.tick` says which system a kind wakes.
"""

from dataclasses import dataclass
from enum import StrEnum


class TimerKind(StrEnum):
    """What a timer of the world stands for."""

    MEMBERSHIP = "membership"
    PROPOSER = "proposer"
    RECONFIGURER = "reconfigurer"
    REPAIR = "repair"
    SWEEP = "sweep"
    REQUEST_DEADLINE = "request_deadline"
    ADMISSION = "admission"
    FOLLOW_CLAIM = "follow_claim"
    ATTEMPT_SILENCE = "attempt_silence"
    DISPATCH = "dispatch"
    POLL_ENGINE = "poll_engine"
    STORE = "store"
    STORE_WRITE = "store_write"
    READINESS = "readiness"
    SHARE_DEMAND = "share_demand"
    SHARE_ROUND = "share_round"
    STEWARD = "steward"
    ORDER_TIMEOUT = "order_timeout"
    SAMPLE_POLL = "sample_poll"
    SCORE = "score"
    IDLE_STEP = "idle_step"
    STATUS = "status"
    DRAIN = "drain"


@dataclass(frozen=True, slots=True)
class Timer:
    """A deadline of the world: its kind and the entity that it belongs to."""

    kind: TimerKind
    key: str = ""
