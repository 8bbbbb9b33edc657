"""Header lines, and the headers of forwarded requests and answers."""

from pondtiller.platform import names
from pondtiller.routes.engines import name_of
from pondtiller.wire.steplog import Sample

Headers = tuple[tuple[str, str], ...]
"""Names in lower case with values, in the order received."""

HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
"""Headers of a single connection (RFC 9110, section 7.6.1), or of a message's framing on it."""
OWN_HEADERS = frozenset({names.DEADLINE, names.EXPECT_ENGINE, names.EXPECT_VERSION})
"""Headers that each attempt sets itself: a caller's own never reach an engine."""
HIGHEST_PRIORITY = 9
"""Highest rank that an engine accepts on the platform; 0 is served first."""
CALLER_HEADERS = frozenset({names.CALLER_KEY, names.TENANT})
"""Headers that identify the caller: engines get neither a key nor a tenant that a caller claims."""


def tenant_headers(received: Headers, tenant: str) -> Headers:
    """Return a caller's headers with its tenant in place of its key and of its own claims."""
    kept = tuple(each for each in received if each[0] not in CALLER_HEADERS)
    return (*kept, (names.TENANT, tenant)) if tenant else kept


def forwarded_headers(received: Headers, engine: str, seconds_left: float) -> Headers:
    """Return a caller's headers as sent to an engine."""
    kept = tuple(
        (name, value)
        for name, value in received
        if name not in HOP_HEADERS and name not in OWN_HEADERS
    )
    return (
        *kept,
        (names.DEADLINE, str(max(1, int(seconds_left * 1000)))),
        (names.EXPECT_ENGINE, name_of(engine)),
    )


def returned_headers(received: Headers) -> Headers:
    """Return an engine's headers as sent to the caller."""
    return tuple((name, value) for name, value in received if name not in HOP_HEADERS)


def sample_headers(
    sample: Sample,
    host: str,
    engine: str,
    last_event: int,
    version: int | None,
    priority: int,
    tenant: str = "",
) -> Headers:
    """Return the headers of a sample's run.

    Parameters
    ----------
    last_event
        Event after which the stream continues; 0 from the beginning.
    version
        Version of the weights that must produce the sample; None for any.
    """
    given = tuple((each.name.lower(), each.value) for each in sample.headers)
    own = tenant_headers(given, tenant)
    headers: Headers = (
        ("host", host),
        (names.REQUEST_ID, sample.id),
        *(each for each in own if each[0] not in HOP_HEADERS and each[0] != "host"),
        (names.EXPECT_ENGINE, name_of(engine)),
        (names.PRIORITY, str(min(HIGHEST_PRIORITY, priority))),
    )
    if last_event:
        headers += ((names.LAST_EVENT, str(last_event)),)
    if version is not None:
        headers += ((names.EXPECT_VERSION, str(version)),)
    return headers


def scorer_headers(request: str, host: str, content: bytes) -> Headers:
    """Return the headers of a scorer's request, as a caller would send them."""
    return (("host", host), (names.REQUEST_ID, request), ("content-length", str(len(content))))


def header(headers: Headers, name: str) -> str | None:
    """Return a header's value by its lower-case name."""
    for each, value in headers:
        if each == name:
            return value
    return None


def continued(headers: Headers, last_event: int) -> Headers:
    """Return a request's headers with the event after which its stream continues."""
    kept = tuple(each for each in headers if each[0] != names.LAST_EVENT)
    return (*kept, (names.LAST_EVENT, str(last_event)))
