"""Persistent HTTP/1.1 connections that pass requests on to backend servers.

Unlike `http_client`, whose peers use the tier's own protocol, this client
keeps the headers of a reply unchanged, honours the idle timeout announced by a
server, and cancels a call by closing its connection: common servers stop their
work when the connection is closed. A connection carries one call at a time.
"""

import collections
from collections import abc
import dataclasses
import errno
import socket

import loguru

from auburnway.core import clock as clock_lib
from auburnway.kernel import timers as timers_lib
from auburnway.net import connecting
from auburnway.net import exchange
from auburnway.net import reply_reader
from auburnway.net import socket_set

RECEIVE_BYTES = 1 << 16
# Interval at which expired idle connections are closed.
SWEEP_PERIOD_MS = 500.0
# A connection is not used in the last part of the idle timeout announced by
# its server, because the server could close it while a request is in flight.
IDLE_MARGIN_MS = 400.0
# Idle timeout for a server that announces none.
DEFAULT_IDLE_MS = 4_000.0
TCP_USER_TIMEOUT_MS = 3000

_LOST = exchange.Failure.CONNECTION_LOST
_CONNECT_FAILED = exchange.Failure.CONNECT_FAILED
_NO_CONNECTION = exchange.Failure.NO_CONNECTION
_PROTOCOL = exchange.Failure.PROTOCOL
_TOO_LARGE = exchange.Failure.TOO_LARGE


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Result of a call: a reply, or the reason why there is none.

    Attributes:
      status: HTTP status; 0 when there is no reply.
      headers: Pairs of name and value as received.
      fields: Values by lower-case name; the last one of repeated headers.
      body: Whole body.
      failure: Why there is no reply; None when there is one.
      reached: False only when no byte of the request can have reached the
        backend server.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    fields: dict[bytes, bytes] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    failure: exchange.Failure | None = None
    reached: bool = True


OnReply = abc.Callable[[Reply], None]


class Call:
    """Handle of one request, with which the request can be cancelled.

    Attributes:
      sent: Whether sending has started.
      payload: Bytes of the request.
      reply_id: Value that the reply's id header must have if it is present.
      has_no_body: Whether the reply has headers only, as for HEAD.
    """

    __slots__ = (
        "connection",
        "has_no_body",
        "on_reply",
        "payload",
        "reply_id",
        "sent",
    )

    def __init__(
        self,
        payload: bytes,
        on_reply: OnReply,
        reply_id: bytes,
        has_no_body: bool,
    ):
        self.connection: _Connection | None = None
        self.on_reply: OnReply | None = on_reply
        self.payload = payload
        self.reply_id = reply_id
        self.has_no_body = has_no_body
        self.sent = False

    def cancel(self) -> None:
        """Drops the reply; an established connection of the call is closed."""
        self.on_reply = None
        if self.connection is not None:
            self.connection.cancel(self)

    def finish(self, reply: Reply) -> None:
        """Calls the completion callback; later calls have no effect."""
        on_reply, self.on_reply = self.on_reply, None
        if on_reply is not None:
            on_reply(reply)


