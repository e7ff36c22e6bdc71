"""Limits how many backend servers one harmful request can crash.

If a connection is lost while a request runs, the request gets a strike. From
then on the request runs only as a trial, and control grants one trial at a
time across all entries. A request that was only running at the same time as
the cause passes its trial and is cleared.
"""

import collections
from collections import abc
import typing

import loguru

from auburnway.core import clock as clock_lib
from auburnway.core import membership
from auburnway.core import request as request_lib
from auburnway.entry import control_call
from auburnway.kernel import mailbox as mailbox_lib
from auburnway.policy import quarantine as quarantine_lib
from auburnway.rpc import control_pb2

CONTROL_TIMEOUT_MS = 300.0


def _row_incarnation(row: membership.Row) -> str:
    return f"{row.name}/{row.started_ms}"


class CrashGuard:
    """Records strikes and runs trials for the requests of this entry."""

    def __init__(
        self,
        quarantine: typing.Any,
        control: typing.Any,
        mailbox: mailbox_lib.Mailbox,
        clock: clock_lib.Clock,
        entry_name: str,
        entry_incarnation: str,
        relay_strikes: abc.Callable[[list], None],
    ):
        self._quarantine = quarantine
        self._control = control
        self._mailbox = mailbox
        self._clock = clock
        self._entry_name = entry_name
        self._entry_incarnation = entry_incarnation
        self._relay_strikes = relay_strikes
        # Number of strikes by fingerprint that control has not answered yet,
        # and the functions to call after control's answer.
        self._unlogged_strikes: collections.Counter[str] = collections.Counter()
        self._on_logged_callbacks: dict[
            str, list[abc.Callable[[bool], None]]
        ] = {}

    def fingerprint(self, request: request_lib.Request) -> str:
        """Returns the key of requests that are likely to behave alike."""
        return quarantine_lib.fingerprint(
            request.caller.name, request.kind.name, request.query_json
        )

    def needs_canary(self, request: request_lib.Request) -> bool:
        """Whether one backend server must run the query before all others."""
        if request.kind.canary == "off":
            return False
        return self._quarantine.needs_canary(self.fingerprint(request))

    def needs_trial(self, request: request_lib.Request) -> bool:
        """Whether the request has a strike that is not cleared."""
        return self._quarantine.needs_trial(
            self.fingerprint(request), self._clock.now_ms()
        )

    def is_refused(self, request: request_lib.Request) -> bool:
        """Whether the request lost a server in a trial and is refused."""
        return self._quarantine.is_refused(
            self.fingerprint(request), self._clock.now_ms()
        )

    def record_success(self, request: request_lib.Request) -> None:
        """Records a complete run, after which no canary is needed."""
        self._quarantine.record_success(self.fingerprint(request))

    def record_loss(
        self, request: request_lib.Request, row: membership.Row
    ) -> None:
        """Adds a strike at this entry, at its peers and at control.

        Args:
          request: Request that was running.
          row: Backend server whose connection was lost.
        """
        fingerprint = self.fingerprint(request)
        # The audit trail identifies a refused request only by its
        # fingerprint, so the log relates the fingerprint to the request.
        loguru.logger.warning(
            "connection to a backend server lost while it ran a request",
            request_id=request.request_id,
            caller=request.caller.name,
            kind=request.kind.name,
            fingerprint=fingerprint,
            backend_server=row.name,
        )
        now_ms = self._clock.now_ms()
        if self._quarantine.strike(fingerprint, _row_incarnation(row), now_ms):
            self._relay_strikes(self._quarantine.export(now_ms))
        self._unlogged_strikes[fingerprint] += 1

        def on_logged(reply):
            self._unlogged_strikes[fingerprint] -= 1
            if not self._unlogged_strikes[fingerprint]:
                del self._unlogged_strikes[fingerprint]
                is_logged = reply is not None and not reply.error.code
                for callback in self._on_logged_callbacks.pop(fingerprint, ()):
                    callback(is_logged)

        self._call_control(
            "Strike",
            control_pb2.StrikeRequest(
                fingerprint=fingerprint,
                backend_server=row.name,
                backend_incarnation=_row_incarnation(row),
                entry_name=self._entry_name,
            ),
            on_logged,
        )

    def acquire_trial(
        self,
        request: request_lib.Request,
        on_state: abc.Callable[[str], None],
    ) -> None:
        """Requests a trial from control.

        Args:
          request: Request with a strike.
          on_state: Called on the loop with `granted`, `clear` (no strike is
            left), `busy` (another trial is running), `refused` or
            `unavailable` (control did not answer).
        """
        fingerprint = self.fingerprint(request)

        def on_reply(reply):
            if reply is None or reply.error.code:
                on_state("unavailable")
                return
            if reply.state == "clear":
                self._quarantine.clear(fingerprint)
            elif reply.state == "refused":
                remaining_ms = (
                    reply.refused_until_wall_ms - self._clock.wall_ms()
                )
                until_ms = self._clock.now_ms() + remaining_ms
                self._quarantine.refuse(fingerprint, until_ms)
            on_state(reply.state)

        message = control_pb2.TrialRequest(
            fingerprint=fingerprint,
            entry_name=self._entry_name,
            entry_incarnation=self._entry_incarnation,
        )

        def request_trial(is_logged):
            if is_logged:
                self._call_control("GrantTrial", message, on_reply)
            else:
                on_state("unavailable")

        # A trial is requested only after control has answered its strikes:
        # calls may overtake each other, and control would clear a request
        # whose strike has not arrived yet.
        if self._unlogged_strikes[fingerprint]:
            self._on_logged_callbacks.setdefault(fingerprint, []).append(
                request_trial
            )
        else:
            request_trial(True)

    def end_trial(
        self,
        request: request_lib.Request,
        outcome: str,
        row: membership.Row | None,
    ) -> None:
        """Reports the end of a trial.

        Args:
          request: Request that the trial ran.
          outcome: `passed`, `lost` or `not_run`.
          row: Backend server lost in the trial, or None.
        """
        fingerprint = self.fingerprint(request)
        if outcome == "passed":
            self._quarantine.clear(fingerprint)
        self._call_control(
            "EndTrial",
            control_pb2.EndTrialRequest(
                fingerprint=fingerprint,
                entry_incarnation=self._entry_incarnation,
                outcome=outcome,
                backend_server=row.name if row else "",
                backend_incarnation=_row_incarnation(row) if row else "",
            ),
            lambda reply: None,
        )

    def merge_strikes(self, strikes: list) -> None:
        """Adds strikes relayed by a peer."""
        self._quarantine.merge(strikes, self._clock.now_ms())

    def _call_control(self, method, message, on_reply) -> None:
        control_call.call(
            self._control,
            self._mailbox,
            method,
            message,
            CONTROL_TIMEOUT_MS,
            on_reply,
        )
