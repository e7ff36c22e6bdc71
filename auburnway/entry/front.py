"""HTTP server for callers, on circuits.web, with limits on size and time.

circuits.web accepts requests of any size at any rate. This component counts
the bytes of each connection before the parser reads them. A request that
exceeds a limit gets a 4xx response with an error code.
"""

from collections import abc
import dataclasses
import json

import circuits
from circuits import core
from circuits import web
from circuits.net import events as net_events

from auburnway.core import answer as answer_lib
from auburnway.core import clock as clock_lib
from auburnway.core import errors
from auburnway.entry import settings as settings_lib
from auburnway.kernel import timers as timers_lib

SWEEP_PERIOD_MS = 500.0
JSON_TYPE = "application/json"

OnResponse = abc.Callable[[answer_lib.RenderedAnswer], None]
Route = abc.Callable[[bytes, dict[str, str], OnResponse], None]


class NotFound(errors.Error):
    """No route has this method and path."""

    code = "not_found"
    remedy = "See docs/API.md for the routes."
    http_status = 404


class RequestTimeout(errors.Error):
    """The caller did not send a whole request in time."""

    code = "request_timeout"
    remedy = "Send the whole request at once."
    http_status = 408


@dataclasses.dataclass(slots=True)
class _Connection:
    """State of a caller's connection.

    Attributes:
      last_activity_ms: Instant of the last bytes received or sent.
      first_byte_ms: Arrival of the first byte of the request being read; None
        between requests.
      received_bytes: Size of the request being read.
      awaits_response: Whether a request was read but not answered.
    """

    last_activity_ms: float
    first_byte_ms: float | None = None
    received_bytes: int = 0
    awaits_response: bool = False


def render_error(error: errors.Error) -> answer_lib.RenderedAnswer:
    """Returns the HTTP form of an error outside any request."""
    body = {"outcome": "not_run", "error": error.as_dict()}
    return answer_lib.RenderedAnswer(
        error.http_status, json.dumps(body).encode()
    )


