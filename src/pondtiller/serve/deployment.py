"""A deployment: zones, latencies, daemons, engines, traffic, trainers and first table.

What the emulator, the demo and the simulation are built from, read from the shipped files or one's
own. Real daemons read `daemon.settings` instead.
"""

from importlib import resources
from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, model_validator
from result import Err, Result

from pondtiller.process.problems import Problem, load_toml, parse_toml
from pondtiller.table.sheet import Name, Row

Seconds = Annotated[float, Field(ge=0, le=86_400, allow_inf_nan=False)]
Count = Annotated[int, Field(ge=1, le=100_000)]


class Section(BaseModel):
    """Base of all sections: unknown keys are refused."""

    model_config = ConfigDict(frozen=True, extra="forbid")


class Latencies(Section):
    """One-way network latencies."""

    same_zone_seconds: Seconds = 0.0002
    between_zones_seconds: Seconds
    clients_seconds: Seconds


class EngineGroup(Section):
    """Engines of one kind, spread over the zones in turn."""

    name: Name
    count: Count
    models: tuple[Name, ...] = Field(min_length=1)
    slots: Count = 32
    step_seconds: float = Field(default=0.012, gt=0, le=10)
    step_seconds_a_request: Seconds = 0.0002
    chunk_tokens: Count = 16
    swap_seconds: Seconds = 0.3


class Traffic(Section):
    """Live requests of one caller class to one service."""

    service: Name
    caller: Name
    requests_a_second: float = Field(gt=0, le=100_000)
    maximum_tokens: Count = 64
    once_share: float = Field(default=0.0, ge=0, le=1)
    stream_share: float = Field(default=0.0, ge=0, le=1)
    burst_factor: float = Field(default=1.0, ge=1, le=100)


class TrainerSection(Section):
    """One trainer; its row must stand in the table."""

    name: Name
    samples: Count = 32
    group: Count = 4
    maximum_tokens: Count = 512
    train_seconds: Seconds = 5.0


class WeightSection(Section):
    """The weight store's rate."""

    transfer_seconds: Seconds = 1.0
    lanes: Count = 8


class Deployment(Section):
    """Everything that the stand-ins, the demo and the simulation are built from."""

    name: Name
    zones: tuple[Name, ...] = Field(min_length=1)
    daemons_a_zone: Count = 2
    latencies: Latencies
    engines: tuple[EngineGroup, ...] = Field(min_length=1)
    traffic: tuple[Traffic, ...] = ()
    trainers: tuple[TrainerSection, ...] = ()
    weights: WeightSection = WeightSection()
    table: tuple[Row, ...] = ()

    @model_validator(mode="after")
    def _check_names(self) -> "Deployment":
        if len(set(self.zones)) != len(self.zones):
            raise ValueError("zones: a zone stands twice")
        keys = {row.key for row in self.table}
        wanted = {f"trainer/{trainer.name}" for trainer in self.trainers}
        for traffic in self.traffic:
            wanted |= {f"service/{traffic.service}", f"caller/{traffic.caller}"}
        missing = sorted(wanted - keys)
        if missing:
            raise ValueError(f"table: rows are missing: {', '.join(missing)}")
        return self


def load_deployment(name_or_path: str) -> Result[Deployment, list[Problem]]:
    """Read a shipped deployment by its name, or a file by its path."""
    if name_or_path in shipped():
        text = resources.files("pondtiller.examples").joinpath(f"{name_or_path}.toml").read_text()
        return parse_toml(text, f"{name_or_path}.toml", Deployment)
    path = Path(name_or_path)
    if not path.suffix:
        known = ", ".join(shipped())
        reason = f"no shipped deployment has this name; there are: {known}"
        return Err([Problem(name_or_path, "deployment", reason)])
    return load_toml(path, Deployment)


def shipped() -> list[str]:
    """Return the names of the deployments that come with the program."""
    folder = resources.files("pondtiller.examples")
    return sorted(
        entry.name.removesuffix(".toml")
        for entry in folder.iterdir()
        if entry.name.endswith(".toml")
    )
