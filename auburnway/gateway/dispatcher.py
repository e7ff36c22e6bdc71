"""Sends requests to backend servers of a service, one leg a service.

A leg is the work on one service for one client request: a first send, hedges
and retries within the budget, and the reply that counts. The rules of what may
be sent again are in `attempts`.
"""

from collections import abc
import dataclasses
import random

import loguru

from auburnway.core import route_table
from auburnway.core import server_table
from auburnway.gateway import attempts as attempts_lib
from auburnway.gateway import dialect as dialect_lib
from auburnway.gateway import feed as feed_lib
from auburnway.gateway import settings as settings_lib
from auburnway.kernel import process
from auburnway.kernel import timers as timers_lib
from auburnway.net import socket_set
from auburnway.net import web_client
from auburnway.policy import hedging
from auburnway.policy import retry_budget
from auburnway.policy import server_choice
from auburnway.policy import shard_admission

# The base time of a route is this percentile of its latencies, net of queues;
# while too few are known it is this share of the latency objective.
BASE_QUANTILE_PERCENT = 50.0
BASE_MIN_SAMPLES = 50
FIRST_BASE_SHARE = 0.2
# Parts of the retry budget that are used: of the share of requests, and of the
# slack of a window, at once and over the window. Entries do not see each
# other's sends, and their windows do not start together.
SHARE_USE = 0.8
BURST_USE = 0.6
REFILL_USE = 0.2
BUDGET_WINDOW_S = 10.0
# Entries that are assumed to share budget and connections while the list is
# not known, as after a restart of everything.
UNKNOWN_ENTRIES = 8
# A send that stands for this many times its expected time is repeated, or
# sooner if the copy would otherwise miss the latency objective. Earlier copies
# would spend the budget on requests that are about to be answered.
HEDGE_FACTOR = 2.5
# Base times that a copy needs to be answered with good likelihood.
COPY_FACTOR = 2.0
# A hedge that found no free server or no budget is tried again after it.
HEDGE_RECHECK_MS = 10.0
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
class _Send:
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
        dispatcher: "Dispatcher",
        job: Job,
        service: str,
        on_done: abc.Callable[["Leg"], None],
    ):
        self.service = service
        self.reply: web_client.Reply | None = None
        self.outcome: attempts_lib.Outcome | None = None
        self._dispatcher = dispatcher
        self._job = job
        self._on_done = on_done
        self._rules = attempts_lib.Attempts(
            job.route.max_attempts, job.route.is_repeatable
        )
        self._sends: list[_Send] = []
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
        self._dispatcher.budget(self.service).on_sub_request()
        self._send()

    def cancel(self) -> None:
        """Gives up; servers that work on it are told."""
        if self.outcome is None:
            self.outcome = attempts_lib.Outcome.CANCELLED
            self._end_sends()

    def _send(self) -> None:
        dispatcher, now_ms = self._dispatcher, self._dispatcher.now_ms()
        row = dispatcher.choose(self.service, self._job.route, self._tried())
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
        seen = dispatcher.seen(row)
        base_ms = dispatcher.base_ms(self._job.route)
        send = _Send(row, now_ms, base_ms * seen.queue_factor(now_ms))
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
            self._send()
            return
        dispatcher.counts["hedge_denied"] += 1
        self._timer = dispatcher.timers.after(HEDGE_RECHECK_MS, self._hedge)

    def _on_reply(self, send: _Send, reply: web_client.Reply) -> None:
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
        if self._rules.may_retry() and dispatcher.budget(
            self.service
        ).try_spend(now_ms):
            dispatcher.counts["retry"] += 1
            self._send()
        elif not self._pending():
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


