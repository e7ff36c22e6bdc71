"""Choice of backend servers, connections to them and retry budgets.

The dispatcher chooses servers, records measurements from their replies and
holds the retry budget of each service. `sub_request` sends requests through
the dispatcher.
"""

from collections import abc
import random

from auburnway.core import route_table
from auburnway.core import server_table
from auburnway.gateway import attempts as attempts_lib
from auburnway.gateway import crash_guard
from auburnway.gateway import dialect as dialect_lib
from auburnway.gateway import feed as feed_lib
from auburnway.gateway import server_gates
from auburnway.gateway import server_report
from auburnway.gateway import settings as settings_lib
from auburnway.gateway import sub_request as sub_request_lib
from auburnway.kernel import process
from auburnway.net import reply_reader
from auburnway.net import socket_set
from auburnway.net import web_client
from auburnway.net import web_connection
from auburnway.policy import hedging
from auburnway.policy import retry_budget
from auburnway.policy import server_choice
from auburnway.policy import shard_admission

# The base time of a route is this percentile of its latencies without queueing
# time. Until there are enough samples, the base time is a share of the latency
# objective.
BASE_QUANTILE_PERCENT = 50.0
BASE_MIN_SAMPLES = 50
FIRST_BASE_SHARE = 0.2
# This entry uses less than its part of the configured retry budget. The factors
# apply to the extra sends per request, to the slack (extra sends per window at
# any load) that may be spent at once, and to the slack that is refilled over a
# window. The margin is needed because entries do not know each other's sends
# and their windows do not start at the same time.
RETRY_SHARE_FACTOR = 0.8
BURST_FACTOR = 0.6
REFILL_FACTOR = 0.2
BUDGET_WINDOW_S = 10.0
# Share of the tokens that hedges leave for retries: a missing retry leaves a
# shard out of the answer, a missing hedge may only make the answer later.
HEDGE_RESERVE_SHARE = 0.25
# Number of entries that are assumed to share budget and connections while the
# list of entries is not known, as after a restart of the whole system.
DEFAULT_ENTRY_COUNT = 8
# A send that is outstanding for this many times its expected time is hedged,
# or sooner if the hedge would otherwise miss the latency objective. Earlier
# hedges would spend the budget on requests that are about to be answered.
HEDGE_FACTOR = 2.5
# Time in which a hedge is probably answered, in base times.
HEDGE_ANSWER_FACTOR = 2.0
# Period of the removal of measurements of servers that left the table.
STATS_CLEANUP_MS = 10_000.0


