import gc
import socket
import threading
import time
import weakref

import pytest

from auburnway.core import clock as clock_lib
from auburnway.kernel import mailbox as mailbox_lib
from auburnway.kernel import process
from auburnway.net import exchange as exchange_lib
from auburnway.net import http_client
from auburnway.net import reply_reader

TIMEOUT_S = 10.0
OK_REPLY = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"
REQUEST = b"GET /x HTTP/1.1\r\nhost: h\r\n\r\n"


class FakeServer:
    """Backend server that sends the return value of `reply_to`.

    `reply_to` is called with the connection's number, from 1, and the
    request; None closes the connection.

    Attributes:
      closes_after_reply: Whether each connection is closed after one reply.
    """

    def __init__(self, reply_to, closes_after_reply=False):
        self.accepted = 0
        self.closes_after_reply = closes_after_reply
        self.requests = []
        self._reply_to = reply_to
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.accepted += 1
            threading.Thread(
                target=self._serve, args=(sock, self.accepted), daemon=True
            ).start()

    def _serve(self, sock, connection_number):
        while True:
            try:
                request_bytes = sock.recv(65536)
            except ConnectionResetError:
                return
            if not request_bytes:
                return
            self.requests.append((connection_number, request_bytes))
            reply = self._reply_to(connection_number, request_bytes)
            if reply is None:
                sock.close()
                return
            try:
                sock.sendall(reply)
            except OSError:
                return
            if self.closes_after_reply:
                sock.close()
                return

    def close(self):
        self._listener.close()


class Harness:
    """Connection pool on a loop that runs in its own thread."""

    def __init__(self):
        self.loop = process.Loop(clock_lib.SystemClock())
        self.mailbox = mailbox_lib.Mailbox().register(self.loop.root)
        self.pool = http_client.HttpPool(
            self.loop.poller, self.loop.timers, self.loop.clock
        ).register(self.loop.root)
        self._thread = threading.Thread(target=self.loop.run, daemon=True)
        self._thread.start()

    def on_loop(self, function):
        """Runs a function on the loop's thread and returns its result."""
        done, results = threading.Event(), []

        def run():
            results.append(function())
            done.set()

        self.mailbox.post(run)
        assert done.wait(TIMEOUT_S)
        return results[0]

    def send(self, address, **arguments):
        """Sends a request and returns its reply."""
        done, results = threading.Event(), []

        def on_reply(reply):
            results.append(reply)
            done.set()

        self.on_loop(
            lambda: self.pool.send(address, REQUEST, on_reply, **arguments)
        )
        assert done.wait(TIMEOUT_S)
        return results[0]

    def close(self):
        self.on_loop(self.pool.close_all)
        self.loop.stop()
        self._thread.join(TIMEOUT_S)


@pytest.fixture(name="harness")
def fixture_harness():
    harness = Harness()
    yield harness
    harness.close()


def test_connection_is_kept_between_exchanges(harness):
    # Guards against opening a connection for each request, which cost 6 ms
    # and three quarters of the processor time.
    server = FakeServer(lambda connection_number, request_bytes: OK_REPLY)
    for _ in range(5):
        assert harness.send(server.address).status == 200
    assert server.accepted == 1
    server.close()


def test_lost_reply_counts_as_reached(harness):
    server = FakeServer(lambda connection_number, request_bytes: None)
    reply = harness.send(server.address)
    assert reply.failure is exchange_lib.Failure.CONNECTION_LOST
    assert reply.reached
    server.close()


def test_refused_connection_counts_as_not_reached(harness):
    # Connections to a bound socket that does not listen are refused.
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        reply = harness.send(f"127.0.0.1:{unused.getsockname()[1]}")
    assert reply.failure is exchange_lib.Failure.CONNECT_FAILED
    assert not reply.reached


def test_limit_of_connections_is_kept(harness):
    # Guards against opening more connections than a backend server accepts.
    may_reply = threading.Event()

    def reply_to(connection_number, request_bytes):
        may_reply.wait(TIMEOUT_S)
        return OK_REPLY

    server = FakeServer(reply_to)
    replies = []

    def send_three():
        harness.pool.set_server(server.address, 2, 0)
        for _ in range(3):
            harness.pool.send(server.address, REQUEST, replies.append)

    harness.on_loop(send_three)
    assert [r.failure for r in replies] == [exchange_lib.Failure.NO_CONNECTION]
    may_reply.set()
    server.close()


