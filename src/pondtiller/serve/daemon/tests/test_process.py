"""Health, metrics and bad input at the sockets; the daemon keeps serving."""

import json
import socket

import httpx2 as httpx
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from pondtiller import wire

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=8,
)
PATHS = (
    "/v1/completions",
    "/v1/chat/completions",
    "/v1/trainers/drawing-policy/steps",
    "/v1/trainers/drawing-policy/versions",
    "/v1/trainers/x/steps/1/acknowledgements",
)
FUZZ = settings(
    derandomize=True,
    max_examples=40,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)


def assert_healthy(service):
    assert httpx.get(f"{service.url()}/healthz").json() == {"status": "ok"}


def test_ready_healthy_and_measured(service):
    assert_healthy(service)
    ready = httpx.get(f"{service.url()}/readyz")
    assert (ready.status_code, ready.json()["ready"]) == (200, True)
    text = httpx.get(f"{service.url()}/metrics").text
    assert "pondtiller_members_live 6.0" in text
    assert "pondtiller_peer_bytes_sent_total" in text


def test_unknown_path_and_method_are_answered(service):
    cases = (
        ("GET", "/nothing", 404, "not_found"),
        ("DELETE", "/v1/completions", 405, "method_not_allowed"),
        ("POST", "/metrics", 405, "method_not_allowed"),
    )
    for method, path, status, code in cases:
        response = httpx.request(method, service.url() + path)
        assert (response.status_code, response.json()["error"]["code"]) == (status, code)


@FUZZ
@given(st.sampled_from(PATHS), JSON_VALUES)
def test_any_json_gets_a_clear_error(service, path, value):
    response = httpx.post(service.url() + path, content=json.dumps(value).encode())
    assert response.status_code in (400, 404)
    assert response.json()["error"]["message"]


@FUZZ
@given(st.binary(max_size=300))
def test_any_bytes_leave_the_daemon_serving(service, data):
    port = service.daemons[0].sockets.http_port
    with socket.create_connection(("127.0.0.1", port), timeout=10) as connection:
        connection.sendall(data + b"\r\n\r\n")
        connection.shutdown(socket.SHUT_WR)
        while connection.recv(65_536):
            pass
    assert_healthy(service)


@FUZZ
@given(st.binary(max_size=300))
def test_any_datagram_leaves_the_daemon_serving(service, data):
    address = ("127.0.0.1", service.daemons[0].sockets.peer_port)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(data, address)
    assert_healthy(service)


def test_envelope_without_a_body_is_ignored(service):
    address = ("127.0.0.1", service.daemons[0].sockets.peer_port)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(bytes(wire.Envelope(sender="nobody", incarnation=1)), address)
    assert_healthy(service)


def exchange(service, data):
    port = service.daemons[0].sockets.http_port
    with socket.create_connection(("127.0.0.1", port), timeout=10) as connection:
        connection.sendall(data)
        received = b""
        while piece := connection.recv(65_536):
            received += piece
        return received


def test_body_announced_as_too_large_is_refused_before_it_is_sent(service):
    head = b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n"
    received = exchange(service, head)
    assert received.startswith(b"HTTP/1.1 413 ")
    assert b'"body_too_large"' in received
    assert_healthy(service)


def test_malformed_request_line_and_endless_headers_are_refused(service):
    assert exchange(service, b"NONSENSE\r\n\r\n").startswith(b"HTTP/1.1 400 ")
    endless = b"GET / HTTP/1.1\r\n" + b"X: y\r\n" * 20_000
    assert exchange(service, endless).startswith(b"HTTP/1.1 400 ")
    assert_healthy(service)


def test_request_cut_off_in_its_body_leaves_nothing_behind(service):
    port = service.daemons[0].sockets.http_port
    before = len(service.daemons[0].runtime.answers)
    for _ in range(20):
        with socket.create_connection(("127.0.0.1", port), timeout=10) as connection:
            connection.sendall(b"POST /v1/completions HTTP/1.1\r\nContent-Length: 50\r\n\r\n{")
    assert_healthy(service)
    assert len(service.daemons[0].runtime.answers) == before
