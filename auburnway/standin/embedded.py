"""Stand-ins on a thread of the test process.

Tests use it to run several backend servers without starting processes.
"""

import http.client
import json
import threading
import typing

from auburnway.core import clock as clock_lib
from auburnway.kernel import process
from auburnway.standin import host as host_lib
from auburnway.standin import settings

JOIN_SECONDS = 5.0


class Embedded:
    """Context manager that runs a host on its own loop and thread."""

    def __init__(self, checked: settings.Settings):
        self._loop = process.Loop(clock_lib.SystemClock())
        self.host = host_lib.Host(
            checked,
            self._loop.root,
            self._loop.poller,
            self._loop.timers,
            self._loop.clock,
        )
        self._thread = threading.Thread(target=self._loop.run, daemon=True)

    def __enter__(self) -> "Embedded":
        self.host.start()
        self._loop.stack.callback(self.host.close)
        self._thread.start()
        return self

    def __exit__(self, *_) -> None:
        self._loop.timers.after(0.0, self._loop.stop)
        # The poller may be waiting without a time limit.
        self._loop.poller.resume()
        self._thread.join(JOIN_SECONDS)

    def address(self, name: str) -> str:
        """Returns the address that a backend server listens on."""
        return self.host.backends[name].own.address

    def control(self, name: str, data: dict[str, typing.Any]) -> None:
        """Changes a running backend server.

        Raises:
          ValueError: The server refused the change.
        """
        status, _, reply = call(self.address(name), "POST", "/v1/control", data)
        if status != 200:
            raise ValueError(reply)

    def record(self, name: str, with_ids: bool = False) -> dict:
        """Returns the truthful record of a backend server."""
        return self.host.backends[name].record.as_dict(with_ids)


def call(
    address: str,
    method: str,
    path: str,
    data: typing.Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 5.0,
) -> tuple[int, dict[str, str], typing.Any]:
    """Makes one HTTP call on its own connection.

    Returns:
      Status, headers by lower-case name, and the decoded JSON body.

    Raises:
      OSError, http.client.HTTPException: There is no whole reply.
    """
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        body = None if data is None else json.dumps(data).encode()
        connection.request(method, path, body, headers or {})
        reply = connection.getresponse()
        content = reply.read()
        lower = {name.lower(): value for name, value in reply.getheaders()}
        return reply.status, lower, json.loads(content) if content else None
    finally:
        connection.close()
