"""The kinds of faults that a soak draws from, by their names on the command line.

The order is part of a seed: a new kind comes last, and changes what later seeds draw.
"""

from collections.abc import Callable

from pondtiller.soak import connection_faults, platform_faults, program_faults
from pondtiller.soak.fault_targets import Fault, FaultTargets

KINDS: dict[str, Callable[[FaultTargets], Fault]] = {
    "kill": program_faults.kill,
    "kill_all": program_faults.kill_all,
    "terminate": program_faults.terminate,
    "freeze": program_faults.freeze,
    "kill_leader": program_faults.kill_leader,
    "terminate_leader": program_faults.terminate_leader,
    "freeze_leader": program_faults.freeze_leader,
    "cut_leader": connection_faults.cut_leader,
    "cut_runner": connection_faults.cut_runner,
    "cut_region": connection_faults.cut_region,
    "store_down": platform_faults.store_down,
    "store_lossy": platform_faults.store_lossy,
    "slow_link": connection_faults.slow_link,
    "silent_link": connection_faults.silent_link,
    "silent_zone": connection_faults.silent_zone,
    "evacuate": platform_faults.evacuate,
    "cold": platform_faults.cold,
    "end_engine": platform_faults.end_engine,
    "odd_entries": platform_faults.bad_entries,
}
NAMED_KINDS = {**KINDS, "silent_store": platform_faults.silent_store}
"""Those that may be named for a soak: with kinds that are not drawn otherwise, so that seeds keep
what they draw."""
