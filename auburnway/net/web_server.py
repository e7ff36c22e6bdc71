"""HTTP/1.1 server for pass-through traffic and small control endpoints.

The server keeps header names and values unchanged, enforces the limits of the
configuration in force, and notifies the owner of a request when the client
disconnects. circuits.web lacks the last two features and costs 0.8 ms per
request.
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
from auburnway.net import listening
from auburnway.net import socket_set

RECEIVE_BYTES = 1 << 16
SWEEP_PERIOD_MS = 250.0
# A connection with this many waiting pipelined requests is not read from.
MAX_PIPELINED = 16

Headers = tuple[tuple[bytes, bytes], ...]

_REASONS = {status.value: status.phrase.encode() for status in http.HTTPStatus}


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of the size of a request and of the time until it is received.

    Attributes:
      header_bytes: Maximum size of request line and headers.
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


class Request:
    """One request, which is answered once by `reply`.

    Attributes:
      method: HTTP method.
      target: Request target as sent: path and query.
      headers: Pairs of name and value as sent.
      fields: Values by lower-case name; the last one of repeated headers.
      body: Whole body.
      received_ms: Monotonic time in ms at which the request was complete.
      keep: Whether the client allows the connection to stay open.
      is_first: Whether no earlier request of the connection was answered.
      on_gone: Called when the client disconnects before the reply.
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
        self.is_first: bool = not connection.has_replied
        self.received_ms = connection.server.clock.now_ms()
        self.on_gone: abc.Callable[[], None] | None = None

    def reply(
        self, status: int, headers: abc.Iterable[tuple[bytes, bytes]], body
    ) -> None:
        """Sends the reply; has no effect when the client has disconnected."""
        connection, self._connection = self._connection, None
        self.on_gone = None
        if connection is not None:
            connection.reply(self, status, headers, body)

    @property
    def path(self) -> bytes:
        """Target without the query."""
        return self.target.partition(b"?")[0]


