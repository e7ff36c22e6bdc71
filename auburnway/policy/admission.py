"""Order and admission of queries at one entry, for one application.

A permit is the right to run one query; a fan-out uses one slot in each shard,
so permits are counted per query. While permits are free a query starts at
once. Otherwise it waits under its rank:

- A rank whose use lies below its floor share goes first, by deficit.
- Otherwise the most urgent rank with waiting work goes first.
- Inside a rank, callers are served by weighted fair share.

A query that would wait too long is refused at once, and a waiting query whose
deadline can no longer be met is dropped, so that no permit is spent on an
answer that comes too late.
"""

from collections import abc
import dataclasses
import math

from auburnway.core import configuration
from auburnway.kernel import registry
from auburnway.policy import fair_queue

# A rank without a floor still gets this share, so that none is starved.
MIN_FLOOR_SHARE = 0.02
# A rank's deficit or surplus is at most its floor over this time: it bounds
# how long use above the floor delays the rank after others come back.
BALANCE_MS = 1000.0
# Smooths the use of permits by rank, for the expected wait.
USE_TAU_MS = 500.0
# A longer wait is refused even when the deadline allows it: the queue must be
# empty, and latency calm, within 2 s after a flood.
MAX_WAIT_MS = 1000.0
# Time kept for running the query, in mean running times.
SERVICE_MARGIN = 1.5
SERVICE_WEIGHT = 0.1
# Before this many finished queries the expected wait is not known.
MIN_FINISHED = 5
MIN_RETRY_AFTER_MS = 100.0
MAX_RETRY_AFTER_MS = 5000.0


@dataclasses.dataclass(frozen=True)
class Admitted:
    """The query starts now."""


@dataclasses.dataclass(frozen=True)
class Queued:
    """The query waits; `poll` names it when it may start."""


@dataclasses.dataclass(frozen=True)
class Refused:
    """The query does not run.

    Attributes:
      retry_after_ms: When to send it again.
      reason: `unknown_rank`, `queue_limit`, `expected_wait` or `deadline`.
    """

    retry_after_ms: float
    reason: str


ADMITTED = Admitted()
QUEUED = Queued()


class _Rank:
    """State of one rank."""

    def __init__(self, record: configuration.Rank):
        self.name = record.name
        self.order = record.order
        self.queue_limit = record.queue_limit
        self.floor = 0.0
        self.queue = fair_queue.FairQueue()
        self.in_flight = 0
        # Entitled less used permit time, in permit-ms.
        self.balance = 0.0
        # Smoothed part of the limit that is in use.
        self.use = 0.0
        self.service_ms = 0.0
        self.finished = 0


