"""Named scenarios: fault schedules drawn from the seed.

Each is a function of the deployment, the length of the load and a seeded source; the order of its
draws is part of a seed's meaning. What a fault does is in `faults`.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from pondtiller.serve.deployment import Deployment
from pondtiller.serve.simulation.faults import (
    CrashDaemon,
    CrashEngine,
    CutZones,
    EditTable,
    Fault,
    LeaveEngine,
    NetworkTrouble,
    PauseDaemon,
    StopDaemon,
    StoreOutage,
    StoreTrouble,
    SwapTrouble,
)

FIRST_FAULT_SECONDS = 20.0
"""Before it all daemons serve. Chosen, not measured."""
QUIET_END_SECONDS = 60.0
"""Last part of the load, in which no fault begins. Chosen, not measured."""
EDIT_PERIOD_SECONDS = 30.0
"""Between two edits of the table. Modelled."""


@dataclass(frozen=True, slots=True)
class Setting:
    """What a fault schedule is drawn for.

    Attributes
    ----------
    seconds
        Length of the load; faults end before, so that recovery can be seen.
    """

    deployment: Deployment
    seconds: float
    source: random.Random

    def daemons(self) -> list[str]:
        """Return the names of all daemons."""
        return [
            f"{zone}-{number}"
            for zone in self.deployment.zones
            for number in range(self.deployment.daemons_a_zone)
        ]

    def engines(self) -> list[str]:
        """Return the names of all engines."""
        return [
            f"{group.name}-{number}"
            for group in self.deployment.engines
            for number in range(group.count)
        ]

    def moment(self) -> float:
        """Draw a time for a fault."""
        last = max(FIRST_FAULT_SECONDS + 1, self.seconds - QUIET_END_SECONDS)
        return self.source.uniform(FIRST_FAULT_SECONDS, last)

    def caller(self) -> str:
        """Draw a caller class."""
        return self.source.choice(self.deployment.traffic).caller


Schedule = Callable[[Setting], tuple[Fault, ...]]


def calm(setting: Setting) -> tuple[Fault, ...]:
    """No fault; the table is edited now and then."""
    faults: list[Fault] = []
    at = FIRST_FAULT_SECONDS
    while at < setting.seconds - QUIET_END_SECONDS:
        faults.append(EditTable(setting.caller(), at, 1))
        at += EDIT_PERIOD_SECONDS
    return tuple(faults)


def crash(setting: Setting) -> tuple[Fault, ...]:
    """Daemons and engines die."""
    faults: list[Fault] = []
    for _ in range(4):
        daemon = setting.source.choice(setting.daemons())
        faults.append(CrashDaemon(daemon, setting.moment(), setting.source.uniform(1, 20)))
    for _ in range(3):
        engine = setting.source.choice(setting.engines())
        faults.append(CrashEngine(engine, setting.moment(), setting.source.uniform(5, 30)))
    return tuple(faults)


def partition(setting: Setting) -> tuple[Fault, ...]:
    """Zones are cut from each other, both ways or one way."""
    zones = list(setting.deployment.zones)
    faults: list[Fault] = []
    at = FIRST_FAULT_SECONDS
    while at < setting.seconds - QUIET_END_SECONDS - 30:
        first, second = setting.source.sample(zones, 2)
        one_way = setting.source.random() < 0.4
        seconds = setting.source.uniform(5, 30)
        faults.append(CutZones(first, second, one_way, at, seconds))
        if setting.source.random() < 0.5:
            third = next(zone for zone in zones if zone not in (first, second))
            faults.append(CutZones(first, third, one_way, at, seconds))
        at += seconds + setting.source.uniform(10, 30)
    return tuple(faults)


def store_outage(setting: Setting) -> tuple[Fault, ...]:
    """The object service is down for most of the run, and a daemon is replaced meanwhile."""
    seconds = max(30.0, setting.seconds - FIRST_FAULT_SECONDS - QUIET_END_SECONDS)
    daemon = setting.source.choice(setting.daemons())
    return (
        StoreOutage(FIRST_FAULT_SECONDS, seconds),
        CrashDaemon(daemon, FIRST_FAULT_SECONDS + seconds / 3, 5.0),
        EditTable(setting.caller(), FIRST_FAULT_SECONDS + seconds / 2, 2),
    )


def paused_holder(setting: Setting) -> tuple[Fault, ...]:
    """Daemons are frozen for longer than their leases and go on unaware."""
    return tuple(
        PauseDaemon(
            setting.source.choice(setting.daemons()),
            setting.moment(),
            setting.source.uniform(2, 25),
        )
        for _ in range(5)
    )


def swap_failure(setting: Setting) -> tuple[Fault, ...]:
    """Activations of new weights fail partway."""
    seconds = max(10.0, setting.seconds - FIRST_FAULT_SECONDS - QUIET_END_SECONDS)
    return (SwapTrouble(FIRST_FAULT_SECONDS, seconds, 0.3),)


def rolling_restart(setting: Setting) -> tuple[Fault, ...]:
    """Every daemon is stopped as planned and replaced; engines leave."""
    faults: list[Fault] = []
    daemons = setting.daemons()
    span = max(10.0, setting.seconds - FIRST_FAULT_SECONDS - QUIET_END_SECONDS)
    for number, daemon in enumerate(daemons):
        faults.append(StopDaemon(daemon, FIRST_FAULT_SECONDS + number * span / len(daemons)))
    faults.append(LeaveEngine(setting.source.choice(setting.engines()), setting.moment()))
    return tuple(faults)


def operators_race(setting: Setting) -> tuple[Fault, ...]:
    """Operators edit the same cell at the same time."""
    return tuple(EditTable(setting.caller(), setting.moment(), 3) for _ in range(6))


def lost_answers(setting: Setting) -> tuple[Fault, ...]:
    """The object service loses answers, is slow and answers with old reads."""
    seconds = max(30.0, setting.seconds - FIRST_FAULT_SECONDS - QUIET_END_SECONDS)
    daemon = setting.source.choice(setting.daemons())
    edits = tuple(EditTable(setting.caller(), setting.moment(), 2) for _ in range(4))
    trouble = StoreTrouble(FIRST_FAULT_SECONDS, seconds, 1.0, 0.4, 0.4)
    return (trouble, CrashDaemon(daemon, setting.moment(), 5.0), *edits)


def network(setting: Setting) -> tuple[Fault, ...]:
    """Datagrams are lost and doubled; chunks come out of order."""
    seconds = max(30.0, setting.seconds - FIRST_FAULT_SECONDS - QUIET_END_SECONDS)
    return (NetworkTrouble(FIRST_FAULT_SECONDS, seconds, 0.05, 0.05, 0.02),)


def chaos(setting: Setting) -> tuple[Fault, ...]:
    """All of them, overlapping."""
    parts = (crash, partition, paused_holder, swap_failure, operators_race, network)
    faults = [fault for part in parts for fault in part(setting)]
    faults.append(StopDaemon(setting.source.choice(setting.daemons()), setting.moment()))
    faults.append(LeaveEngine(setting.source.choice(setting.engines()), setting.moment()))
    trouble = setting.source.choice((store_outage, lost_answers))
    faults.extend(trouble(setting))
    return tuple(faults)


SCENARIOS: dict[str, Schedule] = {
    "calm": calm,
    "crash": crash,
    "partition": partition,
    "store-outage": store_outage,
    "paused-holder": paused_holder,
    "swap-failure": swap_failure,
    "rolling-restart": rolling_restart,
    "operators-race": operators_race,
    "lost-answers": lost_answers,
    "network": network,
    "chaos": chaos,
}
