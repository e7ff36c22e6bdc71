"""UDP socket between entries, on the circuits poller.

The component only sends and receives datagrams. `entry.peer_logic` interprets
them; it has no socket, so that it can be tested without one.
"""

from collections import abc
import errno
import socket

import circuits
from circuits import core
import loguru

from auburnway.net import peer_wire

# Maximum number of datagrams read per readiness event, so that a burst from
# peers does not delay queries.
MAX_BURST = 64
# Kernel buffer that holds a burst of 32 parts from each of 55 peers while the
# loop is busy.
RECEIVE_BUFFER_BYTES = 4 << 20

OnDatagram = abc.Callable[[str, bytes], None]


class PeerSocket(circuits.BaseComponent):
    """Owns the UDP socket of an entry.

    Attributes:
      address: Bound address, `ip:port`.
      sent: Number of datagrams sent.
      received: Number of datagrams received.
      sent_bytes: Bytes sent, without IP and UDP headers.
      received_bytes: Bytes received, without IP and UDP headers.
      unsent: Number of datagrams that the kernel rejected.
    """

    channel = "peer_socket"

    def __init__(self, poller, address: str, on_datagram: OnDatagram):
        super().__init__()
        self._poller = poller
        self._on_datagram = on_datagram
        self.sent_bytes = 0
        self.received_bytes = 0
        self.sent = 0
        self.received = 0
        self.unsent = 0
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        try:
            self._sock.bind(_split_address(address))
        except OSError:
            self._sock.close()
            raise
        host, port = self._sock.getsockname()
        self.address = f"{host}:{port}"
        poller.addReader(self, self._sock)

    def send(self, address: str, datagram: bytes) -> None:
        """Sends a datagram; a datagram that the kernel rejects is dropped."""
        try:
            self._sock.sendto(datagram, _split_address(address))
        except (OSError, ValueError, OverflowError) as error:
            # The layer above resends lost datagrams or repairs their loss.
            self.unsent += 1
            if getattr(error, "errno", 0) not in (
                errno.EAGAIN,
                errno.ENOBUFS,
                errno.ECONNREFUSED,
            ):
                loguru.logger.debug("cannot send to {}: {}", address, error)
            return
        self.sent += 1
        self.sent_bytes += len(datagram)

    def close(self) -> None:
        """Closes the socket."""
        if self._sock.fileno() >= 0:
            self._poller.discard(self._sock)
            self._sock.close()

    @core.handler("_read")
    def _on_read(self, sock):
        if sock is not self._sock:
            return
        for _ in range(MAX_BURST):
            if sock.fileno() < 0:
                return
            try:
                # Reading one byte more than the maximum makes a datagram that
                # is too long recognisable.
                data, source = sock.recvfrom(peer_wire.MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:
                # The error belongs to an earlier datagram that its destination
                # host refused.
                continue
            self.received += 1
            self.received_bytes += len(data)
            self._on_datagram(f"{source[0]}:{source[1]}", data)


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
