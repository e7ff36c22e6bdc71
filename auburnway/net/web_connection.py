"""One pass-through connection to a backend server, which carries one call.

The headers of a reply are kept unchanged, the idle timeout announced by the
server is honoured, and a call is cancelled by closing the connection: common
servers stop their work when the connection is closed.
"""

from collections import abc
import dataclasses
import socket
import typing

import loguru

from auburnway.net import connecting
from auburnway.net import exchange
from auburnway.net import header_numbers
from auburnway.net import parse_limit
from auburnway.net import reply_reader
from auburnway.net import socket_set

if typing.TYPE_CHECKING:
    from auburnway.net import web_client

RECEIVE_BYTES = 1 << 16
# A connection is not used in the last part of the idle timeout announced by
# its server, because the server could close it while a request is in flight.
IDLE_MARGIN_MS = 400.0
MAX_IDLE_S = 3_600
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
        self.connection: Connection | None = None
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


class Connection:
    """One connection.

    Attributes:
      pool: Owner of the connection.
      address: Backend server, `ip:port`.
      is_open: Whether `close` was not called yet.
      is_connecting: Whether the connection is not established yet.
      call: Call that is outstanding; None while the connection is idle.
      idle_until_ms: Time until which the idle connection may be used.
      idle_limit_ms: Time for which the server keeps it idle.
    """

    def __init__(self, pool: "web_client.WebPool", address: str):
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
        # Called with whether the connection was established.
        self.on_connected: abc.Callable[[bool], None] = lambda _: None
        self._reader = reply_reader.ReplyReader(pool.limits)
        self._read_size = parse_limit.ReadSize(RECEIVE_BYTES)
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
        """Sends a call, now or when the connection is established."""
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
        """Handles that the socket can be read or written."""
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
        self.on_connected(True)
        if self.call is not None:
            self._send()
        else:
            self._become_idle()

    def _read(self) -> None:
        try:
            data = self.sock.recv(self._read_size.next_bytes())
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
        pieces = self._reader.pieces
        self._reader.feed(data, self.call.has_no_body)
        self._read_size.pieces += self._reader.pieces - pieces
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
            self._reader.close()
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
        """Drops a call; closes the connection if it was established."""
        if self.call is not call:
            return
        self.call = None
        # A connection that is not established yet is kept for later calls.
        if not self.is_connecting:
            self.close(_LOST)

    def close(self, failure: exchange.Failure) -> None:
        """Closes the connection; its call ends with a failure."""
        if not self.is_open:
            return
        self.is_open = False
        if self.is_connecting:
            failure = _CONNECT_FAILED
        call, self.call = self.call, None
        self.pool.held_bytes -= self._reader.held_bytes
        self._reader.close()
        self.pool.remove_connection(self)
        self.sock.close()
        if self.is_connecting:
            self.on_connected(False)
        if call is not None:
            call.finish(Reply(0, failure=failure, reached=call.sent))


def _idle_limit_ms(fields: dict[bytes, bytes]) -> float:
    for part in fields.get(b"keep-alive", b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() != b"timeout":
            continue
        timeout_s = header_numbers.whole(value, MAX_IDLE_S)
        if timeout_s is not None:
            return max(timeout_s * 1000.0 - IDLE_MARGIN_MS, 0.0)
    return DEFAULT_IDLE_MS
