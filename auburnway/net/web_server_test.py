"""Tests of the pass-through server against raw client sockets."""

import dataclasses
import gc
import socket
import weakref

import pytest

from auburnway.net import client_connection
from auburnway.net import testing
from auburnway.net import web_server

LIMITS = web_server.Limits(400, 100, 150.0, 400.0)
GET = b"GET /a?b HTTP/1.1\r\nHost: h\r\n\r\n"


class WebServerHarness(testing.LoopHarness):
    def __init__(self):
        super().__init__()
        probe = socket.create_server(("127.0.0.1", 0))
        self.address = probe.getsockname()
        probe.close()
        self.requests = []
        self.server = web_server.WebServer(
            f"127.0.0.1:{self.address[1]}",
            self.sockets,
            self.loop.timers,
            self.loop.clock,
            self.requests.append,
            LIMITS,
        )

    def connect(self, data=b""):
        client = socket.create_connection(self.address)
        client.settimeout(0.01)
        client.sendall(data)
        self.run_iterations(5)
        return client

    def read(self, client, expected):
        received = bytearray()

        def done():
            try:
                received.extend(client.recv(4096))
            except TimeoutError:
                pass
            return expected in received

        self.run_until(done)
        return bytes(received)

    def is_closed(self, client):
        def done():
            try:
                return client.recv(4096) == b""
            except TimeoutError:
                return False
            except ConnectionResetError:
                return True

        self.run_until(done)
        return True


@pytest.fixture(name="harness")
def _harness():
    harness = WebServerHarness()
    yield harness
    harness.server.close()


def test_request_and_reply_are_passed_on_unchanged(harness):
    client = harness.connect(
        b"POST /p?q=1 HTTP/1.1\r\nHost: h\r\nX-One: 1\r\nX-One: 2\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    harness.run_until(lambda: harness.requests)
    request = harness.requests[0]
    assert (request.method, request.target) == (b"POST", b"/p?q=1")
    assert request.body == b"abcde"
    assert [v for n, v in request.headers if n == b"X-One"] == [b"1", b"2"]
    request.reply(200, ((b"X-Two", b"3"),), b"body")
    reply_bytes = harness.read(client, b"body")
    assert reply_bytes.startswith(
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Two: 3"
    )


def test_pipelined_requests_are_answered_in_order(harness):
    client = harness.connect(GET + GET.replace(b"/a", b"/c"))
    harness.run_until(lambda: harness.requests)
    assert len(harness.requests) == 1
    harness.requests[0].reply(200, (), b"one")
    harness.run_until(lambda: len(harness.requests) == 2)
    harness.requests[1].reply(200, (), b"two")
    reply_bytes = harness.read(client, b"two")
    assert reply_bytes.index(b"one") < reply_bytes.index(b"two")


def test_owner_is_notified_when_the_client_disconnects(harness):
    # Backend servers must stop work on a request that was abandoned.
    client = harness.connect(GET)
    harness.run_until(lambda: harness.requests)
    client_left = []
    harness.requests[0].on_gone = lambda: client_left.append(1)
    client.close()
    harness.run_until(lambda: client_left)
    harness.requests[0].reply(200, (), b"late")


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"NONSENSE\r\n\r\n", 400),
        (GET[:-2] + b"X: " + b"y" * 500 + b"\r\n\r\n", 431),
        (GET[:-2] + b"Content-Length: 101\r\n\r\n", 413),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"65\r\n" + b"z" * 101 + b"\r\n0\r\n\r\n",
            413,
        ),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\n",
            400,
        ),
        (b"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost", 408),
    ],
)
def test_unreadable_request_is_answered_and_closed(harness, data, status):
    # Guards against request smuggling: a request hidden in another request
    # must never reach a backend server.
    client = harness.connect(data)
    harness.read(client, b"HTTP/1.1 %d " % status)
    assert harness.is_closed(client)
    assert harness.requests == []


def test_idle_connection_is_closed_silently(harness):
    client = harness.connect()
    assert harness.is_closed(client)


def test_busy_connection_is_exempt_from_the_idle_timeout(harness):
    client = harness.connect(GET)
    harness.run_until(lambda: harness.requests)
    harness.run_iterations(300)
    harness.requests[0].reply(200, (), b"late")
    harness.read(client, b"late")


