"""Small HTTP/1.1 server on the circuits poller, for simulated backend servers.

A stand-in process hosts many simulated backend servers on one machine, so a
request must cost far less than with circuits.web (0.8 ms). One circuits event
is fired per readable socket, and its handler parses the data (httptools) and
calls the request callback.
"""

import collections
from collections import abc
import http
import itertools
import socket

import circuits
from circuits import core
import httptools
import loguru

RECEIVE_BYTES = 65536
# Requests of the tier are a few kilobytes; a larger body is an error.
MAX_BODY_BYTES = 1 << 20
BACKLOG = 512

_REASONS = {status.value: status.phrase for status in http.HTTPStatus}
_REASONS[499] = "Client Closed Request"

_channel_numbers = itertools.count()


class Request:
    """One request, which is answered once by `reply`.

    Attributes:
      method: HTTP method.
      path: Path with query string.
      headers: Header values by lower-case name.
      body: Whole body.
      keep: Whether the connection stays open after the reply.
    """

    __slots__ = ("_connection", "body", "headers", "keep", "method", "path")

    def __init__(self, connection, method, path, headers, body, keep):
        self._connection = connection
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.keep = keep

    @property
    def is_open(self) -> bool:
        """Whether a reply can still be sent."""
        return self._connection is not None and self._connection.is_open

    def reply(self, status: int, body: bytes, headers: str = "") -> None:
        """Sends the reply; has no effect when the connection is closed.

        Args:
          status: HTTP status.
          body: JSON.
          headers: Additional header lines, each terminated by CRLF.
        """
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.reply(status, body, headers, self.keep)


OnRequest = abc.Callable[[Request], None]


class _Connection:
    """One accepted connection; receives the callbacks of its HTTP parser."""

    def __init__(self, server: "HttpServer", sock: socket.socket):
        self.server = server
        self.sock = sock
        self.is_open = True
        self._parser = httptools.HttpRequestParser(self)
        self._unsent = b""
        self._closes_after_write = False
        # Pipelined requests wait here, because replies are sent in order.
        self._waiting: collections.deque[Request] = collections.deque()
        self._busy = False
        self._is_dispatching = False
        self.on_message_begin()

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        self._path = b""
        self._headers: dict[str, str] = {}
        self._body = b""

    def on_url(self, url: bytes) -> None:
        self._path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        self._waiting.append(
            Request(
                self,
                self._parser.get_method().decode("latin-1"),
                self._path.decode("latin-1"),
                self._headers,
                self._body,
                self._parser.should_keep_alive(),
            )
        )

    # Reading, writing and closing.

    def on_readable(self) -> None:
        try:
            data = self.sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()
            return
        if len(self._body) > MAX_BODY_BYTES:
            self.close()
            return
        self._dispatch_waiting()

    def _dispatch_waiting(self) -> None:
        # A reply that is sent inside `on_request` calls this method again.
        # Without this check, many pipelined requests would exceed the
        # recursion limit.
        if self._is_dispatching:
            return
        self._is_dispatching = True
        while self._waiting and not self._busy and self.is_open:
            self._busy = True
            self.server.on_request(self._waiting.popleft())
        self._is_dispatching = False

    def reply(self, status, body, headers, keep) -> None:
        if not self.is_open:
            return
        end = "" if keep else "connection: close\r\n"
        head = (
            f"HTTP/1.1 {status} {_REASONS.get(status, 'Unknown')}\r\n"
            "content-type: application/json\r\n"
            f"content-length: {len(body)}\r\n{headers}{end}\r\n"
        )
        self._busy = False
        self._closes_after_write = not keep
        self._write(head.encode("latin-1") + body)
        if keep and self._waiting:
            self._dispatch_waiting()

    def _write(self, data: bytes) -> None:
        if self._unsent:
            self._unsent += data
            return
        try:
            count = self.sock.send(data)
        except BlockingIOError:
            count = 0
        except OSError:
            self.close()
            return
        if count < len(data):
            self._unsent = data[count:]
            self.server.poller.addWriter(self.server, self.sock)
        elif self._closes_after_write:
            self.close()

    def on_writable(self) -> None:
        self.server.poller.removeWriter(self.sock)
        data, self._unsent = self._unsent, b""
        if data:
            self._write(data)

    def close(self) -> None:
        if not self.is_open:
            return
        self.is_open = False
        self.server.remove_connection(self)
        self.sock.close()