def test_late_reply_of_an_abandoned_exchange_goes_to_nobody(harness):
    # Guards against treating a late reply as the reply to the next request
    # on the same connection.
    may_reply = threading.Event()

    def reply_to(connection_number, request_bytes):
        if connection_number == 1:
            may_reply.wait(TIMEOUT_S)
            return OK_REPLY.replace(b"{}", b"11")
        return OK_REPLY.replace(b"{}", b"22")

    server = FakeServer(reply_to)
    late_replies = []

    def send_and_abandon():
        harness.pool.set_server(server.address, 2, 0)
        return harness.pool.send(server.address, REQUEST, late_replies.append)

    exchange = harness.on_loop(send_and_abandon)
    deadline_s = time.monotonic() + TIMEOUT_S
    while not server.requests and time.monotonic() < deadline_s:
        time.sleep(0.005)
    assert harness.on_loop(exchange.abandon)
    assert harness.send(server.address).body == b"22"
    may_reply.set()
    assert harness.send(server.address).body in (b"11", b"22")
    assert not late_replies
    server.close()


def test_silent_idle_connection_is_closed_and_not_reused(harness):
    # Guards against sending on a connection whose state a middlebox has
    # dropped, while new connections work.
    def reply_to(connection_number, request_bytes):
        if connection_number == 1 and b"/v1/ping" in request_bytes:
            threading.Event().wait(TIMEOUT_S)
        return OK_REPLY

    server = FakeServer(reply_to)
    assert harness.send(server.address).status == 200
    deadline_s = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline_s and harness.on_loop(
        lambda: harness.pool.connection_count(server.address)
    ):
        time.sleep(0.02)
    assert harness.send(server.address).status == 200
    assert [n for n, d in server.requests if b"/x" in d] == [1, 2]
    server.close()


def test_stale_connection_is_not_used_for_a_non_repeatable_request(harness):
    server = FakeServer(lambda connection_number, request_bytes: OK_REPLY)
    harness.send(server.address)
    time.sleep(0.05)
    harness.send(server.address, max_silence_ms=10.0)
    assert server.accepted == 2
    server.close()


@pytest.mark.parametrize(
    "reply",
    [
        b"HTTP/1.1 200 OK\r\na: " + b"b" * 200_000,
        b"HTTP/1.1 200 OK\r\n\r\n" + b"b" * (5 << 20),
    ],
)
def test_reply_without_end_fails_its_exchange(harness, reply):
    # Guards against reading a head or a body until the memory is full.
    server = FakeServer(lambda connection_number, request_bytes: reply)
    result = harness.send(server.address)
    assert result.failure is exchange_lib.Failure.TOO_LARGE
    assert harness.on_loop(lambda: harness.pool.held_bytes) == 0
    server.close()


@pytest.mark.parametrize(
    "reply",
    [
        b"HTTP/1.1 200 OK\r\ncontent-le",
        b"HTTP/1.1 200 OK\r\nx: y\r\n",
        b"HTTP/1.1 200 OK\r\n\r\n{}",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
    ],
)
def test_cut_reply_fails_its_exchange(harness, reply):
    # Guards against taking a reply that was cut for a whole one.
    server = FakeServer(
        lambda connection_number, request_bytes: reply, closes_after_reply=True
    )
    result = harness.send(server.address)
    assert (result.status, result.body) == (0, b"")
    assert result.failure is exchange_lib.Failure.CONNECTION_LOST
    server.close()


def test_bytes_of_ended_exchanges_are_freed_at_once(harness, monkeypatch):
    # Guards against the bytes of closed connections that stay in memory until
    # the cycle collector runs.
    readers = []

    class WatchedReader(reply_reader.ReplyReader):
        def __init__(self, limits):
            super().__init__(limits)
            readers.append(weakref.ref(self))

    monkeypatch.setattr(reply_reader, "ReplyReader", WatchedReader)
    server = FakeServer(lambda connection_number, request_bytes: OK_REPLY[:-1])
    server.closes_after_reply = True
    gc.disable()
    try:
        reply = harness.send(server.address)
        assert reply.failure is not None
        harness.on_loop(lambda: None)
        # An ended exchange may still refer to its connection and its reader.
        for reader in readers:
            assert reader() is None or reader()._parser is None
    finally:
        gc.enable()
        server.close()
    assert readers