class _Connection:
    """One accepted connection; receives the callbacks of its HTTP parser."""

    def __init__(self, server: "WebServer", sock: socket.socket):
        self.server = server
        self.sock = sock
        self.is_open = True
        self.current_request: Request | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: collections.deque[Request] = collections.deque()
        self._unsent = bytearray()
        self._is_closing = False
        # Time at which the connection's final reply was sent; None before.
        self._last_reply_ms: float | None = None
        self.has_replied = False
        self._is_dispatching = False
        # Used by the sweep: the time by which progress is required, and
        # whether part of a request was received.
        self.progress_due_ms = 0.0
        self.has_begun_request = False
        self._error_status = 0
        self._reset_request()
        self._start_idle_timeout()

    def _reset_request(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._header_bytes = 0
        self._body_bytes = 0
        self._in_body = False

    def _start_idle_timeout(self) -> None:
        self.has_begun_request = False
        limits = self.server.limits
        self.progress_due_ms = (
            self.server.clock.now_ms() + limits.idle_timeout_ms
        )

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        self._reset_request()

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))
        self._count_header(len(name) + len(value) + 4)

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self.server.limits.header_bytes:
            self._error_status = self._error_status or 431

    def on_headers_complete(self) -> None:
        self._in_body = True
        expects_continue = False
        for name, value in self._headers:
            lower_name = name.lower()
            if lower_name == b"content-length":
                if int(value) > self.server.limits.body_bytes:
                    self._error_status = self._error_status or 413
            elif lower_name == b"expect":
                expects_continue = value.lower() == b"100-continue"
        if expects_continue and not self._error_status:
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        if self._body_bytes > self.server.limits.body_bytes:
            self._error_status = self._error_status or 413
        else:
            self._body.append(body)

    def on_message_complete(self) -> None:
        self._in_body = False
        if self._error_status:
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

    # Reading, writing and closing.

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
            if self._last_reply_ms is not None:
                elapsed_ms = self.server.clock.now_ms() - self._last_reply_ms
                self.server.on_round_trip(elapsed_ms)
            self.close()
            return
        if self._is_closing:
            return
        limits = self.server.limits
        now_ms = self.server.clock.now_ms()
        if not self.has_begun_request or self._in_body:
            self.has_begun_request = True
            self.progress_due_ms = now_ms + limits.header_timeout_ms
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._error_status = self._error_status or 400
        except ValueError:
            self._error_status = self._error_status or 400
        self._dispatch_waiting()
        if not self.is_open:
            return
        if self._error_status and self.current_request is None:
            self.reject(self._error_status)
        elif not self._is_closing:
            self._update_mask()

    def _update_mask(self) -> None:
        mask = socket_set.WRITE if self._unsent else 0
        if len(self._waiting) < MAX_PIPELINED or self._is_closing:
            mask |= socket_set.READ
        self.server.sockets.change_mask(self.sock, mask)

    def reject(self, status: int) -> None:
        """Answers an unreadable request with `status` and closes."""
        self._is_closing = True
        loguru.logger.bind(status=status).info("rejected an unreadable request")
        self._write(_reply_head(status, (), 0, True))

    def _dispatch_waiting(self) -> None:
        # A reply that is sent inside `on_request` calls this method again.
        if self._is_dispatching:
            return
        self._is_dispatching = True
        while self._waiting and self.current_request is None and self.is_open:
            self.current_request = self._waiting.popleft()
            self.server.on_request(self.current_request)
        self._is_dispatching = False

    def reply(self, request: Request, status, headers, body) -> None:
        if not self.is_open:
            return
        self.current_request = None
        self.has_replied = True
        closes_connection = not request.keep or self.server.closes_after_reply
        is_head = request.method == b"HEAD"
        reply_head = _reply_head(status, headers, len(body), closes_connection)
        self._is_closing = closes_connection
        if not self._waiting:
            self._start_idle_timeout()
        self._write(reply_head if is_head else reply_head + body)
        if not closes_connection:
            self._dispatch_waiting()
            if (
                self._error_status
                and self.current_request is None
                and self.is_open
            ):
                self.reject(self._error_status)

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
        if not self._unsent and self._is_closing:
            # The receiving direction stays open until the client closes,
            # because closing a socket with unread bytes sends a reset, which
            # can discard the reply at the client.
            try:
                self.sock.shutdown(socket.SHUT_WR)
            except OSError:
                self.close()
                return
            self.has_begun_request = False
            self._last_reply_ms = self.server.clock.now_ms()
            self.progress_due_ms = self._last_reply_ms + 1000.0
        self._update_mask()

    def on_progress_timeout(self) -> None:
        """Closes the connection, which made no progress in time.

        An incomplete request is answered with 408; a connection whose request
        awaits its reply stays open.
        """
        if self.current_request is not None:
            return
        if self.has_begun_request and not self._is_closing:
            self.reject(408)
        else:
            self.close()

    def close(self) -> None:
        if not self.is_open:
            return
        self.is_open = False
        self.server.remove_connection(self)
        self.sock.close()
        current_request, self.current_request = self.current_request, None
        if current_request is not None and current_request.on_gone is not None:
            current_request.on_gone()


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
        on_request: abc.Callable[[Request], None],
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
        self.connections: set[_Connection] = set()
        self._listener = listener or listening.listen(address)
        sockets.add(self._listener, socket_set.READ, self._accept)
        self._sweep_timer = timers.every(SWEEP_PERIOD_MS, self._sweep)

    @property
    def busy_count(self) -> int:
        """Number of connections whose current request is unanswered."""
        return sum(c.current_request is not None for c in self.connections)

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

    def remove_connection(self, connection: _Connection) -> None:
        """Unregisters a connection that is about to be closed."""
        self.connections.discard(connection)
        self.sockets.remove(connection.sock)

    def _accept(self, _: int) -> None:
        for _attempt in itertools.repeat(None, listening.BACKLOG):
            try:
                sock, _address = self._listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                loguru.logger.warning("cannot accept a connection: {}", error)
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = _Connection(self, sock)
            self.connections.add(connection)
            self.sockets.add(sock, socket_set.READ, connection.on_ready)

    def _sweep(self) -> None:
        now_ms = self.clock.now_ms()
        for connection in tuple(self.connections):
            if now_ms >= connection.progress_due_ms:
                connection.on_progress_timeout()


def _reply_head(
    status: int, headers, length: int, closes_connection: bool
) -> bytes:
    lines = [
        b"HTTP/1.1 %d %s" % (status, _REASONS.get(status, b"Unknown")),
        b"Content-Length: %d" % length,
    ]
    lines.extend(b"%s: %s" % pair for pair in headers)
    if closes_connection:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"
