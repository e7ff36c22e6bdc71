"""Kept HTTP/1.1 connections that pass requests on to backend servers.

Unlike `http_client`, whose peers speak this project's own protocol, it keeps
the headers of a reply as they came, honours the idle time that a server
states, and cancels by closing the connection, which is how common servers
learn that nobody waits any more. A connection carries one call at a time.
"""

import collections
from collections import abc
import dataclasses
import errno
import socket

import httptools

from auburnway.core import clock as clock_lib
from auburnway.kernel import timers as timers_lib
from auburnway.net import exchange
from auburnway.net import socket_set

RECEIVE_BYTES = 1 << 16
SWEEP_MS = 500.0
# A connection is not used for the last part of the idle time that its server
# states, because a request on the way could cross the close.
IDLE_MARGIN_MS = 400.0
# Idle time of a server that states none.
DEFAULT_IDLE_MS = 4_000.0
TCP_USER_TIMEOUT_MS = 3000

_LOST = exchange.Failure.CONNECTION_LOST
_CONNECT_FAILED = exchange.Failure.CONNECT_FAILED
_NO_CONNECTION = exchange.Failure.NO_CONNECTION
_PROTOCOL = exchange.Failure.PROTOCOL


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """End of a call.

    Attributes:
      status: HTTP status; 0 without a reply.
      headers: Pairs of name and value as received.
      fields: Values by lower-case name; the last one of repeated headers.
      body: Whole body.
      failure: None with a reply.
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
    """Handle of one request; `cancel` gives up its reply.

    Attributes:
      sent: Whether a byte of it was handed to the network.
      payload: Bytes of the request.
      reply_id: Value that the reply's id header must have when it has one.
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
        """Gives up the reply; a connection that carries it is closed."""
        self.on_reply = None
        if self.connection is not None:
            self.connection.cancel(self)

    def finish(self, reply: Reply) -> None:
        """Calls the completion function once."""
        on_reply, self.on_reply = self.on_reply, None
        if on_reply is not None:
            on_reply(reply)


