"""Tests that the relay does to connections what it says."""

import contextlib
import socket

import pytest

from auburnway.faults import relay as relay_lib


@contextlib.contextmanager
def _connected():
    """Yields a relay with the client and the server end of a connection."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        address = "{}:{}".format(*listener.getsockname())
        relay = stack.enter_context(relay_lib.Relay(address))
        host, _, port = relay.address.rpartition(":")
        client = stack.enter_context(
            socket.create_connection((host, int(port)), 5.0)
        )
        server = stack.enter_context(listener.accept()[0])
        client.sendall(b"a")
        assert server.recv(1) == b"a"
        yield relay, client, server


def test_reset_is_no_proper_end_of_the_stream():
    # Guards against a reset that completes a reply without a length.
    with _connected() as (relay, client, _):
        relay.reset()
        with pytest.raises(ConnectionResetError):
            client.recv(1)


def test_proper_end_is_passed_on():
    with _connected() as (_, client, server):
        server.close()
        assert client.recv(1) == b""
