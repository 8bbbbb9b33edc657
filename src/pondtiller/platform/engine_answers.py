"""The contents of the head of an engine's answer."""

from pondtiller.platform import names
from pondtiller.platform.headers import Headers, header
from pondtiller.platform.values import whole_of
from pondtiller.routes.live_attempts import AnswerFacts

MISDIRECTED = 421
"""Status of an engine that a request was not meant for: another incarnation may have its
address."""


def signature(headers: Headers) -> str | None:
    """Return the engine's signature of an answer."""
    return header(headers, names.SIGNATURE)


def is_not_run(status: int, headers: Headers) -> bool:
    """Return whether an engine's answer proves that it did not run the request."""
    return status == MISDIRECTED or header(headers, names.NOT_RUN) is not None


def answer_facts(status: int, headers: Headers) -> AnswerFacts:
    """Return the properties of an answer that decide what it means for its request."""
    return AnswerFacts(
        status=status,
        is_not_run=is_not_run(status, headers),
        is_signed=signature(headers) is not None,
    )


def names_request(headers: Headers, request: str) -> bool:
    """Return whether an answer belongs to a request."""
    return header(headers, names.REQUEST_ID) == request


def answer_version(headers: Headers) -> int:
    """Return the version of the weights with which an answer begins; 0 if none is named."""
    return whole_of(header(headers, names.VERSIONS) or "") or 0
