"""HTTP/1.1 server for pass-through traffic and small control endpoints.

It keeps header names and values as they came, enforces the limits of the
configuration in force, and tells the owner of a request when its client has
left. circuits.web does not offer the last two, and costs 0.8 ms a request.
"""

import collections
from collections import abc
import dataclasses
import http
import itertools
import socket

import httptools
import loguru

from auburnway.core import clock as clock_lib
from auburnway.kernel import timers as timers_lib
from auburnway.net import socket_set
from auburnway.net import stream as stream_lib

RECEIVE_BYTES = 1 << 16
SWEEP_MS = 250.0
BACKLOG = 1024
# A client that pipelines more than this without reading is closed.
MAX_PIPELINED = 16

Headers = tuple[tuple[bytes, bytes], ...]

_REASONS = {status.value: status.phrase.encode() for status in http.HTTPStatus}


@dataclasses.dataclass(frozen=True)
class Limits:
    """What a client may send, and how long it may take.

    Attributes:
      header_bytes: Greatest size of request line and headers.
      body_bytes: Greatest size of a body.
      header_timeout_ms: Longest time from the first byte of a request to the
        end of its headers; also the longest pause within a body.
      idle_timeout_ms: A connection without a request is closed after it.
    """

    header_bytes: int = 16_384
    body_bytes: int = 1 << 20
    header_timeout_ms: float = 5_000.0
    idle_timeout_ms: float = 60_000.0


class Request:
    """One request; `reply` answers it once.

    Attributes:
      method: HTTP method.
      target: Request target as sent: path and query.
      headers: Pairs of name and value as sent.
      fields: Values by lower-case name; the last one of repeated headers.
      body: Whole body.
      received_ms: Monotonic instant at which it was read in full.
      is_first: Whether it is the first one on its connection.
      on_gone: Called when the client left before the reply.
    """

    __slots__ = (
        "_connection",
        "body",
        "fields",
        "headers",
        "is_first",
        "keep",
        "method",
        "on_gone",
        "received_ms",
        "target",
    )

    def __init__(self, connection, method, target, headers, body, keep):
        self._connection = connection
        self.method: bytes = method
        self.target: bytes = target
        self.headers: list[tuple[bytes, bytes]] = headers
        self.fields = {name.lower(): value for name, value in headers}
        self.body: bytes = body
        self.keep: bool = keep
        self.is_first: bool = not connection.has_served
        self.received_ms = connection.server.clock.now_ms()
        self.on_gone: abc.Callable[[], None] | None = None

    def reply(
        self, status: int, headers: abc.Iterable[tuple[bytes, bytes]], body
    ) -> None:
        """Sends the reply; without effect when the client has left."""
        connection, self._connection = self._connection, None
        self.on_gone = None
        if connection is not None:
            connection.reply(self, status, headers, body)

    @property
    def path(self) -> bytes:
        """Target without the query."""
        return self.target.partition(b"?")[0]


class _Connection:
    """One accepted socket with its parser; the parser's callback target."""

    def __init__(self, server: "WebServer", sock: socket.socket):
        self.server = server
        self.sock = sock
        self.is_open = True
        self.current: Request | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: collections.deque[Request] = collections.deque()
        self._unsent = bytearray()
        self._closes = False
        # Instant at which the last reply was sent; None before it.
        self._ended_ms: float | None = None
        self.has_served = False
        self._is_starting = False
        # What the sweep checks: the instant by which progress is due, and
        # whether a request has begun.
        self.due_ms = 0.0
        self.has_begun = False
        self._error = 0
        self._reset()
        self._wait_idle()

    def _reset(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._header_bytes = 0
        self._body_bytes = 0
        self._in_body = False

    def _wait_idle(self) -> None:
        self.has_begun = False
        limits = self.server.limits
        self.due_ms = self.server.clock.now_ms() + limits.idle_timeout_ms

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        self._reset()

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))
        self._count_header(len(name) + len(value) + 4)

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self.server.limits.header_bytes:
            self._error = self._error or 431

    def on_headers_complete(self) -> None:
        self._in_body = True
        expects = False
        for name, value in self._headers:
            lower = name.lower()
            if lower == b"content-length":
                if int(value) > self.server.limits.body_bytes:
                    self._error = self._error or 413
            elif lower == b"expect":
                expects = value.lower() == b"100-continue"
        if expects and not self._error:
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        if self._body_bytes > self.server.limits.body_bytes:
            self._error = self._error or 413
        else:
            self._body.append(body)

    def on_message_complete(self) -> None:
        self._in_body = False
        if self._error:
            return
        self._waiting.append(
            Request(
                self,
                self._parser.get_method(),
                self._target,
                self._headers,
                b"".join(self._body),
                self._parser.should_keep_alive(),
            )
        )

    # Socket.

    def on_ready(self, mask: int) -> None:
        if mask & socket_set.WRITE:
            self._flush()
        if self.is_open and mask & ~socket_set.WRITE:
            self._read()

    def _read(self) -> None:
        try:
            data = self.sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            if self._ended_ms is not None:
                passed_ms = self.server.clock.now_ms() - self._ended_ms
                self.server.on_round_trip(passed_ms)
            self.close()
            return
        if self._closes:
            return
        limits = self.server.limits
        now_ms = self.server.clock.now_ms()
        if not self.has_begun or self._in_body:
            self.has_begun = True
            self.due_ms = now_ms + limits.header_timeout_ms
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._error = self._error or 400
        except ValueError:
            self._error = self._error or 400
        if len(self._waiting) > MAX_PIPELINED:
            self.close()
            return
        self._next()
        if self._error and self.current is None and self.is_open:
            self.fail(self._error)

    def fail(self, status: int) -> None:
        """Answers a request that cannot be read, and closes."""
        self._closes = True
        loguru.logger.bind(status=status).info("rejected an unreadable request")
        self._write(_head(status, (), 0, True))

    def _next(self) -> None:
        # A reply given at once calls this again.
        if self._is_starting:
            return
        self._is_starting = True
        while self._waiting and self.current is None and self.is_open:
            self.current = self._waiting.popleft()
            self.server.on_request(self.current)
        self._is_starting = False

    def reply(self, request: Request, status, headers, body) -> None:
        if not self.is_open:
            return
        self.current = None
        self.has_served = True
        closes = not request.keep or self.server.closes_after_reply
        is_head = request.method == b"HEAD"
        head = _head(status, headers, len(body), closes)
        self._closes = closes
        if not self._waiting:
            self._wait_idle()
        self._write(head if is_head else head + body)
        if not closes:
            self._next()
            if self._error and self.current is None and self.is_open:
                self.fail(self._error)

    def _write(self, data: bytes) -> None:
        had_unsent = bool(self._unsent)
        self._unsent += data
        if not had_unsent:
            self._flush()

    def _flush(self) -> None:
        had_unsent = bool(self._unsent)
        try:
            count = self.sock.send(self._unsent) if had_unsent else 0
        except BlockingIOError:
            count = 0
        except OSError:
            self.close()
            return
        del self._unsent[:count]
        if self._unsent:
            mask = socket_set.READ | socket_set.WRITE
            self.server.sockets.change(self.sock, mask)
            return
        if self._closes:
            # The other direction stays open until the client closes, because
            # unread bytes would turn the close into a reset that destroys
            # the reply.
            try:
                self.sock.shutdown(socket.SHUT_WR)
            except OSError:
                self.close()
                return
            self.has_begun = False
            self._ended_ms = self.server.clock.now_ms()
            self.due_ms = self._ended_ms + 1000.0
        self.server.sockets.change(self.sock, socket_set.READ)

    def expire(self) -> None:
        """Ends a connection that made no progress in time."""
        if self.current is not None:
            return
        if self.has_begun and not self._closes:
            self.fail(408)
        else:
            self.close()

    def close(self) -> None:
        if not self.is_open:
            return
        self.is_open = False
        self.server.forget(self)
        self.sock.close()
        current, self.current = self.current, None
        if current is not None and current.on_gone is not None:
            current.on_gone()


