"""Dependencies of a leader in all of its terms; created once when the process starts."""

from dataclasses import dataclass

from pondtiller.coordination.agreed_clock import AgreedClock
from pondtiller.gateway.callers.table_in_force import TableInForce
from pondtiller.gateway.engines.orders import EngineOrders
from pondtiller.gateway.leader.leader_watches import LeaderWatches
from pondtiller.gateway.leader.leadership import Leadership
from pondtiller.gateway.leader.rate_duty import FindTerms, no_terms
from pondtiller.gateway.leader.scaling_duty import ScalingSettings
from pondtiller.gateway.leader.usage_duty import UsageSettings
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.gateway.runs.sample_runner import SampleRunner
from pondtiller.platform.operator_api import OperatorClient
from pondtiller.process.stalls import StallWatch
from pondtiller.routes.cold import ColdEngines
from pondtiller.routes.engines import EngineDirectory


@dataclass(frozen=True, slots=True)
class DutyParts:
    """Dependencies of a leader.

    Attributes
    ----------
    runner
        Runs samples in this process while no other gateway is connected.
    stalls
        Measures pauses of this process.
    lease_seconds
        Minimum time between another leader's last order and the first own one.
    keep_seconds
        How long a closed step stays readable.
    agreed
        Wall-clock time agreed between the machines.
    usage, operator
        What usage is reported and to whom; None if none is reported.
    cold
        Which engines are cold; None if none ever is.
    find_terms
        Returns how a rate may be granted, by its key.
    scaling
        Settings for ordering engines; None if no engines are ordered.
    """

    leadership: Leadership
    engines: EngineDirectory
    in_force: TableInForce
    runner: SampleRunner
    orders: EngineOrders
    watches: LeaderWatches
    metrics: GatewayMetrics
    stalls: StallWatch
    lease_seconds: float
    keep_seconds: float
    agreed: AgreedClock
    usage: UsageSettings | None = None
    operator: OperatorClient | None = None
    cold: ColdEngines | None = None
    find_terms: FindTerms = no_terms
    scaling: ScalingSettings | None = None
