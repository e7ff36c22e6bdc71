"""Baseline policies for comparison: common defaults of a query tier.

Each baseline has the interface of the policy that it replaces, so that a
benchmark can select either of them by name.
"""

import collections
from collections import abc
import random

from auburnway.core import configuration
from auburnway.core import membership
from auburnway.kernel import registry
from auburnway.policy import admission

FIXED_TIMEOUT_MS = 100.0


@registry.register("replica_choice", "round_robin")
class RoundRobin:
    """Chooses the candidates in turn, regardless of their state."""

    def __init__(self, rng: random.Random, data_center: str):
        del rng, data_center
        self._next_index = 0
        self._in_flight: dict[str, int] = collections.defaultdict(int)

    def choose(
        self,
        candidates: abc.Sequence[membership.Row],
        exclude: abc.Container[str],
        now_ms: float,
    ) -> membership.Row | None:
        """Returns the next candidate that is not excluded, or None."""
        del now_ms
        for _ in candidates:
            self._next_index += 1
            row = candidates[self._next_index % len(candidates)]
            if row.name not in exclude:
                return row
        return None

    def on_send(self, name: str, now_ms: float) -> None:
        """Counts a sub-request in flight."""
        del now_ms
        self._in_flight[name] += 1

    def on_reply(
        self,
        name: str,
        latency_ms: float,
        ok: bool,
        now_ms: float,
        reported_busy_slots: int | None = None,
    ) -> None:
        """Counts a reply, which ends a sub-request."""
        del latency_ms, ok, reported_busy_slots
        self.on_cancel(name, now_ms)

    def on_cancel(self, name: str, now_ms: float) -> None:
        """Counts the end of an abandoned sub-request."""
        del now_ms
        self._in_flight[name] = max(0, self._in_flight[name] - 1)

    def on_rejected(self, name: str, now_ms: float) -> None:
        """Counts the end of a sub-request that the backend server refused."""
        self.on_cancel(name, now_ms)

    def in_flight(self, name: str) -> int:
        """Returns this entry's sub-requests in flight to a backend server."""
        return self._in_flight.get(name, 0)

    def latency_ms(self, name: str) -> float:
        """Returns 0, because latency is not measured."""
        del name
        return 0.0

    def on_added(self, name: str, now_ms: float) -> None:
        """Does nothing, because new backend servers have no ramp."""

    def remove_server(self, name: str) -> None:
        """Removes the count of a backend server that left the fleet."""
        self._in_flight.pop(name, None)


@registry.register("hedging", "none")
class NoHedger:
    """Never sends a sub-request a second time."""

    max_extra = 0
    uses_budget = True
    cancels_previous = False

    def observe(
        self, application: str, latency_ms: float, now_ms: float
    ) -> None:
        """Ignores the latency."""

    def delay_ms(self, application: str) -> float | None:
        """Returns None, which disables hedging."""
        del application


@registry.register("hedging", "fixed_timeout")
class FixedTimeout(NoHedger):
    """Cancels a sub-request after a fixed timeout; retries at most three times.

    The fan-out reads `max_extra` (extra sends per sub-request), `uses_budget`
    (False: extra sends need no token of the retry budget) and
    `cancels_previous` (True: the earlier attempt is cancelled when the next
    attempt is sent).
    """

    max_extra = 3
    uses_budget = False
    cancels_previous = True

    def delay_ms(self, application: str) -> float | None:
        """Returns the fixed timeout, in ms."""
        del application
        return FIXED_TIMEOUT_MS


@registry.register("admission", "first_come")
class FirstCome:
    """Admits queries of all ranks from one bounded first-in first-out queue."""

    def __init__(
        self,
        configuration_ranks: abc.Sequence[configuration.Rank],
        caller_shares: abc.Mapping[str, float],
        now_ms: float,
    ):
        del now_ms
        self._limit = 1.0
        self._in_flight: dict[str, str] = {}
        # Rank and deadline by request identifier, in order of arrival.
        self._queue: dict[str, tuple[str, float]] = {}
        self._queue_limit = 0
        self._ranks: tuple[str, ...] = ()
        self.reconfigure(configuration_ranks, caller_shares)

    def offer(
        self,
        request_id: str,
        rank: str,
        caller: str,
        deadline_at_ms: float,
        now_ms: float,
    ) -> admission.Admitted | admission.Queued | admission.Refused:
        """Admits a query while permits are free, then queues or refuses it."""
        del caller, now_ms
        if rank not in self._ranks:
            return admission.Refused(
                admission.MAX_RETRY_AFTER_MS, "unknown_rank"
            )
        if not self._queue and len(self._in_flight) < int(self._limit):
            self._in_flight[request_id] = rank
            return admission.ADMITTED
        if len(self._queue) >= self._queue_limit:
            return admission.Refused(
                admission.MIN_RETRY_AFTER_MS, "queue_limit"
            )
        self._queue[request_id] = (rank, deadline_at_ms)
        return admission.QUEUED

    def finish(self, request_id: str, now_ms: float) -> None:
        """Releases the permit of a query."""
        del now_ms
        self._in_flight.pop(request_id, None)

    def cancel(self, request_id: str) -> None:
        """Removes a waiting or running query."""
        self._queue.pop(request_id, None)
        self._in_flight.pop(request_id, None)

    def poll(
        self, now_ms: float
    ) -> tuple[tuple[str, ...], tuple[tuple[str, str], ...]]:
        """Starts queries in order and drops those past their deadline."""
        started = []
        dropped = []
        while self._queue and len(self._in_flight) < int(self._limit):
            request_id = next(iter(self._queue))
            rank, deadline_at_ms = self._queue.pop(request_id)
            if deadline_at_ms <= now_ms:
                dropped.append((request_id, "deadline"))
                continue
            self._in_flight[request_id] = rank
            started.append(request_id)
        return tuple(started), tuple(dropped)

    def set_limit(self, permits: float) -> None:
        """Sets the concurrency limit, at least one permit."""
        self._limit = max(1.0, permits)

    def demand(self) -> dict[str, tuple[int, int]]:
        """Returns the numbers of waiting and running queries by rank name."""
        waiting = collections.Counter(rank for rank, _ in self._queue.values())
        running = collections.Counter(self._in_flight.values())
        return {rank: (waiting[rank], running[rank]) for rank in self._ranks}

    def reconfigure(
        self,
        ranks: abc.Sequence[configuration.Rank],
        caller_shares: abc.Mapping[str, float],
    ) -> None:
        """Replaces the ranks; caller weights have no effect."""
        del caller_shares
        self._ranks = tuple(rank.name for rank in ranks)
        self._queue_limit = sum(rank.queue_limit for rank in ranks)
