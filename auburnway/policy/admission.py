"""Admission and scheduling of one application's queries at one entry.

A permit is the right to run one query. A fan-out uses one slot in each shard,
so permits are counted per query. While permits are free, a query starts at
once. Otherwise the query waits in the queue of its rank:

- Ranks that use less than their floor share are served first, the rank with
  the greatest deficit before the others.
- Otherwise the most urgent rank with waiting queries is served first.
- Within a rank, callers are served by weighted fair queueing.

A query with too long an expected wait is refused at once, and a waiting query
that can no longer meet its deadline is dropped, so that no permit is spent on
an answer that arrives too late.
"""

from collections import abc
import dataclasses
import math

from auburnway.core import configuration
from auburnway.kernel import registry
from auburnway.policy import fair_queue

# Floor share of a rank that configures no floor; it prevents starvation.
MIN_FLOOR_SHARE = 0.02
# A rank's deficit or surplus is limited to its floor over this period. The
# limit bounds how long use above the floor delays a rank once other ranks have
# waiting queries again.
MAX_BALANCE_MS = 1000.0
# Time constant of the moving average of the share of permits that a rank uses.
# The expected wait is computed from these averages.
USED_SHARE_TAU_MS = 500.0
# A query with a longer expected wait is refused even when its deadline allows
# the wait: the queue must be empty, and latency normal, within 2 s after an
# overload.
MAX_WAIT_MS = 1000.0
# Time that is reserved for running the query, in mean service times.
SERVICE_TIME_MARGIN = 1.5
# Weight of a new sample in the mean service time.
SERVICE_TIME_WEIGHT = 0.1
# Number of finished queries of a rank before its wait can be estimated.
MIN_FINISHED = 5
MIN_RETRY_AFTER_MS = 100.0
MAX_RETRY_AFTER_MS = 5000.0


@dataclasses.dataclass(frozen=True)
class Admitted:
    """The query may start now."""


@dataclasses.dataclass(frozen=True)
class Queued:
    """The query waits; `poll` returns its identifier when it may start."""


@dataclasses.dataclass(frozen=True)
class Refused:
    """The query will not run.

    Attributes:
      retry_after_ms: Time to wait before sending the query again.
      reason: `unknown_rank`, `queue_limit`, `expected_wait` or `deadline`.
    """

    retry_after_ms: float
    reason: str


ADMITTED = Admitted()
QUEUED = Queued()


class _RankState:
    """Queue and counters of one rank."""

    def __init__(self, configured_rank: configuration.Rank):
        self.name = configured_rank.name
        self.order = configured_rank.order
        self.queue_limit = configured_rank.queue_limit
        self.floor = 0.0
        self.queue = fair_queue.FairQueue()
        self.in_flight = 0
        # Permit time granted by the floor minus permit time used, in permit-ms.
        self.balance = 0.0
        # Smoothed share of the limit that is in use.
        self.used_share = 0.0
        self.service_ms = 0.0
        self.finished = 0


