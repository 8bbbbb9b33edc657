"""A request's contents are decoded once, without interpretation."""

import math

import pytest
from result import Err, Ok

from pondtiller.httpio.messages import parse_target
from pondtiller.platform import requests
from pondtiller.platform.requests import CallerRequest, RequestTarget, ResultsRead
from pondtiller.routes.tenants import digest_of


def read(target: str = "/quote/1?a=b", *headers: tuple[str, str]) -> CallerRequest:
    return requests.read_request(parse_target("POST", target, headers, b"body"))


def test_a_request_is_read_whole() -> None:
    headers = (
        ("host", "App.example"),
        ("request-id", "q1"),
        ("request-deadline", "1500"),
        ("credential", "key"),
    )
    assert read("/quote/%31?a=b", *headers) == CallerRequest(
        target=RequestTarget.ROUTED,
        identifier="q1",
        step="",
        host="App.example",
        method="POST",
        path="/quote/1",
        request_target="/quote/%31?a=b",
        headers=headers,
        body=b"body",
        seconds=1.5,
        key_digest=digest_of("key"),
    )


def test_missing_parts_are_empty() -> None:
    request = read()
    assert (request.identifier, request.host, request.step) == ("", "", "")
    assert request.seconds is None and request.key_digest is None


@pytest.mark.parametrize("text", ["soon", "", "1,5"])
def test_a_wait_that_is_no_number_counts_as_missing(text: str) -> None:
    assert read("/p", ("request-deadline", text)).seconds is None


def test_an_implausible_wait_is_kept() -> None:
    assert read("/p", ("request-deadline", "-5")).seconds == -0.005
    assert read("/p", ("request-deadline", "inf")).seconds == math.inf
    assert math.isnan(read("/p", ("request-deadline", "nan")).seconds or 0.0)


def test_the_first_identifier_and_wait_count_and_the_last_host() -> None:
    request = read(
        "/p",
        ("request-id", "a"),
        ("request-id", "b"),
        ("request-deadline", "1000"),
        ("request-deadline", "2000"),
        ("host", "first"),
        ("host", "last"),
    )
    assert (request.identifier, request.seconds, request.host) == ("a", 1.0, "last")


def test_several_keys_or_an_empty_one_are_none() -> None:
    assert read("/p", ("credential", "")).key_digest is None
    assert read("/p", ("credential", "a"), ("credential", "a")).key_digest is None


@pytest.mark.parametrize(
    ("path", "target", "step"),
    [
        ("/pondtiller/lots/s%201?since_rev=3", RequestTarget.STEP, "s 1"),
        ("/pondtiller/lots/", RequestTarget.STEP, ""),
        ("/pondtiller/lots", RequestTarget.ROUTED, ""),
        ("/pondtiller/items/s1/x?id=a", RequestTarget.SAMPLE, "s1/x"),
        ("/x/pondtiller/lots/s1", RequestTarget.ROUTED, ""),
    ],
)
def test_the_path_names_a_step_a_sample_or_neither(
    path: str, target: RequestTarget, step: str
) -> None:
    request = read(path)
    assert (request.target, request.step) == (target, step)


def test_which_results_are_wanted() -> None:
    def wanted(query: str, *headers: tuple[str, str]) -> object:
        return requests.read_results_read(parse_target("GET", f"/p{query}", headers, b""))

    assert wanted("") == Ok(ResultsRead(0, 0.0))
    assert wanted("?since_rev=7", ("wait-ms", "300")) == Ok(ResultsRead(7, 0.3))
    assert wanted("?since_rev=&since_rev=-2", ("wait-ms", "")) == Ok(ResultsRead(-2, 0.0))
    assert isinstance(wanted("?since_rev=x"), Err)
    assert isinstance(wanted("", ("wait-ms", "long")), Err)


def test_which_sample_is_wanted() -> None:
    def wanted(target: str) -> str:
        return requests.sample_name(parse_target("GET", target, (), b""))

    assert wanted("/p?id=a&id=b%2F1") == "b/1"
    assert wanted("/p?id=") == wanted("/p") == ""


@pytest.mark.parametrize("position", ["1" + "0" * 400, str(2**63), "-1" + "0" * 400])
def test_a_position_out_of_range_is_rejected(position: str) -> None:
    """Guards against a number that ends the link to the leader."""
    received = parse_target("GET", f"/pondtiller/lots/s?since_rev={position}", (), b"")
    assert isinstance(requests.read_results_read(received), Err)


def test_a_wait_for_results_that_is_not_a_number_is_rejected() -> None:
    """Guards against an internal error."""
    received = parse_target("GET", "/pondtiller/lots/s", (("wait-ms", "nan"),), b"")
    assert isinstance(requests.read_results_read(received), Err)
