"""Keeps the configuration and its lease current.

The first answer of control is a linearizable read; nothing is served before
it. After that a long poll renews the lease and brings each accepted release
note within a round trip. A lower number is never taken.
"""

from collections import abc
import typing

from returns import pipeline

from auburnway.core import clock as clock_lib
from auburnway.core import configuration as configuration_lib
from auburnway.kernel import mailbox as mailbox_lib
from auburnway.kernel import timers as timers_lib
from auburnway.rpc import control_pb2

# How long control may hold a poll; the lease outlasts it and one lost call.
POLL_WAIT_MS = 400
CALL_TIMEOUT_MS = 900.0
RETRY_MS = 100.0


class LeaseKeeper:
    """Long-polls control for configuration and lease."""

    def __init__(
        self,
        control: typing.Any,
        mailbox: mailbox_lib.Mailbox,
        timers: timers_lib.TimerQueue,
        clock: clock_lib.Clock,
        identity: control_pb2.RenewRequest,
        on_configuration: abc.Callable[[configuration_lib.Configuration], None],
        on_lease: abc.Callable[[float, tuple[str, ...]], None],
    ):
        self._control = control
        self._mailbox = mailbox
        self._timers = timers
        self._clock = clock
        self._identity = identity
        self._on_configuration = on_configuration
        self._on_lease = on_lease
        self._leaving = False
        self._stopped = False
        self._on_left: abc.Callable[[], None] | None = None
        self._lease_id = 0
        self._entry_set_revision = 0
        self._entry_names: tuple[str, ...] = ()
        self.configuration = configuration_lib.EMPTY
        self.lease_end_ms = 0.0
        self.has_read = False

    def start(self) -> None:
        """Starts polling."""
        self._renew()

    def leave(self, on_left: abc.Callable[[], None]) -> None:
        """Gives up the lease with the next poll.

        Args:
          on_left: Called when control has taken the lease back.
        """
        self._leaving = True
        self._on_left = on_left

    def stop(self) -> None:
        """Ends polling."""
        self._stopped = True

    def take(self, configuration: configuration_lib.Configuration) -> bool:
        """Puts a newer configuration in force.

        Returns:
          False when it is not newer than the one in force.
        """
        if configuration.number <= self.configuration.number:
            return False
        self.configuration = configuration
        self._on_configuration(configuration)
        return True

    def _renew(self) -> None:
        if self._stopped:
            return
        request = control_pb2.RenewRequest()
        request.CopyFrom(self._identity)
        request.number = self.configuration.number
        request.wait_ms = POLL_WAIT_MS if self.has_read else 0
        request.leaving = self._leaving
        # Tells control that the last lease was received, so that it may
        # count on this entry when it needs a majority.
        request.held_lease_id = self._lease_id
        request.entry_set_revision = self._entry_set_revision
        sent_ms = self._clock.now_ms()

        def on_done(outcome):
            self._mailbox.post(
                lambda: self._on_reply(outcome, sent_ms, request.leaving)
            )

        self._control.call_async("Renew", request, CALL_TIMEOUT_MS, on_done)

    def _on_reply(
        self, outcome: typing.Any, sent_ms: float, gave_up: bool
    ) -> None:
        if self._stopped:
            return
        if not pipeline.is_successful(outcome) or outcome.unwrap().error.code:
            self._timers.after(RETRY_MS, self._renew)
            return
        reply = outcome.unwrap()
        self.has_read = True
        self._lease_id = reply.lease_id
        if reply.configuration:
            self.take(configuration_lib.decode(reply.configuration))
        # The lease counts from the instant of sending, so that neither a
        # slow reply nor a frozen process makes it longer.
        self.lease_end_ms = sent_ms + reply.lease_ms
        if reply.entry_set_revision != self._entry_set_revision:
            self._entry_set_revision = reply.entry_set_revision
            self._entry_names = tuple(reply.entry_names)
        self._on_lease(self.lease_end_ms, self._entry_names)
        if gave_up:
            self._stopped = True
            self._on_left()
        else:
            # A poll that was held when `leave` was called still renewed the
            # lease, so another one must give it up.
            self._renew()
