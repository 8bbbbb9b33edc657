"""Runs a gateway or a replica as a program: settings, signals, reload. No command line.

Uses `process` for signals and files. Each program's modules are loaded only when it runs, so that a
replica does not need a gateway's memory. The caller determines exit codes.
"""

from pathlib import Path
from typing import Protocol, TypeVar

import curio
from result import Err, Ok, Result

from pondtiller.process import logs
from pondtiller.process.problems import Problem, load_toml
from pondtiller.process.signals import Request, requests
from pondtiller.settings import GatewaySettings, ReplicaSettings

Settings = TypeVar("Settings", GatewaySettings, ReplicaSettings)
Given = TypeVar("Given", GatewaySettings, ReplicaSettings, contravariant=True)


class Process(Protocol[Given]):
    """A program that runs until it is stopped."""

    async def run(self) -> None:
        """Serve until stopped."""

    async def stop(self) -> None:
        """Stop gracefully."""

    def reload(self, settings: Given) -> None:
        """Apply changed settings."""


def run_gateway(path: Path) -> list[Problem]:
    """Run a gateway until it is stopped; return the problems of its settings."""
    from pondtiller.gateway.process import GatewayProcess

    return _run(path, GatewaySettings, GatewayProcess)


def run_replica(path: Path) -> list[Problem]:
    """Run a replica until it is stopped; return the problems of its settings."""
    from pondtiller.replica.process import ReplicaProcess

    return _run(path, ReplicaSettings, ReplicaProcess)


def _run(path: Path, model: type[Settings], make: type) -> list[Problem]:
    match load_toml(path, model):
        case Err(problems):
            return problems
        case Ok(settings):
            return _start(path, settings, model, make)


def _start(path: Path, settings: Settings, model: type[Settings], make: type) -> list[Problem]:
    logs.set_up_decisions(settings.log_level)
    try:
        process: Process[Settings] = make(settings)
    except OSError as error:
        return [Problem(str(path), "addresses or data_folder", str(error))]
    curio.run(_serve, process, path, model)
    return []


async def _serve(process: Process[Settings], path: Path, model: type[Settings]) -> None:
    signals = await curio.spawn(_obey, process, path, model, daemon=True)
    await process.run()
    await signals.cancel()


async def _obey(process: Process[Settings], path: Path, model: type[Settings]) -> None:
    async for request in requests():
        if request is Request.STOP:
            await process.stop()
            continue
        loaded: Result[Settings, list[Problem]] = load_toml(path, model)
        match loaded:
            case Err(problems):
                for problem in problems:
                    logs.decision("settings_refused", reason=problem.describe())
            case Ok(settings):
                process.reload(settings)
