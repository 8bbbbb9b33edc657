"""Requests that are rejected at once, and their answers."""

from dataclasses import replace

import pytest
from result import Err, Ok

from pondtiller.errors import ErrorKind, Failure
from pondtiller.gateway.callers.failure_answers import response_to
from pondtiller.gateway.callers.request_routing import (
    Reason,
    Refusal,
    RequestRouter,
    RoutedRequest,
)
from pondtiller.gateway.callers.table_in_force import TableInForce
from pondtiller.httpio.messages import parse_target
from pondtiller.platform.configuration import route_table, without_keys
from pondtiller.platform.requests import CallerRequest, read_request
from pondtiller.routes.retry_after import RETRY_AFTER_SECONDS
from pondtiller.routes.table import RouteTable
from pondtiller.routes.topology import Topology

ROUTE = {"host": "h", "kind": "safe", "service": "s"}
SPEC = {
    "version": 4,
    "routes": [
        {**ROUTE, "name": "open", "path_prefix": "/open/", "public": True},
        {**ROUTE, "name": "keyed", "path_prefix": "/keyed/"},
        {**ROUTE, "name": "north", "path_prefix": "/north/", "allowed_regions": ["north"]},
        {**ROUTE, "name": "steps", "path_prefix": "/steps/", "kind": "batch"},
    ],
    "services": [{"name": "s"}],
    "tenants": [
        {"name": "anywhere", "api_keys": ["any"]},
        {"name": "southern", "api_keys": ["south"], "allowed_regions": ["south"]},
    ],
}
PLACES = Topology({"z0": "north", "z1": "south"})


def table() -> RouteTable:
    read = route_table(without_keys(SPEC))
    assert isinstance(read, Ok)
    return read.ok_value


def router(known: RouteTable | None = None, are_keys_fresh: bool = True) -> RequestRouter:
    in_force = TableInForce()
    in_force.table = known
    return RequestRouter(in_force, PLACES, lambda: are_keys_fresh)


def request(path: str, key: str = "", host: str = "h") -> CallerRequest:
    headers = (("host", host), *((("credential", key),) if key else ()))
    return read_request(parse_target("POST", path, headers, b""))


def refusal(found: object) -> Refusal:
    assert isinstance(found, Err) and isinstance(found.err_value, Refusal)
    return found.err_value


def test_without_a_table_nothing_is_served() -> None:
    for found in (router().route(request("/open/1")), router().step_owner(request("/"))):
        refused = refusal(found)
        assert refused.reason is Reason.NO_TABLE
        assert refused.failure.kind is ErrorKind.NOT_READY


def test_a_path_without_a_row_is_not_found() -> None:
    refused = refusal(router(table()).route(request("/other/")))
    assert refused == Refusal(Reason.NO_ROUTE, Failure(ErrorKind.NOT_FOUND), "", 4)


def test_a_public_row_is_served_whatever_key_is_shown_and_however_old_the_keys_are() -> None:
    for key in ("", "any", "nobody's"):
        found = router(table(), are_keys_fresh=False).route(request("/open/1", key))
        assert isinstance(found, Ok) and found.ok_value.tenant == ""


def test_a_key_identifies_its_tenant_and_an_unknown_one_none() -> None:
    found = router(table()).route(request("/keyed/1", "any"))
    assert isinstance(found, Ok) and found.ok_value.tenant == "anywhere"
    for key in ("", "nobody's"):
        refused = refusal(router(table()).route(request("/keyed/1", key)))
        assert refused == Refusal(Reason.UNKNOWN_KEY, Failure(ErrorKind.UNKNOWN_KEY), "keyed", 4)


@pytest.mark.parametrize("key", ["any", "nobody's"])
def test_keys_that_may_have_changed_are_refused_as_not_ready(key: str) -> None:
    refused = refusal(router(table(), are_keys_fresh=False).route(request("/keyed/1", key)))
    failure = Failure(ErrorKind.NOT_READY, "keys may have changed")
    assert refused == Refusal(Reason.KEYS_TOO_OLD, failure, "keyed", 4)


def test_a_row_is_narrowed_to_the_homes_of_its_tenant() -> None:
    known = table()
    found = router(known).route(request("/keyed/1", "south"))
    row = known.find("h", "/keyed/1")
    assert row is not None
    assert found == Ok(RoutedRequest(replace(row, homes=frozenset({"south"})), "southern"))


def test_a_row_and_a_tenant_without_a_common_home_are_refused() -> None:
    refused = refusal(router(table()).route(request("/north/1", "south")))
    assert (refused.reason, refused.failure.kind) == (Reason.NO_COMMON_HOME, ErrorKind.NO_ENGINE)
    assert (refused.label, refused.homes) == ("north", frozenset())


def test_a_step_that_would_leave_its_homes_is_refused() -> None:
    refused = refusal(router(table()).route(request("/steps/1", "south")))
    assert refused.reason is Reason.STEP_LEAVES_HOMES
    assert (refused.failure.kind, refused.homes) == (ErrorKind.NO_ENGINE, frozenset({"south"}))
    assert isinstance(router(table()).route(request("/steps/1", "any")), Ok)


def test_steps_of_a_tenant_are_seen_with_its_key_only() -> None:
    path = "/pondtiller/lots/s1"
    assert router(table()).step_owner(request(path, "any")) == Ok("anywhere")
    refused = refusal(router(table()).step_owner(request(path)))
    assert (refused.reason, refused.label) == (Reason.UNKNOWN_KEY, "step")
    without_tenants = replace(table(), tenants=())
    assert router(without_tenants).step_owner(request(path, "nobody's")) == Ok("")


def retry_after(failure: Failure) -> str | None:
    return dict(response_to(failure).headers).get("Retry-After")


def test_only_requests_that_were_not_run_say_when_to_retry() -> None:
    assert retry_after(Failure(ErrorKind.NO_ENGINE)) == str(RETRY_AFTER_SECONDS)
    for kind in (ErrorKind.ENGINE_FAILED, ErrorKind.NOT_FOUND, ErrorKind.UNKNOWN_KEY):
        assert retry_after(Failure(kind)) is None


@pytest.mark.parametrize(
    ("seconds", "text"),
    [(0.04, "0.04"), (1.23456, "1.23"), (99.99, "100"), (100.4, "100"), (3599.6, "3600")],
)
def test_a_pause_is_written_without_an_exponent(seconds: float, text: str) -> None:
    failure = Failure(ErrorKind.LIMIT_REACHED, retry_after_seconds=seconds)
    assert retry_after(failure) == text
