"""Persistent HTTP/1.1 connections to backend servers, on the circuits poller.

A query costs one exchange per shard, so the cost of an exchange determines how
many queries a core can serve. The pool watches its sockets with an epoll
instance of its own, which is a single descriptor on the circuits poller: one
circuits event covers all ready sockets, and the handler of this event receives
the data, parses it (httptools) and completes the exchanges.

A connection carries one exchange at a time, and a reply belongs to the current
exchange of its connection. After an exchange was abandoned, its connection is
not reused until the late reply has been read or the connection is closed, so
that no reply can be mistaken for the reply to another request.
"""

import collections
import enum
import errno
import select
import socket

import circuits
from circuits import core
import loguru

from auburnway.core import clock as clock_lib
from auburnway.kernel import timers as timers_lib
from auburnway.net import connecting
from auburnway.net import exchange as exchange_lib
from auburnway.net import reply_reader

RECEIVE_BYTES = 65536
# A new connection that is not established within this time is closed.
CONNECT_TIMEOUT_MS = 500.0
# How long a connection waits for the late reply of an abandoned exchange.
LATE_REPLY_TIMEOUT_MS = 1000.0
# An idle connection is probed at this interval, and closed when the probe is
# not answered in time: a middlebox may have dropped its state of the
# connection while new connections still work.
PING_PERIOD_MS = 1000.0
PING_TIMEOUT_MS = 500.0
# The kernel closes a connection whose data is not acknowledged for this time.
TCP_USER_TIMEOUT_MS = 2000

_LOST = exchange_lib.Failure.CONNECTION_LOST
_CONNECT_FAILED = exchange_lib.Failure.CONNECT_FAILED
_NO_CONNECTION = exchange_lib.Failure.NO_CONNECTION

_PING = b"GET /v1/ping HTTP/1.1\r\nhost: backend\r\n\r\n"


class _State(enum.Enum):
    CONNECTING = 0
    IDLE = 1
    BUSY = 2
    ABANDONED = 3
    PINGING = 4
    CLOSED = 5


class _Connection:
    """One connection."""

    def __init__(self, pool: "HttpPool", address: str):
        self.pool = pool
        self.address = address
        self.state = _State.CONNECTING
        self.exchange: exchange_lib.Exchange | None = None
        self.last_reply_ms = 0.0
        self.timer: timers_lib.Timer | None = None
        self._unsent = b""
        self._reader = reply_reader.ReplyReader(pool.limits)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        self.connect_error = connecting.start(self.sock, address)

    @property
    def held_bytes(self) -> int:
        """Bytes received for the current exchange."""
        return self._reader.held_bytes

    # Sending.

    def start(self, exchange: exchange_lib.Exchange) -> None:
        self.exchange = exchange
        exchange.connection = self
        if self.state is _State.IDLE:
            self.state = _State.BUSY
            self._send(exchange)

    def on_established(self) -> None:
        self.state = _State.IDLE
        self.last_reply_ms = self.pool.clock.now_ms()
        if self.timer is not None:
            self.timer.cancel()
        if self.exchange is not None:
            self.state = _State.BUSY
            self._send(self.exchange)
        else:
            self.pool.release(self)

    def _send(self, exchange: exchange_lib.Exchange) -> None:
        exchange.sent = True
        self.write(exchange.payload)

    def write(self, data: bytes) -> None:
        try:
            count = self.sock.send(data)
        except BlockingIOError:
            count = 0
        except OSError:
            self.close(_LOST)
            return
        if count < len(data):
            self._unsent = data[count:]
            self.pool.watch(self, select.EPOLLIN | select.EPOLLOUT)

    def on_writable(self) -> None:
        self.pool.watch(self, select.EPOLLIN)
        data, self._unsent = self._unsent, b""
        if data:
            self.write(data)

    # Receiving.

    def on_readable(self) -> None:
        try:
            data = self.sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close(_LOST)
            return
        if self.state is _State.IDLE:
            # No request is outstanding, so the bytes are not a reply.
            self.close(exchange_lib.Failure.PROTOCOL)
            return
        self._reader.feed(data)
        self.pool.held_bytes += len(data)
        replies = [r for r in self._reader.replies if r.status >= 200]
        self._reader.replies = []
        if self._reader.excess:
            self.close_too_large(self._reader.excess)
        elif self._reader.is_malformed:
            self.close(exchange_lib.Failure.PROTOCOL)
        elif replies:
            has_extra = len(replies) > 1 or self._reader.is_in_message
            self._finish_reply(replies[0], not has_extra)
        else:
            self.pool.limit_held_bytes()

    def close_too_large(self, limit: str) -> None:
        """Closes the connection, whose reply exceeds a limit.

        Args:
          limit: Name of the limit.
        """
        loguru.logger.bind(
            server=self.address, limit=limit, received_bytes=self.held_bytes
        ).warning("closed a connection whose reply exceeds a limit")
        self.close(exchange_lib.Failure.TOO_LARGE)

    def _finish_reply(
        self, parsed: reply_reader.ParsedReply, is_reusable: bool
    ) -> None:
        headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in parsed.headers
        }
        reply = exchange_lib.Reply(
            parsed.status, headers, parsed.body, None, True
        )
        exchange, self.exchange = self.exchange, None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.pool.held_bytes -= self._reader.held_bytes
        self._reader.close()
        self._reader = reply_reader.ReplyReader(self.pool.limits)
        self.state = _State.IDLE
        self.last_reply_ms = self.pool.clock.now_ms()
        if parsed.keep_alive and is_reusable:
            self.pool.release(self)
        else:
            self.close(_LOST)
        if exchange is not None:
            exchange.finish(reply)

    # Abandoning, probing and closing.

    def abandon(self, exchange: exchange_lib.Exchange) -> None:
        if self.exchange is not exchange:
            return
        self.exchange = None
        if self.state is _State.BUSY:
            self.state = _State.ABANDONED
            self.timer = self.pool.timers.after(
                LATE_REPLY_TIMEOUT_MS,
                lambda: self.close(_LOST),
            )

    def ping(self) -> None:
        self.state = _State.PINGING
        self.timer = self.pool.timers.after(
            PING_TIMEOUT_MS,
            lambda: self.close(_LOST),
        )
        self.write(_PING)

    def close(self, failure: exchange_lib.Failure) -> None:
        if self.state is _State.CLOSED:
            return
        if self.state is _State.CONNECTING:
            failure = _CONNECT_FAILED
        exchange, self.exchange = self.exchange, None
        self.state = _State.CLOSED
        if self.timer is not None:
            self.timer.cancel()
        self.pool.held_bytes -= self._reader.held_bytes
        self._reader.close()
        self.pool.remove_connection(self)
        self.sock.close()
        if exchange is not None:
            reached = exchange.sent
            exchange.finish(exchange_lib.Reply(0, {}, b"", failure, reached))