@registry.register("admission", "ranked")
class Admission:
    """Admits one application's queries at this entry.

    The owner must call `poll` after `offer`, `finish`, `cancel` and
    `set_limit`, and at least every 50 ms while queries wait.
    """

    def __init__(
        self,
        configuration_ranks: abc.Sequence[configuration.Rank],
        caller_shares: abc.Mapping[str, float],
        now_ms: float,
    ):
        """Creates an instance with a limit of one permit.

        Args:
          configuration_ranks: Ranks in force.
          caller_shares: Weight of each caller; absent callers have weight 1.
          now_ms: Current time.
        """
        self._now_ms = now_ms
        self._limit = 1.0
        # Current limit in whole permits; see `_set_whole_limit`.
        self._whole_limit = 1
        self._fraction_carry = 0.0
        self._ranks: dict[str, _RankState] = {}
        # Most urgent rank first.
        self._ranks_by_urgency: tuple[_RankState, ...] = ()
        self._waiting = 0
        self._in_flight: dict[str, tuple[_RankState, float]] = {}
        self._queued_rank: dict[str, _RankState] = {}
        self._displaced: list[str] = []
        self.reconfigure(configuration_ranks, caller_shares)

    def offer(
        self,
        request_id: str,
        rank: str,
        caller: str,
        deadline_at_ms: float,
        now_ms: float,
    ) -> Admitted | Queued | Refused:
        """Admits, queues or refuses a query before any work is done for it.

        Args:
          request_id: Unique identifier of the query.
          rank: Name of the query's rank.
          caller: Name of the query's caller.
          deadline_at_ms: Time after which the caller discards the answer.
          now_ms: Current time.

        Raises:
          ValueError: A query with this identifier already waits or runs.
        """
        if request_id in self._in_flight or request_id in self._queued_rank:
            raise ValueError(f"request {request_id} already waits or runs")
        self._update_balances(now_ms)
        state = self._ranks.get(rank)
        if state is None:
            return Refused(MAX_RETRY_AFTER_MS, "unknown_rank")
        if deadline_at_ms <= now_ms:
            return Refused(MIN_RETRY_AFTER_MS, "deadline")
        if not self._waiting and len(self._in_flight) < self._whole_limit:
            state.queue.charge(caller)
            self._start(request_id, state, now_ms)
            return ADMITTED

        wait_ms = self._expected_wait_ms(state, caller)
        margin_ms = SERVICE_TIME_MARGIN * state.service_ms
        if wait_ms > min(MAX_WAIT_MS, deadline_at_ms - now_ms - margin_ms):
            return Refused(_retry_after_ms(wait_ms), "expected_wait")
        if len(state.queue) >= state.queue_limit:
            displaced = state.queue.displace(caller)
            if displaced is None:
                return Refused(_retry_after_ms(wait_ms), "queue_limit")
            del self._queued_rank[displaced]
            self._waiting -= 1
            self._displaced.append(displaced)
        state.queue.push(request_id, caller, deadline_at_ms)
        self._queued_rank[request_id] = state
        self._waiting += 1
        return QUEUED

    def finish(self, request_id: str, now_ms: float) -> None:
        """Releases the permit of a query; ignores unknown identifiers."""
        self._update_balances(now_ms)
        running_query = self._in_flight.pop(request_id, None)
        if running_query is None:
            return
        state, started_ms = running_query
        state.in_flight -= 1
        state.finished += 1
        weight = max(SERVICE_TIME_WEIGHT, 1.0 / state.finished)
        state.service_ms += weight * (now_ms - started_ms - state.service_ms)
        self._set_whole_limit()

    def cancel(self, request_id: str) -> None:
        """Removes a waiting query or releases a running query's permit."""
        state = self._queued_rank.pop(request_id, None)
        if state is not None:
            state.queue.remove(request_id)
            self._waiting -= 1
            return
        if request_id in self._displaced:
            self._displaced.remove(request_id)
            return
        running_query = self._in_flight.pop(request_id, None)
        if running_query is not None:
            running_query[0].in_flight -= 1
            self._set_whole_limit()

    def poll(
        self, now_ms: float
    ) -> tuple[tuple[str, ...], tuple[tuple[str, str], ...]]:
        """Selects the waiting queries to start and to drop.

        Returns:
          The identifiers of the queries to start now, in order, and pairs of
          identifier and reason (`deadline` or `displaced`) for the queries
          that will not run.
        """
        if not self._waiting and not self._displaced:
            return (), ()
        self._update_balances(now_ms)
        dropped = [(request_id, "displaced") for request_id in self._displaced]
        self._displaced.clear()
        for state in self._ranks_by_urgency:
            for request_id in state.queue.expire(now_ms + state.service_ms):
                del self._queued_rank[request_id]
                self._waiting -= 1
                dropped.append((request_id, "deadline"))
        started = []
        while self._waiting and len(self._in_flight) < self._whole_limit:
            state = self._next_rank()
            request_id = state.queue.pop()
            del self._queued_rank[request_id]
            self._waiting -= 1
            self._start(request_id, state, now_ms)
            started.append(request_id)
        return tuple(started), tuple(dropped)

    def set_limit(self, permits: float) -> None:
        """Sets this entry's concurrency limit, at least one permit.

        A fractional limit is met on average: the effective limit alternates
        between the two adjacent whole numbers as queries finish.
        """
        limit = max(1.0, permits)
        self._limit = limit
        # Choosing the whole limit more often than queries finish would keep
        # the upper of the two numbers in force for too long.
        if not int(limit) <= self._whole_limit <= math.ceil(limit):
            self._set_whole_limit()

    def demand(self) -> dict[str, tuple[int, int]]:
        """Returns the numbers of waiting and running queries by rank name."""
        return {
            state.name: (len(state.queue), state.in_flight)
            for state in self._ranks_by_urgency
        }

    def reconfigure(
        self,
        ranks: abc.Sequence[configuration.Rank],
        caller_shares: abc.Mapping[str, float],
    ) -> None:
        """Replaces ranks and caller weights; all queries are kept.

        Queries of a withdrawn rank are scheduled after all other ranks, with
        the minimum floor share, until they are finished.
        """
        previous = {state.name: state for state in self._ranks_by_urgency}
        self._ranks = {}
        for configured_rank in ranks:
            state = previous.pop(configured_rank.name, None) or _RankState(
                configured_rank
            )
            state.order = configured_rank.order
            state.queue_limit = configured_rank.queue_limit
            state.floor = max(MIN_FLOOR_SHARE, configured_rank.floor_share)
            self._ranks[configured_rank.name] = state
        withdrawn = [
            state
            for state in previous.values()
            if len(state.queue) or state.in_flight
        ]
        for state in withdrawn:
            state.order = math.inf
            state.floor = MIN_FLOOR_SHARE
        self._ranks_by_urgency = tuple(
            sorted(
                (*self._ranks.values(), *withdrawn),
                key=lambda state: state.order,
            )
        )
        floor_sum = sum(state.floor for state in self._ranks_by_urgency)
        for state in self._ranks_by_urgency:
            state.floor /= max(1.0, floor_sum)
            state.queue.set_shares(caller_shares)

    def _update_balances(self, now_ms: float) -> None:
        """Updates each rank's balance and share of use to the current time."""
        elapsed_ms = now_ms - self._now_ms
        if elapsed_ms <= 0.0:
            return
        self._now_ms = now_ms
        limit = self._limit
        use_weight = 1.0 - math.exp(-elapsed_ms / USED_SHARE_TAU_MS)
        for state in self._ranks_by_urgency:
            floor_permits = state.floor * limit
            balance = state.balance
            balance += elapsed_ms * (floor_permits - state.in_flight)
            # The bound is at least two mean service times, so that a rank with
            # a small floor can still run one query above its floor.
            max_balance = max(
                floor_permits * MAX_BALANCE_MS, 2.0 * state.service_ms
            )
            if balance > max_balance:
                balance = max_balance
            elif balance < -max_balance:
                balance = -max_balance
            if balance > 0.0 and not len(state.queue):
                balance = 0.0
            state.balance = balance
            state.used_share += use_weight * (
                state.in_flight / limit - state.used_share
            )

    def _next_rank(self) -> _RankState:
        """Returns the rank to serve next.

        At least one rank must have waiting queries.
        """
        most_behind = None
        greatest_deficit = 0.0
        most_urgent = None
        for state in self._ranks_by_urgency:
            if not len(state.queue):
                continue
            if most_urgent is None:
                most_urgent = state
            if state.balance >= 0.0:
                # Time by which the rank is behind its floor, in ms.
                deficit = state.balance / state.floor
                if most_behind is None or deficit > greatest_deficit:
                    most_behind, greatest_deficit = state, deficit
        return most_behind if most_behind is not None else most_urgent

    def _start(self, request_id: str, state: _RankState, now_ms: float) -> None:
        state.in_flight += 1
        self._in_flight[request_id] = (state, now_ms)

    def _set_whole_limit(self) -> None:
        whole_limit = int(self._limit)
        fraction = self._limit - whole_limit
        if fraction > 0.0:
            # A chosen limit is in force until the next query finishes, which
            # takes less time with more permits. The upper limit must therefore
            # be chosen more often to be in force for `fraction` of the time.
            self._fraction_carry += fraction * (whole_limit + 1) / self._limit
            if self._fraction_carry >= 1.0:
                self._fraction_carry -= 1.0
                whole_limit += 1
        self._whole_limit = whole_limit

    def _expected_wait_ms(self, state: _RankState, caller: str) -> float:
        """Returns the expected wait of a caller's next query."""
        if state.finished < MIN_FINISHED:
            return 0.0
        # Share of the permits that is available to this rank: all permits but
        # those that more urgent ranks use and the floors of waiting ranks.
        share = 1.0
        for other in self._ranks_by_urgency:
            if other is state:
                continue
            if other.order < state.order:
                share -= max(
                    other.used_share, other.floor if other.queue else 0.0
                )
            elif other.queue:
                share -= other.floor
        share = max(share, state.floor)
        queries_ahead = state.queue.count_ahead(caller)
        return (queries_ahead + 1) * state.service_ms / (share * self._limit)


def _retry_after_ms(wait_ms: float) -> float:
    return min(max(wait_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
