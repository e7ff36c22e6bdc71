"""HTTP/1.1 server for pass-through traffic and small control endpoints.

The server keeps header names and values unchanged, enforces the limits of the
configuration in force, and notifies the owner of a request when the client
disconnects (`client_connection`). circuits.web lacks the last two features and
costs 0.8 ms per request.
"""

import collections
from collections import abc
import dataclasses
import itertools
import socket

import loguru

from auburnway.core import clock as clock_lib
from auburnway.kernel import timers as timers_lib
from auburnway.net import client_connection
from auburnway.net import listening
from auburnway.net import socket_set

SWEEP_PERIOD_MS = 250.0
# Connections with many small pieces that are read in a turn of the loop, and
# the pause between such turns.
COSTLY_PER_TURN = 4
COSTLY_PERIOD_MS = 1.0
# Connections that are accepted in one turn of the loop.
ACCEPTS_PER_TURN = 32


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of the size of a request and of the time until it is received.

    Attributes:
      header_bytes: Maximum size of request line, headers and trailers.
      header_count: Maximum number of headers and trailers.
      total_bytes: Maximum size of all requests together that are held; at
        least two requests of the greatest size are allowed.
      body_bytes: Maximum size of a body.
      header_timeout_ms: Maximum time from the first byte of a request to the
        end of its headers; also the maximum pause within a body.
      idle_timeout_ms: Time after which a connection without a request is
        closed.
    """

    header_bytes: int = 16_384
    body_bytes: int = 1 << 20
    header_timeout_ms: float = 5_000.0
    idle_timeout_ms: float = 60_000.0
    header_count: int = 1_000
    total_bytes: int = 16 << 20


class WebServer:
    """Owns one listening socket and the connections accepted from it.

    Args:
      address: `ip:port`.
      sockets: Set that watches the sockets.
      timers: Timer queue of the loop.
      clock: Source of time.
      on_request: Called with each request, which is answered by
        `Request.reply` during this call or later.
      limits: Limits in force; the owner may replace them.
      listener: Socket that listens on the address already; owned by the server
        from now on. None to open one.

    Attributes:
      held_bytes: Bytes of the requests that are held.
      closes_after_reply: Whether a connection is closed after its next reply.
      on_round_trip: Called with the time in ms from the final reply of a
        connection to the client's close, which is one round trip when the
        client closes at once.

    Raises:
      OSError: The address is in use or not local.
    """

    def __init__(
        self,
        address: str,
        sockets: socket_set.SocketSet,
        timers: timers_lib.TimerQueue,
        clock: clock_lib.Clock,
        on_request: abc.Callable[[client_connection.Request], None],
        limits: Limits = Limits(),  # noqa: B008 (immutable)
        listener: socket.socket | None = None,
    ):
        self.address = address
        self.sockets = sockets
        self.clock = clock
        self.on_request = on_request
        self.limits = limits
        self.closes_after_reply = False
        self.on_round_trip: abc.Callable[[float], None] = lambda _: None
        self.connections: set[client_connection.Connection] = set()
        self.held_bytes = 0
        self._timers = timers
        self._held_back: collections.deque[client_connection.Connection] = (
            collections.deque()
        )
        self._listener = listener or listening.listen(address)
        sockets.add(self._listener, socket_set.READ, self._accept)
        self._sweep_timer = timers.every(SWEEP_PERIOD_MS, self._sweep)

    @property
    def busy_count(self) -> int:
        """Number of connections whose current request is unanswered."""
        return sum(c.current_request is not None for c in self.connections)

    def limit_held_bytes(self) -> None:
        """Rejects the longest incomplete requests above the limit."""
        limit = max(self.limits.total_bytes, 2 * self.limits.body_bytes)
        while self.held_bytes > limit:
            longest = max(
                (c for c in self.connections if c.current_request is None),
                key=lambda c: c.held_bytes,
                default=None,
            )
            if longest is None or not longest.held_bytes:
                return
            longest.reject(503)

    def hold_back(self, connection: client_connection.Connection) -> None:
        """Reads from a connection again after others with small pieces.

        Many connections with small pieces must not delay all other requests.
        """
        self._held_back.append(connection)
        if len(self._held_back) == 1:
            self._timers.after(0.0, self._read_held_back)

    def _read_held_back(self) -> None:
        for _ in range(min(COSTLY_PER_TURN, len(self._held_back))):
            self._held_back.popleft().read_on()
        if self._held_back:
            self._timers.after(COSTLY_PERIOD_MS, self._read_held_back)

    def close_listener(self) -> None:
        """Stops accepting connections; open ones are kept."""
        if self._listener is not None:
            self.sockets.remove(self._listener)
            self._listener.close()
            self._listener = None

    def close_idle(self) -> None:
        """Closes connections on which no request has begun."""
        for connection in tuple(self.connections):
            if (
                connection.current_request is None
                and not connection.has_begun_request
            ):
                connection.close()

    def close(self) -> None:
        """Closes the listener and every connection."""
        self._sweep_timer.cancel()
        self.close_listener()
        for connection in tuple(self.connections):
            connection.close()

    def remove_connection(
        self, connection: client_connection.Connection
    ) -> None:
        """Unregisters a connection that is about to be closed."""
        self.connections.discard(connection)
        self.sockets.remove(connection.sock)

    def _accept(self, _: int) -> None:
        for _attempt in itertools.repeat(None, ACCEPTS_PER_TURN):
            try:
                sock, _address = self._listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                loguru.logger.warning("cannot accept a connection: {}", error)
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = client_connection.Connection(self, sock)
            self.connections.add(connection)
            self.sockets.add(sock, socket_set.READ, connection.on_ready)

    def _sweep(self) -> None:
        now_ms = self.clock.now_ms()
        for connection in tuple(self.connections):
            if now_ms >= connection.progress_due_ms:
                connection.on_progress_timeout()