class _Server:
    """Connections to one backend server and their limit."""

    def __init__(self, limit: int):
        self.limit = limit
        self.connections: set[_Connection] = set()
        self.idle: collections.deque[_Connection] = collections.deque()


class HttpPool(circuits.BaseComponent):
    """Owns all connections to backend servers.

    Pools on the same loop need different channels. Idle connections are
    probed unless `pings` is False.

    Attributes:
      limits: Limits of the size of replies.
      held_bytes: Bytes of the replies that are being received.
    """

    channel = "backend"

    def __init__(
        self,
        poller,
        timers: timers_lib.TimerQueue,
        clock: clock_lib.Clock,
        channel: str = channel,
        pings: bool = True,
        limits: reply_reader.ReplyLimits = reply_reader.ReplyLimits(),  # noqa: B008 (immutable)
    ):
        super().__init__(channel=channel)
        self.limits = limits
        self.held_bytes = 0
        self.timers = timers
        self.clock = clock
        self._servers: dict[str, _Server] = {}
        self._by_descriptor: dict[int, _Connection] = {}
        self._epoll = select.epoll()
        self._poller = poller
        poller.addReader(self, self._epoll)
        self._ping_timer: timers_lib.Timer | None = None
        if pings:
            self._ping_timer = timers.every(PING_PERIOD_MS, self._ping_idle)

    def set_server(self, address: str, limit: int, warm: int) -> None:
        """Adds a backend server or changes its limit.

        Args:
          address: `ip:port`.
          limit: Maximum number of connections from this process.
          warm: Number of connections to open in advance, because opening one
            takes up to 6 ms.
        """
        server = self._servers.get(address)
        if server is None:
            server = self._servers[address] = _Server(limit)
        server.limit = limit
        for _ in range(min(warm, limit) - len(server.connections)):
            self._open(address, server)

    def remove_server(self, address: str) -> None:
        """Removes a backend server.

        Idle connections are closed now, busy ones after their exchange.
        """
        server = self._servers.get(address)
        if server is None:
            return
        server.limit = 0
        for connection in tuple(server.idle):
            connection.close(_LOST)
        if not server.connections:
            del self._servers[address]

    def send(
        self,
        address: str,
        payload: bytes,
        on_reply: exchange_lib.OnReply,
        max_silence_ms: float | None = None,
    ) -> exchange_lib.Exchange:
        """Starts an exchange.

        Args:
          address: Backend server, `ip:port`.
          payload: Whole HTTP request.
          on_reply: Called once on the loop with the reply or failure,
            possibly before this function returns.
          max_silence_ms: Use only a connection that received its last reply
            (or was established) at most this long ago, or a new one.

        Returns:
          The handle with which the reply can be abandoned.
        """
        now_ms = self.clock.now_ms()
        exchange = exchange_lib.Exchange(payload, on_reply, now_ms)
        server = self._servers.get(address)
        if server is None:
            server = self._servers[address] = _Server(1)
        connection = self._acquire_idle(server, now_ms, max_silence_ms)
        if connection is None and len(server.connections) < server.limit:
            connection = self._open(address, server, exchange)
            if connection is None:
                exchange.finish(
                    exchange_lib.Reply(0, {}, b"", _CONNECT_FAILED, False)
                )
            return exchange
        if connection is None:
            exchange.finish(
                exchange_lib.Reply(0, {}, b"", _NO_CONNECTION, False)
            )
            return exchange
        connection.start(exchange)
        return exchange

    def has_capacity(self, address: str) -> bool:
        """Returns whether `send` could use or open a connection now."""
        server = self._servers.get(address)
        if server is None:
            return False
        return bool(server.idle) or len(server.connections) < server.limit

    def connection_count(self, address: str) -> int:
        """Returns the number of open connections to a backend server."""
        server = self._servers.get(address)
        return len(server.connections) if server is not None else 0

    def close_all(self) -> None:
        """Stops the probes and closes every connection."""
        if self._ping_timer is not None:
            self._ping_timer.cancel()
        for connection in tuple(self._by_descriptor.values()):
            connection.close(_LOST)
        self._poller.discard(self._epoll)
        self._epoll.close()

    # Called by connections.

    def watch(self, connection: _Connection, mask: int) -> None:
        """Sets the epoll mask of a connection's socket."""
        self._epoll.modify(connection.sock, mask)

    def limit_held_bytes(self) -> None:
        """Closes the connections with the longest replies above the limit."""
        while self.held_bytes > self.limits.total_bytes:
            connections = self._by_descriptor.values()
            longest = max(connections, key=lambda c: c.held_bytes)
            longest.close_too_large("total_bytes")

    def release(self, connection: _Connection) -> None:
        """Makes a connection idle, or closes it when above the limit."""
        server = self._servers[connection.address]
        if len(server.connections) > server.limit:
            connection.close(_LOST)
        else:
            server.idle.append(connection)

    def remove_connection(self, connection: _Connection) -> None:
        """Unregisters a connection that is about to be closed."""
        if self._by_descriptor.pop(connection.sock.fileno(), None):
            self._epoll.unregister(connection.sock)
        server = self._servers.get(connection.address)
        if server is None:
            return
        server.connections.discard(connection)
        if connection in server.idle:
            server.idle.remove(connection)
        if not server.connections and server.limit == 0:
            del self._servers[connection.address]

    def _acquire_idle(
        self, server: _Server, now_ms: float, max_silence_ms: float | None
    ) -> _Connection | None:
        # The connection used most recently is the most likely to be alive.
        if not server.idle:
            return None
        newest = server.idle[-1]
        if (
            max_silence_ms is not None
            and now_ms - newest.last_reply_ms > max_silence_ms
        ):
            # The oldest idle connection is closed at the limit, so that a new
            # one can be opened.
            if len(server.connections) >= server.limit:
                server.idle[0].close(_LOST)
            return None
        return server.idle.pop()

    def _open(
        self,
        address: str,
        server: _Server,
        exchange: exchange_lib.Exchange | None = None,
    ) -> _Connection | None:
        connection = _Connection(self, address)
        if connection.connect_error not in (0, errno.EINPROGRESS):
            connection.sock.close()
            return None
        server.connections.add(connection)
        self._by_descriptor[connection.sock.fileno()] = connection
        self._epoll.register(connection.sock, select.EPOLLOUT)
        if exchange is not None:
            connection.start(exchange)
        connection.timer = self.timers.after(
            CONNECT_TIMEOUT_MS,
            lambda: connection.close(_CONNECT_FAILED),
        )
        return connection

    def _ping_idle(self) -> None:
        now_ms = self.clock.now_ms()
        for server in tuple(self._servers.values()):
            due_connections = [
                connection
                for connection in server.idle
                if now_ms - connection.last_reply_ms >= PING_PERIOD_MS / 2
            ]
            for connection in due_connections:
                server.idle.remove(connection)
                connection.ping()

    @core.handler("_read")
    def _on_read(self, _):
        for descriptor, mask in self._epoll.poll(0):
            # Handling an earlier event of this batch may have closed this
            # connection.
            connection = self._by_descriptor.get(descriptor)
            if connection is None:
                continue
            if connection.state is _State.CONNECTING:
                self._on_connect_result(connection)
                continue
            if mask & select.EPOLLOUT:
                connection.on_writable()
            if mask & ~select.EPOLLOUT:
                connection.on_readable()

    def _on_connect_result(self, connection: _Connection) -> None:
        if connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            connection.close(_CONNECT_FAILED)
            return
        try:
            connection.sock.getpeername()
        except OSError:
            # The event belongs to a closed socket whose descriptor number is
            # reused by this one.
            return
        self.watch(connection, select.EPOLLIN)
        connection.on_established()
