"""Requests and responses as values."""

import json
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request that was read completely.

    Attributes
    ----------
    path
        Path without the query, percent-decoded.
    query
        Parameters of the query; the last value of a name counts.
    headers
        Header values by lower-case name; the last value of a name counts.
    raw_headers
        All headers as received, with names in lower case.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    target: str
    raw_headers: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response with its whole body."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = field(default=())

    def json(self) -> Any:
        """Return the body parsed as JSON; raises `ValueError` if it is not JSON."""
        return json.loads(self.body)


def json_response(
    status: int, value: Any, headers: tuple[tuple[str, str], ...] = ()
) -> HttpResponse:
    """Return a response with a JSON body."""
    return HttpResponse(status, json.dumps(value).encode(), headers=headers)


def parse_target(
    method: str, target: str, raw_headers: tuple[tuple[str, str], ...], body: bytes
) -> HttpRequest:
    """Return a request from its request line, headers and body."""
    parts = urlsplit(target)
    query = dict(parse_qsl(parts.query, keep_blank_values=True))
    path = unquote(parts.path)
    return HttpRequest(method, path, query, dict(raw_headers), body, target, raw_headers)
