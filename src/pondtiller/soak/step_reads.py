"""How each step was accepted and read last, to tell why results are missing at a soak's end."""

from pondtiller.process import clock


class StepReads:
    """Notes the acceptance of each step, and its last read at each gateway.

    Attributes
    ----------
    engine_versions
        Version that each engine of the model holds at the end.

    Notes
    -----
    A gateway without a leader answers 503, one that does not know the step 404, and one that lacks
    results 200 with fewer of them.
    """

    def __init__(self) -> None:
        self._began = clock.monotonic()
        self._accepted: dict[str, str] = {}
        self._last_reads: dict[str, dict[int, str]] = {}
        self.engine_versions: dict[str, int] = {}

    def accepted(self, step: str, gateway: int, oldest: int) -> None:
        """Take that a gateway accepted a step, which asks for a version or a newer one."""
        when = f"accepted by g{gateway} at {self._now():.1f} s"
        self._accepted[step] = f"{when}, oldest version {oldest}"

    def read(self, step: str, gateway: int, outcome: str) -> None:
        """Take the outcome of a read."""
        reads = self._last_reads.setdefault(step, {})
        reads[gateway] = f"g{gateway} at {self._now():.1f} s: {outcome}"

    def tell(self, step: str) -> str:
        """Return what is known of a step, as a breach shows it."""
        reads = sorted(self._last_reads.get(step, {}).items())
        last = [text for _, text in reads] or ["never read"]
        held = ", ".join(f"{name} v{each}" for name, each in self.engine_versions.items())
        accepted = self._accepted.get(step, "not accepted here")
        return "; ".join([accepted, *last, f"engines hold {held or 'nothing known'}"])

    def _now(self) -> float:
        return clock.monotonic() - self._began
