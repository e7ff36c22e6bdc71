"""Long polls to control for the configuration and its lease.

The first reply of control is a linearizable read, and the entry serves nothing
before that reply. Afterwards a long poll renews the lease and returns each
accepted release note within a round trip. A configuration with a lower number
than the present one is ignored.
"""

from collections import abc
import typing

from returns import pipeline

from auburnway.core import clock as clock_lib
from auburnway.core import configuration as configuration_lib
from auburnway.kernel import mailbox as mailbox_lib
from auburnway.kernel import timers as timers_lib
from auburnway.rpc import control_pb2

# Longest time for which control may hold a poll. The lease is longer than this
# time plus one lost call.
POLL_WAIT_MS = 400
CALL_TIMEOUT_MS = 900.0
RETRY_DELAY_MS = 100.0


class LeaseKeeper:
    """Configuration and lease of an entry, renewed by long polls.

    Attributes:
      configuration: Configuration in force.
      lease_end_ms: End of the lease; in the past if there is none.
      has_initial_read: Whether control has replied at least once.
    """

    def __init__(
        self,
        control: typing.Any,
        mailbox: mailbox_lib.Mailbox,
        timers: timers_lib.TimerQueue,
        clock: clock_lib.Clock,
        base_request: control_pb2.RenewRequest,
        on_configuration: abc.Callable[[configuration_lib.Configuration], None],
        on_lease: abc.Callable[[float, tuple[str, ...]], None],
    ):
        self._control = control
        self._mailbox = mailbox
        self._timers = timers
        self._clock = clock
        self._base_request = base_request
        self._on_configuration = on_configuration
        self._on_lease = on_lease
        self._leaving = False
        self._stopped = False
        self._on_released: abc.Callable[[], None] | None = None
        self._lease_id = 0
        self._entry_set_revision = 0
        self._entry_names: tuple[str, ...] = ()
        self.configuration = configuration_lib.EMPTY
        self.lease_end_ms = 0.0
        self.has_initial_read = False

    def start(self) -> None:
        """Sends the first poll."""
        self._renew()

    def release(self, on_released: abc.Callable[[], None]) -> None:
        """Releases the lease with the next poll.

        Args:
          on_released: Called when control has confirmed the release.
        """
        self._leaving = True
        self._on_released = on_released

    def stop(self) -> None:
        """Stops polling without a release of the lease."""
        self._stopped = True

    def apply_configuration(
        self, configuration: configuration_lib.Configuration
    ) -> bool:
        """Puts a newer configuration in force.

        Returns:
          False if the configuration is not newer than the one in force.
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
        request.CopyFrom(self._base_request)
        request.number = self.configuration.number
        request.wait_ms = POLL_WAIT_MS if self.has_initial_read else 0
        request.leaving = self._leaving
        # Confirms that the last lease was received, so that control may count
        # this entry towards a majority.
        request.held_lease_id = self._lease_id
        request.entry_set_revision = self._entry_set_revision
        sent_ms = self._clock.now_ms()

        def on_done(outcome):
            self._mailbox.post(
                lambda: self._on_reply(outcome, sent_ms, request.leaving)
            )

        self._control.call_async("Renew", request, CALL_TIMEOUT_MS, on_done)

    def _on_reply(
        self, outcome: typing.Any, sent_ms: float, is_release: bool
    ) -> None:
        if self._stopped:
            return
        if not pipeline.is_successful(outcome) or outcome.unwrap().error.code:
            self._timers.after(RETRY_DELAY_MS, self._renew)
            return
        reply = outcome.unwrap()
        self.has_initial_read = True
        self._lease_id = reply.lease_id
        if reply.configuration:
            self.apply_configuration(
                configuration_lib.decode(reply.configuration)
            )
        # The lease starts at the send time of the poll, so that neither a slow
        # reply nor a frozen process extends it.
        self.lease_end_ms = sent_ms + reply.lease_ms
        if reply.entry_set_revision != self._entry_set_revision:
            self._entry_set_revision = reply.entry_set_revision
            self._entry_names = tuple(reply.entry_names)
        self._on_lease(self.lease_end_ms, self._entry_names)
        if is_release:
            self._stopped = True
            self._on_released()
        else:
            # A poll that control held while `release` was called has renewed
            # the lease, so the next poll releases it.
            self._renew()
