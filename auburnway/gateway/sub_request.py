"""Sub-request: the part of a client request that one service processes.

A sub-request consists of a first send, hedges and retries within the budget,
and the reply that is used. The rules for sending again are in `attempts`.
"""

from collections import abc
import dataclasses
import typing

import loguru

from auburnway.core import route_table
from auburnway.core import server_table
from auburnway.gateway import attempts as attempts_lib
from auburnway.kernel import timers as timers_lib
from auburnway.net import exchange
from auburnway.net import web_connection
from auburnway.policy import crash_containment

if typing.TYPE_CHECKING:
    from auburnway.gateway import dispatcher as dispatcher_lib

# Delay until a hedge that found no free server or no budget is tried again.
HEDGE_RECHECK_MS = 10.0
# Delay until a retry that found no budget is tried again.
RETRY_RECHECK_MS = 5.0
# Share of the time between the latency objective and the deadline in which a
# part of a query waits for the budget of a retry. The rest remains for another
# attempt of the client.
LATE_RETRY_SHARE = 0.5
# Delay until a send is tried again after all allowed connections of this entry
# were in use.
CONNECTION_RECHECK_MS = 5.0
# A request that may run only once uses a new connection or one that was used
# within this time. If the server closed an idle connection while the request
# was on its way, the outcome would be unknown.
FRESH_CONNECTION_MS = 500.0


@dataclasses.dataclass(frozen=True)
class RequestContext:
    """Properties of a client request that its sub-requests share.

    Attributes:
      request_id: Identifier of the client attempt.
      route: Route that the request matches.
      head: Forwarded request line and headers, without the headers that differ
        by send.
      body: Forwarded body.
      has_no_body: Whether replies have headers only, as for HEAD.
      started_ms: Time at which the request was read.
      target_ms: Time by which the answer should be sent.
      partial_ms: Time at which a partial answer is sent.
      deadline_ms: Time by which the request must be answered.
      content: What makes requests equal: method, host, target and body.
    """

    request_id: bytes
    route: route_table.Route
    head: bytes
    body: bytes
    has_no_body: bool
    started_ms: float
    target_ms: float
    partial_ms: float
    deadline_ms: float
    content: tuple[bytes, ...] = ()

    def fingerprint(self, service: str) -> bytes:
        """Returns the key of equal requests to one service."""
        return crash_containment.fingerprint(service.encode(), *self.content)


@dataclasses.dataclass(slots=True)
class Send:
    """One send of a sub-request to one server.

    Attributes:
      row: Table row of the server.
      sent_ms: Time of the send.
      expected_ms: Expected time of the send on a server of slowness 1.
      call: Handle of the HTTP call; None until the call is started.
      is_done: Whether the send has ended or was cancelled.
    """

    row: server_table.Row
    sent_ms: float
    expected_ms: float
    call: web_connection.Call | None = None
    is_done: bool = False


