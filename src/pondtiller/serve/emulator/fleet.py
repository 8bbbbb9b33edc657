"""Settings of the stand-ins of a deployment, and their entries in the list of machines.

Pure: the emulator and the simulation build the same engines and trainers from one deployment.
"""

from typing import TypedDict

from pondtiller.address import Address
from pondtiller.serve.deployment import Deployment
from pondtiller.serve.emulator.engine import EngineSettings
from pondtiller.serve.emulator.trainer import TrainerSettings
from pondtiller.table.sheet import Sheet


class FleetEntry(TypedDict):
    """An engine in the platform's list of machines, as `systems.fleet` reads it.

    Attributes
    ----------
    slots
        Requests that the engine batches at a time.
    generation
        Counts the lives of an engine under one name.
    """

    name: str
    zone: str
    host: str
    port: int
    slots: int
    models: list[str]
    generation: int
    leaving: bool


def engine_settings(deployment: Deployment) -> list[EngineSettings]:
    """Return the settings of all engines, spread over the zones in turn."""
    return [
        EngineSettings(
            name=f"{group.name}-{number}",
            zone=deployment.zones[number % len(deployment.zones)],
            models=group.models,
            slots=group.slots,
            step_seconds=group.step_seconds,
            step_seconds_a_request=group.step_seconds_a_request,
            chunk_tokens=group.chunk_tokens,
            swap_seconds=group.swap_seconds,
        )
        for group in deployment.engines
        for number in range(group.count)
    ]


def trainer_settings(deployment: Deployment) -> list[TrainerSettings]:
    """Return the settings of all trainers."""
    return [
        TrainerSettings(
            name=trainer.name,
            zone=deployment.zones[0],
            samples=trainer.samples,
            group=trainer.group,
            maximum_tokens=trainer.maximum_tokens,
            train_seconds=trainer.train_seconds,
        )
        for trainer in deployment.trainers
    ]


def first_sheet(deployment: Deployment) -> Sheet:
    """Return the table that the deployment begins with."""
    return Sheet(rows=tuple(sorted(deployment.table, key=lambda row: (row.kind, row.name))))


def fleet_entry(settings: EngineSettings, address: Address) -> FleetEntry:
    """Return an engine's entry in the platform's list of machines."""
    return {
        "name": settings.name,
        "zone": settings.zone,
        "host": address.host,
        "port": address.port,
        "slots": settings.slots,
        "models": list(settings.models),
        "generation": 1,
        "leaving": False,
    }
