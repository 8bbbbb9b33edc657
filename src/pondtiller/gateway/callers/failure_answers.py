"""How callers and trainers are answered where their request fails."""

from pondtiller.errors import Failure, Ran
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.httpio.messages import HttpResponse
from pondtiller.httpio.server import Exchange

RETRY_AFTER_SECONDS = 0.25
"""When to come back after a request that was not run, in seconds, where the failure knows nothing
better: then another gateway or engine usually takes it. In a burst while the live engines are gone
callers come back after this to the same answer (40 of 59 refused, design note 28). Chosen, not
measured against other values: it is short beside the time limits of live rows, and bounds what one
caller asks of a gateway that refuses to 4 requests a second."""
EXACT_BELOW_SECONDS = 100
"""Below this `Retry-After` has three digits, above it whole seconds: `%g` would write an exponent
from 1000 on. Callers that wait so long do not need the part of a second."""


class FailureAnswers:
    """Answers failures, and counts each under its row."""

    def __init__(self, metrics: GatewayMetrics) -> None:
        self._metrics = metrics

    async def answer(self, exchange: Exchange, failure: Failure, label: str) -> None:
        """Answer a failure; the label is its row's name, or empty where no row was found."""
        self._metrics.count(label, failure.kind.value)
        await exchange.respond(response_to(failure))


def response_to(failure: Failure) -> HttpResponse:
    """Return a failure's answer; `Retry-After` stands only where the request was not run."""
    answer = failure.answer
    headers: tuple[tuple[str, str], ...] = ()
    if answer.ran is Ran.NO and answer.retry_after_seconds is not None:
        headers = (("Retry-After", _retry_after(failure)),)
    return HttpResponse(answer.status, failure.describe().encode(), "text/plain", headers)


def _retry_after(failure: Failure) -> str:
    seconds = failure.retry_after_seconds or RETRY_AFTER_SECONDS
    return f"{seconds:.3g}" if seconds < EXACT_BELOW_SECONDS else f"{seconds:.0f}"
