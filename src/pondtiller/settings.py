"""Settings of a gateway and of a replica: a TOML file, validated on input.

Names and formats are those of `deploy/*.template`; unknown keys are rejected. Values are in seconds
unless stated otherwise. Has no state: a process keeps the value that it read, and applies a changed
one at a reload.
"""

from collections.abc import Callable
from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from pondtiller.rollouts.scaling import PolicyName
from pondtiller.steplog.fault_tolerance import Tolerance
from pondtiller.store import change_delays, evacuation_bounds


def _check_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 <= int(port) < 65_536:
        raise ValueError("give IP:PORT")
    return text


def _check_optional(text: str) -> str:
    return _check_address(text) if text else text


def _refused_by(reason_against: Callable[[float], str | None]) -> AfterValidator:
    """Return a validator that rejects a bound for which there is a reason against it."""

    def check(seconds: float) -> float:
        reason = reason_against(seconds)
        if reason is not None:
            raise ValueError(reason)
        return seconds

    return AfterValidator(check)


NewsSeconds = Annotated[float, _refused_by(change_delays.reason_against)]
EvacuationSeconds = Annotated[float, _refused_by(evacuation_bounds.reason_against)]
AddressText = Annotated[str, AfterValidator(_check_address)]
OptionalAddress = Annotated[str, AfterValidator(_check_optional)]


class Section(BaseModel):
    """Base of all sections; unknown keys are rejected."""

    model_config = ConfigDict(frozen=True, extra="forbid")


class Durations(Section):
    """Time limits, in seconds.

    Attributes
    ----------
    stop
        From the request to stop until the process must have ended.
    lease
        Shortest time between the orders of two holders to one engine.
    keep_steps
        How long a closed step stays readable.
    """

    stop: float = Field(default=8.0, gt=0, le=3600)
    lease: float = Field(default=3.0, gt=0, le=60)
    keep_steps: float = Field(default=120.0, gt=0, le=86_400)


class Processor(Section):
    """The part of the machine's processor that the process may use.

    Attributes
    ----------
    share
        Fraction of one core's time.
    cores
        Speed of that part relative to one core.
    """

    share: float = Field(default=1.0, gt=0, le=1024)
    cores: float = Field(default=1.0, gt=0, le=1024)

    @property
    def speed(self) -> float:
        """Cores that the process has in effect."""
        return self.share * self.cores


class Usage(Section):
    """Usage reports to the operator, in seconds.

    Attributes
    ----------
    window
        Length of the windows by which requests are counted; 0 if none are reported.
    late
        How long after its window a report still counts.
    """

    window: float = Field(default=0.0, ge=0, le=86_400)
    late: float = Field(default=10.0, gt=0, le=86_400)


class OperatorApi(Section):
    """The operator's API.

    Attributes
    ----------
    address
        Its address; empty if there is none.
    duties
        Calls that one gateway at a time, the leader, must make there.
    """

    address: OptionalAddress = ""
    duties: tuple[str, ...] = ()


class Scaling(Section):
    """Scaling of the number of engines.

    Attributes
    ----------
    policy
        Policy by which engines are ordered, if the operator makes that a duty and a service's row
        gives their numbers; `leave` orders none.
    """

    policy: PolicyName = PolicyName.LEAVE


class Keys(Section):
    """Handling of tenants' keys while a gateway receives no changes.

    Attributes
    ----------
    fail_closed
        Whether keys are refused once no configuration update was possible for `unheard`.
    unheard
        That time, in seconds.
    """

    fail_closed: bool = False
    unheard: float = Field(default=5.0, gt=2.0, le=3600)


class News(Section):
    """Time within which a change in the store must take effect here, in seconds.

    Attributes
    ----------
    configuration
        From the store's acknowledgement of a configuration until it affects requests.
    engines
        The same for a leaving engine, until no request goes to it.
    """

    configuration: NewsSeconds = Field(default=4.0, le=3600)
    engines: NewsSeconds = Field(default=4.0, le=3600)


class Evacuation(Section):
    """Zone evacuations requested by the operator.

    Attributes
    ----------
    within
        Seconds after which no request may reach an engine of the zone; 0 if none are requested.
    """

    within: EvacuationSeconds = Field(default=0.0, ge=0, le=3600)


class Cold(Section):
    """What all machines together may send to a cold engine in any second.

    The engine's rate from its service's row times `excess`, plus `slack` requests.
    """

    excess: float = Field(default=1.0, ge=0, le=1000)
    slack: float = Field(default=0.0, ge=0, le=100_000)


class Losses(Section):
    """Simultaneous losses with which all promises are kept, besides `losses` replicas.

    Attributes
    ----------
    zones, regions
        Whole ones, each with all of its replicas.
    """

    zones: int = Field(default=0, ge=0, le=5)
    regions: int = Field(default=0, ge=0, le=5)


class GatewaySettings(Section):
    """Settings of one gateway.

    Attributes
    ----------
    callers, readiness, links
        Addresses to listen on: for callers and trainers, for readiness and metrics, for the other
        gateways. The kernel chooses the port if it is 0.
    announced_links
        Address at which others reach `links`; empty if it is the listening address.
    store
        Address of the platform's object store.
    metrics
        Address to listen on for scrapes; empty if there is none.
    losses
        Replicas with their disks that may be lost at the same time.
    regions
        Region by zone, of all zones; empty if all are in one region.
    rate_excess
        Fraction by which all gateways together may exceed a tenant's rate.
    """

    name: str
    zone: str
    callers: AddressText
    readiness: AddressText
    links: AddressText
    announced_links: OptionalAddress = ""
    store: AddressText
    metrics: OptionalAddress = ""
    losses: int = Field(default=1, ge=0, le=5)
    log_level: str = "info"
    durations: Durations = Durations()
    processor: Processor = Processor()
    usage: Usage = Usage()
    operator: OperatorApi = OperatorApi()
    scaling: Scaling = Scaling()
    keys: Keys = Keys()
    news: News = News()
    regions: dict[str, str] = Field(default_factory=dict)
    places_lost: Losses = Losses()
    evacuation: Evacuation = Evacuation()
    cold: Cold = Cold()
    rate_excess: float = Field(default=0.1, ge=0, le=10)

    @property
    def tolerance(self) -> Tolerance:
        """Losses that are tolerated at the same time."""
        return Tolerance(self.losses, self.places_lost.zones, self.places_lost.regions)

    @property
    def wanted_replicas(self) -> int:
        """Number of replicas that a group should have."""
        return self.tolerance.smallest_size


class ReplicaSettings(Section):
    """Settings of one replica.

    Attributes
    ----------
    links
        Address to listen on for the gateways.
    announced_links
        Address at which they reach it; empty if it is the listening address.
    data_folder
        Folder on the small disk.
    metrics
        Address to listen on for scrapes; empty if there is none.
    first_start
        Whether this is the first start of the whole system.
    regions
        Region by zone, of all zones; empty if all are in one region.
    """

    name: str
    zone: str
    links: AddressText
    announced_links: OptionalAddress = ""
    store: AddressText
    metrics: OptionalAddress = ""
    data_folder: Path
    first_start: bool = False
    log_level: str = "info"
    regions: dict[str, str] = Field(default_factory=dict)
    evacuation: Evacuation = Evacuation()
