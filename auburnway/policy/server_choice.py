"""Which backend server gets a request of a service, and how long it will take.

The server with the least expected time is chosen. Expected time is the base
time of the kind of request, times the slowness of the server, times a factor
for the work that stands there before it. Slowness is learned from latencies
net of that factor, so that a queue is not counted twice.

A request that stands far longer than usual is the first sign that its server
has paused, so the age of the oldest outstanding request counts before any
reply does.
"""

from collections import abc
import dataclasses
import math
import random

# Weight of a new observation in the moving averages.
WEIGHT = 0.2
# What was observed counts for less as it ages, with this time constant.
FORGET_MS = 4_000.0
# A reported load is worth nothing any more after this time.
LOAD_VALID_MS = 400.0
# A server that failed is avoided for this long; doubled with each further
# failure in a row, up to the maximum.
FAILURE_PAUSE_MS = 500.0
MAX_FAILURE_PAUSE_MS = 4_000.0
# Servers slow down somewhat as their slots fill.
FULL_SLOTS_FACTOR = 0.2
# Slowness of a server that has just started.
COLD_FACTOR = 1.5
# Base times that a rejection costs: the retry and its part of the budget. When
# the budget is spent there is no retry, and the shard is missing.
REJECTION_COST = 2.0
SPENT_REJECTION_COST = 8.0
# Share of the expected time by which equal servers are told apart.
JITTER = 0.1


