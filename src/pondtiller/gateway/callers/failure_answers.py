"""Answers to callers and trainers whose requests fail."""

from pondtiller.errors import Failure
from pondtiller.gateway.metrics import GatewayMetrics
from pondtiller.httpio.messages import HttpResponse
from pondtiller.httpio.server import Exchange
from pondtiller.routes.retry_after import gateway_retry_after


class FailureAnswers:
    """Sends error answers, and counts each under its row."""

    def __init__(self, metrics: GatewayMetrics) -> None:
        self._metrics = metrics

    async def answer(self, exchange: Exchange, failure: Failure, label: str) -> None:
        """Answer with a failure; the label is its row's name, or empty if no row was found."""
        self._metrics.count(label, failure.kind.value)
        await exchange.respond(response_to(failure))


def response_to(failure: Failure) -> HttpResponse:
    """Return a failure's answer; `Retry-After` is included only if the request was not run."""
    pause = gateway_retry_after(failure)
    headers = (("Retry-After", pause),) if pause is not None else ()
    return HttpResponse(failure.answer.status, failure.describe().encode(), "text/plain", headers)