class HttpServer(circuits.BaseComponent):
    """Owns one listening socket and the connections accepted from it."""

    def __init__(
        self,
        poller,
        address: str,
        on_request: OnRequest,
        connection_limit: int = 1000,
    ):
        """Creates the server; `open` starts to listen.

        Args:
          poller: circuits poller.
          address: `ip:port`; port 0 selects a free port.
          on_request: Called on the loop with each request, which is answered
            by `Request.reply` during this call or later.
          connection_limit: Maximum number of open connections; connections
            above it are closed at once.
        """
        # Servers on the same loop need different channels, because circuits
        # routes events by channel.
        super().__init__(channel=f"http_server_{next(_channel_numbers)}")
        self.poller = poller
        self.address = address
        self.on_request = on_request
        self.connection_limit = connection_limit
        self.refused_count = 0
        self._listener: socket.socket | None = None
        self._by_socket: dict[socket.socket, _Connection] = {}
        self._silenced: list[_Connection] = []

    def open(self) -> None:
        """Starts to listen on the address.

        Raises:
          OSError: The address is in use or not local.
        """
        if self._listener is not None:
            return
        host, _, port = self.address.rpartition(":")
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.setblocking(False)
            listener.bind((host, int(port)))
            listener.listen(BACKLOG)
        except OSError:
            listener.close()
            raise
        # Opening the server again must use the same port.
        self.address = f"{host}:{listener.getsockname()[1]}"
        self._listener = listener
        self.poller.addReader(self, listener)

    @property
    def connection_count(self) -> int:
        """Number of open connections, silenced ones excluded."""
        return len(self._by_socket)

    def close_listener(self) -> None:
        """Stops accepting connections; open ones are kept."""
        if self._listener is not None:
            self.poller.discard(self._listener)
            self._listener.close()
            self._listener = None

    def close_connections(self) -> None:
        """Closes every connection, idle or busy."""
        for connection in (*self._by_socket.values(), *self._silenced):
            connection.close()
        self._silenced.clear()

    def close(self) -> None:
        """Closes the listener and every connection."""
        self.close_listener()
        self.close_connections()

    def silence(self) -> None:
        """Permanently stops reading and answering the open connections.

        The sockets stay open, as when a middlebox has lost its state. They no
        longer count towards the limit, because a close by the client is not
        noticed.
        """
        for connection in self._by_socket.values():
            self.poller.discard(connection.sock)
            connection.is_open = False
            self._silenced.append(connection)
        self._by_socket.clear()

    def remove_connection(self, connection: _Connection) -> None:
        """Unregisters a connection that is about to be closed."""
        self._by_socket.pop(connection.sock, None)
        self.poller.discard(connection.sock)

    def _accept(self) -> None:
        while self._listener is not None:
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                loguru.logger.warning("cannot accept a connection: {}", error)
                return
            if len(self._by_socket) >= self.connection_limit:
                self.refused_count += 1
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._by_socket[sock] = _Connection(self, sock)
            self.poller.addReader(self, sock)

    @core.handler("_read")
    def _on_read(self, sock):
        if sock is self._listener:
            self._accept()
            return
        connection = self._by_socket.get(sock)
        if connection is not None:
            connection.on_readable()

    @core.handler("_write")
    def _on_write(self, sock):
        connection = self._by_socket.get(sock)
        if connection is not None:
            connection.on_writable()

    @core.handler("_disconnect", "_error")
    def _on_disconnect(self, sock, *_):
        connection = self._by_socket.get(sock)
        if connection is not None:
            connection.close()
