"""Which backend server gets a request of a service.

The server with the least expected time is chosen. Expected time comes from the
server's own recent latency, the load that it reports and the requests that
this process has outstanding there. A request that stands far longer than usual
is the first sign that its server has paused, so the age of the oldest
outstanding request counts before any reply does.
"""

from collections import abc
import dataclasses
import random

# Weight of a new latency in the moving average.
LATENCY_WEIGHT = 0.2
# A reported load is worth nothing any more after this time.
LOAD_VALID_MS = 400.0
# A server that failed is avoided for this long; doubled with each further
# failure in a row, up to the maximum.
FAILURE_PAUSE_MS = 500.0
MAX_FAILURE_PAUSE_MS = 4_000.0
# Latency assumed of a server that has not answered yet.
UNKNOWN_LATENCY_MS = 20.0
# Share of the expected time by which equal servers are told apart.
JITTER = 0.1


@dataclasses.dataclass(slots=True)
class Server:
    """What this process has seen of one backend server.

    Attributes:
      slots: Requests that it runs at once.
      latency_ms: Moving average of its latency; None before the first reply.
      sent_ms: Instants of the outstanding requests, oldest first.
      waiting_load: Running and waiting requests that it reported last.
      load_ms: Instant of that report.
      failures: Failures in a row.
      avoid_until_ms: It is avoided until then.
      cold_until_ms: It is slow until then, after its start.
    """

    slots: int = 1
    latency_ms: float | None = None
    sent_ms: list[float] = dataclasses.field(default_factory=list)
    waiting_load: int = 0
    load_ms: float = float("-inf")
    failures: int = 0
    avoid_until_ms: float = float("-inf")
    cold_until_ms: float = float("-inf")

    def on_send(self, now_ms: float) -> None:
        """Counts a request that was sent."""
        self.sent_ms.append(now_ms)

    def on_reply(self, sent_ms: float, now_ms: float) -> None:
        """Takes the latency of a request that was answered well."""
        self._end(sent_ms)
        self.failures = 0
        self.avoid_until_ms = float("-inf")
        self._average(now_ms - sent_ms)

    def on_cancel(self, sent_ms: float, now_ms: float) -> None:
        """Ends a request that was given up; its age bounds the latency."""
        self._end(sent_ms)
        age_ms = now_ms - sent_ms
        if self.latency_ms is None or age_ms > self.latency_ms:
            self._average(age_ms)

    def on_failure(self, sent_ms: float, now_ms: float) -> None:
        """Ends a request that failed; the server is avoided for a time."""
        self._end(sent_ms)
        self.failures += 1
        pause_ms = FAILURE_PAUSE_MS * 2 ** (self.failures - 1)
        self.avoid_until_ms = now_ms + min(pause_ms, MAX_FAILURE_PAUSE_MS)

    def on_rejected(self, sent_ms: float) -> None:
        """Ends a request that the server did not run, as it is full."""
        self._end(sent_ms)

    def on_load(self, running: int, waiting: int, now_ms: float) -> None:
        """Takes a reported load."""
        self.waiting_load = running + waiting
        self.load_ms = now_ms

    def expected_ms(self, now_ms: float, typical_ms: float) -> float:
        """Returns the expected time of one more request.

        Args:
          now_ms: Present instant.
          typical_ms: Latency of the service's servers in general.
        """
        latency_ms = self.latency_ms
        if latency_ms is None:
            latency_ms = typical_ms
        busy = len(self.sent_ms)
        age_ms = now_ms - self.load_ms
        if age_ms < LOAD_VALID_MS:
            reported = self.waiting_load * (1 - age_ms / LOAD_VALID_MS)
            busy = max(busy, reported)
        queued = max(busy + 1 - self.slots, 0) / self.slots
        expected_ms = latency_ms * (1 + queued + 0.2 * busy / self.slots)
        if now_ms < self.cold_until_ms:
            expected_ms *= 1.5
        if self.sent_ms:
            stands_ms = now_ms - self.sent_ms[0]
            expected_ms += max(stands_ms - 2 * typical_ms, 0.0) * 3
        return expected_ms

    def _end(self, sent_ms: float) -> None:
        if sent_ms in self.sent_ms:
            self.sent_ms.remove(sent_ms)

    def _average(self, latency_ms: float) -> None:
        if self.latency_ms is None:
            self.latency_ms = latency_ms
        else:
            change_ms = latency_ms - self.latency_ms
            self.latency_ms += LATENCY_WEIGHT * change_ms


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
    candidates: abc.Sequence[Candidate], now_ms: float, rng: random.Random
) -> str | None:
    """Returns the key of the best candidate; None without candidates."""
    if not candidates:
        return None
    known = sorted(
        c.server.latency_ms
        for c in candidates
        if c.server.latency_ms is not None
    )
    typical_ms = known[len(known) // 2] if known else UNKNOWN_LATENCY_MS

    def cost(candidate: Candidate):
        avoided = now_ms < candidate.server.avoid_until_ms
        expected_ms = candidate.server.expected_ms(now_ms, typical_ms)
        jitter = 1 + JITTER * rng.random()
        doubt = avoided or candidate.is_doubtful
        return (doubt, expected_ms * jitter + candidate.extra_ms)

    return min(candidates, key=cost).key
