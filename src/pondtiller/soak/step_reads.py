"""How each step was accepted and read last, to tell why results are missing at a soak's end."""

from pondtiller.process import clock


class StepReads:
    """Notes the acceptance of each step, and its last read at each gateway.

    A gateway without a leader answers 503, one that does not know the step 404, and one that lacks
    results 200 with fewer of them.
    """

    def __init__(self) -> None:
        self._began = clock.monotonic()
        self._accepted: dict[str, str] = {}
        self._last_reads: dict[str, dict[int, str]] = {}

    def accepted(self, step: str, gateway: int) -> None:
        """Take that a gateway accepted a step."""
        self._accepted[step] = f"accepted by g{gateway} at {self._now():.1f} s"

    def read(self, step: str, gateway: int, outcome: str) -> None:
        """Take the outcome of a read."""
        reads = self._last_reads.setdefault(step, {})
        reads[gateway] = f"g{gateway} at {self._now():.1f} s: {outcome}"

    def tell(self, step: str) -> str:
        """Return what is known of a step, as a breach shows it."""
        reads = sorted(self._last_reads.get(step, {}).items())
        last = [text for _, text in reads] or ["never read"]
        return "; ".join([self._accepted.get(step, "not accepted here"), *last])

    def _now(self) -> float:
        return clock.monotonic() - self._began
