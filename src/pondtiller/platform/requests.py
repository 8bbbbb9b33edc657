"""The contents of a caller's or trainer's request, decoded once from path, query and headers.

Has no state and decides nothing: it rejects no request, and knows neither table nor tenants. Relies
on `httpio` for a completely read request. Bodies of steps are parsed by `step_format`.
"""

import math
from enum import Enum, auto
from typing import NamedTuple

from result import Err, Ok, Result

from pondtiller.httpio.messages import HttpRequest
from pondtiller.platform import names
from pondtiller.platform.headers import Headers, header
from pondtiller.platform.values import MAX_INTEGER
from pondtiller.routes.tenants import digest_of


class RequestTarget(Enum):
    """What the path of a request names.

    Attributes
    ----------
    ROUTED
        A path handled by the table's rows: a live request, or a step to submit.
    STEP
        A submitted step: its results are read, or it is ended.
    SAMPLE
        A sample of a submitted step: its body is read.
    """

    ROUTED = auto()
    STEP = auto()
    SAMPLE = auto()


class CallerRequest(NamedTuple):
    """A caller's or trainer's request.

    Attributes
    ----------
    target
        What the path names.
    identifier
        Name chosen by the caller; empty if there is none. For a step to submit, this header and not
        the body names the step.
    step
        Name of the step in the path, as its owner knows it; empty for `ROUTED`. The platform calls
        a step a lot and a sample an item.
    host
        Host header as received; empty if there is none.
    method, path, body, headers
        As received; the path percent-decoded and without its query, header names in lower case.
    request_target
        Path and query as in the request line.
    seconds
        How long the caller waits for the answer, in seconds from its arrival; None if it does not
        say. The header's name says deadline, but it contains a duration in ms, not a time.
    key_digest
        SHA-256 digest of the caller's key; None if there is no key, or several. The header's name
        is credential. The key itself is kept in `headers` only until these are converted to those
        of an engine.
    """

    target: RequestTarget
    identifier: str
    step: str
    host: str
    method: str
    path: str
    request_target: str
    headers: Headers
    body: bytes
    seconds: float | None
    key_digest: str | None


class ResultsRead(NamedTuple):
    """Which results of a step a trainer requests.

    Attributes
    ----------
    position
        How many results it has; those after these are requested. It may be negative. The
        parameter's name says revision, but it counts results and is unrelated to the store's
        revisions.
    wait_seconds
        How long to wait for a result if there is none yet.
    """

    position: int
    wait_seconds: float


def read_request(received: HttpRequest) -> CallerRequest:
    """Return a request's contents; a malformed part counts as missing."""
    target, step = _target_and_step(received.path)
    return CallerRequest(
        target=target,
        identifier=request_id(received.raw_headers),
        step=step,
        host=received.headers.get("host", ""),
        method=received.method,
        path=received.path,
        request_target=received.target,
        headers=received.raw_headers,
        body=received.body,
        seconds=caller_seconds(received.raw_headers),
        key_digest=key_digest(received.raw_headers),
    )


def _target_and_step(path: str) -> tuple[RequestTarget, str]:
    if path.startswith(names.STEPS_PATH):
        return RequestTarget.STEP, path.removeprefix(names.STEPS_PATH)
    if path.startswith(names.SAMPLES_PATH):
        return RequestTarget.SAMPLE, path.removeprefix(names.SAMPLES_PATH)
    return RequestTarget.ROUTED, ""


def read_results_read(received: HttpRequest) -> Result[ResultsRead, str]:
    """Return which results are requested; the error says which value is not a number."""
    try:
        position = int(received.query.get(names.FROM_POSITION) or 0)
        wait_seconds = float(received.headers.get(names.WAIT) or 0) / 1000.0
    except ValueError as error:
        return Err(str(error))
    if abs(position) > MAX_INTEGER or math.isnan(wait_seconds):
        return Err("a number out of range")
    return Ok(ResultsRead(position, wait_seconds))


def sample_name(received: HttpRequest) -> str:
    """Return the name of the sample whose body is requested; empty if none is named."""
    return received.query.get("id") or ""


def request_id(headers: Headers) -> str:
    """Return a request's identifier, or empty text."""
    return header(headers, names.REQUEST_ID) or ""


def caller_seconds(headers: Headers) -> float | None:
    """Return how long the caller waits, in seconds, or None if it does not say."""
    text = header(headers, names.DEADLINE)
    try:
        return float(text) / 1000.0 if text is not None else None
    except ValueError:
        return None


def key_digest(headers: Headers) -> str | None:
    """Return the digest of a caller's key; None if there is no key, or several."""
    shown = [value for name, value in headers if name == names.CALLER_KEY]
    return digest_of(shown[0]) if len(shown) == 1 and shown[0] else None
