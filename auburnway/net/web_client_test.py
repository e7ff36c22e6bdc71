"""The pass-through client against a raw socket that plays a backend server."""

import socket

import pytest

from auburnway.net import exchange
from auburnway.net import testing
from auburnway.net import web_client

REQUEST = b"GET / HTTP/1.1\r\n\r\n"


def reply(request_id, body, extra=b""):
    head = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n%s\r\n"
    return head % (request_id, len(body), extra) + body


class Rig(testing.Rig):
    def __init__(self):
        super().__init__()
        self.pool = web_client.WebPool(
            self.sockets,
            self.loop.timers,
            self.loop.clock,
            b"request-id",
            500.0,
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
        self.turn(lambda: self.pool.connection_count() > 0)
        peer, _ = self.listener.accept()
        peer.settimeout(2.0)
        self.receive(peer)
        return peer

    def receive(self, peer):
        self.step(10)
        assert peer.recv(4096).endswith(b"\r\n\r\n")

    def result(self, count=1):
        self.turn(lambda: len(self.replies) >= count)
        return self.replies[count - 1]


@pytest.fixture(name="rig")
def _rig():
    made = Rig()
    yield made
    made.pool.close()
    made.listener.close()


def test_late_reply_in_one_read_with_the_expected_one(rig):
    # The two replies were once merged into one with both bodies.
    rig.send(b"a")
    peer = rig.accept()
    peer.sendall(reply(b"a", b"first"))
    rig.result()
    rig.send(b"b")
    rig.receive(peer)
    peer.sendall(reply(b"a", b"again") + reply(b"b", b"second"))
    got = rig.result(2)
    assert (got.body, got.fields[b"request-id"]) == (b"second", b"b")
    assert rig.pool.connection_count() == 0


def test_extra_reply_closes_the_connection(rig):
    # Guards against an extra reply that is taken for the next request's.
    rig.send(b"a")
    peer = rig.accept()
    peer.sendall(reply(b"a", b"first") + reply(b"a", b"again"))
    assert rig.result().body == b"first"
    assert rig.pool.connection_count() == 0


def test_broken_reply_is_no_reply(rig):
    rig.send(b"a")
    peer = rig.accept()
    peer.sendall(b"nonsense\r\n\r\n")
    got = rig.result()
    assert got.failure is exchange.Failure.PROTOCOL
    assert got.reached


def test_cut_reply_is_no_reply(rig):
    # Guards against a truncated body that looks complete.
    rig.send(b"a")
    peer = rig.accept()
    peer.sendall(reply(b"a", b"whole body")[:-4])
    peer.close()
    assert rig.result().failure is exchange.Failure.CONNECTION_LOST


def test_body_that_ends_with_the_connection(rig):
    rig.send(b"a")
    peer = rig.accept()
    peer.sendall(b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nrecords")
    peer.close()
    assert rig.result().body == b"records"


def test_kept_connection_is_used_again(rig):
    rig.send(b"a")
    peer = rig.accept()
    peer.sendall(reply(b"a", b"1", b"Keep-Alive: timeout=5\r\n"))
    rig.result()
    rig.send(b"b")
    rig.receive(peer)
    peer.sendall(reply(b"b", b"2"))
    assert rig.result(2).body == b"2"
    assert rig.pool.opened_count == 1


def test_cancel_closes_the_connection(rig):
    # A backend server stops work only when the connection closes.
    call = rig.send(b"a")
    peer = rig.accept()
    call.cancel()
    assert peer.recv(10) == b""
    assert rig.replies == []


def test_limit_of_connections(rig):
    # Backend servers reset connections beyond their limit.
    for name in (b"a", b"b", b"c"):
        rig.send(name)
    got = rig.result()
    assert got.failure is exchange.Failure.NO_CONNECTION
    assert not got.reached


def test_refused_connection_has_not_reached(rig):
    rig.listener.close()
    rig.send(b"a")
    got = rig.result()
    assert got.failure is exchange.Failure.CONNECT_FAILED
    assert not got.reached
