"""Runs several fake backend servers in one process, on one event loop."""

from collections import abc
import fnmatch
import json

from auburnway.core import clock as clock_lib
from auburnway.kernel import timers as timers_lib
from auburnway.net import http_client
from auburnway.net import http_server
from auburnway.standin import backend as backend_lib
from auburnway.standin import settings as settings_lib


class Host:
    """Owns the backend servers of a process and their shared HTTP client.

    Attributes:
      backends: Backend servers by name.
      control: HTTP server of the control address, or None.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        root,
        poller,
        timers: timers_lib.TimerQueue,
        clock: clock_lib.Clock,
    ):
        """Creates the servers; `start` starts them.

        Args:
          settings: Checked settings.
          root: circuits root component that the sockets are registered on.
          poller: circuits poller.
          timers: Timer queue of the event loop.
          clock: Clock.
        """
        # The announcements of each second detect a lost connection, so the
        # client needs no pings.
        self._pool = http_client.HttpPool(
            poller, timers, clock, channel="announce", pings=False
        ).register(root)
        self.backends = {
            server_settings.name: backend_lib.Backend(
                settings, server_settings, poller, timers, clock, self._pool
            )
            for server_settings in settings.servers
        }
        for backend in self.backends.values():
            backend.server.register(root)
        self.control: http_server.HttpServer | None = None
        if settings.control_address:
            self.control = http_server.HttpServer(
                poller, settings.control_address, self._on_request
            ).register(root)

    def start(self) -> None:
        """Opens all ports and starts the announcements."""
        if self.control is not None:
            self.control.open()
        for backend in self.backends.values():
            backend.start()

    def drain(self, on_drained: abc.Callable[[], None]) -> None:
        """Drains all servers, then calls `on_drained` once."""
        not_drained = set(self.backends)

        def on_server_drained(name):
            not_drained.discard(name)
            if not not_drained:
                on_drained()

        for name, backend in tuple(self.backends.items()):
            backend.drain(lambda name=name: on_server_drained(name))

    def close(self) -> None:
        """Stops all servers and closes all connections immediately."""
        for backend in self.backends.values():
            backend.stop()
        if self.control is not None:
            self.control.close()
        self._pool.close_all()

    def _on_request(self, request: http_server.Request) -> None:
        path, _, arguments = request.path.partition("?")
        if path == "/v1/record":
            with_ids = "ids=1" in arguments
            status, data = (
                200,
                {
                    name: backend.record_data(with_ids)
                    for name, backend in self.backends.items()
                },
            )
        elif path == "/v1/control" and request.method == "POST":
            self._forward_control(request)
            return
        else:
            status, data = 404, {}
        request.reply(status, json.dumps(data).encode())

    def _forward_control(self, request: http_server.Request) -> None:
        """Forwards a control request to the servers that the request names.

        `servers` holds shell patterns. A request without a match is not an
        error, because the same request may be sent to all stand-in processes;
        the reply lists the servers that matched.
        """
        try:
            data = json.loads(request.body)
            patterns = list(data.get("servers") or ["*"])
        except (ValueError, TypeError, AttributeError):
            request.reply(400, b'{"errors": ["no JSON object"]}')
            return
        results = {
            name: backend.apply_control(data)
            for name, backend in self.backends.items()
            if any(fnmatch.fnmatch(name, pattern) for pattern in patterns)
        }
        status = max(
            (status_code for status_code, _, _ in results.values()), default=200
        )
        replies = {name: reply for name, (_, reply, _) in results.items()}
        request.reply(status, json.dumps(replies).encode())
        for _, _, action in results.values():
            action()
