"""Stand-ins on a thread of the test process.

Tests use it to run several backend servers without starting processes.
"""

from collections import abc
import threading
import typing

from auburnway.core import clock as clock_lib
from auburnway.kernel import process
from auburnway.net import blocking_call
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
        self.post(self._loop.stop)
        self._thread.join(JOIN_SECONDS)

    def post(self, call: abc.Callable[[], None]) -> None:
        """Runs a function on the loop's thread, soon."""
        self._loop.timers.after(0.0, call)
        # The poller may be waiting without a time limit.
        self._loop.poller.resume()

    def start(self, name: str) -> None:
        """Starts a backend server that crashed or was stopped."""
        self.post(self.host.backends[name].start)

    def address(self, name: str) -> str:
        """Returns the address that a backend server listens on."""
        return self.host.backends[name].own.address

    def control(self, name: str, data: dict[str, typing.Any]) -> None:
        """Changes a running backend server.

        Raises:
          ValueError: The server refused the change.
        """
        status, _, reply = blocking_call.call(
            self.address(name), "POST", "/v1/control", data
        )
        if status != 200:
            raise ValueError(reply)

    def record(self, name: str, with_ids: bool = False) -> dict:
        """Returns the truthful record of a backend server."""
        return self.host.backends[name].record_data(with_ids)
