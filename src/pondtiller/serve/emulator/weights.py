"""The weight store: it serves a bounded number of transfers at a bounded rate."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class WeightStore:
    """Transfers of weights, queued over a fixed number of lanes.

    Attributes
    ----------
    transfer_seconds
        Time of one transfer.
    lanes
        Transfers that run at a time.
    """

    transfer_seconds: float = 1.0
    lanes: int = 8
    _free_at: list[float] = field(default_factory=list)

    def fetch(self, now: float) -> float:
        """Queue a transfer and return when it ends."""
        self._free_at = sorted(at for at in self._free_at if at > now)
        if len(self._free_at) < self.lanes:
            end = now + self.transfer_seconds
        else:
            end = self._free_at[-self.lanes] + self.transfer_seconds
        self._free_at.append(end)
        return end
