"""What a leader does for the operator, by a gateway's settings; owns nothing."""

from pondtiller.address import to_address
from pondtiller.gateway.leader.scaling_duty import ScalingSettings
from pondtiller.gateway.leader.usage_duty import UsageSettings
from pondtiller.httpio.client import HttpClient
from pondtiller.platform.operator_api import OperatorClient, wants_scaling, wants_use
from pondtiller.rollouts.scaling import PolicyName
from pondtiller.settings import GatewaySettings


def usage_settings(settings: GatewaySettings) -> UsageSettings | None:
    """Return what use is to be reported; None where none is."""
    usage, operator = settings.usage, settings.operator
    if not usage.window or not operator.address or not wants_use(operator.duties):
        return None
    return UsageSettings(usage.window, usage.late, settings.durations.lease)


def scaling_settings(settings: GatewaySettings) -> ScalingSettings | None:
    """Return by what engines are ordered; None where none are."""
    operator, policy = settings.operator, settings.scaling.policy
    if policy is PolicyName.LEAVE or not operator.address or not wants_scaling(operator.duties):
        return None
    return ScalingSettings(policy, settings.durations.lease)


def operator_client(settings: GatewaySettings) -> OperatorClient | None:
    """Return the client of the operator's interface; None where the settings name none."""
    address = settings.operator.address
    if not address:
        return None
    return OperatorClient(to_address(address), settings.name, HttpClient())
