"""Connection from this control instance to another control instance.

At most one `Deliver` call is in flight. Messages that are sent meanwhile are
queued and batched in the next call, so the cost per message falls as the load
rises. Raft sends lost messages again, so a failed call is not retried.
"""

import collections
from collections import abc

import grpc
import loguru

from auburnway.control import wire
from auburnway.core import raft_records as records
from auburnway.rpc import channels
from auburnway.rpc import control_pb2 as pb
from auburnway.rpc import control_pb2_grpc as pb_grpc

# Longer than a round trip with a synced append, shorter than an election
# timeout.
DELIVER_TIMEOUT_S = 0.4
# A snapshot of tens of megabytes needs more time.
SNAPSHOT_TIMEOUT_S = 5.0
# Greatest length of the queue. Heartbeats repeat every 100 ms and make older
# messages obsolete.
MAX_QUEUED = 64


class PeerLink:
    """Sends Raft messages to one address.

    Args:
      address: `ip:port` of the peer.
      own_address: `ip:port` at which the peer reaches this instance.
      token: Fleet token.
      post: Runs a function on the consensus loop; thread-safe.
    """

    def __init__(
        self,
        address: str,
        own_address: str,
        token: str,
        post: abc.Callable[[abc.Callable[[], None]], None],
    ):
        self.address = address
        self._own_address = own_address
        self._metadata = channels.metadata(token)
        self._post = post
        self._queue = collections.deque(maxlen=MAX_QUEUED)
        self._is_in_flight = False
        self._is_closed = False
        self._is_reachable = True
        self._connect()

    def send(self, message: records.Message) -> None:
        """Queues a message; a full queue drops its oldest message."""
        self._queue.append(message)
        self._send_batch()

    def close(self) -> None:
        """Closes the connection and stops sending."""
        self._is_closed = True
        self._channel.close()

    def _connect(self):
        self._channel = channels.connect(self.address)
        self._stub = pb_grpc.ConsensusStub(self._channel)

    def _send_batch(self):
        if self._is_in_flight or self._is_closed or not self._queue:
            return
        # All messages of an envelope have the same target incarnation.
        first = self._queue[0]
        batch = []
        while self._queue and self._queue[0].target == first.target:
            batch.append(self._queue.popleft())
        envelope = pb.Envelope(
            from_incarnation=first.source,
            to_incarnation=first.target,
            from_address=self._own_address,
            messages=[wire.encode(message) for message in batch],
        )
        has_snapshot = any(
            isinstance(message, records.InstallSnapshot) for message in batch
        )
        self._is_in_flight = True
        call = self._stub.Deliver.future(
            envelope,
            timeout=SNAPSHOT_TIMEOUT_S if has_snapshot else DELIVER_TIMEOUT_S,
            metadata=self._metadata,
        )
        call.add_done_callback(
            lambda finished_call: self._post(
                lambda: self._on_delivered(finished_call.code())
            )
        )

    def _on_delivered(self, code: grpc.StatusCode):
        self._is_in_flight = False
        is_reachable = code is grpc.StatusCode.OK
        if is_reachable != self._is_reachable:
            self._is_reachable = is_reachable
            loguru.logger.bind(peer=self.address, status=code.name).info(
                "control peer is reachable again"
                if is_reachable
                else "control peer is unreachable"
            )
        if code is grpc.StatusCode.DEADLINE_EXCEEDED and not self._is_closed:
            # The connection may have stalled without being closed.
            self._channel.close()
            self._connect()
        self._send_batch()
