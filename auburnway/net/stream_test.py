"""Streams between own processes."""

import socket

import pytest

from auburnway.net import stream
from auburnway.net import testing


class Rig(testing.Rig):
    def __init__(self):
        super().__init__()
        probe = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{probe.getsockname()[1]}"
        probe.close()
        self.received = []
        self.lost = []
        self.listener = None
        self.dialer = None

    def listen(self):
        self.listener = stream.Listener(
            self.address,
            self.sockets,
            self.loop.timers,
            self.loop.clock,
            lambda _, message: self.received.append(message),
            self.lost.append,
        )

    def dial(self):
        self.dialer = stream.Dialer(
            self.address,
            self.sockets,
            self.loop.timers,
            self.loop.clock,
            lambda opened: opened.send(["hello"]),
            lambda _, message: self.received.append(message),
        )

    def close(self):
        for part in (self.listener, self.dialer):
            if part is not None:
                part.close()


@pytest.fixture(name="rig")
def _rig():
    made = Rig()
    yield made
    made.close()


def test_messages_both_ways(rig):
    rig.listen()
    rig.dial()
    rig.turn(lambda: rig.received)
    assert rig.received == [("hello",)]
    large = b"x" * 300_000
    rig.dialer.send(["large", large])
    rig.turn(lambda: len(rig.received) == 2)
    assert rig.received[1] == ("large", large)


def test_dialer_waits_for_a_listener(rig):
    # At the first start, nobody needs to listen yet.
    rig.dial()
    rig.step(20)
    rig.listen()
    rig.turn(lambda: rig.received)


def test_dialer_dials_again(rig):
    rig.listen()
    rig.dial()
    rig.turn(lambda: rig.received)
    for opened in tuple(rig.listener.streams):
        opened.close()
    rig.turn(lambda: len(rig.received) == 2)


def test_silent_stream_is_closed(rig):
    # A connection may go silent for good without a reset.
    rig.listen()
    peer = socket.create_connection(rig.address.split(":"))
    rig.turn(lambda: rig.listener.streams)
    rig.turn(lambda: rig.lost, stream.SILENCE_MS / 1000 + 2)
    peer.close()


def test_unreadable_message_closes_the_stream(rig):
    rig.listen()
    peer = socket.create_connection(rig.address.split(":"))
    peer.sendall(b"\x00\x00\x00\x01\xc1")
    rig.turn(lambda: rig.lost)
    peer.close()
