"""Tests of the client on stalled connections, against a fake service."""

from concurrent import futures
import contextlib
import socket
import threading

import grpc
import pytest
from returns import pipeline

from auburnway.core import clock as clock_lib
from auburnway.rpc import channels
from auburnway.rpc import control_client
from auburnway.rpc import control_errors
from auburnway.rpc import control_pb2 as pb
from auburnway.rpc import control_pb2_grpc as pb_grpc


class FakeControl(pb_grpc.ControlServicer):
    """Fake service; replies as the leader, or with the leader's address."""

    def __init__(self, leader_address=""):
        self.leader_address = leader_address
        self.claims = 0

    def _error(self):
        if not self.leader_address:
            return None
        return pb.Error(code="not_leader", leader_address=self.leader_address)

    def Read(self, request, context):  # noqa: N802
        return pb.ReadReply(error=self._error(), number=7)

    def Claim(self, request, context):  # noqa: N802
        self.claims += 1
        if request.key == "slow":
            context.abort(grpc.StatusCode.UNAVAILABLE, "stopped meanwhile")
        return pb.ClaimReply(error=self._error(), state="granted")


class Relay:
    """Forwards TCP connections; `silence` stalls those that are open."""

    def __init__(self, target):
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._connections = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                client_socket, _ = self._listener.accept()
                server_socket = socket.create_connection(self._target)
                stalled = threading.Event()
                self._connections.append(
                    (stalled, client_socket, server_socket)
                )
                for direction in (
                    (client_socket, server_socket),
                    (server_socket, client_socket),
                ):
                    threading.Thread(
                        target=self._forward,
                        args=(*direction, stalled),
                        daemon=True,
                    ).start()

    def _forward(self, source, target, stalled):
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                if not stalled.is_set():
                    target.sendall(data)

    def stall(self):
        for stalled, _, _ in self._connections:
            stalled.set()

    def close(self):
        self._listener.close()
        for _, client_socket, server_socket in self._connections:
            client_socket.close()
            server_socket.close()


@pytest.fixture
def serve():
    with contextlib.ExitStack() as stack:

        def start(service):
            server = grpc.server(
                futures.ThreadPoolExecutor(4), options=channels.SERVER_OPTIONS
            )
            pb_grpc.add_ControlServicer_to_server(service, server)
            port = server.add_insecure_port("127.0.0.1:0")
            server.start()
            stack.callback(lambda: server.stop(None).wait())
            return port

        yield start


def _client(*addresses):
    clock = clock_lib.SystemClock()
    return control_client.ControlClient(addresses, "token", clock)


def test_stalled_connection_is_replaced(serve):
    # Guards against waiting for ever on a connection whose state a middlebox
    # has dropped.
    relay = Relay(("127.0.0.1", serve(FakeControl())))
    with contextlib.closing(relay), _client(relay.address) as client:
        for _ in range(2):
            reply = client.call("Read", pb.ReadRequest(), 10_000)
            assert reply.unwrap().number == 7
            relay.stall()


def test_unresponsive_instance_does_not_fail_every_non_retryable_call(serve):
    with contextlib.ExitStack() as stack:
        unresponsive = socket.create_server(("127.0.0.1", 0))
        stack.callback(unresponsive.close)
        address = f"127.0.0.1:{unresponsive.getsockname()[1]}"
        client = stack.enter_context(
            _client(address, f"127.0.0.1:{serve(FakeControl())}")
        )
        first = client.call("Claim", pb.ClaimRequest(), 10_000)
        if not pipeline.is_successful(first):
            assert isinstance(first.failure(), control_errors.OutcomeUncertain)
        second = client.call("Claim", pb.ClaimRequest(), 10_000)
        assert second.unwrap().state == "granted"


def test_leader_is_found_by_its_address_and_called_once(serve):
    leader = FakeControl()
    address = f"127.0.0.1:{serve(leader)}"
    follower = FakeControl(address)
    with _client(f"127.0.0.1:{serve(follower)}") as client:
        for _ in range(3):
            reply = client.call("Claim", pb.ClaimRequest(), 10_000)
            assert reply.unwrap().state == "granted"
    assert (leader.claims, follower.claims) == (3, 1)


def test_call_that_was_sent_is_uncertain_and_not_sent_again(serve):
    # Guards against a claim that is granted to two attempts of one call.
    service = FakeControl()
    address = f"127.0.0.1:{serve(service)}"
    with _client(address, address) as client:
        reply = client.call("Claim", pb.ClaimRequest(key="slow"), 10_000)
    assert isinstance(reply.failure(), control_errors.OutcomeUncertain)
    assert service.claims == 1
