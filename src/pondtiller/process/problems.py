"""Parses TOML into validated models and describes errors.

Uses pydantic for validation. A problem names file, key and reason; unknown keys are reported, never
ignored.
"""

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result

Model = TypeVar("Model", bound=BaseModel)


@dataclass(frozen=True, slots=True)
class Problem:
    """One error in a file: file, key and reason."""

    file: str
    key: str
    reason: str

    def describe(self) -> str:
        """Return the problem as one line."""
        return f"{self.file}: {self.key}: {self.reason}"


def load_toml(path: Path, model: type[Model]) -> Result[Model, list[Problem]]:
    """Read a TOML file into `model`."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err([Problem(str(path), "file", str(error))])
    return parse_toml(text, str(path), model)


def parse_toml(text: str, name: str, model: type[Model]) -> Result[Model, list[Problem]]:
    """Parse TOML text into `model`; `name` is used in the problems."""
    try:
        return Ok(model.model_validate(tomllib.loads(text)))
    except tomllib.TOMLDecodeError as error:
        return Err([Problem(name, "syntax", str(error))])
    except ValidationError as error:
        return Err(
            [
                Problem(name, ".".join(map(str, item["loc"])) or "file", item["msg"])
                for item in error.errors()
            ]
        )