@dataclasses.dataclass(frozen=True, slots=True)
class _Message:
    """One reply as it was parsed."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    keep_alive: bool


class _Connection:
    """One socket with its parser; also the parser's callback target."""

    def __init__(self, pool: "WebPool", address: str):
        self.pool = pool
        self.address = address
        self.is_open = True
        self.is_connecting = True
        self.call: Call | None = None
        self.idle_until_ms = 0.0
        self.idle_limit_ms = DEFAULT_IDLE_MS
        self._unsent = b""
        # Set when something that is no reply was read.
        self._is_spoiled = False
        # Set when a reply to another request was read.
        self._skipped = False
        self._reset_reply()
        host, _, port = address.rpartition(":")
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        self.connect_error = self.sock.connect_ex((host, int(port)))

    def _reset_reply(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        # One read may hold several replies.
        self._messages: list[_Message] = []
        self.on_message_begin()

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._has_headers = False

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        self._has_headers = True

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        self._messages.append(self._message(self._parser.should_keep_alive()))
        self._has_headers = False

    def _message(self, keep_alive: bool) -> "_Message":
        return _Message(
            self._parser.get_status_code(),
            tuple(self._headers),
            b"".join(self._body),
            keep_alive,
        )

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
        self.pool.sockets.change(self.sock, mask)

    # Receiving.

    def on_ready(self, mask: int) -> None:
        if self.is_connecting:
            self._end_connect()
            return
        if mask & socket_set.WRITE and self._unsent:
            self._write(self._unsent)
        if self.is_open and mask & ~socket_set.WRITE:
            self._read()

    def _end_connect(self) -> None:
        if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.close(_CONNECT_FAILED)
            return
        self.is_connecting = False
        self.pool.sockets.change(self.sock, socket_set.READ)
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
            self._on_end()
            return
        if self.call is None:
            # Bytes that no request asked for belong to nobody.
            self.close(_PROTOCOL)
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # What follows a complete reply may not be a reply.
            self._is_spoiled = True
        if self.call.has_no_body and self._has_headers and not self._messages:
            self._messages.append(self._message(False))
        self._take_messages()
        if self.is_open and self.call is not None and self._is_spoiled:
            self.close(_PROTOCOL)

    def _take_messages(self) -> None:
        """Ends the call with the first reply that belongs to it."""
        messages, self._messages = self._messages, []
        for i, message in enumerate(messages):
            if message.status < 200:
                continue
            fields = {name.lower(): value for name, value in message.headers}
            wanted = self.call.reply_id
            if fields.get(self.pool.id_header, wanted) != wanted:
                # A late reply to an earlier request; the expected one follows.
                self._skipped = True
                continue
            is_last = i == len(messages) - 1 and not self._has_headers
            self._finish_call(message, fields, is_last)
            return

    def _on_end(self) -> None:
        """Handles the end of the stream, which may delimit a body."""
        names = {name.lower() for name, _ in self._headers}
        delimits = not names & {b"content-length", b"transfer-encoding"}
        if self.call is not None and self._has_headers and delimits:
            self._messages.append(self._message(False))
            self._take_messages()
        if self.is_open:
            self.close(_LOST)

    def _finish_call(
        self, message: "_Message", fields: dict[bytes, bytes], is_last: bool
    ) -> None:
        call, self.call = self.call, None
        is_clean = is_last and not self._is_spoiled and not self._skipped
        if message.keep_alive and is_clean and not self._unsent:
            self._reset_reply()
            self.idle_limit_ms = _idle_limit_ms(fields)
            self._become_idle()
        else:
            self.close(_LOST)
        call.finish(
            Reply(message.status, message.headers, fields, message.body)
        )

    def _become_idle(self) -> None:
        self.idle_until_ms = self.pool.clock.now_ms() + self.idle_limit_ms
        self.pool.release(self)

    # Ending.

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
        self.pool.forget(self)
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
    """Connections to one backend server."""

    def __init__(self, limit: int):
        self.limit = limit
        self.all: set[_Connection] = set()
        self.idle: collections.deque[_Connection] = collections.deque()


class WebPool:
    """Owns all pass-through connections to backend servers.

    Args:
      sockets: Set that watches the sockets.
      timers: Timer queue of the loop.
      clock: Source of time.
      id_header: Lower-case name of the header that echoes a request's id.
      connect_timeout_ms: A connection that is not established by then is
        given up.
    """

    def __init__(
        self,
        sockets: socket_set.SocketSet,
        timers: timers_lib.TimerQueue,
        clock: clock_lib.Clock,
        id_header: bytes,
        connect_timeout_ms: float,
    ):
        self.sockets = sockets
        self.clock = clock
        self.id_header = id_header
        self.opened_count = 0
        self._timers = timers
        self._connect_timeout_ms = connect_timeout_ms
        self._servers: dict[str, _Server] = {}
        self._sweep_timer = timers.every(SWEEP_MS, self._sweep)

    def set_limit(self, address: str, limit: int) -> None:
        """Sets the greatest number of connections to a server."""
        server = self._servers.get(address)
        if server is None:
            server = self._servers[address] = _Server(limit)
        server.limit = limit

    def remove(self, address: str) -> None:
        """Closes idle connections; those in use end with their call."""
        server = self._servers.pop(address, None)
        if server is not None:
            server.limit = 0
            for connection in tuple(server.idle):
                connection.close(_LOST)

    def has_capacity(self, address: str) -> bool:
        """Whether `send` would find or open a connection now."""
        server = self._servers.get(address)
        if server is None:
            return False
        return bool(server.idle) or len(server.all) < server.limit

    def connection_count(self) -> int:
        """Returns the number of open connections to all servers."""
        return sum(len(server.all) for server in self._servers.values())

    def send(
        self,
        address: str,
        payload: bytes,
        on_reply: OnReply,
        reply_id: bytes,
        has_no_body: bool = False,
        fresh_ms: float | None = None,
    ) -> Call:
        """Starts a call.

        Args:
          address: Backend server, `ip:port`.
          payload: Whole HTTP request.
          on_reply: Called once on the loop with the reply or failure; it may
            be called before this function returns.
          reply_id: Value that the reply's id header must have.
          has_no_body: Whether the reply has headers only, as for HEAD.
          fresh_ms: Use only a connection that was idle for at most this
            time, or a new one.

        Returns:
          The handle with which the call can be cancelled.
        """
        call = Call(payload, on_reply, reply_id, has_no_body)
        server = self._servers.get(address)
        if server is None:
            call.finish(Reply(0, failure=_NO_CONNECTION, reached=False))
            return call
        connection = self._take_idle(server, fresh_ms)
        if connection is not None:
            connection.start(call)
        elif len(server.all) < server.limit:
            self._open(address, server, call)
        else:
            call.finish(Reply(0, failure=_NO_CONNECTION, reached=False))
        return call

    def close(self) -> None:
        """Closes every connection."""
        self._sweep_timer.cancel()
        for server in tuple(self._servers.values()):
            for connection in tuple(server.all):
                connection.close(_LOST)

    def release(self, connection: _Connection) -> None:
        """Takes back a connection whose call has ended."""
        server = self._servers.get(connection.address)
        if server is None or len(server.all) > server.limit:
            connection.close(_LOST)
        else:
            server.idle.append(connection)

    def forget(self, connection: _Connection) -> None:
        """Drops a connection that is about to be closed."""
        self.sockets.remove(connection.sock)
        server = self._servers.get(connection.address)
        if server is not None:
            server.all.discard(connection)
            if connection in server.idle:
                server.idle.remove(connection)

    def _take_idle(
        self, server: _Server, fresh_ms: float | None
    ) -> _Connection | None:
        # The connection used last is the one most surely alive.
        now_ms = self.clock.now_ms()
        while server.idle:
            connection = server.idle.pop()
            idle_ms = now_ms - connection.idle_until_ms
            idle_ms += connection.idle_limit_ms
            is_stale = fresh_ms is not None and idle_ms > fresh_ms
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
        server.all.add(connection)
        self.sockets.add(connection.sock, socket_set.WRITE, connection.on_ready)
        connection.start(call)

        def give_up():
            if connection.is_connecting:
                connection.close(_CONNECT_FAILED)

        self._timers.after(self._connect_timeout_ms, give_up)

    def _sweep(self) -> None:
        now_ms = self.clock.now_ms()
        for server in self._servers.values():
            for connection in tuple(server.idle):
                if now_ms > connection.idle_until_ms:
                    connection.close(_LOST)
