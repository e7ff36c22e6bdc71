"""Tests of streams between two ends on the same loop."""

import socket

import pytest

from auburnway.net import stream
from auburnway.net import testing


class StreamHarness(testing.LoopHarness):
    def __init__(self):
        super().__init__()
        probe = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{probe.getsockname()[1]}"
        probe.close()
        self.received = []
        self.closed = []
        self.listener = None
        self.dialer = None

    def listen(self):
        self.listener = stream.Listener(
            self.address,
            self.sockets,
            self.loop.timers,
            self.loop.clock,
            lambda _, message: self.received.append(message),
            self.closed.append,
        )

    def dial(self):
        self.dialer = stream.Dialer(
            self.address,
            self.sockets,
            self.loop.timers,
            self.loop.clock,
            lambda new_stream: new_stream.send(["hello"]),
            lambda _, message: self.received.append(message),
        )

    def close(self):
        for endpoint in (self.listener, self.dialer):
            if endpoint is not None:
                endpoint.close()


@pytest.fixture(name="harness")
def _harness():
    harness = StreamHarness()
    yield harness
    harness.close()


def test_messages_are_delivered_both_ways(harness):
    harness.listen()
    harness.dial()
    harness.run_until(lambda: harness.received)
    assert harness.received == [("hello",)]
    large = b"x" * 300_000
    harness.dialer.send(["large", large])
    harness.run_until(lambda: len(harness.received) == 2)
    assert harness.received[1] == ("large", large)


def test_dialer_waits_for_a_listener(harness):
    # At the first start of a process, its peers may not listen yet.
    harness.dial()
    harness.run_iterations(20)
    harness.listen()
    harness.run_until(lambda: harness.received)


def test_dialer_reconnects_after_a_close(harness):
    harness.listen()
    harness.dial()
    harness.run_until(lambda: harness.received)
    for new_stream in tuple(harness.listener.streams):
        new_stream.close()
    harness.run_until(lambda: len(harness.received) == 2)


def test_silent_stream_is_closed(harness):
    # A connection can stop delivering data permanently without a reset.
    harness.listen()
    peer = socket.create_connection(harness.address.split(":"))
    harness.run_until(lambda: harness.listener.streams)
    harness.run_until(
        lambda: harness.closed, stream.SILENCE_TIMEOUT_MS / 1000 + 2
    )
    peer.close()


def test_unreadable_message_closes_the_stream(harness):
    harness.listen()
    peer = socket.create_connection(harness.address.split(":"))
    peer.sendall(b"\x00\x00\x00\x01\xc1")
    harness.run_until(lambda: harness.closed)
    peer.close()
