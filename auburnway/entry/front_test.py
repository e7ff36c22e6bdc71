import json
import socket
import threading

import pytest

from auburnway.core import answer as answer_lib
from auburnway.core import clock as clock_lib
from auburnway.demo import fleet
from auburnway.entry import front as front_lib
from auburnway.entry import settings as settings_lib
from auburnway.kernel import mailbox as mailbox_lib
from auburnway.kernel import process

TIMEOUT_S = 10.0


def echo(body, headers, respond):
    respond(
        answer_lib.RenderedAnswer(200, json.dumps({"size": len(body)}).encode())
    )


@pytest.fixture(name="served")
def fixture_served():
    (port,) = fleet.free_ports(1)
    settings = settings_lib.EntrySettings(
        name="e",
        data_center="d",
        address=f"127.0.0.1:{port}",
        peer_address="127.0.0.1:0",
        control_addresses=(),
        token="t",
        max_body_bytes=2048,
        max_header_bytes=1024,
        max_connections=4,
        request_read_timeout_ms=300.0,
        idle_connection_ms=1000.0,
    )
    loop = process.Loop(clock_lib.SystemClock())
    front = front_lib.Front(
        settings, loop.clock, loop.timers, {("POST", "/v1/x"): echo}
    ).register(loop.root)
    mailbox = mailbox_lib.Mailbox().register(loop.root)
    thread = threading.Thread(target=loop.run, daemon=True)
    thread.start()
    yield ("127.0.0.1", port), front, mailbox
    loop.stop()
    thread.join(TIMEOUT_S)


@pytest.fixture(name="address")
def fixture_address(served):
    return served[0]


def exchange(address, data):
    """Sends bytes; returns all bytes received until the server closes."""
    with socket.create_connection(address, TIMEOUT_S) as sock:
        sock.sendall(data)
        received = b""
        while True:
            try:
                chunk = sock.recv(65536)
            except ConnectionResetError:
                break
            if not chunk:
                break
            received += chunk
        return received


def request(body=b"{}", extra=b"", path=b"/v1/x", length=None):
    length = str(len(body)).encode() if length is None else length
    return (
        b"POST %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n%s"
        b"Content-Length: %s\r\n\r\n%s" % (path, extra, length, body)
    )


@pytest.mark.parametrize(
    ("data", "status", "code"),
    [
        (request(path=b"/nothing"), b"404", b"not_found"),
        (request(body=b"x" * 3000), b"413", b"body_too_large"),
        (request(body=b"x" * 9000), b"413", b"body_too_large"),
        (request(length=b"abc"), b"400", b"bad_request"),
        (b"not http at all\r\n\r\n", b"400", b"bad_request"),
        (b"POST /v1/x HTTP/1.1\r\n", b"408", b"request_timeout"),
        (request(length=b"50"), b"408", b"request_timeout"),
    ],
    ids=[
        "unknown path",
        "body over limit",
        "body far over limit",
        "length is not a number",
        "not HTTP",
        "slow header",
        "slow body",
    ],
)
def test_bad_input_gets_a_4xx_with_an_error_code(address, data, status, code):
    # Guards against a hang, a traceback or a close without a response.
    received = exchange(address, data)
    assert received.split(b" ", 2)[1] == status
    assert code in received


def test_good_request_is_answered_and_connection_kept(address):
    data = request().replace(b"Connection: close\r\n", b"")
    with socket.create_connection(address, TIMEOUT_S) as sock:
        for _ in range(3):
            sock.sendall(data)
            received = b""
            while b'"size": 2' not in received:
                received += sock.recv(65536)


def test_idle_connection_is_closed(address):
    assert exchange(address, b"") == b""


def test_connections_over_the_limit_are_closed(address):
    connections = [
        socket.create_connection(address, TIMEOUT_S) for _ in range(4)
    ]
    assert exchange(address, request()) == b""
    for sock in connections:
        sock.close()


def test_leaving_entry_ends_kept_connections_after_their_response(served):
    # Guards against a caller that reuses its connection to a leaving entry
    # until the process ends and breaks the connection.
    address, front, mailbox = served
    data = request().replace(b"Connection: close\r\n", b"")
    with socket.create_connection(address, TIMEOUT_S) as sock:
        mailbox.post(front.close_after_response)
        sock.sendall(data)
        received = b""
        while chunk := sock.recv(65536):
            received += chunk
    assert b'"size": 2' in received
    assert b"onnection: close" in received