@registry.register("admission", "ranked")
class Admission:
    """Admission of one application's queries at this entry.

    After `offer`, `finish`, `cancel` and `set_limit`, and at least every
    50 ms while queries wait, the owner calls `poll`.
    """

    def __init__(
        self,
        configuration_ranks: abc.Sequence[configuration.Rank],
        caller_shares: abc.Mapping[str, float],
        now_ms: float,
    ):
        """Creates an admission with one permit.

        Args:
          configuration_ranks: Ranks in force.
          caller_shares: Weight of each caller; 1 when absent.
          now_ms: Present instant.
        """
        self._now_ms = now_ms
        self._limit = 1.0
        # Whole permits at present; see `_set_whole_limit`.
        self._whole_limit = 1
        self._carry = 0.0
        self._ranks: dict[str, _Rank] = {}
        # Most urgent first.
        self._by_order: tuple[_Rank, ...] = ()
        self._waiting = 0
        self._in_flight: dict[str, tuple[_Rank, float]] = {}
        self._queued_rank: dict[str, _Rank] = {}
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
        """Takes a query, or refuses it before any work is spent.

        Args:
          request_id: Unique identifier.
          rank: Name of its rank.
          caller: Name of its caller.
          deadline_at_ms: Instant after which its answer is worthless.
          now_ms: Present instant.

        Raises:
          ValueError: The identifier is waiting or running already.
        """
        if request_id in self._in_flight or request_id in self._queued_rank:
            raise ValueError(f"request {request_id} was offered already")
        self._advance(now_ms)
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
        margin_ms = SERVICE_MARGIN * state.service_ms
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
        """Frees the permit of a query; an unknown identifier is ignored."""
        self._advance(now_ms)
        entry = self._in_flight.pop(request_id, None)
        if entry is None:
            return
        state, started_ms = entry
        state.in_flight -= 1
        state.finished += 1
        weight = max(SERVICE_WEIGHT, 1.0 / state.finished)
        state.service_ms += weight * (now_ms - started_ms - state.service_ms)
        self._set_whole_limit()

    def cancel(self, request_id: str) -> None:
        """Removes a waiting query, or frees the permit of a running one."""
        state = self._queued_rank.pop(request_id, None)
        if state is not None:
            state.queue.remove(request_id)
            self._waiting -= 1
            return
        if request_id in self._displaced:
            self._displaced.remove(request_id)
            return
        entry = self._in_flight.pop(request_id, None)
        if entry is not None:
            entry[0].in_flight -= 1
            self._set_whole_limit()

    def poll(
        self, now_ms: float
    ) -> tuple[tuple[str, ...], tuple[tuple[str, str], ...]]:
        """Starts and drops waiting queries.

        Returns:
          The identifiers to start now, in order, and pairs of identifier and
          reason (`deadline` or `displaced`) of those that will not run.
        """
        if not self._waiting and not self._displaced:
            return (), ()
        self._advance(now_ms)
        dropped = [(request_id, "displaced") for request_id in self._displaced]
        self._displaced.clear()
        for state in self._by_order:
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

        A fraction is met on average: the whole limit in force changes
        between the two neighbours as queries finish.
        """
        limit = max(1.0, permits)
        self._limit = limit
        # Drawing again more often than queries finish would hold the upper
        # neighbour for too long.
        if not int(limit) <= self._whole_limit <= math.ceil(limit):
            self._set_whole_limit()

    def demand(self) -> dict[str, tuple[int, int]]:
        """Returns (waiting, in flight) by rank name."""
        return {
            state.name: (len(state.queue), state.in_flight)
            for state in self._by_order
        }

    def reconfigure(
        self,
        ranks: abc.Sequence[configuration.Rank],
        caller_shares: abc.Mapping[str, float],
    ) -> None:
        """Puts other ranks and shares in force; no query is lost.

        Queries of a rank that was withdrawn keep their place behind all
        other ranks, with the least floor, until they are done.
        """
        old = {state.name: state for state in self._by_order}
        self._ranks = {}
        for record in ranks:
            state = old.pop(record.name, None) or _Rank(record)
            state.order = record.order
            state.queue_limit = record.queue_limit
            state.floor = max(MIN_FLOOR_SHARE, record.floor_share)
            self._ranks[record.name] = state
        withdrawn = [
            state
            for state in old.values()
            if len(state.queue) or state.in_flight
        ]
        for state in withdrawn:
            state.order = math.inf
            state.floor = MIN_FLOOR_SHARE
        self._by_order = tuple(
            sorted(
                (*self._ranks.values(), *withdrawn),
                key=lambda state: state.order,
            )
        )
        floors = sum(state.floor for state in self._by_order)
        for state in self._by_order:
            state.floor /= max(1.0, floors)
            state.queue.set_shares(caller_shares)

    def _advance(self, now_ms: float) -> None:
        """Brings balances and use up to the present instant."""
        elapsed_ms = now_ms - self._now_ms
        if elapsed_ms <= 0.0:
            return
        self._now_ms = now_ms
        limit = self._limit
        use_weight = 1.0 - math.exp(-elapsed_ms / USE_TAU_MS)
        for state in self._by_order:
            entitled = state.floor * limit
            balance = state.balance
            balance += elapsed_ms * (entitled - state.in_flight)
            # Two running times leave room for one query above the floor.
            bound = max(entitled * BALANCE_MS, 2.0 * state.service_ms)
            if balance > bound:
                balance = bound
            elif balance < -bound:
                balance = -bound
            if balance > 0.0 and not len(state.queue):
                balance = 0.0
            state.balance = balance
            state.use += use_weight * (state.in_flight / limit - state.use)

    def _next_rank(self) -> _Rank:
        """Returns the rank to serve next; at least one has waiting work."""
        best = None
        best_deficit = 0.0
        urgent = None
        for state in self._by_order:
            if not len(state.queue):
                continue
            if urgent is None:
                urgent = state
            if state.balance >= 0.0:
                # Time that the rank is behind its floor.
                deficit = state.balance / state.floor
                if best is None or deficit > best_deficit:
                    best, best_deficit = state, deficit
        return best if best is not None else urgent

    def _start(self, request_id: str, state: _Rank, now_ms: float) -> None:
        state.in_flight += 1
        self._in_flight[request_id] = (state, now_ms)

    def _set_whole_limit(self) -> None:
        whole = int(self._limit)
        fraction = self._limit - whole
        if fraction > 0.0:
            # More permits finish queries faster, so the upper neighbour ends
            # sooner and must be drawn more often to hold for `fraction` of
            # the time.
            self._carry += fraction * (whole + 1) / self._limit
            if self._carry >= 1.0:
                self._carry -= 1.0
                whole += 1
        self._whole_limit = whole

    def _expected_wait_ms(self, state: _Rank, caller: str) -> float:
        """Returns the expected wait of one more query of a caller."""
        if state.finished < MIN_FINISHED:
            return 0.0
        # The part of the permits that this rank can count on: all but what
        # more urgent ranks use and what waiting ranks are guaranteed.
        share = 1.0
        for other in self._by_order:
            if other is state:
                continue
            if other.order < state.order:
                share -= max(other.use, other.floor if other.queue else 0.0)
            elif other.queue:
                share -= other.floor
        share = max(share, state.floor)
        ahead = state.queue.ahead(caller)
        return (ahead + 1) * state.service_ms / (share * self._limit)


def _retry_after_ms(wait_ms: float) -> float:
    return min(max(wait_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
