"""Faults as typed values, and what each does to a cluster.

Scheduled before the run; a fault draws nothing itself. When and whom it strikes is drawn in
`scenarios`.
"""

from dataclasses import dataclass

from pondtiller.serve.simulation.cluster import Cluster


@dataclass(frozen=True, slots=True)
class CrashDaemon:
    """A daemon dies and is started again with empty memory."""

    daemon: str
    at: float
    seconds: float


@dataclass(frozen=True, slots=True)
class PauseDaemon:
    """A daemon is frozen and goes on unaware."""

    daemon: str
    at: float
    seconds: float


@dataclass(frozen=True, slots=True)
class StopDaemon:
    """A daemon is stopped as planned and replaced once it has ended."""

    daemon: str
    at: float


@dataclass(frozen=True, slots=True)
class CrashEngine:
    """An engine dies and is started again."""

    engine: str
    at: float
    seconds: float


@dataclass(frozen=True, slots=True)
class LeaveEngine:
    """The platform takes an engine out of service."""

    engine: str
    at: float


@dataclass(frozen=True, slots=True)
class CutZones:
    """Two zones do not reach each other, or the first does not reach the second."""

    first: str
    second: str
    one_way: bool
    at: float
    seconds: float


@dataclass(frozen=True, slots=True)
class StoreOutage:
    """The object service answers nothing."""

    at: float
    seconds: float


@dataclass(frozen=True, slots=True)
class StoreTrouble:
    """The object service is slow, loses answers of writes and answers with old reads."""

    at: float
    seconds: float
    slow_seconds: float
    lost_answers: float
    old_reads: float


@dataclass(frozen=True, slots=True)
class SwapTrouble:
    """Activations of new weights fail partway with a probability."""

    at: float
    seconds: float
    probability: float


@dataclass(frozen=True, slots=True)
class NetworkTrouble:
    """Datagrams are lost and doubled; chunks of answers come out of order."""

    at: float
    seconds: float
    loss: float
    duplication: float
    disorder: float


@dataclass(frozen=True, slots=True)
class EditTable:
    """Operators edit the same caller's priority at the same time."""

    caller: str
    at: float
    operators: int


Fault = (
    CrashDaemon
    | PauseDaemon
    | StopDaemon
    | CrashEngine
    | LeaveEngine
    | CutZones
    | StoreOutage
    | StoreTrouble
    | SwapTrouble
    | NetworkTrouble
    | EditTable
)

REPLACE_CHECK_SECONDS = 1.0
"""How often a planned replacement looks whether its daemon has drained. Modelled."""


def schedule(cluster: Cluster, faults: tuple[Fault, ...]) -> None:
    """Set all faults on the cluster's clock."""
    for fault in faults:
        _schedule_one(cluster, fault)


def _schedule_one(cluster: Cluster, fault: Fault) -> None:
    after = cluster.scheduler.after
    match fault:
        case CrashDaemon():
            node = cluster.daemons[fault.daemon]
            after(fault.at, node.crash)
            after(fault.at + fault.seconds, lambda: None if node.alive else node.start())
        case PauseDaemon():
            node = cluster.daemons[fault.daemon]
            after(fault.at, node.pause)
            after(fault.at + fault.seconds, node.resume)
        case StopDaemon():
            after(fault.at, lambda: _stop_and_replace(cluster, fault.daemon))
        case CrashEngine():
            engine = cluster.engines[fault.engine]
            after(fault.at, engine.crash)
            after(fault.at + fault.seconds, engine.restart)
        case LeaveEngine():
            after(fault.at, lambda: cluster.mark_leaving(fault.engine))
        case CutZones():
            after(fault.at, lambda: cluster.network.cut(fault.first, fault.second, fault.one_way))
            after(fault.at + fault.seconds, cluster.network.heal)
        case EditTable():
            for _ in range(fault.operators):
                after(fault.at, lambda: cluster.operators.raise_priority(fault.caller))
        case _:
            _schedule_trouble(cluster, fault)


def _schedule_trouble(
    cluster: Cluster, fault: StoreOutage | StoreTrouble | SwapTrouble | NetworkTrouble
) -> None:
    after = cluster.scheduler.after
    match fault:
        case StoreOutage():
            after(fault.at, lambda: _set_store(cluster, True, 0.0, 0.0, 0.0))
        case StoreTrouble():
            after(
                fault.at,
                lambda: _set_store(
                    cluster, False, fault.slow_seconds, fault.lost_answers, fault.old_reads
                ),
            )
        case SwapTrouble():
            after(fault.at, lambda: _set_swap_failure(cluster, fault.probability))
            after(fault.at + fault.seconds, lambda: _set_swap_failure(cluster, 0.0))
        case NetworkTrouble():
            after(fault.at, lambda: _set_network(cluster, fault))
            calm = NetworkTrouble(0, 0, 0, 0, 0)
            after(fault.at + fault.seconds, lambda: _set_network(cluster, calm))
    if isinstance(fault, StoreOutage | StoreTrouble):
        after(fault.at + fault.seconds, lambda: _set_store(cluster, False, 0.0, 0.0, 0.0))


def _stop_and_replace(cluster: Cluster, daemon: str) -> None:
    node = cluster.daemons[daemon]
    if not node.alive:
        return
    node.stop()

    def replace() -> None:
        if node.alive and node.stopping:
            cluster.scheduler.after(REPLACE_CHECK_SECONDS, replace)
        elif not node.alive:
            node.start()

    cluster.scheduler.after(REPLACE_CHECK_SECONDS, replace)


def _set_store(
    cluster: Cluster, down: bool, slow_seconds: float, lost: float, old_reads: float
) -> None:
    platform = cluster.platform
    platform.down = down
    platform.extra_seconds = slow_seconds
    platform.lost_answers = lost
    platform.old_reads = old_reads


def _set_swap_failure(cluster: Cluster, probability: float) -> None:
    for engine in cluster.engines.values():
        engine.model.swap_failure = probability


def _set_network(cluster: Cluster, trouble: NetworkTrouble) -> None:
    cluster.network.loss = trouble.loss
    cluster.network.duplication = trouble.duplication
    for engine in cluster.engines.values():
        engine.disorder = trouble.disorder