class Front(circuits.Component):
    """HTTP server of an entry.

    Args:
      settings: Settings of the entry.
      clock: Clock for the time limits.
      timers: Timer queue of the loop.
      routes: Handlers by method and path. A handler gets the body, the
        headers by lower-case name, and a function that it must call once with
        the response.
    """

    channel = "web"

    def __init__(
        self,
        settings: settings_lib.EntrySettings,
        clock: clock_lib.Clock,
        timers: timers_lib.TimerQueue,
        routes: dict[tuple[str, str], Route],
    ):
        super().__init__()
        self._settings = settings
        self._clock = clock
        self._routes = routes
        self._connections: dict = {}
        self._is_closing = False
        host, _, port = settings.address.rpartition(":")
        self._server = web.BaseServer(
            (host, int(port)), display_banner=False
        ).register(self)
        timers.every(SWEEP_PERIOD_MS, self._sweep)

    def pending_count(self) -> int:
        """Returns the number of requests being read or being answered."""
        return sum(
            connection.awaits_response or connection.first_byte_ms is not None
            for connection in self._connections.values()
        )

    def close_after_response(self) -> None:
        """Closes each connection after its next response.

        Otherwise a caller could use a persistent connection beyond the time
        to live of its address list.
        """
        self._is_closing = True

    def stop_accepting(self) -> None:
        """Closes the listener and idle connections.

        Connections with an unfinished request stay open.
        """
        server = self._server.server
        listener = server._sock
        server._poller.discard(listener)
        listener.close()
        for sock, connection in tuple(self._connections.items()):
            if (
                not connection.awaits_response
                and connection.first_byte_ms is None
            ):
                self.fire(net_events.close(sock))

    @core.handler("ready", priority=10)
    def _on_ready(self, event, *_):
        event.stop()

    @core.handler("connect")
    def _on_connect(self, sock, *_):
        if len(self._connections) >= self._settings.max_connections:
            self.fire(net_events.close(sock))
            return
        self._connections[sock] = _Connection(self._clock.now_ms())

    @core.handler("disconnect")
    def _on_disconnect(self, sock):
        self._connections.pop(sock, None)
        # circuits.web would keep the parser of an unfinished request.
        self._server.http._buffers.pop(sock, None)

    @core.handler("read", priority=10)
    def _on_read(self, event, sock, data):
        connection = self._connections.get(sock)
        if connection is None:
            event.stop()
            return
        now_ms = self._clock.now_ms()
        connection.last_activity_ms = now_ms
        if connection.first_byte_ms is None:
            connection.first_byte_ms = now_ms
        connection.received_bytes += len(data)
        limits = self._settings
        if connection.received_bytes > (
            limits.max_body_bytes + limits.max_header_bytes
        ):
            event.stop()
            detail = f"more than {limits.max_body_bytes} bytes"
            self._reject(sock, errors.BodyTooLarge(detail))

    @core.handler("request", priority=10)
    def _on_request(self, event, request, response):
        event.stop()
        connection = self._connections.get(request.sock)
        if connection is None:
            return True
        connection.awaits_response = True
        connection.first_byte_ms = None
        connection.received_bytes = 0
        body = request.body.read()

        def respond(rendered):
            self._respond(request, response, rendered)

        route = self._routes.get((request.method, request.path))
        if len(body) > self._settings.max_body_bytes:
            detail = f"{len(body)} bytes"
            respond(render_error(errors.BodyTooLarge(detail)))
        elif route is None:
            detail = f"{request.method} {request.path}"
            respond(render_error(NotFound(detail)))
        else:
            headers = {k.lower(): v for k, v in request.headers.items()}
            route(body, headers, respond)
        # If a handler returns a boolean, circuits.web sends no response.
        return True

    @core.handler("httperror", priority=10)
    def _on_httperror(self, event, request, response, code=None, **_):
        event.stop()
        connection = self._connections.get(request.sock)
        if connection is None:
            return
        if connection.awaits_response:
            error = errors.Error("unexpected error in the HTTP server")
        else:
            # No route handled the request, so the request is malformed. The
            # parser raises various exceptions for a malformed header.
            error = errors.BadRequest(f"HTTP error {code or 400}")
            connection.awaits_response = True
        response.close = True
        self._respond(request, response, render_error(error))

    def _respond(self, request, response, rendered) -> None:
        connection = self._connections.get(request.sock)
        if connection is None or not connection.awaits_response:
            return
        connection.awaits_response = False
        connection.last_activity_ms = self._clock.now_ms()
        response.status = rendered.status
        if self._is_closing:
            response.close = True
        response.headers["Content-Type"] = rendered.content_type
        if rendered.retry_after_ms is not None:
            seconds = max(1, round(rendered.retry_after_ms / 1000.0))
            response.headers["Retry-After"] = str(seconds)
        response.body = rendered.body
        self._send(request.sock, response, rendered.body)

    def _send(self, sock, response, body: bytes) -> None:
        """Sends headers and body of a response at once, in one write.

        circuits.web would need one event for the response and two for its
        writes, and would wait until the socket is writable. The caller awaits
        this response, so the socket is nearly always writable already.
        """
        server, http = self._server.server, self._server.http
        response.prepare()
        data = b"".join((bytes(response), bytes(response.headers), body))
        http._clients.pop(sock, None)
        response.done = True
        sent = 0
        if not server._buffers[sock]:
            try:
                sent = sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                self.fire(net_events.close(sock))
                return
        if sent < len(data):
            self.fire(net_events.write(sock, data[sent:]))
        if response.close:
            self.fire(net_events.close(sock))

    def _reject(self, sock, error: errors.Error) -> None:
        """Sends an error before the request is read, and closes."""
        rendered = render_error(error)
        head = (
            f"HTTP/1.1 {rendered.status} {error.code}\r\n"
            f"Content-Type: {JSON_TYPE}\r\nConnection: close\r\n"
            f"Content-Length: {len(rendered.body)}\r\n\r\n"
        )
        self._connections.pop(sock, None)
        self.fire(net_events.write(sock, head.encode() + rendered.body))
        self.fire(net_events.close(sock))

    def _sweep(self) -> None:
        now_ms = self._clock.now_ms()
        limits = self._settings
        for sock, connection in tuple(self._connections.items()):
            if connection.awaits_response:
                continue
            first_byte_ms = connection.first_byte_ms
            if first_byte_ms is not None:
                if now_ms - first_byte_ms > limits.request_read_timeout_ms:
                    self._reject(sock, RequestTimeout())
            elif (
                now_ms - connection.last_activity_ms > limits.idle_connection_ms
            ):
                self.fire(net_events.close(sock))
