"""The pass-through server against raw sockets that play clients."""

import socket

import pytest

from auburnway.net import testing
from auburnway.net import web_server

LIMITS = web_server.Limits(400, 100, 150.0, 400.0)
GET = b"GET /a?b HTTP/1.1\r\nHost: h\r\n\r\n"


class Rig(testing.Rig):
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
        self.step(5)
        return client

    def read(self, client, wanted):
        received = bytearray()

        def done():
            try:
                received.extend(client.recv(4096))
            except TimeoutError:
                pass
            return wanted in received

        self.turn(done)
        return bytes(received)

    def is_closed(self, client):
        def done():
            try:
                return client.recv(4096) == b""
            except TimeoutError:
                return False
            except ConnectionResetError:
                return True

        self.turn(done)
        return True


@pytest.fixture(name="rig")
def _rig():
    made = Rig()
    yield made
    made.server.close()


def test_request_and_reply_as_sent(rig):
    client = rig.connect(
        b"POST /p?q=1 HTTP/1.1\r\nHost: h\r\nX-One: 1\r\nX-One: 2\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    rig.turn(lambda: rig.requests)
    request = rig.requests[0]
    assert (request.method, request.target) == (b"POST", b"/p?q=1")
    assert request.body == b"abcde"
    assert [v for n, v in request.headers if n == b"X-One"] == [b"1", b"2"]
    request.reply(200, ((b"X-Two", b"3"),), b"body")
    got = rig.read(client, b"body")
    assert got.startswith(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Two: 3")


def test_pipelined_requests_are_answered_in_order(rig):
    client = rig.connect(GET + GET.replace(b"/a", b"/c"))
    rig.turn(lambda: rig.requests)
    assert len(rig.requests) == 1
    rig.requests[0].reply(200, (), b"one")
    rig.turn(lambda: len(rig.requests) == 2)
    rig.requests[1].reply(200, (), b"two")
    got = rig.read(client, b"two")
    assert got.index(b"one") < got.index(b"two")


def test_owner_learns_that_the_client_left(rig):
    # Work must stop at the backend servers when nobody waits any more.
    client = rig.connect(GET)
    rig.turn(lambda: rig.requests)
    gone = []
    rig.requests[0].on_gone = lambda: gone.append(1)
    client.close()
    rig.turn(lambda: gone)
    rig.requests[0].reply(200, (), b"late")


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
def test_unreadable_request_is_answered_and_closed(rig, data, status):
    # A request hidden in another one must never reach a backend server.
    client = rig.connect(data)
    rig.read(client, b"HTTP/1.1 %d " % status)
    assert rig.is_closed(client)
    assert rig.requests == []


def test_idle_connection_is_closed_silently(rig):
    client = rig.connect()
    assert rig.is_closed(client)


def test_busy_connection_outlasts_the_idle_time(rig):
    client = rig.connect(GET)
    rig.turn(lambda: rig.requests)
    rig.step(300)
    rig.requests[0].reply(200, (), b"late")
    rig.read(client, b"late")


def test_expectation_is_met(rig):
    client = rig.connect(
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
        b"Expect: 100-continue\r\n\r\n"
    )
    rig.read(client, b"100 Continue")
    client.sendall(b"ab")
    rig.turn(lambda: rig.requests)
    assert rig.requests[0].body == b"ab"


def test_reply_closes_while_the_process_stops(rig):
    rig.server.closes_after_reply = True
    client = rig.connect(GET)
    rig.turn(lambda: rig.requests)
    rig.requests[0].reply(200, (), b"last")
    assert b"Connection: close" in rig.read(client, b"last")
    assert rig.is_closed(client)


def test_head_has_no_body(rig):
    client = rig.connect(GET.replace(b"GET", b"HEAD"))
    rig.turn(lambda: rig.requests)
    rig.requests[0].reply(200, (), b"body")
    got = rig.read(client, b"\r\n\r\n")
    assert b"Content-Length: 4" in got
    assert got.endswith(b"\r\n\r\n")


def test_close_after_the_last_reply_measures_a_round_trip(rig):
    taken = []
    rig.server.on_round_trip = taken.append
    client = rig.connect(
        GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    )
    rig.requests[0].reply(200, (), b"x")
    rig.read(client, b"x")
    assert taken == []
    client.close()
    rig.turn(lambda: taken)
    assert 0 <= taken[0] < 1000


def test_close_of_a_kept_connection_measures_nothing(rig):
    # Guards against the time for which a client keeps a connection idle.
    taken = []
    rig.server.on_round_trip = taken.append
    client = rig.connect(GET)
    rig.requests[0].reply(200, (), b"x")
    rig.read(client, b"x")
    client.close()
    rig.turn(lambda: not rig.server.connections)
    assert taken == []


def test_first_request_of_a_connection_is_marked(rig):
    client = rig.connect(GET)
    rig.requests[0].reply(200, (), b"x")
    client.sendall(GET)
    rig.turn(lambda: len(rig.requests) == 2)
    assert [r.is_first for r in rig.requests] == [True, False]
