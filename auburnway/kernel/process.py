"""Command line, settings, event loop and signals of all processes."""

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
      program: Name of the command, shown in its help.
      description: Purpose of the command, shown in its help.
      arguments: Command line without the name of the command; None for the
        arguments of this process.

    Returns:
      Namespace with `settings` (path) and `log_level`.

    Raises:
      SystemExit: Help was requested, or an argument is invalid (status 2).
    """
    parser = argparse.ArgumentParser(prog=program, description=description)
    parser.add_argument("--settings", required=True, help="settings file, TOML")
    parser.add_argument(
        "--log-level",
        default="INFO",
        choices=logs.LEVELS,
        help="lowest level that is logged",
    )
    return parser.parse_args(arguments)


def load_settings(cls: type, path: str) -> typing.Any:
    """Reads and checks a settings file, and exits if it is invalid.

    Args:
      cls: Settings class.
      path: TOML file.

    Raises:
      SystemExit: The file is invalid; all errors were printed.
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
      stack: Exit stack of the resources that are closed when `run` ends.
      root: Root of the component tree.
      poller: Poller to which components add their sockets.
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
        """Runs until `stop`; the first SIGTERM or SIGINT calls `on_stop`."""
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
        """Ends `run` after the current turn."""
        self.root.stop()
        # A timer calls `stop` just before the poller waits. Without a wake-up,
        # the loop would end only when a socket becomes readable.
        self.poller.resume()


class _Root(circuits.BaseComponent):
    """Root component; handles signals and exceptions of event handlers."""

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
        # After an exception in a handler, circuits continues without a report.
        # It passes the traceback as formatted lines.
        loguru.logger.error(
            "unexpected exception in an event handler",
            exception_type=kind.__name__,
            exception_text=str(value),
            traceback="".join(traceback),
        )
