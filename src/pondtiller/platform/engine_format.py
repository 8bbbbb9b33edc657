"""Engines on the platform: their list entries, reports, orders, requests and events."""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from pondtiller.address import Address
from pondtiller.platform import names
from pondtiller.rollouts.versions import OrderVersion
from pondtiller.routes.engines import name_of
from pondtiller.routes.tenants import digest_of
from pondtiller.wire.steplog import Sample

Headers = tuple[tuple[str, str], ...]

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
OWN_HEADERS = frozenset({names.DEADLINE, names.EXPECT_ENGINE, names.EXPECT_VERSION})
CALLER_HEADERS = frozenset({names.CALLER_KEY, names.TENANT})
"""What says who calls: engines get neither a key nor a tenant that a caller claims to be."""
HIGHEST_PORT = 65_535
MISDIRECTED = 421
"""Status of an engine that a request was not meant for: another start of it may be at its place."""


def is_whole(given: Any) -> bool:
    """Return whether a value is a whole number; true and false are none."""
    return isinstance(given, int) and not isinstance(given, bool)


def started_ms(given: Any) -> int:
    """Return when an engine started, in ms since 1970; 0 where no whole number is given."""
    return int(given) if is_whole(given) and given > 0 else 0


def address(text: Any) -> Address:
    """Read IP:PORT; raises `ValueError` where it is none."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdecimal() or not 0 < int(port) <= HIGHEST_PORT:
        raise ValueError("no address")
    return Address(host, int(port))


def _models(given: dict[str, Any]) -> dict[str, int]:
    return {each["name"]: int(each["version"]) for each in given.get("models") or ()}


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine says of itself."""

    models: dict[str, int]
    orders_taken: int
    is_busy: bool
    started_ms: int = 0


def engine_report(body: bytes) -> EngineReport | None:
    """Read an engine's report; None where it is none."""
    try:
        given = json.loads(body)
        orders = int(given.get("sequence") or 0)
        started = started_ms(given.get("born"))
        return EngineReport(_models(given), orders, bool(given.get("busy")), started)
    except (KeyError, TypeError, ValueError, AttributeError):
        return None


def order_body(order: OrderVersion, holder: str, fence: int) -> bytes:
    """Return the body of an order for a version."""
    return json.dumps(
        {
            "operation": "version",
            "model": order.model,
            "version": order.version,
            "mode": "wait" if order.must_wait else "retain",
            "holder": holder,
            "fencing_token": fence,
            "if_rev": order.orders_taken,
        }
    ).encode()


def order_headers(engine: str) -> Headers:
    """Return the headers of an order, which only this start of the engine takes."""
    return ((names.EXPECT_ENGINE, name_of(engine)),)


def key_digest(headers: Headers) -> str | None:
    """Return the digest of the key that a caller shows; None where it shows none, or several."""
    shown = [value for name, value in headers if name == names.CALLER_KEY]
    return digest_of(shown[0]) if len(shown) == 1 and shown[0] else None


def tenant_headers(received: Headers, tenant: str) -> Headers:
    """Return a caller's headers with its tenant in place of its key and of what it claims."""
    kept = tuple(each for each in received if each[0] not in CALLER_HEADERS)
    return (*kept, (names.TENANT, tenant)) if tenant else kept


def forwarded_headers(received: Headers, engine: str, seconds_left: float) -> Headers:
    """Return a caller's headers as an engine gets them."""
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
    """Return an engine's headers as the caller gets them."""
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
    """Return the headers of a sample's run."""
    given = tuple((each.name.lower(), each.value) for each in sample.headers)
    own = tenant_headers(given, tenant)
    headers: Headers = (
        ("host", host),
        (names.REQUEST_ID, sample.id),
        *(each for each in own if each[0] not in HOP_HEADERS and each[0] != "host"),
        (names.EXPECT_ENGINE, name_of(engine)),
        (names.PRIORITY, str(min(9, priority))),
    )
    if last_event:
        headers += ((names.LAST_EVENT, str(last_event)),)
    if version is not None:
        headers += ((names.EXPECT_VERSION, str(version)),)
    return headers


def scorer_headers(request: str, host: str, content: bytes) -> Headers:
    """Return the headers of a scorer's request as a caller would send them."""
    return (("host", host), (names.REQUEST_ID, request), ("content-length", str(len(content))))


def header(headers: Headers, name: str) -> str | None:
    """Return a header's value by its lower-case name."""
    for each, value in headers:
        if each == name:
            return value
    return None


def request_id(headers: Headers) -> str:
    """Return a request's identifier, or empty text."""
    return header(headers, names.REQUEST_ID) or ""


def caller_seconds(headers: Headers) -> float | None:
    """Return how long the caller waits, or None where it does not say."""
    text = header(headers, names.DEADLINE)
    try:
        return float(text) / 1000.0 if text is not None else None
    except ValueError:
        return None


def signature(headers: Headers) -> str | None:
    """Return the engine's signature of an answer."""
    return header(headers, names.SIGNATURE)


def is_not_run(status: int, headers: Headers) -> bool:
    """Return whether an engine's answer proves that it did not run the request."""
    return status == MISDIRECTED or header(headers, names.NOT_RUN) is not None


def names_request(headers: Headers, request: str) -> bool:
    """Return whether an answer belongs to a request."""
    return header(headers, names.REQUEST_ID) == request


def answer_version(headers: Headers) -> int:
    """Return the version of the weights with which an answer begins; 0 where none is named."""
    text = header(headers, names.VERSIONS) or "0"
    return int(text) if text.isdecimal() else 0


def expected_tokens(sample: Sample) -> float:
    """Return how many tokens a sample is expected to make: the hint, or the most allowed."""
    given = {each.name.lower(): each.value for each in sample.headers}
    for text in (given.get(names.LENGTH_HINT), (given.get(names.TOKENS) or "").rpartition(",")[2]):
        try:
            return float(text or "")
        except ValueError:
            continue
    return float(sample.tokens)


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event of an engine's stream."""

    number: int
    data: str
    version: int | None


class EventReader:
    """Cuts an engine's stream into whole events."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_rest(self) -> bool:
        """Whether the stream stands within an event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Take bytes and return the events that are whole."""
        self._buffer += data.replace(b"\r\n", b"\n")
        while True:
            block, separator, rest = self._buffer.partition(b"\n\n")
            if not separator:
                return
            self._buffer = rest
            yield _event(block.decode("utf-8", "surrogateescape"))


def _event(block: str) -> StreamEvent:
    number, version = -1, None
    data: list[str] = []
    for line in block.split("\n"):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id" and value.isdecimal():
            number = int(value)
        elif name == "data":
            data.append(value)
        elif name == names.VERSIONS and value.isdecimal():
            version = int(value)
    return StreamEvent(number, "\n".join(data), version)


def continued(headers: Headers, last_event: int) -> Headers:
    """Return a request's headers with the event after which its stream goes on."""
    kept = tuple(each for each in headers if each[0] != names.LAST_EVENT)
    return (*kept, (names.LAST_EVENT, str(last_event)))