class Dispatcher:
    """Owns connections to and measurements of the backend servers.

    Args:
      settings: Settings of the entry.
      dialect: Header names.
      loop: Event loop of the entry.
      sockets: Set that the sockets are registered with.
      feed: Source of the table of backend servers.

    Attributes:
      pool: Connections to backend servers.
      crash_guard: Keeps requests that crash backend servers from them.
      extra_send_counts: Numbers of sent and denied hedges and retries.
      sub_request_count: Number of sub-requests, without hedges and retries.
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
        self.extra_send_counts = dict.fromkeys(
            ("hedge", "hedge_denied", "retry", "retry_denied"), 0
        )
        self.sub_request_count = 0
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
            reply_reader.ReplyLimits(
                header_bytes=settings.max_reply_header_bytes,
                body_bytes=settings.max_reply_bytes,
                total_bytes=settings.reply_memory_bytes,
            ),
        )
        loop.stack.callback(self.pool.close)
        self.crash_guard = crash_guard.CrashGuard(
            feed,
            lambda address, on_result: self.pool.check(address, on_result),
            loop.timers,
            loop.clock,
        )
        self._stats: dict[str, server_choice.ServerStats] = {}
        self.gates = server_gates.ServerGates(
            settings.client_address, feed, self.now_ms
        )
        self._budgets: dict[str, retry_budget.Budget] = {}
        self._base_latencies = hedging.Hedger(
            BASE_QUANTILE_PERCENT, BASE_MIN_SAMPLES
        )
        self._connection_limits: dict[str, int] = {}
        self._rng = random.Random(settings.name)
        loop.timers.every(STATS_CLEANUP_MS, self.remove_stale_stats)

    @property
    def signature_name(self) -> bytes:
        """Name of the header with which servers sign their replies."""
        return self._dialect.signature

    def remove_stale_stats(self) -> None:
        """Removes the measurements of servers that left the table."""
        stale_ids = [i for i in self._stats if self._feed.table.get(i) is None]
        for server_id in stale_ids:
            if not self._stats[server_id].outstanding_since_ms:
                del self._stats[server_id]
        self.gates.remove_stale()

    def configure(self, configuration: route_table.Configuration) -> None:
        """Applies the connection limits and services of a configuration."""
        self._connection_limits = {
            service.name: service.connection_limit
            for service in configuration.services
        }
        self._budgets = {
            service: budget
            for service, budget in self._budgets.items()
            if service in self._connection_limits
        }

    def on_first_send(self, service: str) -> None:
        """Counts the first send of a sub-request."""
        self.sub_request_count += 1
        self.budget(service).on_sub_request()

    def budget(self, service: str) -> retry_budget.Budget:
        """Returns the retry budget of a service, for the current entries."""
        budget = self._budgets.get(service)
        entry_count = self._feed.entries.active_count or DEFAULT_ENTRY_COUNT
        slack = self._settings.retry_slack / entry_count
        burst = max(BURST_FACTOR * slack, 1.0)
        if budget is None:
            budget = self._budgets[service] = retry_budget.Budget(
                RETRY_SHARE_FACTOR * self._settings.retry_share,
                burst,
                reserve=0.0,
                tokens=burst / 2,
            )
        budget.set_burst(
            burst,
            REFILL_FACTOR * slack / BUDGET_WINDOW_S,
            HEDGE_RESERVE_SHARE * burst,
        )
        return budget

    def stats(self, row: server_table.Row) -> server_choice.ServerStats:
        """Returns the measurements of a server."""
        stats = self._stats.get(row.server_id)
        if stats is None:
            stats = self._stats[row.server_id] = server_choice.ServerStats(
                row.slots
            )
            if row.cold_ms > 0:
                stats.cold_until_ms = self.now_ms() + row.cold_ms
        return stats

    def choose(
        self, service: str, route: route_table.Route, tried: abc.Set[str]
    ) -> server_table.Row | None:
        """Returns the best server that is not in `tried`, or None."""
        base_ms = self.base_ms(route)
        best = self._best_candidate(service, tried, route.rank, base_ms)
        return self._feed.table.get(best.key) if best is not None else None

    def has_untried(self, service: str, tried: abc.Set[str]) -> bool:
        """Whether the table has a server that is not in `tried`."""
        rows = self._rows(service)
        return any(row.server_id not in tried for row in rows)

    def has_room(
        self, service: str, route: route_table.Route, tried: abc.Set[str]
    ) -> bool:
        """Whether the best server that is not in `tried` has a free slot."""
        now_ms = self.now_ms()
        best = self._best_candidate(
            service, tried, route.rank, self.base_ms(route)
        )
        if best is None or not server_choice.is_usable(best, now_ms):
            return False
        if best.wait_ms:
            return False
        return best.stats.request_count(now_ms) < best.stats.slots

    def shard_outlooks(
        self, route: route_table.Route
    ) -> dict[
        str, tuple[shard_admission.ShardOutlook, server_table.Row | None]
    ]:
        """Returns the expected performance and best server of each shard."""
        base_ms = self.base_ms(route)
        return {
            shard: self._shard_outlook(shard, route.rank, base_ms)
            for shard in route.gather.shards
        }

    def _shard_outlook(
        self, service: str, rank: int, base_ms: float
    ) -> tuple[shard_admission.ShardOutlook, server_table.Row | None]:
        now_ms = self.now_ms()
        best = self._best_candidate(service, frozenset(), rank, base_ms)
        if best is None:
            return shard_admission.ShardOutlook(None), None
        expected_ms = best.stats.expected_ms(now_ms, base_ms) + best.wait_ms
        is_full = best.stats.request_count(now_ms) >= best.stats.slots
        is_usable = server_choice.is_usable(best, now_ms)
        shard = shard_admission.ShardOutlook(
            expected_ms,
            is_full or best.wait_ms > 0,
            not is_usable,
            best.wait_ms,
        )
        return shard, self._feed.table.get(best.key)

    def base_ms(self, route: route_table.Route) -> float:
        """Returns the base time of a route, on an idle server, in ms."""
        base_ms = self._base_latencies.delay_ms(route.name)
        return (
            FIRST_BASE_SHARE * route.target_ms if base_ms is None else base_ms
        )

    def _best_candidate(
        self,
        service: str,
        tried: abc.Set[str],
        rank: int,
        base_ms: float,
    ) -> server_choice.Candidate | None:
        now_ms = self.now_ms()
        limit = self._connection_limit(service)
        candidates = [
            self._candidate(row, limit, rank)
            for row in self._rows(service)
            if row.server_id not in tried
        ]
        budget_fill = self.budget(service).remaining_share(now_ms)
        return server_choice.choose(
            candidates, now_ms, base_ms, self._rng, budget_fill
        )

    def wait_ms(self, row: server_table.Row, rank: int) -> float:
        """Returns the time until a server may be sent a request, in ms."""
        outstanding = len(self.stats(row).outstanding_since_ms)
        return self.gates.wait_ms(row, rank, outstanding)

    def _rows(self, service: str) -> abc.Sequence[server_table.Row]:
        """Returns the servers of a service that may be sent requests.

        If all have left, those that said so in a reply a moment ago are asked
        until they stop to take requests.
        """
        rows = self._feed.table.servers(service)
        return rows or self.gates.leaving_rows(service)

    def _candidate(
        self, row: server_table.Row, connection_limit: int, rank: int
    ) -> server_choice.Candidate:
        self.pool.set_limit(row.address, connection_limit)
        is_same_data_center = row.data_center == self._settings.data_center
        return server_choice.Candidate(
            row.server_id,
            self.stats(row),
            0.0 if is_same_data_center else self._settings.other_data_center_ms,
            self._feed.table.is_silent(row.server_id)
            or not self.pool.has_capacity(row.address),
            self.wait_ms(row, rank),
        )

    def _connection_limit(self, service: str) -> int:
        entry_count = self._feed.entries.active_count or DEFAULT_ENTRY_COUNT
        return max(
            self._connection_limits.get(service, 1) // (entry_count + 1), 1
        )

    def payload(
        self,
        context: sub_request_lib.RequestContext,
        row: server_table.Row,
        now_ms: float,
    ) -> bytes:
        """Returns the encoded HTTP request of one send."""
        left_ms = max(int(context.deadline_ms - now_ms), 1)
        return b"%s%s: %d\r\n%s: %s\r\n\r\n%s" % (
            context.head,
            self._dialect.time_left,
            left_ms,
            self._dialect.target_server,
            row.server_id.encode("latin-1"),
            context.body,
        )

    def hedge_delay_ms(
        self, context: sub_request_lib.RequestContext, expected_ms: float
    ) -> float:
        """Returns how long a send may be outstanding before it is hedged.

        Args:
          context: The client request.
          expected_ms: Expected time of the send.
        """
        delay_ms = HEDGE_FACTOR * expected_ms
        left_ms = context.target_ms - self.now_ms()
        latest_ms = left_ms - HEDGE_ANSWER_FACTOR * self.base_ms(context.route)
        # A hedge that would miss the objective anyway is not sent earlier.
        return min(delay_ms, latest_ms) if latest_ms > 0 else delay_ms

    def classify(self, reply: web_connection.Reply) -> attempts_lib.Verdict:
        """Returns the result of a send, given its reply."""
        if reply.failure is not None:
            return attempts_lib.Verdict.LOST
        if self._dialect.not_run in reply.fields or reply.status == 421:
            return attempts_lib.Verdict.REJECTED
        is_signed = self._dialect.signature in reply.fields
        if reply.status < 500 and is_signed:
            return attempts_lib.Verdict.SUCCESS
        return attempts_lib.Verdict.FAILED

    def record_reply(
        self,
        route: route_table.Route,
        send: sub_request_lib.Send,
        reply: web_connection.Reply,
    ) -> None:
        """Updates the measurements of a server with a reply."""
        now_ms, stats = self.now_ms(), self.stats(send.row)
        verdict = self.classify(reply)
        latency_ms = now_ms - send.sent_ms
        if verdict is attempts_lib.Verdict.SUCCESS:
            self.gates.on_success(send.row)
            ratio = latency_ms / send.expected_ms
            stats.on_reply(send.sent_ms, now_ms, ratio)
            net_ms = ratio * self.base_ms(route)
            self._base_latencies.observe(route.name, net_ms, now_ms)
        elif verdict is attempts_lib.Verdict.REJECTED and reply.status != 421:
            stats.on_rejected(send.sent_ms, now_ms)
        else:
            stats.on_failure(send.sent_ms, now_ms)
        # Another server replies with status 421 for the one that was meant.
        if reply.failure is None and reply.status != 421:
            self._record_report(send.row, stats, reply)

    def _record_report(
        self,
        row: server_table.Row,
        stats: server_choice.ServerStats,
        reply: web_connection.Reply,
    ) -> None:
        report = server_report.decode(self._dialect, reply)
        if report.load is not None:
            stats.slots = report.load.slots
            stats.on_load(
                report.load.running, report.load.waiting, self.now_ms()
            )
        self.gates.on_report(row, report)
        if report.is_leaving:
            self._feed.mark_leaving(row)
