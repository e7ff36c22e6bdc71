"""The work on one service for one client request.

A leg is a first send, hedges and retries within the budget, and the reply that
counts. The rules of what may be sent again are in `attempts`.
"""

from collections import abc
import dataclasses
import typing

import loguru

from auburnway.core import route_table
from auburnway.core import server_table
from auburnway.gateway import attempts as attempts_lib
from auburnway.kernel import timers as timers_lib
from auburnway.net import web_client

if typing.TYPE_CHECKING:
    from auburnway.gateway import dispatcher as dispatcher_lib

# A hedge that found no free server or no budget is tried again after it.
HEDGE_RECHECK_MS = 10.0
# A retry that found no budget is tried again after it.
RETRY_RECHECK_MS = 5.0
# When all connections that this entry may have are in use, one is looked for
# again after it.
CONNECTION_RECHECK_MS = 5.0
# A request that may run once only uses a connection that was in use this
# short a time ago, or a new one: a close that crosses the request would leave
# its outcome unknown.
FRESH_MS = 500.0


@dataclasses.dataclass(frozen=True)
class Job:
    """What all legs of one client request share.

    Attributes:
      request_id: Identity of the client attempt.
      route: Route that was matched.
      head: Request line and headers that are passed on, without those that
        depend on the send.
      body: Body that is passed on.
      has_no_body: Whether replies have headers only, as for HEAD.
      started_ms: Instant at which the request was read.
      target_ms: Instant by which the answer should be on its way.
      deadline_ms: Instant by which it must be answered.
    """

    request_id: bytes
    route: route_table.Route
    head: bytes
    body: bytes
    has_no_body: bool
    started_ms: float
    target_ms: float
    deadline_ms: float


@dataclasses.dataclass(slots=True)
class Send:
    """One send of a leg to one server.

    Attributes:
      row: Server.
      sent_ms: Instant of the send.
      expected_ms: Expected time on a server of usual speed.
      call: Handle of the call; None until it was started.
      is_done: Whether it ended or was given up.
    """

    row: server_table.Row
    sent_ms: float
    expected_ms: float
    call: web_client.Call | None = None
    is_done: bool = False


