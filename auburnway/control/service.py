"""gRPC services of a control instance.

Handlers run on gRPC threads. Each handler posts its request to the consensus
loop and waits on a future for the reply.
"""

from collections import abc
from concurrent import futures
import hmac
import threading

import grpc

from auburnway.control import node as node_lib
from auburnway.control import operations as operations_lib
from auburnway.control import wire
from auburnway.rpc import channels
from auburnway.rpc import control_pb2 as pb
from auburnway.rpc import control_pb2_grpc as pb_grpc

# Each call occupies a thread until its reply; a renewal takes up to 400 ms.
SERVER_THREADS = 160
# The remaining threads are reserved for messages between control instances.
# Otherwise calls that wait for a commit could occupy all threads and block the
# messages that the commit needs.
MAX_CONCURRENT_CALLS = 128
# Longest time for which a handler waits; applies also without a deadline.
MAX_WAIT_S = 5.0


class WaitingCalls:
    """Runs calls on the consensus loop; `close` cancels the waiting ones."""

    def __init__(self, node: node_lib.Node):
        self._node = node
        self._lock = threading.Lock()
        self._waiting: set[futures.Future] = set()
        self._call_slots = threading.BoundedSemaphore(MAX_CONCURRENT_CALLS)
        self._is_closed = False

    def run(self, operation, request, context: grpc.ServicerContext):
        """Runs an operation on the loop and returns its reply.

        Args:
          operation: Method of `Operations`.
          request: Request message of the operation.
          context: Context of the call; aborted when no reply arrives in time.
        """
        if not self._call_slots.acquire(blocking=False):
            context.abort(
                grpc.StatusCode.RESOURCE_EXHAUSTED,
                f"more than {MAX_CONCURRENT_CALLS} calls wait",
            )
        try:
            return self._run(operation, request, context)
        finally:
            self._call_slots.release()

    def _run(self, operation, request, context):
        future: futures.Future = futures.Future()
        with self._lock:
            if self._is_closed:
                context.abort(grpc.StatusCode.UNAVAILABLE, "stopping")
            self._waiting.add(future)
        try:
            self._node.post(lambda: operation(request, _result_setter(future)))
            remaining_s = context.time_remaining()
            wait_s = (
                MAX_WAIT_S
                if remaining_s is None
                else min(remaining_s, MAX_WAIT_S)
            )
            return future.result(wait_s)
        except futures.CancelledError:
            context.abort(
                grpc.StatusCode.UNAVAILABLE, "the control instance stopped"
            )
        except TimeoutError:
            context.abort(
                grpc.StatusCode.DEADLINE_EXCEEDED, "no majority in time"
            )
        finally:
            with self._lock:
                self._waiting.discard(future)

    def close(self) -> None:
        """Cancels all waiting calls; their outcome is uncertain."""
        with self._lock:
            self._is_closed = True
            waiting = tuple(self._waiting)
        for future in waiting:
            future.cancel()


def _result_setter(future: futures.Future) -> abc.Callable:
    def set_result(reply):
        # False when `close` cancelled the call.
        if future.set_running_or_notify_cancel():
            future.set_result(reply)

    return set_result


class ControlService(pb_grpc.ControlServicer):
    """Serves calls of entries and of the operator's command line."""

    def __init__(
        self, operations: operations_lib.Operations, calls: WaitingCalls
    ):
        self._operations = operations
        self._calls = calls

    def Renew(self, request, context):  # noqa: D102, N802
        return self._calls.run(self._operations.renew, request, context)

    def Read(self, request, context):  # noqa: D102, N802
        return self._calls.run(self._operations.read, request, context)

    def Plan(self, request, context):  # noqa: D102, N802
        return self._calls.run(self._operations.plan, request, context)

    def Apply(self, request, context):  # noqa: D102, N802
        return self._calls.run(self._operations.apply, request, context)

    def InForce(self, request, context):  # noqa: D102, N802
        return self._calls.run(self._operations.in_force, request, context)

    def Audit(self, request, context):  # noqa: D102, N802
        return self._calls.run(self._operations.audit, request, context)

    def Claim(self, request, context):  # noqa: D102, N802
        return self._calls.run(self._operations.claim, request, context)

    def Settle(self, request, context):  # noqa: D102, N802
        return self._calls.run(self._operations.settle, request, context)

    def Strike(self, request, context):  # noqa: D102, N802
        return self._calls.run(self._operations.strike, request, context)

    def GrantTrial(self, request, context):  # noqa: D102, N802
        return self._calls.run(self._operations.grant_trial, request, context)

    def EndTrial(self, request, context):  # noqa: D102, N802
        return self._calls.run(self._operations.end_trial, request, context)

    def Status(self, request, context):  # noqa: D102, N802
        return self._calls.run(self._operations.status, request, context)


class ConsensusService(pb_grpc.ConsensusServicer):
    """Serves calls of other control instances."""

    def __init__(
        self,
        node: node_lib.Node,
        operations: operations_lib.Operations,
        calls: WaitingCalls,
    ):
        self._node = node
        self._operations = operations
        self._calls = calls

    def Deliver(self, request, context):  # noqa: D102, N802
        source, target = request.from_incarnation, request.to_incarnation
        try:
            messages = [
                wire.decode(source, target, raw) for raw in request.messages
            ]
        except (ValueError, IndexError) as error:
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        address = request.from_address
        self._node.post(lambda: self._node.receive(address, messages))
        return pb.Ack()

    def Join(self, request, context):  # noqa: D102, N802
        return self._calls.run(self._operations.join, request, context)


class TokenCheck(grpc.ServerInterceptor):
    """Rejects calls without the fleet token."""

    def __init__(self, token: str):
        self._token = token.encode()

        def reject(request, context):
            context.abort(
                grpc.StatusCode.UNAUTHENTICATED,
                f"metadata {channels.TOKEN_KEY} is absent or wrong",
            )

        self._reject_handler = grpc.unary_unary_rpc_method_handler(reject)

    def intercept_service(self, continuation, handler_call_details):
        """Passes the call on only if its metadata has the fleet token."""
        provided_token = dict(handler_call_details.invocation_metadata).get(
            channels.TOKEN_KEY, ""
        )
        if hmac.compare_digest(str(provided_token).encode(), self._token):
            return continuation(handler_call_details)
        return self._reject_handler


def serve(
    address: str,
    token: str,
    node: node_lib.Node,
    operations: operations_lib.Operations,
) -> tuple[grpc.Server, WaitingCalls]:
    """Starts the gRPC server on an address.

    Returns:
      The server, and the calls that must be closed when it stops.

    Raises:
      RuntimeError: The address is in use or cannot be bound.
    """
    calls = WaitingCalls(node)
    server = grpc.server(
        futures.ThreadPoolExecutor(SERVER_THREADS, "grpc"),
        interceptors=(TokenCheck(token),),
        options=channels.SERVER_OPTIONS,
    )
    pb_grpc.add_ControlServicer_to_server(
        ControlService(operations, calls), server
    )
    pb_grpc.add_ConsensusServicer_to_server(
        ConsensusService(node, operations, calls), server
    )
    if not server.add_insecure_port(address):
        raise RuntimeError(f"address {address} cannot be bound")
    server.start()
    return server, calls