def test_expect_continue_is_answered(harness):
    client = harness.connect(
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
        b"Expect: 100-continue\r\n\r\n"
    )
    harness.read(client, b"100 Continue")
    client.sendall(b"ab")
    harness.run_until(lambda: harness.requests)
    assert harness.requests[0].body == b"ab"


def test_reply_closes_the_connection_during_shutdown(harness):
    harness.server.closes_after_reply = True
    client = harness.connect(GET)
    harness.run_until(lambda: harness.requests)
    harness.requests[0].reply(200, (), b"last")
    assert b"Connection: close" in harness.read(client, b"last")
    assert harness.is_closed(client)


def test_reply_to_head_has_no_body(harness):
    client = harness.connect(GET.replace(b"GET", b"HEAD"))
    harness.run_until(lambda: harness.requests)
    harness.requests[0].reply(200, (), b"body")
    reply_bytes = harness.read(client, b"\r\n\r\n")
    assert b"Content-Length: 4" in reply_bytes
    assert reply_bytes.endswith(b"\r\n\r\n")


def test_close_after_the_final_reply_measures_a_round_trip(harness):
    round_trips_ms = []
    harness.server.on_round_trip = round_trips_ms.append
    client = harness.connect(
        GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    )
    harness.requests[0].reply(200, (), b"x")
    harness.read(client, b"x")
    assert round_trips_ms == []
    client.close()
    harness.run_until(lambda: round_trips_ms)
    assert 0 <= round_trips_ms[0] < 1000


def test_close_of_a_persistent_connection_measures_nothing(harness):
    # Guards against counting a client's idle time as a round trip.
    round_trips_ms = []
    harness.server.on_round_trip = round_trips_ms.append
    client = harness.connect(GET)
    harness.requests[0].reply(200, (), b"x")
    harness.read(client, b"x")
    client.close()
    harness.run_until(lambda: not harness.server.connections)
    assert round_trips_ms == []


def test_first_request_of_a_connection_is_marked(harness):
    client = harness.connect(GET)
    harness.requests[0].reply(200, (), b"x")
    client.sendall(GET)
    harness.run_until(lambda: len(harness.requests) == 2)
    assert [r.is_first for r in harness.requests] == [True, False]


def test_many_pipelined_requests_are_answered_in_order(harness):
    # Guards against closing the connection of a client that sends many
    # requests at once, without an answer to any of them.
    count = 2000
    requests = b"".join(
        b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n" % n for n in range(count)
    )
    client = harness.connect()
    client.setblocking(False)
    received, sent, answered = bytearray(), 0, 0

    def is_done():
        nonlocal sent, answered
        try:
            sent += client.send(requests[sent:])
        except BlockingIOError:
            pass
        for request in harness.requests[answered:]:
            request.reply(200, (), request.path)
            answered += 1
        try:
            received.extend(client.recv(1 << 16))
        except BlockingIOError:
            pass
        return answered == count and b"/1999" in received

    harness.run_until(is_done, 20.0)
    paths = [r.path for r in harness.requests]
    assert paths == [b"/%d" % n for n in range(count)]
    client.close()


def test_client_with_many_waiting_requests_is_not_read_from(harness):
    # Guards against waiting requests that fill the memory.
    client = harness.connect()
    client.setblocking(False)
    sent = blocked = 0
    while blocked < 20:
        try:
            sent += client.send(GET * 1000)
            blocked = 0
        except BlockingIOError:
            blocked += 1
        assert sent < 64 << 20
        harness.run_iterations()
    (connection,) = harness.server.connections
    most = (
        client_connection.MAX_PIPELINED
        + client_connection.RECEIVE_BYTES // len(GET)
    )
    assert len(connection._waiting) <= most
    client.close()


@pytest.mark.parametrize(
    "head",
    [
        GET[:-2],
        GET[:-2] + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
    ],
)
def test_small_headers_stop_the_parser_inside_a_block(harness, head):
    # Guards against a block whose objects take a hundred times its size.
    client = harness.connect(head + b"a:\r\n" * 400)
    (connection,) = harness.server.connections
    reply_bytes = harness.read(client, b"\r\n\r\n")
    assert reply_bytes.startswith(b"HTTP/1.1 431")
    assert connection.held_bytes == harness.server.held_bytes == 0
    assert not harness.requests