class Leg:
    """Work on one service for one client request.

    Attributes:
      service: Service.
      reply: Reply that counts; None without one.
      outcome: How it ended; None while it goes on.
    """

    def __init__(
        self,
        dispatcher: "dispatcher_lib.Dispatcher",
        job: Job,
        service: str,
        on_done: abc.Callable[["Leg"], None],
        first: server_table.Row | None = None,
    ):
        """Creates a leg.

        Args:
          dispatcher: Chooses servers and owns the connections.
          job: The client request.
          service: Service that is asked.
          on_done: Called once when the leg has ended by itself.
          first: Server of the first send, when it was chosen a moment ago.
        """
        self.service = service
        self.reply: web_client.Reply | None = None
        self.outcome: attempts_lib.Outcome | None = None
        self._dispatcher = dispatcher
        self._job = job
        self._on_done = on_done
        self._first = first
        self._rules = attempts_lib.Attempts(
            job.route.max_attempts, job.route.is_repeatable
        )
        self._sends: list[Send] = []
        self._timer: timers_lib.Timer | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether a backend server may have begun to work on it."""
        return self._rules.may_have_run

    @property
    def state(self) -> str:
        """What is known of it, for logs: its outcome, or where it waits."""
        if self.outcome is not None:
            return self.outcome.value
        now_ms = self._dispatcher.now_ms()
        return ", ".join(
            f"{send.row.server_id} for {now_ms - send.sent_ms:.0f} ms"
            for send in self._sends
            if not send.is_done
        )

    def start(self) -> None:
        """Sends the request for the first time."""
        self._dispatcher.on_start(self.service)
        self._send()

    def cancel(self) -> None:
        """Gives up; servers that work on it are told."""
        if self.outcome is None:
            self.outcome = attempts_lib.Outcome.CANCELLED
            self._end_sends()

    def _send(self, reason: str = "") -> None:
        """Sends to the best server that was not tried.

        Args:
          reason: Why it is sent again; empty for the first send.
        """
        dispatcher, now_ms = self._dispatcher, self._dispatcher.now_ms()
        row, self._first = self._first, None
        if row is None:
            row = dispatcher.choose(
                self.service, self._job.route, self._tried()
            )
        if row is None:
            if not self._pending():
                self._end_without_reply()
            return
        if not dispatcher.pool.has_capacity(row.address):
            if not self._pending():
                self._timer = dispatcher.timers.after(
                    CONNECTION_RECHECK_MS, self._send_if_open
                )
            return
        if reason:
            self._log_again(reason, row, now_ms)
        seen = dispatcher.seen(row)
        base_ms = dispatcher.base_ms(self._job.route)
        send = Send(row, now_ms, base_ms * seen.queue_factor(now_ms))
        self._sends.append(send)
        self._rules.on_send()
        seen.on_send(now_ms)
        send.call = dispatcher.pool.send(
            row.address,
            dispatcher.payload(self._job, row, now_ms),
            lambda reply: self._on_reply(send, reply),
            self._job.request_id,
            self._job.has_no_body,
            None if self._job.route.is_repeatable else FRESH_MS,
        )
        if self.outcome is None and not send.is_done:
            self._set_hedge()

    def _log_again(
        self, reason: str, row: server_table.Row, now_ms: float
    ) -> None:
        last = self._sends[-1]
        fill = self._dispatcher.budget(self.service).fill(now_ms)
        loguru.logger.bind(
            request=self._job.request_id.decode("latin-1"),
            service=self.service,
            reason=reason,
            server=row.server_id,
            after=last.row.server_id,
            stands_ms=round(now_ms - last.sent_ms, 1),
            expected_ms=round(last.expected_ms, 1),
            budget_left=round(fill, 2),
        ).info("a request is sent again")

    def _send_if_open(self) -> None:
        self._timer = None
        if self.outcome is None:
            self._send()

    def _tried(self) -> set[str]:
        return {send.row.server_id for send in self._sends}

    def _set_hedge(self) -> None:
        if self._timer is not None or not self._job.route.is_repeatable:
            return
        delay_ms = self._dispatcher.hedge_delay_ms(
            self._job, self._sends[0].expected_ms
        )
        self._timer = self._dispatcher.timers.after(delay_ms, self._hedge)

    def _hedge(self) -> None:
        self._timer = None
        dispatcher = self._dispatcher
        if self.outcome is not None or not self._rules.may_hedge():
            return
        # A copy on a full server only lengthens the queue there.
        has_room = dispatcher.has_room(
            self.service, self._job.route, self._tried()
        )
        budget = dispatcher.budget(self.service)
        if has_room and budget.try_spend_hedge(dispatcher.now_ms()):
            dispatcher.counts["hedge"] += 1
            self._send("hedge")
            return
        dispatcher.counts["hedge_denied"] += 1
        self._timer = dispatcher.timers.after(HEDGE_RECHECK_MS, self._hedge)

    def _on_reply(self, send: Send, reply: web_client.Reply) -> None:
        dispatcher, now_ms = self._dispatcher, self._dispatcher.now_ms()
        send.is_done = True
        verdict = dispatcher.classify(reply)
        dispatcher.learn(self._job.route, send, reply)
        self._rules.on_end(verdict, reply.reached)
        if verdict is attempts_lib.Verdict.SUCCESS:
            self._end(attempts_lib.Outcome.SUCCESS, reply)
            return
        loguru.logger.bind(
            request=self._job.request_id.decode("latin-1"),
            service=self.service,
            server=send.row.server_id,
            verdict=verdict.value,
            status=reply.status,
            failure=reply.failure.value if reply.failure else "",
            age_ms=round(now_ms - send.sent_ms, 1),
        ).debug("a send did not succeed")
        if verdict is attempts_lib.Verdict.FAILED:
            self.reply = reply
        self._retry()

    def _retry(self) -> None:
        """Sends again after a send that did not succeed, if it may."""
        if self.outcome is not None:
            return
        dispatcher, now_ms = self._dispatcher, self._dispatcher.now_ms()
        may_retry = self._rules.may_retry() and dispatcher.has_untried(
            self.service, self._tried()
        )
        if may_retry and dispatcher.budget(self.service).try_spend(now_ms):
            dispatcher.counts["retry"] += 1
            self._send("retry")
        elif self._pending():
            return
        elif may_retry and now_ms < self._job.target_ms:
            # Other requests earn for the budget meanwhile. A wait beyond the
            # objective would take what they earn from those still in time.
            dispatcher.counts["retry_denied"] += 1
            dispatcher.timers.after(RETRY_RECHECK_MS, self._retry)
        else:
            self._end_without_reply()

    def _pending(self) -> bool:
        return any(not send.is_done for send in self._sends)

    def _end_without_reply(self) -> None:
        if self.reply is not None:
            self._end(attempts_lib.Outcome.FAILED, self.reply)
        elif self._rules.may_have_run:
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
                seen = self._dispatcher.seen(send.row)
                ratio = (now_ms - send.sent_ms) / send.expected_ms
                seen.on_cancel(send.sent_ms, now_ms, ratio)
                if send.call is not None:
                    send.call.cancel()
