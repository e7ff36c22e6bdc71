"""Choice of the backend server for a request, by its expected time.

The server with the lowest expected time is chosen. The expected time is the
base time of the kind of request, times the slowness of the server, times a
factor for the requests queued at the server. Slowness is estimated from
latencies divided by that factor, so that a queue is not counted twice.

A request that is outstanding for much longer than usual is the first sign that
its server has paused, so the age of the oldest outstanding request raises the
expected time before any reply arrives.
"""

from collections import abc
import dataclasses
import math
import random

# Weight of a new sample in the moving averages.
SAMPLE_WEIGHT = 0.2
# Time constant of the exponential decay of the moving averages with their age.
DECAY_TAU_MS = 4_000.0
# Time after which a reported load is ignored; its weight falls linearly until
# then.
LOAD_VALID_MS = 400.0
# A server that failed is avoided for this time, which doubles with each further
# consecutive failure up to the maximum.
FAILURE_PAUSE_MS = 500.0
MAX_FAILURE_PAUSE_MS = 4_000.0
# Doublings of the pause beyond these change nothing, and a power of thousands
# of failures would overflow.
MAX_FAILURE_DOUBLINGS = 10
# Increase of the expected time at a server whose slots are all in use.
FULL_SLOTS_FACTOR = 0.2
# Minimum slowness of a server that has just started.
COLD_FACTOR = 1.5
# Cost of a request that is rejected or fails, in base times: the retry and its
# use of the budget. When the budget is empty there is no retry and the shard is
# missing from the answer, at the higher cost.
UNSERVED_COST = 2.0
EMPTY_BUDGET_UNSERVED_COST = 8.0
# Share of its cost that is added at least for a server in another data centre:
# estimates of few samples differ by as much between equal servers, and requests
# would cross data centres for nothing.
REMOTE_SHARE = 0.3
# Random share that is added to the expected time, so that servers with equal
# expected times are all chosen.
JITTER = 0.1