def test_closed_connection_is_freed_at_once(harness):
    # Guards against the bytes of clients that left, which would stay until the
    # cycle collector runs.
    client = harness.connect(
        GET[:-2] + b"Content-Length: 90\r\n\r\n" + b"a" * 50
    )
    (connection,) = harness.server.connections
    reference = weakref.ref(connection)
    del connection
    assert harness.server.held_bytes >= 50
    gc.disable()
    try:
        client.close()
        harness.run_until(lambda: not harness.server.connections)
        harness.run_iterations(2)
        assert reference() is None
    finally:
        gc.enable()
    assert harness.server.held_bytes == 0


def test_longest_incomplete_request_is_rejected_when_memory_is_used_up(harness):
    # Guards against clients that fill the memory with bodies that never end.
    harness.server.limits = dataclasses.replace(
        LIMITS, body_bytes=3_000, header_timeout_ms=5_000, total_bytes=1_000
    )
    head = GET[:-2] + b"Content-Length: 3000\r\n\r\n"
    small = harness.connect(head + b"a" * 2_000)
    large = harness.connect(head + b"a" * 2_900)
    harness.connect(head + b"a" * 2_500)
    assert harness.read(large, b"\r\n\r\n").startswith(b"HTTP/1.1 503")
    small.sendall(b"a" * 1_000)
    harness.run_until(lambda: harness.requests)
    assert len(harness.requests[0].body) == 3_000


def test_requests_wait_while_their_client_reads_nothing(harness):
    # Guards against replies that fill the memory because a client sends
    # requests and reads no reply.
    body = b"b" * (client_connection.MAX_UNSENT_BYTES // 2)
    client = harness.connect(GET * 60)
    for number in range(60):
        harness.run_iterations(3)
        if len(harness.requests) == number:
            break
        harness.requests[number].reply(200, (), body)
    (connection,) = harness.server.connections
    assert len(connection._unsent) <= 4 * client_connection.MAX_UNSENT_BYTES
    assert len(harness.requests) < 60
    client.settimeout(1.0)
    harness.read(client, b"HTTP/1.1 200 OK")


OFFER = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 5\r\n\r\nhello",
        b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    ],
)
@pytest.mark.parametrize("cut", [0, 10, 60, 95, 118])
def test_request_that_offers_an_upgrade_keeps_its_body(harness, framing, cut):
    # Guards against a request that runs without its body, and against a second
    # answer that the client takes for that of its next request.
    data = GET.replace(b"GET", b"POST")[:-2] + OFFER + framing
    client = harness.connect(data[:cut])
    client.sendall(data[cut:] + GET)
    harness.run_until(lambda: harness.requests)
    assert harness.requests[0].body == b"hello"
    assert harness.requests[0].method == b"POST"
    harness.requests[0].reply(200, (), b"first")
    harness.run_until(lambda: len(harness.requests) == 2)
    harness.requests[1].reply(200, (), b"second")
    answers = harness.read(client, b"second")
    assert answers.count(b"HTTP/1.1 200") == answers.count(b"HTTP/1.1") == 2
    (connection,) = harness.server.connections
    assert connection.held_bytes == 0


def test_request_for_a_tunnel_is_refused_once(harness):
    client = harness.connect(b"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n" + GET)
    answers = harness.read(client, b"\r\n\r\n")
    assert answers.startswith(b"HTTP/1.1 400")
    assert not harness.requests


def test_offer_with_expected_continue_is_continued_once(harness):
    client = harness.connect(
        GET.replace(b"GET", b"POST")[:-2]
        + OFFER
        + b"Expect: 100-continue\r\nContent-Length: 5\r\n\r\n"
    )
    assert harness.read(client, b"\r\n\r\n").count(b"100 Continue") == 1
    client.sendall(b"hello")
    harness.run_until(lambda: harness.requests)
    assert harness.requests[0].body == b"hello"


def test_trailers_are_no_headers(harness):
    # Guards against a trailer that replaces the id of the request.
    harness.connect(
        GET.replace(b"GET", b"POST")[:-2]
        + b"Request-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        + b"1\r\nx\r\n0\r\nRequest-Id: b\r\n\r\n"
    )
    harness.run_until(lambda: harness.requests)
    assert harness.requests[0].fields[b"request-id"] == b"a"
    assert harness.requests[0].body == b"x"
