"""Persistent HTTP/1.1 connections that pass requests on to backend servers.

Unlike `http_client`, whose peers use the tier's own protocol, this client
keeps the headers of a reply unchanged (`web_connection`). A connection carries
one call at a time.
"""

import collections
from collections import abc
import errno

from auburnway.core import clock as clock_lib
from auburnway.kernel import timers as timers_lib
from auburnway.net import exchange
from auburnway.net import reply_reader
from auburnway.net import socket_set
from auburnway.net import web_connection

# Interval at which expired idle connections are closed.
SWEEP_PERIOD_MS = 500.0

_LOST = exchange.Failure.CONNECTION_LOST
_CONNECT_FAILED = exchange.Failure.CONNECT_FAILED
_NO_CONNECTION = exchange.Failure.NO_CONNECTION


class _Server:
    """Connections to one backend server and their limit."""

    def __init__(self, limit: int):
        self.limit = limit
        self.connections: set[web_connection.Connection] = set()
        self.idle: collections.deque[web_connection.Connection] = (
            collections.deque()
        )


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
        self._connections: set[web_connection.Connection] = set()
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
        on_reply: web_connection.OnReply,
        reply_id: bytes,
        has_no_body: bool = False,
        max_idle_ms: float | None = None,
    ) -> web_connection.Call:
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
        call = web_connection.Call(payload, on_reply, reply_id, has_no_body)
        server = self._servers.get(address)
        if server is None:
            call.finish(
                web_connection.Reply(0, failure=_NO_CONNECTION, reached=False)
            )
            return call
        connection = self._acquire_idle(server, max_idle_ms)
        if connection is not None:
            connection.start(call)
        elif len(server.connections) < server.limit:
            opened = self._open(address, server)
            if opened is not None:
                opened.start(call)
            else:
                call.finish(
                    web_connection.Reply(
                        0, failure=_CONNECT_FAILED, reached=False
                    )
                )
        else:
            call.finish(
                web_connection.Reply(0, failure=_NO_CONNECTION, reached=False)
            )
        return call

    def check(
        self, address: str, on_result: abc.Callable[[bool | None], None]
    ) -> None:
        """Finds out whether a server accepts a connection, which is then idle.

        Args:
          address: Backend server, `ip:port`.
          on_result: Called once on the loop with the result, or with None if
            the limit allows no connection.
        """
        server = self._servers.get(address)
        if server is None or len(server.connections) >= server.limit:
            on_result(None)
            return
        connection = self._open(address, server)
        if connection is None:
            on_result(False)
        else:
            connection.on_connected = on_result

    def close(self) -> None:
        """Stops the sweep and closes every connection."""
        self._sweep_timer.cancel()
        for server in tuple(self._servers.values()):
            for connection in tuple(server.connections):
                connection.on_connected = lambda _: None
                connection.close(_LOST)

    def limit_held_bytes(self) -> None:
        """Closes the connections with the longest replies above the limit."""
        while self.held_bytes > self.limits.total_bytes:
            longest = max(self._connections, key=lambda c: c.held_bytes)
            longest.close_too_large("total_bytes")

    def release(self, connection: web_connection.Connection) -> None:
        """Makes a connection idle, or closes it when above the limit."""
        server = self._servers.get(connection.address)
        if server is None or len(server.connections) > server.limit:
            connection.close(_LOST)
        else:
            server.idle.append(connection)

    def remove_connection(self, connection: web_connection.Connection) -> None:
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
    ) -> web_connection.Connection | None:
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

    def _open(
        self, address: str, server: _Server
    ) -> web_connection.Connection | None:
        """Starts a new connection; returns None if that fails at once."""
        connection = web_connection.Connection(self, address)
        if connection.connect_error not in (0, errno.EINPROGRESS):
            connection.sock.close()
            return None
        self.opened_count += 1
        server.connections.add(connection)
        self._connections.add(connection)
        self.sockets.add(connection.sock, socket_set.WRITE, connection.on_ready)

        def on_connect_timeout():
            if connection.is_connecting:
                connection.close(_CONNECT_FAILED)

        self._timers.after(self._connect_timeout_ms, on_connect_timeout)
        return connection

    def _sweep(self) -> None:
        now_ms = self.clock.now_ms()
        for server in self._servers.values():
            for connection in tuple(server.idle):
                if now_ms > connection.idle_until_ms:
                    connection.close(_LOST)
