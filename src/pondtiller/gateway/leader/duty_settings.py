"""Derives the leader's duties towards the operator from a gateway's settings."""

from pondtiller.address import to_address
from pondtiller.gateway.leader.scaling_duty import ScalingSettings
from pondtiller.gateway.leader.usage_duty import UsageSettings
from pondtiller.httpio.client import HttpClient
from pondtiller.platform.operator_api import OperatorClient, wants_scaling, wants_use
from pondtiller.rollouts.scaling import PolicyName
from pondtiller.settings import GatewaySettings


def usage_settings(settings: GatewaySettings) -> UsageSettings | None:
    """Return what usage is to be reported; None if none is."""
    usage, operator = settings.usage, settings.operator
    if not usage.window or not operator.address or not wants_use(operator.duties):
        return None
    return UsageSettings(usage.window, usage.late, settings.durations.lease)


def scaling_settings(settings: GatewaySettings) -> ScalingSettings | None:
    """Return the settings for ordering engines; None if no engines are ordered."""
    operator, policy = settings.operator, settings.scaling.policy
    if policy is PolicyName.LEAVE or not operator.address or not wants_scaling(operator.duties):
        return None
    return ScalingSettings(policy, settings.durations.lease)


def operator_client(settings: GatewaySettings) -> OperatorClient | None:
    """Return the client of the operator's API; None if the settings name no address."""
    address = settings.operator.address
    if not address:
        return None
    return OperatorClient(to_address(address), settings.name, HttpClient())