class _Connection:
    """One connection."""

    def __init__(self, pool: "WebPool", address: str):
        self.pool = pool
        self.address = address
        self.is_open = True
        self.is_connecting = True
        self.call: Call | None = None
        self.idle_until_ms = 0.0
        self.idle_limit_ms = DEFAULT_IDLE_MS
        self._unsent = b""
        # Set when a reply to a different request was read.
        self._skipped_reply = False
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
        """Bytes received for the current call."""
        return self._reader.held_bytes

    # Sending.

    def start(self, call: Call) -> None:
        self.call = call
        call.connection = self
        if not self.is_connecting:
            self._send()

    def _send(self) -> None:
        self.call.sent = True
        self._write(self.call.payload)

    def _write(self, data: bytes) -> None:
        try:
            count = self.sock.send(data)
        except BlockingIOError:
            count = 0
        except OSError:
            self.close(_LOST)
            return
        self._unsent = data[count:]
        mask = socket_set.READ | (socket_set.WRITE if self._unsent else 0)
        self.pool.sockets.change_mask(self.sock, mask)

    # Receiving.

    def on_ready(self, mask: int) -> None:
        if self.is_connecting:
            self._on_connect_result()
            return
        if mask & socket_set.WRITE and self._unsent:
            self._write(self._unsent)
        if self.is_open and mask & ~socket_set.WRITE:
            self._read()

    def _on_connect_result(self) -> None:
        if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.close(_CONNECT_FAILED)
            return
        self.is_connecting = False
        self.pool.sockets.change_mask(self.sock, socket_set.READ)
        if self.call is not None:
            self._send()
        else:
            self._become_idle()

    def _read(self) -> None:
        try:
            data = self.sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.close(_LOST)
            return
        if not data:
            self._on_end_of_stream()
            return
        if self.call is None:
            # No request is outstanding, so the bytes are not a reply.
            self.close(_PROTOCOL)
            return
        self._reader.feed(data, self.call.has_no_body)
        self.pool.held_bytes += len(data)
        self._match_reply()
        if not self.is_open or self.call is None:
            return
        if self._reader.excess:
            self.close_too_large(self._reader.excess)
        elif self._reader.is_malformed:
            self.close(_PROTOCOL)
        else:
            self.pool.limit_held_bytes()

    def close_too_large(self, limit: str) -> None:
        """Closes the connection, whose reply exceeds a limit.

        Args:
          limit: Name of the limit.
        """
        loguru.logger.bind(
            server=self.address,
            limit=limit,
            received_bytes=self.held_bytes,
        ).warning("closed a connection whose reply exceeds a limit")
        self.close(_TOO_LARGE)

    def _match_reply(self) -> None:
        """Ends the call with the first final reply that matches its id."""
        reader = self._reader
        replies, reader.replies = reader.replies, []
        for i, parsed in enumerate(replies):
            if parsed.status < 200:
                continue
            fields = {name.lower(): value for name, value in parsed.headers}
            expected_id = self.call.reply_id
            if fields.get(self.pool.id_header, expected_id) != expected_id:
                # A late reply to an earlier request; the call's reply follows.
                self._skipped_reply = True
                continue
            is_last = i == len(replies) - 1 and not reader.is_in_message
            self._finish_call(parsed, fields, is_last)
            return

    def _on_end_of_stream(self) -> None:
        """Handles the end of the stream, which may end the reply's body."""
        if self.call is not None:
            self._reader.end_of_stream()
            self._match_reply()
        if self.is_open:
            self.close(_LOST)

    def _finish_call(
        self,
        parsed: reply_reader.ParsedReply,
        fields: dict[bytes, bytes],
        is_last: bool,
    ) -> None:
        call, self.call = self.call, None
        is_reusable = (
            is_last
            and not self._reader.is_malformed
            and not self._skipped_reply
        )
        if parsed.keep_alive and is_reusable and not self._unsent:
            self.pool.held_bytes -= self._reader.held_bytes
            self._reader = reply_reader.ReplyReader(self.pool.limits)
            self.idle_limit_ms = _idle_limit_ms(fields)
            self._become_idle()
        else:
            self.close(_LOST)
        call.finish(Reply(parsed.status, parsed.headers, fields, parsed.body))

    def _become_idle(self) -> None:
        self.idle_until_ms = self.pool.clock.now_ms() + self.idle_limit_ms
        self.pool.release(self)

    # Cancelling and closing.

    def cancel(self, call: Call) -> None:
        if self.call is not call:
            return
        self.call = None
        # A connection that is not established yet is kept for later calls.
        if not self.is_connecting:
            self.close(_LOST)

    def close(self, failure: exchange.Failure) -> None:
        if not self.is_open:
            return
        self.is_open = False
        if self.is_connecting:
            failure = _CONNECT_FAILED
        call, self.call = self.call, None
        self.pool.held_bytes -= self._reader.held_bytes
        self.pool.remove_connection(self)
        self.sock.close()
        if call is not None:
            call.finish(Reply(0, failure=failure, reached=call.sent))