@dataclasses.dataclass(slots=True)
class ServerStats:
    """Measurements that this process has made of one backend server.

    Attributes:
      slots: Number of requests that the server runs concurrently.
      slowness: Moving average of the ratio of latency to expected time.
      unserved: Moving average of the share of requests that were rejected or
        failed.
      sampled_ms: Time of the last sample of the moving averages.
      outstanding_since_ms: Send times of the outstanding requests, oldest
        first.
      load: Running and waiting requests that the server reported last.
      load_ms: Time of that report.
      failures: Consecutive failures.
      avoid_until_ms: End of the time in which the server is avoided.
      cold_until_ms: End of the time after its start in which the server is
        slow.
    """

    slots: int = 1
    slowness: float = 1.0
    unserved: float = 0.0
    sampled_ms: float = float("-inf")
    outstanding_since_ms: list[float] = dataclasses.field(default_factory=list)
    load: int = 0
    load_ms: float = float("-inf")
    failures: int = 0
    avoid_until_ms: float = float("-inf")
    cold_until_ms: float = float("-inf")

    def on_send(self, now_ms: float) -> None:
        """Counts a request that was sent."""
        self.outstanding_since_ms.append(now_ms)

    def on_reply(self, sent_ms: float, now_ms: float, ratio: float) -> None:
        """Records the end of a request that succeeded.

        Args:
          sent_ms: Time at which the request was sent.
          now_ms: Current time.
          ratio: Ratio of the request's latency to the latency that a server of
            slowness 1 would have.
        """
        self._remove_outstanding(sent_ms)
        self.failures = 0
        self.avoid_until_ms = float("-inf")
        self._add_sample(ratio, 0.0, now_ms)

    def on_cancel(self, sent_ms: float, now_ms: float, ratio: float) -> None:
        """Records the end of a cancelled request.

        The age of the request is a lower bound of its latency, so it can only
        raise the slowness.

        Args:
          sent_ms: Time at which the request was sent.
          now_ms: Current time.
          ratio: Ratio of the request's age to the latency that a server of
            slowness 1 would have.
        """
        self._remove_outstanding(sent_ms)
        if ratio > self._decayed(self.slowness, 1.0, now_ms):
            self._add_sample(ratio, 0.0, now_ms)

    def on_failure(self, sent_ms: float, now_ms: float) -> None:
        """Records a failed request; the server is then avoided for a time.

        A server that fails part of its requests is avoided again and again
        only for a moment, so failures also raise its cost.
        """
        self._remove_outstanding(sent_ms)
        self._add_unserved(now_ms)
        self.failures += 1
        doublings = min(self.failures - 1, MAX_FAILURE_DOUBLINGS)
        pause_ms = FAILURE_PAUSE_MS * 2**doublings
        self.avoid_until_ms = now_ms + min(pause_ms, MAX_FAILURE_PAUSE_MS)

    def on_rejected(self, sent_ms: float, now_ms: float) -> None:
        """Records the end of a request that the server rejected."""
        self._remove_outstanding(sent_ms)
        self._add_unserved(now_ms)

    def on_load(self, running: int, waiting: int, now_ms: float) -> None:
        """Records the load that the server reported, in requests."""
        self.load = running + waiting
        self.load_ms = now_ms

    def request_count(self, now_ms: float) -> float:
        """Returns the estimated number of requests running or waiting there.

        The estimate is the greater of this process's outstanding requests and
        the reported load, which counts for less as the report ages.
        """
        own_count = len(self.outstanding_since_ms)
        if not self.load:
            return own_count
        report_weight = 1 - (now_ms - self.load_ms) / LOAD_VALID_MS
        reported = self.load * report_weight
        return reported if reported > own_count else own_count

    def queue_factor(self, now_ms: float) -> float:
        """Returns the factor by which the load delays a new request."""
        request_count, slots = self.request_count(now_ms), self.slots
        used_share = request_count / slots if request_count < slots else 1.0
        factor = 1 + FULL_SLOTS_FACTOR * used_share
        if request_count + 1 > slots:
            factor += (request_count + 1 - slots) / slots
        return factor

    def expected_ms(self, now_ms: float, base_ms: float) -> float:
        """Returns the expected time of a new request.

        Args:
          now_ms: Current time.
          base_ms: Time that this kind of request takes on an idle server.
        """
        slowness = self._decayed(self.slowness, 1.0, now_ms)
        if now_ms < self.cold_until_ms and slowness < COLD_FACTOR:
            slowness = COLD_FACTOR
        expected_ms = base_ms * slowness * self.queue_factor(now_ms)
        if self.outstanding_since_ms:
            excess_ms = now_ms - self.outstanding_since_ms[0] - 2 * expected_ms
            if excess_ms > 0:
                expected_ms += excess_ms
        return expected_ms

    def cost_ms(
        self, now_ms: float, base_ms: float, budget_fill: float = 1.0
    ) -> float:
        """Returns the expected time plus the expected cost of a failure.

        Args:
          now_ms: Current time.
          base_ms: Time that this kind of request takes on an idle server.
          budget_fill: Remaining share of the retry budget, 0 to 1.
        """
        cost_ms = self.expected_ms(now_ms, base_ms)
        unserved = self._decayed(self.unserved, 0.0, now_ms)
        if unserved:
            empty_budget_cost = (1 - budget_fill) * (
                EMPTY_BUDGET_UNSERVED_COST - UNSERVED_COST
            )
            cost_ms += (UNSERVED_COST + empty_budget_cost) * base_ms * unserved
        return cost_ms

    def _remove_outstanding(self, sent_ms: float) -> None:
        if sent_ms in self.outstanding_since_ms:
            self.outstanding_since_ms.remove(sent_ms)

    def _add_unserved(self, now_ms: float) -> None:
        slowness = self._decayed(self.slowness, 1.0, now_ms)
        self._add_sample(slowness, 1.0, now_ms)

    def _add_sample(
        self, ratio: float, is_unserved: float, now_ms: float
    ) -> None:
        slowness = self._decayed(self.slowness, 1.0, now_ms)
        unserved = self._decayed(self.unserved, 0.0, now_ms)
        self.slowness = slowness + SAMPLE_WEIGHT * (ratio - slowness)
        self.unserved = unserved + SAMPLE_WEIGHT * (is_unserved - unserved)
        self.sampled_ms = now_ms

    def _decayed(self, value: float, idle_value: float, now_ms: float) -> float:
        if value == idle_value:
            return idle_value
        age_ms = now_ms - self.sampled_ms
        return idle_value + (value - idle_value) * math.exp(
            -age_ms / DECAY_TAU_MS
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may be chosen.

    Attributes:
      key: Identifier of the server.
      stats: Measurements of the server.
      penalty_ms: Time added at least to its cost as it is in another data
        centre; 0 in the own one.
      is_last_resort: Whether the server is used only when no other server is
        left.
      wait_ms: Time until the server may be sent a request.
    """

    key: str
    stats: ServerStats
    penalty_ms: float
    is_last_resort: bool
    wait_ms: float = 0.0


def choose(
    candidates: abc.Sequence[Candidate],
    now_ms: float,
    base_ms: float,
    rng: random.Random,
    budget_fill: float = 1.0,
) -> Candidate | None:
    """Returns the candidate with the lowest cost; None without candidates.

    Args:
      candidates: Servers of one service.
      now_ms: Current time.
      base_ms: Time that this kind of request takes on an idle server.
      rng: Random number generator for the jitter.
      budget_fill: Remaining share of the retry budget, 0 to 1.
    """

    def sort_key(candidate: Candidate):
        stats = candidate.stats
        is_avoided = now_ms < stats.avoid_until_ms
        cost_ms = stats.cost_ms(now_ms, base_ms, budget_fill)
        cost_ms *= 1 + JITTER * rng.random()
        if candidate.penalty_ms:
            cost_ms += max(candidate.penalty_ms, REMOTE_SHARE * cost_ms)
        cost_ms += candidate.wait_ms
        is_poor = is_avoided or candidate.is_last_resort
        return (is_poor, cost_ms)

    return min(candidates, key=sort_key, default=None)


def is_usable(candidate: Candidate, now_ms: float) -> bool:
    """Whether a candidate is neither avoided nor a last resort.

    A server that is not to be sent a request yet is usable after a wait.
    """
    is_avoided = now_ms < candidate.stats.avoid_until_ms
    return not is_avoided and not candidate.is_last_resort