class Dispatcher:
    """Owns the connections to backend servers and what is known of them.

    Args:
      settings: Settings of the entry.
      dialect: Header names.
      loop: Loop that runs the entry.
      sockets: Set that watches the sockets.
      feed: Table of backend servers.

    Attributes:
      pool: Connections.
      counts: Numbers of hedges and retries.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        dialect: dialect_lib.Dialect,
        loop: process.Loop,
        sockets: socket_set.SocketSet,
        feed: feed_lib.Feed,
    ):
        self.timers = loop.timers
        self.counts = {"hedge": 0, "hedge_denied": 0, "retry": 0}
        self.now_ms = loop.clock.now_ms
        self._settings = settings
        self._dialect = dialect
        self._feed = feed
        self.pool = web_client.WebPool(
            sockets,
            loop.timers,
            loop.clock,
            dialect.request_id,
            settings.connect_timeout_ms,
        )
        loop.stack.callback(self.pool.close)
        self._seen: dict[str, server_choice.Server] = {}
        self._budgets: dict[str, retry_budget.Budget] = {}
        self._base = hedging.Hedger(BASE_QUANTILE_PERCENT, BASE_MIN_SAMPLES)
        self._limits: dict[str, int] = {}
        self._rng = random.Random(settings.name)

    def configure(self, configuration: route_table.Configuration) -> None:
        """Follows a configuration."""
        self._limits = {
            service.name: service.connection_limit
            for service in configuration.services
        }

    def budget(self, service: str) -> retry_budget.Budget:
        """Returns the budget for extra sends to a service."""
        budget = self._budgets.get(service)
        entries = self._feed.entry_count or UNKNOWN_ENTRIES
        slack = self._settings.retry_slack / entries
        burst = max(BURST_USE * slack, 1.0)
        if budget is None:
            budget = self._budgets[service] = retry_budget.Budget(
                SHARE_USE * self._settings.retry_share,
                burst,
                reserve=0.0,
                tokens=burst / 2,
            )
        budget.set_burst(burst, REFILL_USE * slack / BUDGET_WINDOW_S)
        return budget

    def seen(self, row: server_table.Row) -> server_choice.Server:
        """Returns what was seen of a server."""
        seen = self._seen.get(row.server_id)
        if seen is None:
            seen = self._seen[row.server_id] = server_choice.Server(row.slots)
            if row.cold_ms > 0:
                seen.cold_until_ms = self.now_ms() + row.cold_ms
        return seen

    def choose(
        self, service: str, route: route_table.Route, tried: abc.Set[str]
    ) -> server_table.Row | None:
        """Returns the best server that was not tried yet, or None."""
        best = self._best(service, route, tried)
        return self._feed.table.get(best.key) if best is not None else None

    def has_room(
        self, service: str, route: route_table.Route, tried: abc.Set[str]
    ) -> bool:
        """Whether the best server that was not tried has a free slot."""
        best, now_ms = self._best(service, route, tried), self.now_ms()
        if best is None or not server_choice.is_usable(best, now_ms):
            return False
        return best.server.busy(now_ms) < best.server.slots

    def shard(
        self, service: str, route: route_table.Route
    ) -> shard_admission.Shard:
        """Returns what is expected of a service for one more request."""
        best, now_ms = self._best(service, route, frozenset()), self.now_ms()
        if best is None:
            return shard_admission.Shard(None)
        expected_ms = best.server.expected_ms(now_ms, self.base_ms(route))
        is_full = best.server.busy(now_ms) >= best.server.slots
        is_usable = server_choice.is_usable(best, now_ms)
        return shard_admission.Shard(expected_ms, is_full, not is_usable)

    def base_ms(self, route: route_table.Route) -> float:
        """Returns the time of a request of a route on an idle server."""
        base_ms = self._base.delay_ms(route.name)
        return (
            FIRST_BASE_SHARE * route.target_ms if base_ms is None else base_ms
        )

    def _best(
        self, service: str, route: route_table.Route, tried: abc.Set[str]
    ) -> server_choice.Candidate | None:
        candidates = [
            self._candidate(row)
            for row in self._feed.table.servers(service)
            if row.server_id not in tried
        ]
        return server_choice.choose(
            candidates, self.now_ms(), self.base_ms(route), self._rng
        )

    def _candidate(self, row: server_table.Row) -> server_choice.Candidate:
        self.pool.set_limit(row.address, self._connection_limit(row.service))
        is_near = row.data_center == self._settings.data_center
        return server_choice.Candidate(
            row.server_id,
            self.seen(row),
            0.0 if is_near else self._settings.other_data_center_ms,
            self._feed.table.is_silent(row.server_id)
            or not self.pool.has_capacity(row.address),
        )

    def _connection_limit(self, service: str) -> int:
        entries = self._feed.entry_count or UNKNOWN_ENTRIES
        return max(self._limits.get(service, 1) // (entries + 1), 1)

    def payload(self, job: Job, row: server_table.Row, now_ms: float) -> bytes:
        """Returns the bytes of one send."""
        left_ms = max(int(job.deadline_ms - now_ms), 1)
        return b"%s%s: %d\r\n%s: %s\r\n\r\n%s" % (
            job.head,
            self._dialect.time_left,
            left_ms,
            self._dialect.wanted_server,
            row.server_id.encode("latin-1"),
            job.body,
        )

    def hedge_delay_ms(self, job: Job, expected_ms: float) -> float:
        """Returns how long a send may stand before it is repeated.

        Args:
          job: The request.
          expected_ms: Expected time of the send.
        """
        delay_ms = HEDGE_FACTOR * expected_ms
        left_ms = job.target_ms - self.now_ms()
        latest_ms = left_ms - COPY_FACTOR * self.base_ms(job.route)
        # A copy that cannot make it any more is not hurried.
        return min(delay_ms, latest_ms) if latest_ms > 0 else delay_ms

    def classify(self, reply: web_client.Reply) -> attempts_lib.Verdict:
        """Returns what a reply says of the request."""
        if reply.failure is not None:
            return attempts_lib.Verdict.LOST
        if self._dialect.not_run in reply.fields or reply.status == 421:
            return attempts_lib.Verdict.REJECTED
        is_signed = self._dialect.signature in reply.fields
        if reply.status < 500 and is_signed:
            return attempts_lib.Verdict.SUCCESS
        return attempts_lib.Verdict.FAILED

    def learn(
        self, route: route_table.Route, send: _Send, reply: web_client.Reply
    ) -> None:
        """Takes what a reply says of its server."""
        now_ms, seen = self.now_ms(), self.seen(send.row)
        verdict = self.classify(reply)
        latency_ms = now_ms - send.sent_ms
        if verdict is attempts_lib.Verdict.SUCCESS:
            ratio = latency_ms / send.expected_ms
            seen.on_reply(send.sent_ms, now_ms, ratio)
            net_ms = ratio * self.base_ms(route)
            self._base.observe(route.name, net_ms, now_ms)
        elif verdict is attempts_lib.Verdict.REJECTED and reply.status != 421:
            seen.on_rejected(send.sent_ms, now_ms)
        else:
            seen.on_failure(send.sent_ms, now_ms)
        self._take_load(seen, reply, now_ms)

    def _take_load(
        self,
        seen: server_choice.Server,
        reply: web_client.Reply,
        now_ms: float,
    ) -> None:
        numbers = reply.fields.get(self._dialect.load, b"").split(b",")
        if len(numbers) == 3 and all(n.strip().isdigit() for n in numbers):
            running, waiting, slots = map(int, numbers)
            seen.slots = max(slots, 1)
            seen.on_load(running, waiting, now_ms)
