"""What a daemon reports of itself to its zone's status writer.

Sent between daemons as JSON; the zone's object, which is written from it, is in `systems.status`.
"""

from pydantic import BaseModel, ConfigDict


class RowFigures(BaseModel):
    """Figures of one row on one daemon, since that daemon started."""

    model_config = ConfigDict(frozen=True)

    row: str
    in_flight: int
    queued: int
    answered: int
    refused: int
    failed: int
    tokens: int
    median_seconds: float
    slowest_seconds: float
    samples: int
    staleness: int
    limit_share: int


class DaemonReport(BaseModel):
    """What one daemon says of itself."""

    model_config = ConfigDict(frozen=True)

    table_revision: int
    table_age_seconds: float
    ready: bool
    rows: tuple[RowFigures, ...]
