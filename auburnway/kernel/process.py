"""What all binaries share: arguments, settings, signals and clean-up."""

import argparse
from collections import abc
import contextlib
import signal
import sys
import threading
import typing

import circuits
from circuits import core
from circuits.core import pollers
import loguru
from returns import pipeline

from auburnway.core import clock as clock_lib
from auburnway.kernel import logs
from auburnway.kernel import settings as settings_lib
from auburnway.kernel import timers as timers_lib


def parse_arguments(
    program: str, description: str, arguments: abc.Sequence[str] | None = None
) -> argparse.Namespace:
    """Parses the command line of a daemon.

    Args:
      program: Name of the binary, shown in its help.
      description: What it does, shown in its help.
      arguments: Command line; None for that of this process.

    Returns:
      Namespace with `settings` (path) and `log_level`.

    Raises:
      SystemExit: Help was asked for, or an argument is wrong (status 2).
    """
    parser = argparse.ArgumentParser(prog=program, description=description)
    parser.add_argument("--settings", required=True, help="settings file, TOML")
    parser.add_argument(
        "--log-level", default="INFO", choices=logs.LEVELS, help="least level"
    )
    return parser.parse_args(arguments)


def load_settings(cls: type, path: str) -> typing.Any:
    """Returns checked settings.

    Args:
      cls: Settings class.
      path: TOML file.

    Raises:
      SystemExit: The file is wrong; all errors were printed.
    """
    loaded = settings_lib.load(cls, path)
    if pipeline.is_successful(loaded):
        return loaded.unwrap()
    for error in loaded.failure():
        print(error.message, file=sys.stderr)
    raise SystemExit(settings_lib.SettingsError.exit_code)


class Loop:
    """A circuits loop with one poller, one timer queue and an exit stack.

    Attributes:
      clock: Source of time.
      stack: Closed when `run` ends; owns what must be closed.
      root: Component that all others are registered under.
      poller: Poller that components add their sockets to.
      timers: Timer queue.
      on_stop: Called on the first SIGTERM or SIGINT; `stop` by default.
      on_reload: Called on SIGHUP; does nothing by default.
    """

    def __init__(self, clock: clock_lib.Clock):
        self.clock = clock
        self.stack = contextlib.ExitStack()
        self.root = _Root()
        self.poller = pollers.EPoll().register(self.root)
        self.timers = timers_lib.TimerQueue(clock).register(self.root)
        self.on_stop: abc.Callable[[], None] = self.stop
        self.on_reload: abc.Callable[[], None] = lambda: None

    def run(self) -> None:
        """Runs until `stop`; SIGTERM and SIGINT call `on_stop` once."""
        self.root.loop = self
        if threading.current_thread() is threading.main_thread():
            # The default action of SIGHUP would end the process.
            signal.signal(signal.SIGHUP, self._on_hangup)
        with self.stack:
            self.root.run()

    def _on_hangup(self, number, frame) -> None:
        del number, frame
        self.timers.after(0.0, lambda: self.on_reload())

    def stop(self) -> None:
        """Ends the loop."""
        self.root.stop()
        # A call from a timer comes just before the poller waits, which would
        # put off the end until the next readable socket.
        self.poller.resume()


class _Root(circuits.BaseComponent):
    """Root component; turns signals into one call of `on_stop`."""

    channel = "*"
    loop: Loop | None = None
    _stopping = False

    @core.handler("signal", channel="*", priority=100)
    def _on_signal(self, event, number, _):
        event.stop()
        if number in (signal.SIGTERM, signal.SIGINT) and not self._stopping:
            self._stopping = True
            self.loop.on_stop()

    @core.handler("exception", channel="*", priority=100)
    def _on_exception(self, kind, value, traceback, **_):
        # circuits goes on silently after a handler raised, and passes the
        # traceback as formatted lines.
        loguru.logger.error(
            "unexpected exception in an event handler",
            exception_type=kind.__name__,
            exception_text=str(value),
            traceback="".join(traceback),
        )