@dataclasses.dataclass(slots=True)
class Server:
    """What this process has seen of one backend server.

    Attributes:
      slots: Requests that it runs at once.
      slowness: Moving average of its latency over the expected one.
      rejections: Moving average of the share of requests that it rejects.
      seen_ms: Instant of the last observation.
      sent_ms: Instants of the outstanding requests, oldest first.
      load: Running and waiting requests that it reported last.
      load_ms: Instant of that report.
      failures: Failures in a row.
      avoid_until_ms: It is avoided until then.
      cold_until_ms: It is slow until then, after its start.
    """

    slots: int = 1
    slowness: float = 1.0
    rejections: float = 0.0
    seen_ms: float = float("-inf")
    sent_ms: list[float] = dataclasses.field(default_factory=list)
    load: int = 0
    load_ms: float = float("-inf")
    failures: int = 0
    avoid_until_ms: float = float("-inf")
    cold_until_ms: float = float("-inf")

    def on_send(self, now_ms: float) -> None:
        """Counts a request that was sent."""
        self.sent_ms.append(now_ms)

    def on_reply(self, sent_ms: float, now_ms: float, ratio: float) -> None:
        """Ends a request that was answered well.

        Args:
          sent_ms: Instant at which it was sent.
          now_ms: Present instant.
          ratio: Its latency over the expected one of a server of usual speed.
        """
        self._end(sent_ms)
        self.failures = 0
        self.avoid_until_ms = float("-inf")
        self._observe(ratio, 0.0, now_ms)

    def on_cancel(self, sent_ms: float, now_ms: float, ratio: float) -> None:
        """Ends a request that was given up; its age bounds the latency."""
        self._end(sent_ms)
        if ratio > self._faded(self.slowness, 1.0, now_ms):
            self._observe(ratio, 0.0, now_ms)

    def on_failure(self, sent_ms: float, now_ms: float) -> None:
        """Ends a request that failed; the server is avoided for a time."""
        self._end(sent_ms)
        self.failures += 1
        pause_ms = FAILURE_PAUSE_MS * 2 ** (self.failures - 1)
        self.avoid_until_ms = now_ms + min(pause_ms, MAX_FAILURE_PAUSE_MS)

    def on_rejected(self, sent_ms: float, now_ms: float) -> None:
        """Ends a request that the server did not run."""
        self._end(sent_ms)
        slowness = self._faded(self.slowness, 1.0, now_ms)
        self._observe(slowness, 1.0, now_ms)

    def on_load(self, running: int, waiting: int, now_ms: float) -> None:
        """Takes a reported load."""
        self.load = running + waiting
        self.load_ms = now_ms

    def busy(self, now_ms: float) -> float:
        """Returns the requests that run or wait there, as far as known."""
        own = len(self.sent_ms)
        if not self.load:
            return own
        fresh = 1 - (now_ms - self.load_ms) / LOAD_VALID_MS
        reported = self.load * fresh
        return reported if reported > own else own

    def queue_factor(self, now_ms: float) -> float:
        """Returns by how much the work before it lengthens a request."""
        busy, slots = self.busy(now_ms), self.slots
        filled = busy / slots if busy < slots else 1.0
        factor = 1 + FULL_SLOTS_FACTOR * filled
        if busy + 1 > slots:
            factor += (busy + 1 - slots) / slots
        return factor

    def expected_ms(self, now_ms: float, base_ms: float) -> float:
        """Returns the expected time of one more request.

        Args:
          now_ms: Present instant.
          base_ms: Time that this kind of request takes on an idle server.
        """
        slowness = self._faded(self.slowness, 1.0, now_ms)
        if now_ms < self.cold_until_ms and slowness < COLD_FACTOR:
            slowness = COLD_FACTOR
        expected_ms = base_ms * slowness * self.queue_factor(now_ms)
        if self.sent_ms:
            excess_ms = now_ms - self.sent_ms[0] - 2 * expected_ms
            if excess_ms > 0:
                expected_ms += excess_ms
        return expected_ms

    def cost_ms(
        self, now_ms: float, base_ms: float, budget_fill: float = 1.0
    ) -> float:
        """Returns the expected time with the price of a likely rejection.

        Args:
          now_ms: Present instant.
          base_ms: As for `expected_ms`.
          budget_fill: Part of the retry budget that is left.
        """
        cost_ms = self.expected_ms(now_ms, base_ms)
        rejections = self._faded(self.rejections, 0.0, now_ms)
        if rejections:
            spent = (1 - budget_fill) * (SPENT_REJECTION_COST - REJECTION_COST)
            cost_ms += (REJECTION_COST + spent) * base_ms * rejections
        return cost_ms

    def _end(self, sent_ms: float) -> None:
        if sent_ms in self.sent_ms:
            self.sent_ms.remove(sent_ms)

    def _observe(self, ratio: float, rejected: float, now_ms: float) -> None:
        slowness = self._faded(self.slowness, 1.0, now_ms)
        rejections = self._faded(self.rejections, 0.0, now_ms)
        self.slowness = slowness + WEIGHT * (ratio - slowness)
        self.rejections = rejections + WEIGHT * (rejected - rejections)
        self.seen_ms = now_ms

    def _faded(self, value: float, rest: float, now_ms: float) -> float:
        if value == rest:
            return rest
        age_ms = now_ms - self.seen_ms
        return rest + (value - rest) * math.exp(-age_ms / FORGET_MS)


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may be chosen.

    Attributes:
      key: What the caller knows it by.
      server: What was seen of it.
      extra_ms: Price of choosing it, as for another data centre.
      is_doubtful: Whether it is used only when no other is left.
    """

    key: str
    server: Server
    extra_ms: float
    is_doubtful: bool


def choose(
    candidates: abc.Sequence[Candidate],
    now_ms: float,
    base_ms: float,
    rng: random.Random,
    budget_fill: float = 1.0,
) -> Candidate | None:
    """Returns the best candidate; None without candidates.

    Args:
      candidates: Servers of one service.
      now_ms: Present instant.
      base_ms: Time that this kind of request takes on an idle server.
      rng: Tells equal servers apart.
      budget_fill: Part of the retry budget that is left.
    """

    def rank(candidate: Candidate):
        server = candidate.server
        avoided = now_ms < server.avoid_until_ms
        cost_ms = server.cost_ms(now_ms, base_ms, budget_fill)
        cost_ms *= 1 + JITTER * rng.random()
        doubt = avoided or candidate.is_doubtful
        return (doubt, cost_ms + candidate.extra_ms)

    return min(candidates, key=rank, default=None)


def is_usable(candidate: Candidate, now_ms: float) -> bool:
    """Whether nothing speaks against a candidate."""
    avoided = now_ms < candidate.server.avoid_until_ms
    return not avoided and not candidate.is_doubtful