class WebServer:
    """Owns one listening socket and the connections accepted from it.

    Args:
      address: `ip:port`.
      sockets: Set that watches the sockets.
      timers: Timer queue of the loop.
      clock: Source of time.
      on_request: Called with each request; it or a later call answers.
      limits: Limits in force; the owner may replace them.

    Attributes:
      closes_after_reply: Whether each reply ends its connection.
      on_round_trip: Called with the time from a last reply to the client's
        close, in ms, which is a round trip when the client closes at once.

    Raises:
      OSError: The address is in use or not local.
    """

    def __init__(
        self,
        address: str,
        sockets: socket_set.SocketSet,
        timers: timers_lib.TimerQueue,
        clock: clock_lib.Clock,
        on_request: abc.Callable[[Request], None],
        limits: Limits = Limits(),  # noqa: B008 (immutable)
    ):
        self.address = address
        self.sockets = sockets
        self.clock = clock
        self.on_request = on_request
        self.limits = limits
        self.closes_after_reply = False
        self.on_round_trip: abc.Callable[[float], None] = lambda _: None
        self.connections: set[_Connection] = set()
        self._listener: socket.socket | None = stream_lib.listen(
            address, BACKLOG
        )
        sockets.add(self._listener, socket_set.READ, self._accept)
        self._sweep_timer = timers.every(SWEEP_MS, self._sweep)

    @property
    def busy_count(self) -> int:
        """Number of requests that wait for their reply."""
        return sum(c.current is not None for c in self.connections)

    def close_listener(self) -> None:
        """Accepts no further connection."""
        if self._listener is not None:
            self.sockets.remove(self._listener)
            self._listener.close()
            self._listener = None

    def close_idle(self) -> None:
        """Closes connections that carry no request."""
        for connection in tuple(self.connections):
            if connection.current is None and not connection.has_begun:
                connection.close()

    def close(self) -> None:
        """Closes everything."""
        self._sweep_timer.cancel()
        self.close_listener()
        for connection in tuple(self.connections):
            connection.close()

    def forget(self, connection: _Connection) -> None:
        """Drops a connection that is about to be closed."""
        self.connections.discard(connection)
        self.sockets.remove(connection.sock)

    def _accept(self, _: int) -> None:
        for _attempt in itertools.repeat(None, BACKLOG):
            try:
                sock, _address = self._listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                loguru.logger.warning("accept failed: {}", error)
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = _Connection(self, sock)
            self.connections.add(connection)
            self.sockets.add(sock, socket_set.READ, connection.on_ready)

    def _sweep(self) -> None:
        now_ms = self.clock.now_ms()
        for connection in tuple(self.connections):
            if now_ms >= connection.due_ms:
                connection.expire()


def _head(status: int, headers, length: int, closes: bool) -> bytes:
    lines = [
        b"HTTP/1.1 %d %s" % (status, _REASONS.get(status, b"Unknown")),
        b"Content-Length: %d" % length,
    ]
    lines.extend(b"%s: %s" % pair for pair in headers)
    if closes:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"
