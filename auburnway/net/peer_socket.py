"""UDP socket between entries, on the circuits poller.

The component only moves datagrams. What they mean is decided by
`entry.peer_logic`, which has no socket and is tested without one.
"""

from collections import abc
import errno
import socket

import circuits
from circuits import core
import loguru

from auburnway.net import peer_wire

# Datagrams taken per readiness event, so that a burst from peers does not
# hold up queries.
MAX_BURST = 64
# Holds a burst of 32 parts from each of 55 peers while the loop is busy.
BUFFER_BYTES = 4 << 20

OnDatagram = abc.Callable[[str, bytes], None]


class PeerSocket(circuits.BaseComponent):
    """Owns the UDP socket of an entry.

    Attributes:
      address: Bound address, `ip:port`.
      sent: Datagrams sent.
      received: Datagrams received.
      sent_bytes: Bytes sent, without IP and UDP headers.
      received_bytes: Bytes received, likewise.
      unsent: Datagrams that the kernel did not take.
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
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        try:
            self._sock.bind(_split(address))
        except OSError:
            self._sock.close()
            raise
        host, port = self._sock.getsockname()
        self.address = f"{host}:{port}"
        poller.addReader(self, self._sock)

    def send(self, address: str, datagram: bytes) -> None:
        """Sends a datagram; one that the kernel does not take is dropped."""
        try:
            self._sock.sendto(datagram, _split(address))
        except (OSError, ValueError, OverflowError) as error:
            # Lost datagrams are repeated or repaired by the layer above.
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
                # One byte more than allowed shows that it is too long.
                data, source = sock.recvfrom(peer_wire.MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:
                # A datagram that was sent earlier was refused by its host.
                continue
            self.received += 1
            self.received_bytes += len(data)
            self._on_datagram(f"{source[0]}:{source[1]}", data)


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
