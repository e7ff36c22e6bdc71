"""One connection of a client, and the requests that are read from it.

Header names and values are kept unchanged, the limits of the configuration in
force are enforced, and the owner of a request is notified when the client
disconnects.
"""

import collections
from collections import abc
import http
import socket
import typing

import httptools
import loguru

from auburnway.net import parse_limit
from auburnway.net import socket_set

if typing.TYPE_CHECKING:
    from auburnway.net import web_server

RECEIVE_BYTES = 1 << 16
# A connection with this many waiting pipelined requests is not read from.
MAX_PIPELINED = 16
# A connection whose client leaves more bytes of replies unread is not read
# from, and its next request waits.
MAX_UNSENT_BYTES = 1 << 20
# Memory that a header takes beside its bytes.
HEADER_OBJECT_BYTES = 128
# Time that a client has to close a connection after its final reply.
CLOSE_TIMEOUT_MS = 1_000.0

_REASONS = {status.value: status.phrase.encode() for status in http.HTTPStatus}


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
      size: Bytes that count towards the limit of all requests.
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
        "size",
        "target",
    )

    def __init__(self, connection, method, target, headers, body, keep, size):
        self._connection = connection
        self.size: int = size
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


class Connection:
    """One accepted connection; receives the callbacks of its HTTP parser.

    Attributes:
      server: Owner of the connection.
      is_open: Whether `close` was not called yet.
      current_request: Request that is processed; None without one.
      has_replied: Whether a request was answered.
      progress_due_ms: Time by which the sweep requires progress.
      has_begun_request: Whether part of a request was received.
      is_held_back: Whether it is not read from until its turn among the
        connections with many small pieces.
      held_bytes: Size of all requests that are held.
    """

    def __init__(self, server: "web_server.WebServer", sock: socket.socket):
        self.server = server
        self.sock = sock
        self.is_open = True
        self.current_request: Request | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._read_size = parse_limit.ReadSize(RECEIVE_BYTES)
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
        # Whether it is not read from until its turn among the connections with
        # many small pieces.
        self.is_held_back = False
        # Bytes of all requests that are held, and of the one that is received.
        self.held_bytes = 0
        self._message_bytes = 0
        self._reset_request()
        self._start_idle_timeout()

    def _reset_request(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._header_bytes = 0
        self._field_count = 0
        self._in_body = False

    def _start_idle_timeout(self) -> None:
        self.has_begun_request = False
        limits = self.server.limits
        self.progress_due_ms = (
            self.server.clock.now_ms() + limits.idle_timeout_ms
        )

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Begins a request."""
        self._reset_request()

    def on_url(self, url: bytes) -> None:
        """Adds a piece of the request target."""
        self._target += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header; a trailer only counts, as it is no header."""
        if not self._in_body:
            self._headers.append((name, value))
        self._field_count += 1
        self._count_header(len(name) + len(value) + 4)

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        self._message_bytes += size + HEADER_OBJECT_BYTES
        self._hold(size + HEADER_OBJECT_BYTES)
        self._read_size.pieces += 1
        limits = self.server.limits
        if (
            self._header_bytes > limits.header_bytes
            or self._field_count > limits.header_count
        ):
            self._stop_parser(431)

    def _stop_parser(self, status: int) -> None:
        """Stops the parser in the middle of what it was fed.

        Args:
          status: HTTP status that answers the request.

        Raises:
          ParseLimitError: Always.
        """
        self._error_status = self._error_status or status
        raise parse_limit.ParseLimitError(status)

    def on_headers_complete(self) -> None:
        """Refuses a body whose stated length exceeds the limit."""
        if self._parser.should_upgrade():
            return
        self._in_body = True
        expects_continue = False
        for name, value in self._headers:
            lower_name = name.lower()
            if lower_name == b"content-length":
                if int(value) > self.server.limits.body_bytes:
                    self._stop_parser(413)
            elif lower_name == b"expect":
                expects_continue = value.lower() == b"100-continue"
        if expects_continue and not self._error_status:
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Adds a piece of the body."""
        self._read_size.pieces += 1
        if len(self._body) + len(body) > self.server.limits.body_bytes:
            self._stop_parser(413)
        self._body += body
        self._message_bytes += len(body)
        self._hold(len(body))

    def on_message_complete(self) -> None:
        """Completes a request."""
        self._in_body = False
        self._read_size.pieces += 1
        if self._error_status or not self.is_open:
            return
        if self._parser.should_upgrade():
            # The parser ends the message here, before its body.
            return
        self._waiting.append(
            Request(
                self,
                self._parser.get_method(),
                self._target,
                self._headers,
                bytes(self._body),
                self._parser.should_keep_alive(),
                self._message_bytes,
            )
        )
        self._message_bytes = 0

    def _hold(self, size: int) -> None:
        """Counts bytes of requests that are held, or are not any more."""
        self.held_bytes += size
        self.server.held_bytes += size

    # Reading, writing and closing.

    def on_ready(self, mask: int) -> None:
        """Handles that the socket can be read or written."""
        if mask & socket_set.WRITE:
            self._flush()
        if self.is_open and mask & ~socket_set.WRITE:
            self._read()

    def _read(self) -> None:
        try:
            data = self.sock.recv(self._read_size.next_bytes())
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
        if self._is_closing or self._error_status:
            return
        limits = self.server.limits
        now_ms = self.server.clock.now_ms()
        if not self.has_begun_request or self._in_body:
            self.has_begun_request = True
            self.progress_due_ms = now_ms + limits.header_timeout_ms
        try:
            self._parse(data)
        except (httptools.HttpParserError, ValueError):
            self._error_status = self._error_status or 400
        self._dispatch_waiting()
        self.server.limit_held_bytes()
        if not self.is_open or self._is_closing:
            return
        if self._is_rejection_due():
            self.reject(self._error_status)
        else:
            if self._read_size.is_costly:
                self.is_held_back = True
                self.server.hold_back(self)
            self._update_mask()

    def _parse(self, data: bytes) -> None:
        """Parses received bytes.

        Raises:
          HttpParserError, ValueError: They are no requests.
        """
        while data:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as offer:
                data = self._head_without_offer() + data[offer.args[0] :]
                self._parser = httptools.HttpRequestParser(self)

    def _head_without_offer(self) -> bytes:
        """Returns the head that was read last, as if it offered no upgrade.

        A server may ignore an offer of another protocol; RFC 9110, section 7.8.

        Raises:
          ValueError: The request asks for a tunnel.
        """
        method = self._parser.get_method()
        if method == b"CONNECT":
            raise ValueError("a tunnel is not offered")
        self._hold(-self._message_bytes)
        self._message_bytes = 0
        version = self._parser.get_http_version().encode()
        lines = [b"%s %s HTTP/%s" % (method, self._target, version)]
        lines.extend(
            b"%s: %s" % (name, value)
            for name, value in self._headers
            if name.lower() != b"upgrade"
        )
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def read_on(self) -> None:
        """Reads again from a connection that was held back."""
        self.is_held_back = False
        if self.is_open:
            self._update_mask()

    def _update_mask(self) -> None:
        mask = socket_set.WRITE if self._unsent else 0
        has_room = (
            len(self._waiting) < MAX_PIPELINED
            and len(self._unsent) <= MAX_UNSENT_BYTES
            and not self.is_held_back
        )
        if has_room or self._is_closing:
            mask |= socket_set.READ
        self.server.sockets.change_mask(self.sock, mask)

    def _is_rejection_due(self) -> bool:
        """Whether all requests before an unreadable one were answered."""
        is_idle = self.current_request is None and not self._waiting
        return bool(self._error_status) and is_idle

    def reject(self, status: int) -> None:
        """Answers an unreadable request with `status` and closes."""
        self._is_closing = True
        self._hold(-self.held_bytes)
        self._reset_request()
        loguru.logger.bind(status=status).info("rejected an unreadable request")
        self._write(_reply_head(status, (), 0, True))

    def _dispatch_waiting(self) -> None:
        # A reply that is sent inside `on_request` calls this method again.
        if self._is_dispatching:
            return
        self._is_dispatching = True
        while (
            self._waiting
            and self.current_request is None
            and self.is_open
            and len(self._unsent) <= MAX_UNSENT_BYTES
        ):
            self.current_request = self._waiting.popleft()
            self.server.on_request(self.current_request)
        self._is_dispatching = False

    def reply(self, request: Request, status, headers, body) -> None:
        """Sends the reply to the current request."""
        if not self.is_open:
            return
        self.current_request = None
        self._hold(-request.size)
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
            if self.is_open and self._is_rejection_due():
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
        if self._waiting and not self._is_closing:
            # Requests wait while the client leaves much unread.
            self._dispatch_waiting()
        if not self.is_open:
            return
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
            self.progress_due_ms = self._last_reply_ms + CLOSE_TIMEOUT_MS
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
        """Closes the connection; the owner of its request is told."""
        if not self.is_open:
            return
        self.is_open = False
        self.server.remove_connection(self)
        self.sock.close()
        # The parser and the connection refer to each other, so what was
        # received would stay until the cycle collector runs.
        self._parser = None
        self._hold(-self.held_bytes)
        self._waiting.clear()
        self._reset_request()
        self._unsent.clear()
        current_request, self.current_request = self.current_request, None
        if current_request is not None and current_request.on_gone is not None:
            current_request.on_gone()


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
