"""Runs stand-ins on a thread of the test process.

Tests use this module to run several backend servers in their own process.
"""

from collections import abc
import threading
import typing

from auburnway.core import clock as clock_lib
from auburnway.kernel import process
from auburnway.net import blocking_call
from auburnway.standin import host as host_lib
from auburnway.standin import settings

JOIN_TIMEOUT_S = 5.0


class Embedded:
    """Context manager that runs a host with its own event loop and thread."""

    def __init__(self, host_settings: settings.Settings):
        self._loop = process.Loop(clock_lib.SystemClock())
        self.host = host_lib.Host(
            host_settings,
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
        self.run_on_loop(self._loop.stop)
        self._thread.join(JOIN_TIMEOUT_S)

    def run_on_loop(self, function: abc.Callable[[], None]) -> None:
        """Schedules a function to run soon on the thread of the event loop."""
        self._loop.timers.after(0.0, function)
        # Wakes the poller, which may be blocked without a timeout.
        self._loop.poller.resume()

    def start(self, name: str) -> None:
        """Starts a backend server that has crashed or was stopped."""
        self.run_on_loop(self.host.backends[name].start)

    def address(self, name: str) -> str:
        """Returns the address that a backend server listens on."""
        return self.host.backends[name].config.address

    def send_control(self, name: str, data: dict[str, typing.Any]) -> None:
        """Sends a control request to a running backend server.

        Raises:
          ValueError: The server rejected the request.
        """
        status, _, reply = blocking_call.call(
            self.address(name), "POST", "/v1/control", data
        )
        if status != 200:
            raise ValueError(reply)

    def record(self, name: str, with_ids: bool = False) -> dict:
        """Returns the record of the actual runs of a backend server."""
        return self.host.backends[name].record_data(with_ids)
