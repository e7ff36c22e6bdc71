"""Tests of the pass-through client against raw backend server sockets."""

import socket

import pytest

from auburnway.net import exchange
from auburnway.net import reply_reader
from auburnway.net import testing
from auburnway.net import web_client

LIMITS = reply_reader.ReplyLimits(
    header_bytes=10_000, body_bytes=200_000, total_bytes=250_000
)
REQUEST = b"GET / HTTP/1.1\r\n\r\n"


def make_reply(request_id, body, extra=b""):
    head = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n%s\r\n"
    return head % (request_id, len(body), extra) + body


class WebClientHarness(testing.LoopHarness):
    def __init__(self):
        super().__init__()
        self.pool = web_client.WebPool(
            self.sockets,
            self.loop.timers,
            self.loop.clock,
            b"request-id",
            500.0,
            LIMITS,
        )
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(2.0)
        port = self.listener.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.pool.set_limit(self.address, 2)
        self.replies = []

    def send(self, request_id=b"a", **options):
        return self.pool.send(
            self.address, REQUEST, self.replies.append, request_id, **options
        )

    def accept(self):
        self.run_until(lambda: self.pool.connection_count() > 0)
        peer, _ = self.listener.accept()
        peer.settimeout(2.0)
        self.receive(peer)
        return peer

    def receive(self, peer):
        self.run_iterations(10)
        assert peer.recv(4096).endswith(b"\r\n\r\n")

    def result(self, count=1):
        self.run_until(lambda: len(self.replies) >= count)
        return self.replies[count - 1]


@pytest.fixture(name="harness")
def _harness():
    harness = WebClientHarness()
    yield harness
    harness.pool.close()
    harness.listener.close()


def test_late_reply_in_one_read_with_the_expected_one(harness):
    # Guards against merging the two replies into one with both bodies.
    harness.send(b"a")
    peer = harness.accept()
    peer.sendall(make_reply(b"a", b"first"))
    harness.result()
    harness.send(b"b")
    harness.receive(peer)
    peer.sendall(make_reply(b"a", b"again") + make_reply(b"b", b"second"))
    reply = harness.result(2)
    assert (reply.body, reply.fields[b"request-id"]) == (b"second", b"b")
    assert harness.pool.connection_count() == 0


def test_extra_reply_closes_the_connection(harness):
    # Guards against treating an extra reply as the next request's reply.
    harness.send(b"a")
    peer = harness.accept()
    peer.sendall(make_reply(b"a", b"first") + make_reply(b"a", b"again"))
    assert harness.result().body == b"first"
    assert harness.pool.connection_count() == 0


def test_malformed_reply_fails_the_call(harness):
    harness.send(b"a")
    peer = harness.accept()
    peer.sendall(b"nonsense\r\n\r\n")
    reply = harness.result()
    assert reply.failure is exchange.Failure.PROTOCOL
    assert reply.reached


def test_truncated_reply_fails_the_call(harness):
    # Guards against passing on a truncated body as a complete one.
    harness.send(b"a")
    peer = harness.accept()
    peer.sendall(make_reply(b"a", b"whole body")[:-4])
    peer.close()
    assert harness.result().failure is exchange.Failure.CONNECTION_LOST


def test_close_of_the_connection_ends_a_body_without_length(harness):
    harness.send(b"a")
    peer = harness.accept()
    peer.sendall(b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nrecords")
    peer.close()
    assert harness.result().body == b"records"


def test_persistent_connection_is_reused(harness):
    harness.send(b"a")
    peer = harness.accept()
    peer.sendall(make_reply(b"a", b"1", b"Keep-Alive: timeout=5\r\n"))
    harness.result()
    harness.send(b"b")
    harness.receive(peer)
    peer.sendall(make_reply(b"b", b"2"))
    assert harness.result(2).body == b"2"
    assert harness.pool.opened_count == 1


def test_idle_timeout_of_any_length_is_read(harness):
    # Guards against a reply that is lost in an exception about its headers.
    harness.send(b"a")
    peer = harness.accept()
    timeout = b"Keep-Alive: timeout=%s\r\n" % (b"9" * 5000)
    peer.sendall(make_reply(b"a", b"1", timeout))
    assert harness.result().body == b"1"
    assert harness.pool.connection_count() == 1


def test_cancel_closes_the_connection(harness):
    # A backend server stops its work only when the connection is closed.
    call = harness.send(b"a")
    peer = harness.accept()
    call.cancel()
    assert peer.recv(10) == b""
    assert harness.replies == []


def test_connection_limit_is_enforced(harness):
    # Backend servers reset connections above their limit.
    for name in (b"a", b"b", b"c"):
        harness.send(name)
    reply = harness.result()
    assert reply.failure is exchange.Failure.NO_CONNECTION
    assert not reply.reached


def test_refused_connection_counts_as_not_reached(harness):
    harness.listener.close()
    harness.send(b"a")
    reply = harness.result()
    assert reply.failure is exchange.Failure.CONNECT_FAILED
    assert not reply.reached


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\nA: ",
        b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\n",
    ],
)
def test_reply_without_end_closes_its_connection(harness, head):
    # Guards against reading a head or a body until the memory is full.
    harness.send(b"a")
    peer = harness.accept()
    peer.setblocking(False)
    peer.send(head)

    def is_done():
        try:
            peer.send(b"a" * 10_000)
        except OSError:
            pass
        return harness.replies

    harness.run_until(is_done)
    reply = harness.result()
    assert reply.failure is exchange.Failure.TOO_LARGE
    assert reply.reached
    assert harness.pool.connection_count() == 0
    assert harness.pool.held_bytes == 0


def test_longest_reply_is_dropped_when_the_memory_is_used_up(harness):
    # Guards against failing a short reply because of a long one.
    head = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n"
    harness.send(b"a")
    long_peer = harness.accept()
    harness.send(b"b")
    short_peer = harness.accept()
    long_peer.sendall(head % (b"a", 200_000) + b"a" * 190_000)
    harness.run_iterations(20)
    short_peer.sendall(head % (b"b", 100_000) + b"b" * 100_000)
    harness.result(2)
    by_status = {reply.status: reply for reply in harness.replies}
    assert by_status[0].failure is exchange.Failure.TOO_LARGE
    assert len(by_status[200].body) == 100_000


def test_connection_with_bytes_after_a_reply_is_closed(harness):
    harness.send(b"a")
    peer = harness.accept()
    peer.sendall(make_reply(b"a", b"first") + b"HTTP/1.1 20")
    assert harness.result().body == b"first"
    assert harness.pool.connection_count() == 0


def test_check_finds_out_whether_a_server_accepts_connections(harness):
    # Guards against taking a lost connection for a lost server.
    results = []
    harness.pool.check(harness.address, results.append)
    harness.run_until(lambda: results)
    assert results == [True]
    # The connection is used for the next request.
    harness.send(b"a")
    assert harness.pool.opened_count == 1


def test_check_of_a_server_that_is_gone(harness):
    results = []
    harness.listener.close()
    harness.pool.check(harness.address, results.append)
    harness.run_until(lambda: results)
    assert results == [False]


def test_check_ends_without_a_result_when_the_pool_closes(harness):
    # Guards against strikes because the entry itself stops.
    results = []
    harness.pool.check(harness.address, results.append)
    harness.pool.close()
    assert results == []