class SubRequest:
    """Sub-request of a client request to one service.

    Attributes:
      service: Name of the service.
      reply: Reply that is used; None without a reply.
      outcome: Result of the sub-request; None until it has ended.
      wait_ms: Time until a server may be sent a request, if none could be sent
        one in time; else 0.
      wait_reason: Why none could be sent one; empty without a wait.
    """

    def __init__(
        self,
        dispatcher: "dispatcher_lib.Dispatcher",
        context: RequestContext,
        service: str,
        on_done: abc.Callable[["SubRequest"], None],
        first_row: server_table.Row | None = None,
    ):
        """Creates a sub-request.

        Args:
          dispatcher: Chooses servers and owns the connections.
          context: The client request.
          service: Service that the sub-request is sent to.
          on_done: Called once when the sub-request ends without `cancel`.
          first_row: Server of the first send, if it was already chosen.
        """
        self.service = service
        self.reply: web_connection.Reply | None = None
        self.outcome: attempts_lib.Outcome | None = None
        self.wait_ms = 0.0
        self.wait_reason = ""
        self._dispatcher = dispatcher
        self._context = context
        self._on_done = on_done
        self._first_row = first_row
        self._attempts = attempts_lib.AttemptTracker(
            context.route.max_attempts, context.route.is_repeatable
        )
        self._sends: list[Send] = []
        self._may_send_again = True
        # Whether it waits until a server may be sent a request.
        self._is_waiting = False
        self._timer: timers_lib.Timer | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether a backend server may have started to run the request."""
        return self._attempts.may_have_run

    @property
    def state(self) -> str:
        """Outcome or open sends with their ages, as text for logs."""
        if self.outcome is not None:
            return self.outcome.value
        if not self._sends:
            return "waits to be sent"
        now_ms = self._dispatcher.now_ms()
        return ", ".join(
            f"{send.row.server_id} for {now_ms - send.sent_ms:.0f} ms"
            for send in self._sends
            if not send.is_done
        )

    def start(self) -> None:
        """Sends the request for the first time."""
        self._dispatcher.on_first_send(self.service)
        guard = self._dispatcher.crash_guard
        if guard.is_idle:
            self._send()
            return
        state = guard.state(self._key)
        if state is crash_containment.State.FREE:
            self._send()
        elif state is crash_containment.State.QUARANTINED:
            self._refuse_quarantined(guard.wait_ms(self._key))
        else:
            self._is_waiting = True
            guard.ask_trial(self._key, self._on_trial)

    @property
    def _key(self) -> bytes:
        return self._context.fingerprint(self.service)

    def _on_trial(self, is_granted: bool, wait_ms: float) -> None:
        """Runs a quarantined request once, or refuses it."""
        self._is_waiting = False
        if self.outcome is not None:
            return
        if is_granted:
            self._may_send_again = False
            self._send()
        else:
            self._refuse_quarantined(wait_ms)

    def _refuse_quarantined(self, wait_ms: float) -> None:
        self.wait_ms, self.wait_reason = wait_ms, "quarantined"
        self._end_without_reply()

    def _is_quarantined(self) -> bool:
        guard = self._dispatcher.crash_guard
        return not guard.is_idle and (
            guard.state(self._key) is not crash_containment.State.FREE
        )

    def cancel(self) -> None:
        """Cancels the sub-request and its open sends."""
        if self.outcome is None:
            self.outcome = attempts_lib.Outcome.CANCELLED
            self._end_sends()

    def stop_retrying(self) -> None:
        """Sends no more hedges and retries; open sends continue.

        Without an open send the sub-request ends now, unless it was not
        started.
        """
        self._may_send_again = False
        was_started = bool(self._sends) or self._is_waiting
        if self.outcome is None and was_started and not self._has_open_sends():
            self._end_without_reply()

    def _send(self, reason: str = "") -> None:
        """Sends the request to the best server that was not yet tried.

        Args:
          reason: Reason for sending again; empty for the first send.
        """
        dispatcher, now_ms = self._dispatcher, self._dispatcher.now_ms()
        row, self._first_row = self._first_row, None
        if row is None:
            row = dispatcher.choose(
                self.service, self._context.route, self._tried_ids()
            )
        if row is None:
            if not self._has_open_sends():
                self._end_without_reply()
            return
        if not dispatcher.pool.has_capacity(row.address):
            if not self._has_open_sends():
                self._timer = dispatcher.timers.after(
                    CONNECTION_RECHECK_MS, self._send_unless_ended
                )
            return
        wait_ms = dispatcher.wait_ms(row, self._context.route.rank)
        if wait_ms:
            if not self._has_open_sends():
                self._wait_to_send(row, wait_ms)
            return
        if reason:
            self._log_extra_send(reason, row, now_ms)
        dispatcher.gates.on_send(row)
        stats = dispatcher.stats(row)
        base_ms = dispatcher.base_ms(self._context.route)
        send = Send(row, now_ms, base_ms * stats.queue_factor(now_ms))
        self._sends.append(send)
        self._attempts.on_send()
        stats.on_send(now_ms)
        send.call = dispatcher.pool.send(
            row.address,
            dispatcher.payload(self._context, row, now_ms),
            lambda reply: self._on_reply(send, reply),
            self._context.request_id,
            self._context.has_no_body,
            None if self._context.route.is_repeatable else FRESH_CONNECTION_MS,
        )
        if self.outcome is None and not send.is_done:
            self._schedule_hedge()

    def _wait_to_send(self, row: server_table.Row, wait_ms: float) -> None:
        """Waits for a server that is not to be sent a request yet.

        A single request that would miss its objective is refused at once with
        the time to come back. A part of a query waits longer, because it was
        asked only if the answer needs it.
        """
        dispatcher, context = self._dispatcher, self._context
        answered_ms = (
            dispatcher.now_ms() + wait_ms + dispatcher.base_ms(context.route)
        )
        is_single = context.route.gather is None
        if answered_ms > (
            context.target_ms if is_single else context.deadline_ms
        ):
            self.wait_ms = wait_ms
            self.wait_reason = dispatcher.gates.wait_reason(row)
            self._end_without_reply()
            return
        self._is_waiting = True
        self._timer = dispatcher.timers.after(wait_ms, self._send_unless_ended)

    def _log_extra_send(
        self, reason: str, row: server_table.Row, now_ms: float
    ) -> None:
        last_send = self._sends[-1]
        budget_fill = self._dispatcher.budget(self.service).remaining_share(
            now_ms
        )
        loguru.logger.bind(
            request=self._context.request_id.decode("latin-1"),
            service=self.service,
            reason=reason,
            server=row.server_id,
            after=last_send.row.server_id,
            stands_ms=round(now_ms - last_send.sent_ms, 1),
            expected_ms=round(last_send.expected_ms, 1),
            budget_left=round(budget_fill, 2),
        ).info("a request is sent again")

    def _send_unless_ended(self) -> None:
        self._timer, self._is_waiting = None, False
        if self.outcome is None:
            self._send()

    def _tried_ids(self) -> set[str]:
        return {send.row.server_id for send in self._sends}

    def _schedule_hedge(self) -> None:
        if self._timer is not None or not self._context.route.is_repeatable:
            return
        delay_ms = self._dispatcher.hedge_delay_ms(
            self._context, self._sends[0].expected_ms
        )
        self._timer = self._dispatcher.timers.after(delay_ms, self._hedge)

    def _hedge(self) -> None:
        self._timer = None
        dispatcher = self._dispatcher
        may_hedge = self._may_send_again and self._attempts.may_hedge()
        if self.outcome is not None or not may_hedge:
            return
        if self._is_quarantined():
            return
        # A hedge to a full server would only lengthen the queue there.
        has_room = dispatcher.has_room(
            self.service, self._context.route, self._tried_ids()
        )
        budget = dispatcher.budget(self.service)
        if has_room and budget.try_spend_hedge(dispatcher.now_ms()):
            dispatcher.extra_send_counts["hedge"] += 1
            self._send("hedge")
            return
        dispatcher.extra_send_counts["hedge_denied"] += 1
        self._timer = dispatcher.timers.after(HEDGE_RECHECK_MS, self._hedge)

    def _on_reply(self, send: Send, reply: web_connection.Reply) -> None:
        try:
            self._process_reply(send, reply)
        except Exception:
            loguru.logger.exception("unexpected exception of a reply")
            if self.outcome is None and not self._has_open_sends():
                self._end_without_reply()

    def _process_reply(self, send: Send, reply: web_connection.Reply) -> None:
        dispatcher, now_ms = self._dispatcher, self._dispatcher.now_ms()
        send.is_done = True
        verdict = dispatcher.classify(reply)
        dispatcher.record_reply(self._context.route, send, reply)
        self._attempts.on_end(verdict, reply.reached)
        self._report_to_guard(verdict, send, reply)
        if verdict is attempts_lib.Verdict.SUCCESS:
            self._end(attempts_lib.Outcome.SUCCESS, reply)
            return
        loguru.logger.bind(
            request=self._context.request_id.decode("latin-1"),
            service=self.service,
            server=send.row.server_id,
            verdict=verdict.value,
            status=reply.status,
            failure=reply.failure.value if reply.failure else "",
            age_ms=round(now_ms - send.sent_ms, 1),
        ).debug("a send did not succeed")
        if verdict is attempts_lib.Verdict.FAILED:
            self.reply = reply
            if self._context.route.gather is not None:
                # The body of a failure is no part of a gathered answer.
                self.reply = dataclasses.replace(reply, body=b"")
        self._retry()

    def _report_to_guard(
        self,
        verdict: attempts_lib.Verdict,
        send: Send,
        reply: web_connection.Reply,
    ) -> None:
        guard = self._dispatcher.crash_guard
        if verdict in (
            attempts_lib.Verdict.SUCCESS,
            attempts_lib.Verdict.FAILED,
        ):
            if not guard.is_idle:
                guard.on_answered(self._key)
        elif (
            reply.failure is exchange.Failure.CONNECTION_LOST and reply.reached
        ):
            guard.on_lost(self._key, send.row)

    def _retry(self) -> None:
        """Retries after an unsuccessful send if rules and budget allow it."""
        if self.outcome is not None:
            return
        dispatcher, now_ms = self._dispatcher, self._dispatcher.now_ms()
        may_retry = (
            self._may_send_again
            and self._attempts.may_retry()
            and dispatcher.has_untried(self.service, self._tried_ids())
            and not self._is_quarantined()
        )
        if may_retry and self._try_spend_retry(now_ms):
            dispatcher.extra_send_counts["retry"] += 1
            self._send("retry")
        elif self._has_open_sends():
            return
        elif may_retry and now_ms < self._retry_until_ms:
            # Other requests fill the budget meanwhile.
            dispatcher.extra_send_counts["retry_denied"] += 1
            dispatcher.timers.after(RETRY_RECHECK_MS, self._retry)
        else:
            self._end_without_reply()

    @property
    def _retry_until_ms(self) -> float:
        """Time until which a retry waits for the budget.

        A client that a single service refuses repeats one request. A query that
        lacks one part fails whole, and its client repeats all its parts.
        """
        target_ms = self._context.target_ms
        if self._context.route.gather is None:
            return target_ms
        late_ms = self._context.deadline_ms - target_ms
        return target_ms + LATE_RETRY_SHARE * late_ms

    def _try_spend_retry(self, now_ms: float) -> bool:
        budget = self._dispatcher.budget(self.service)
        if now_ms < self._context.target_ms:
            return budget.try_spend(now_ms)
        return budget.try_spend_late(now_ms)

    def _has_open_sends(self) -> bool:
        return any(not send.is_done for send in self._sends)

    def _end_without_reply(self) -> None:
        if self.reply is not None:
            self._end(attempts_lib.Outcome.FAILED, self.reply)
        elif self._attempts.may_have_run:
            self._end(attempts_lib.Outcome.UNKNOWN, None)
        else:
            self._end(attempts_lib.Outcome.NOT_RUN, None)

    def _end(self, outcome, reply) -> None:
        self.outcome = outcome
        self.reply = reply
        self._end_sends()
        self._on_done(self)

    def _end_sends(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        now_ms = self._dispatcher.now_ms()
        for send in self._sends:
            if not send.is_done:
                send.is_done = True
                stats = self._dispatcher.stats(send.row)
                ratio = (now_ms - send.sent_ms) / send.expected_ms
                stats.on_cancel(send.sent_ms, now_ms, ratio)
                if send.call is not None:
                    send.call.cancel()
