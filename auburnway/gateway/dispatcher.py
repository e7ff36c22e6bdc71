"""What an entry knows of backend servers, and its connections to them.

It chooses servers, learns from their replies and keeps the budget for extra
sends. `leg` uses it to send the requests.
"""

from collections import abc
import random

from auburnway.core import route_table
from auburnway.core import server_table
from auburnway.gateway import attempts as attempts_lib
from auburnway.gateway import dialect as dialect_lib
from auburnway.gateway import feed as feed_lib
from auburnway.gateway import leg as leg_lib
from auburnway.gateway import settings as settings_lib
from auburnway.kernel import process
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
# Period in which servers that left the table are forgotten.
FORGET_MS = 10_000.0


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
      started_count: Number of sub-requests, hedges and retries left out.
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
        self.counts = dict.fromkeys(
            ("hedge", "hedge_denied", "retry", "retry_denied"), 0
        )
        self.started_count = 0
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
        loop.timers.every(FORGET_MS, self.forget_gone)

    def forget_gone(self) -> None:
        """Drops what was seen of servers that left the table."""
        gone = [i for i in self._seen if self._feed.table.get(i) is None]
        for server_id in gone:
            if not self._seen[server_id].sent_ms:
                del self._seen[server_id]

    def configure(self, configuration: route_table.Configuration) -> None:
        """Follows a configuration."""
        self._limits = {
            service.name: service.connection_limit
            for service in configuration.services
        }
        self._budgets = {
            service: budget
            for service, budget in self._budgets.items()
            if service in self._limits
        }

    def on_start(self, service: str) -> None:
        """Counts the first send of a sub-request."""
        self.started_count += 1
        self.budget(service).on_sub_request()

    def budget(self, service: str) -> retry_budget.Budget:
        """Returns the budget for extra sends to a service."""
        budget = self._budgets.get(service)
        entries = self._feed.entries.active_count or UNKNOWN_ENTRIES
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
        base_ms = self.base_ms(route)
        best = self._best(service, tried, self.now_ms(), base_ms)
        return self._feed.table.get(best.key) if best is not None else None

    def has_untried(self, service: str, tried: abc.Set[str]) -> bool:
        """Whether a server is known that was not tried yet."""
        rows = self._feed.table.servers(service)
        return any(row.server_id not in tried for row in rows)

    def has_room(
        self, service: str, route: route_table.Route, tried: abc.Set[str]
    ) -> bool:
        """Whether the best server that was not tried has a free slot."""
        now_ms = self.now_ms()
        best = self._best(service, tried, now_ms, self.base_ms(route))
        if best is None or not server_choice.is_usable(best, now_ms):
            return False
        return best.server.busy(now_ms) < best.server.slots

    def outlooks(
        self, route: route_table.Route
    ) -> dict[str, tuple[shard_admission.Shard, server_table.Row | None]]:
        """Returns what is expected of each shard, and its best server."""
        now_ms, base_ms = self.now_ms(), self.base_ms(route)
        return {
            shard: self._outlook(shard, now_ms, base_ms)
            for shard in route.gather.shards
        }

    def _outlook(
        self, service: str, now_ms: float, base_ms: float
    ) -> tuple[shard_admission.Shard, server_table.Row | None]:
        best = self._best(service, frozenset(), now_ms, base_ms)
        if best is None:
            return shard_admission.Shard(None), None
        expected_ms = best.server.expected_ms(now_ms, base_ms)
        is_full = best.server.busy(now_ms) >= best.server.slots
        is_usable = server_choice.is_usable(best, now_ms)
        shard = shard_admission.Shard(expected_ms, is_full, not is_usable)
        return shard, self._feed.table.get(best.key)

    def base_ms(self, route: route_table.Route) -> float:
        """Returns the time of a request of a route on an idle server."""
        base_ms = self._base.delay_ms(route.name)
        return (
            FIRST_BASE_SHARE * route.target_ms if base_ms is None else base_ms
        )

    def _best(
        self,
        service: str,
        tried: abc.Set[str],
        now_ms: float,
        base_ms: float,
    ) -> server_choice.Candidate | None:
        limit = self._connection_limit(service)
        candidates = [
            self._candidate(row, limit)
            for row in self._feed.table.servers(service)
            if row.server_id not in tried
        ]
        fill = self.budget(service).fill(now_ms)
        return server_choice.choose(
            candidates, now_ms, base_ms, self._rng, fill
        )

    def _candidate(
        self, row: server_table.Row, connection_limit: int
    ) -> server_choice.Candidate:
        self.pool.set_limit(row.address, connection_limit)
        is_near = row.data_center == self._settings.data_center
        return server_choice.Candidate(
            row.server_id,
            self.seen(row),
            0.0 if is_near else self._settings.other_data_center_ms,
            self._feed.table.is_silent(row.server_id)
            or not self.pool.has_capacity(row.address),
        )

    def _connection_limit(self, service: str) -> int:
        entries = self._feed.entries.active_count or UNKNOWN_ENTRIES
        return max(self._limits.get(service, 1) // (entries + 1), 1)

    def payload(
        self, job: leg_lib.Job, row: server_table.Row, now_ms: float
    ) -> bytes:
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

    def hedge_delay_ms(self, job: leg_lib.Job, expected_ms: float) -> float:
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
        self,
        route: route_table.Route,
        send: leg_lib.Send,
        reply: web_client.Reply,
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