def _idle_limit_ms(fields: dict[bytes, bytes]) -> float:
    for part in fields.get(b"keep-alive", b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return max(int(value) * 1000.0 - IDLE_MARGIN_MS, 0.0)
    return DEFAULT_IDLE_MS


class _Server:
    """Connections to one backend server and their limit."""

    def __init__(self, limit: int):
        self.limit = limit
        self.connections: set[_Connection] = set()
        self.idle: collections.deque[_Connection] = collections.deque()


class WebPool:
    """Owns all pass-through connections to backend servers.

    Args:
      sockets: Set that watches the sockets.
      timers: Timer queue of the loop.
      clock: Source of time.
      id_header: Lower-case name of the reply header with the request's id.
      connect_timeout_ms: A connection that is not established within this
        time is closed.
      limits: Limits of the size of replies.

    Attributes:
      held_bytes: Bytes of the replies that are being received.
    """

    def __init__(
        self,
        sockets: socket_set.SocketSet,
        timers: timers_lib.TimerQueue,
        clock: clock_lib.Clock,
        id_header: bytes,
        connect_timeout_ms: float,
        limits: reply_reader.ReplyLimits = reply_reader.ReplyLimits(),  # noqa: B008 (immutable)
    ):
        self.sockets = sockets
        self.clock = clock
        self.id_header = id_header
        self.limits = limits
        self.held_bytes = 0
        self.opened_count = 0
        self._timers = timers
        self._connect_timeout_ms = connect_timeout_ms
        self._servers: dict[str, _Server] = {}
        # Includes connections to servers that were removed.
        self._connections: set[_Connection] = set()
        self._sweep_timer = timers.every(SWEEP_PERIOD_MS, self._sweep)

    def set_limit(self, address: str, limit: int) -> None:
        """Sets the maximum number of connections to a backend server."""
        server = self._servers.get(address)
        if server is None:
            server = self._servers[address] = _Server(limit)
        server.limit = limit

    def remove(self, address: str) -> None:
        """Closes idle connections now, and busy ones after their call."""
        server = self._servers.pop(address, None)
        if server is not None:
            server.limit = 0
            for connection in tuple(server.idle):
                connection.close(_LOST)

    def has_capacity(self, address: str) -> bool:
        """Returns whether `send` could use or open a connection now."""
        server = self._servers.get(address)
        if server is None:
            return False
        return bool(server.idle) or len(server.connections) < server.limit

    def connection_count(self) -> int:
        """Returns the number of open connections to all servers."""
        return sum(len(server.connections) for server in self._servers.values())

    def send(
        self,
        address: str,
        payload: bytes,
        on_reply: OnReply,
        reply_id: bytes,
        has_no_body: bool = False,
        max_idle_ms: float | None = None,
    ) -> Call:
        """Starts a call.

        Args:
          address: Backend server, `ip:port`.
          payload: Whole HTTP request.
          on_reply: Called once on the loop with the reply or failure,
            possibly before this function returns.
          reply_id: Value that the reply's id header must have if present.
          has_no_body: Whether the reply has headers only, as for HEAD.
          max_idle_ms: Use only a connection that was idle for at most this
            time, or a new one.

        Returns:
          The handle with which the call can be cancelled.
        """
        call = Call(payload, on_reply, reply_id, has_no_body)
        server = self._servers.get(address)
        if server is None:
            call.finish(Reply(0, failure=_NO_CONNECTION, reached=False))
            return call
        connection = self._acquire_idle(server, max_idle_ms)
        if connection is not None:
            connection.start(call)
        elif len(server.connections) < server.limit:
            self._open(address, server, call)
        else:
            call.finish(Reply(0, failure=_NO_CONNECTION, reached=False))
        return call

    def close(self) -> None:
        """Stops the sweep and closes every connection."""
        self._sweep_timer.cancel()
        for server in tuple(self._servers.values()):
            for connection in tuple(server.connections):
                connection.close(_LOST)

    def limit_held_bytes(self) -> None:
        """Closes the connections with the longest replies above the limit."""
        while self.held_bytes > self.limits.total_bytes:
            longest = max(self._connections, key=lambda c: c.held_bytes)
            longest.close_too_large("total_bytes")

    def release(self, connection: _Connection) -> None:
        """Makes a connection idle, or closes it when above the limit."""
        server = self._servers.get(connection.address)
        if server is None or len(server.connections) > server.limit:
            connection.close(_LOST)
        else:
            server.idle.append(connection)

    def remove_connection(self, connection: _Connection) -> None:
        """Unregisters a connection that is about to be closed."""
        self.sockets.remove(connection.sock)
        self._connections.discard(connection)
        server = self._servers.get(connection.address)
        if server is not None:
            server.connections.discard(connection)
            if connection in server.idle:
                server.idle.remove(connection)

    def _acquire_idle(
        self, server: _Server, max_idle_ms: float | None
    ) -> _Connection | None:
        # The connection used most recently is the most likely to be alive.
        now_ms = self.clock.now_ms()
        while server.idle:
            connection = server.idle.pop()
            idle_ms = now_ms - connection.idle_until_ms
            idle_ms += connection.idle_limit_ms
            is_stale = max_idle_ms is not None and idle_ms > max_idle_ms
            if now_ms <= connection.idle_until_ms and not is_stale:
                return connection
            connection.close(_LOST)
        return None

    def _open(self, address: str, server: _Server, call: Call) -> None:
        connection = _Connection(self, address)
        if connection.connect_error not in (0, errno.EINPROGRESS):
            connection.sock.close()
            call.finish(Reply(0, failure=_CONNECT_FAILED, reached=False))
            return
        self.opened_count += 1
        server.connections.add(connection)
        self._connections.add(connection)
        self.sockets.add(connection.sock, socket_set.WRITE, connection.on_ready)
        connection.start(call)

        def on_connect_timeout():
            if connection.is_connecting:
                connection.close(_CONNECT_FAILED)

        self._timers.after(self._connect_timeout_ms, on_connect_timeout)

    def _sweep(self) -> None:
        now_ms = self.clock.now_ms()
        for server in self._servers.values():
            for connection in tuple(server.idle):
                if now_ms > connection.idle_until_ms:
                    connection.close(_LOST)
