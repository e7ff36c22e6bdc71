"""Choice of the backend server for a sub-request.

Of two random candidates, the one with the lower expected time is chosen. The
expected time is computed only from this entry's own measurements, because the
reports of backend servers may be outdated or wrong.
"""

from collections import abc
import math
import random

from auburnway.core import membership
from auburnway.kernel import registry
from auburnway.policy import ramp

# Weight of a new sample: the estimate averages about the last 10 replies.
SAMPLE_WEIGHT = 0.1
# Time constant with which the weight of a sample increases with the time since
# the previous sample.
SAMPLE_TAU_MS = 1000.0
# An idle server's estimate halves in this time, so that a server that was ten
# times slower than its peers is tried again after about 3 s.
DECAY_HALF_LIFE_MS = 1000.0
# An error is recorded as a latency of this many times the application's typical
# latency, because the sub-request must be retried and its caller has waited.
ERROR_SLOWDOWN = 20.0
# Minimum weight of the sample of an error. With the normal weight, a server
# that fails fast would receive ten more sub-requests before its estimate is
# high.
ERROR_WEIGHT = 0.5
# Time for which a server that refused a sub-request is avoided. The server has
# no free slot, and most sub-requests end within this time.
SHED_PAUSE_MS = 100.0
# Added to the expected time of servers in other data centres until their first
# measurement, which includes the network latency. The value is twice the
# greatest one-way latency within a site.
REMOTE_MS = 3.0
# Expected times that differ by less than this share are considered equal.
TIE_SHARE = 0.05
# Latency that is assumed before any measurement.
DEFAULT_LATENCY_MS = 10.0


class _ServerStats:
    """Measurements of one backend server."""

    __slots__ = (
        "application",
        "starts",
        "estimate_ms",
        "sampled_ms",
        "avoided_until_ms",
        "added_ms",
        "busy_slots",
    )

    def __init__(self):
        self.application = ""
        # Send times of the sub-requests in flight, oldest first.
        self.starts: list[float] = []
        # Negative until the first sample.
        self.estimate_ms = -1.0
        self.sampled_ms = 0.0
        self.avoided_until_ms = -math.inf
        self.added_ms = -math.inf
        self.busy_slots = 0

    def sample(self, value_ms: float, now_ms: float, weight: float) -> None:
        """Moves the estimate towards a measured value."""
        if self.estimate_ms < 0.0:
            self.estimate_ms = value_ms
        else:
            pause_ms = now_ms - self.sampled_ms
            weight = max(weight, 1.0 - math.exp(-pause_ms / SAMPLE_TAU_MS))
            self.estimate_ms += weight * (value_ms - self.estimate_ms)
        self.sampled_ms = now_ms

    def decayed_ms(self, now_ms: float) -> float:
        """Returns the estimate after its decay since the last sample."""
        idle_ms = now_ms - self.sampled_ms
        return self.estimate_ms * 0.5 ** (idle_ms / DECAY_HALF_LIFE_MS)

    def expected_ms(
        self, slots: int, now_ms: float, assumed_ms: float
    ) -> float:
        """Returns the expected time of one more sub-request."""
        estimate_ms = self.estimate_ms
        if estimate_ms < 0.0:
            estimate_ms = assumed_ms
        starts = self.starts
        if not starts:
            # The estimate decays only while no sub-request is in flight, so
            # that a slow server is probed with one sub-request at a time.
            if self.estimate_ms < 0.0 or now_ms - self.sampled_ms < 100.0:
                return estimate_ms
            return self.decayed_ms(now_ms)
        # An overdue sub-request counts as if its reply arrived now.
        late_ms = now_ms - starts[0] - estimate_ms
        if late_ms > 0.0:
            estimate_ms += SAMPLE_WEIGHT * late_ms
        return estimate_ms * (1.0 + len(starts) / slots)


@registry.register("replica_choice", "two_choices")
class Chooser:
    """Chooses the better of two random candidates."""

    def __init__(self, rng: random.Random, data_center: str):
        """Creates a chooser without measurements.

        Args:
          rng: Random number generator for the choice of candidates.
          data_center: Data centre of this entry.
        """
        self._random = rng.random
        self._data_center = data_center
        self._servers: dict[str, _ServerStats] = {}
        # Moving average of the latencies of successful replies, by application.
        self._typical_ms: dict[str, float] = {}

    def choose(
        self,
        candidates: abc.Sequence[membership.Row],
        exclude: abc.Container[str],
        now_ms: float,
    ) -> membership.Row | None:
        """Chooses the backend server for one sub-request.

        Args:
          candidates: Usable replicas of the shard.
          exclude: Names of the servers that this sub-request was already sent
            to.
          now_ms: Current time.

        Returns:
          The chosen row, or None when every candidate is excluded.
        """
        servers = self._servers
        usable = []
        avoided = []
        for row in candidates:
            if row.name in exclude:
                continue
            server = servers.get(row.name)
            if server is not None and server.avoided_until_ms > now_ms:
                avoided.append(row)
            else:
                usable.append(row)
        if not usable:
            # A server that has recently refused is better than no server.
            usable = avoided
        count = len(usable)
        if count < 2:
            return usable[0] if usable else None
        first = int(self._random() * count)
        second = int(self._random() * (count - 1))
        if second >= first:
            second += 1
        return self._faster_of(usable[first], usable[second], now_ms)

    def on_send(self, name: str, now_ms: float) -> None:
        """Records that a sub-request was sent to a backend server."""
        self._stats_of(name).starts.append(now_ms)

    def on_reply(
        self,
        name: str,
        latency_ms: float,
        ok: bool,
        now_ms: float,
        reported_busy_slots: int | None = None,
    ) -> None:
        """Records the reply to a sub-request.

        Args:
          name: Name of the backend server.
          latency_ms: Time from sending to the reply.
          ok: Whether the reply is a success; an error counts as a slow reply.
          now_ms: Current time.
          reported_busy_slots: Busy slots that the reply reported, if any.
        """
        server = self._servers.get(name)
        if server is None:
            # The server was removed while the sub-request was in flight.
            return
        self._remove_start(server, now_ms - latency_ms)
        if reported_busy_slots is not None:
            server.busy_slots = reported_busy_slots
        if ok:
            typical_ms = self._typical_ms.get(server.application, latency_ms)
            if server.estimate_ms < 0.0:
                # The estimate starts at the typical latency; a slow first
                # reply alone would keep traffic away from a new server.
                server.estimate_ms = typical_ms
                server.sampled_ms = now_ms
            server.sample(latency_ms, now_ms, SAMPLE_WEIGHT)
            typical_ms += 0.05 * (latency_ms - typical_ms)
            self._typical_ms[server.application] = typical_ms
            return
        typical_ms = self._typical_ms.get(
            server.application, DEFAULT_LATENCY_MS
        )
        error_latency_ms = max(latency_ms, ERROR_SLOWDOWN * typical_ms)
        server.sample(error_latency_ms, now_ms, ERROR_WEIGHT)

    def on_cancel(self, name: str, now_ms: float) -> None:
        """Records that a sub-request was abandoned before its reply.

        The time waited is a lower bound of the latency, so it can raise the
        estimate but not lower it. The abandoned sub-request is assumed to be
        the oldest sub-request in flight to the server.
        """
        server = self._servers.get(name)
        if server is None or not server.starts:
            return
        elapsed_ms = now_ms - server.starts.pop(0)
        if elapsed_ms > server.estimate_ms:
            server.sample(elapsed_ms, now_ms, ERROR_WEIGHT)
            return
        # The decay restarts at the current time. Otherwise the estimate of a
        # server that never replies would fall with every attempt.
        server.estimate_ms = max(elapsed_ms, server.decayed_ms(now_ms))
        server.sampled_ms = now_ms

    def on_rejected(self, name: str, now_ms: float) -> None:
        """Records that a backend server refused to execute a sub-request."""
        server = self._servers.get(name)
        if server is None:
            return
        if server.starts:
            server.starts.pop()
        server.avoided_until_ms = now_ms + SHED_PAUSE_MS

    def in_flight(self, name: str) -> int:
        """Returns this entry's sub-requests in flight to a backend server."""
        server = self._servers.get(name)
        return len(server.starts) if server is not None else 0

    def latency_ms(self, name: str) -> float:
        """Returns the latency estimate, or the default without a sample."""
        server = self._servers.get(name)
        if server is None or server.estimate_ms < 0.0:
            return DEFAULT_LATENCY_MS
        return server.estimate_ms

    def on_added(self, name: str, now_ms: float) -> None:
        """Starts the ramp of a new backend server or incarnation."""
        previous = self._servers.get(name)
        server = _ServerStats()
        if previous is not None:
            # The ends of the sub-requests in flight are still to be recorded.
            server.starts = previous.starts
        server.added_ms = now_ms
        self._servers[name] = server

    def remove_server(self, name: str) -> None:
        """Removes the measurements of a backend server that left the fleet."""
        self._servers.pop(name, None)

    def _stats_of(self, name: str) -> _ServerStats:
        server = self._servers.get(name)
        if server is None:
            server = self._servers[name] = _ServerStats()
        return server

    def _remove_start(self, server: _ServerStats, started_ms: float) -> None:
        starts = server.starts
        if len(starts) < 2:
            starts.clear()
            return
        nearest = min(starts, key=lambda start: abs(start - started_ms))
        starts.remove(nearest)

    def _faster_of(
        self, a: membership.Row, b: membership.Row, now_ms: float
    ) -> membership.Row:
        server_a = self._stats_of(a.name)
        server_b = self._stats_of(b.name)
        server_a.application = a.application
        server_b.application = b.application

        # During its ramp, a server is a candidate in only a share of the
        # choices.
        if now_ms - server_a.added_ms < ramp.RAMP_MS or (
            now_ms - server_b.added_ms < ramp.RAMP_MS
        ):
            random_value = self._random()
            includes_a = random_value < ramp.traffic_share(
                server_a.added_ms, now_ms
            )
            includes_b = random_value < ramp.traffic_share(
                server_b.added_ms, now_ms
            )
            if includes_a != includes_b:
                return a if includes_a else b

        # A server without samples is assumed to be as fast as the other one.
        assumed_ms = max(server_a.estimate_ms, server_b.estimate_ms)
        if assumed_ms < 0.0:
            assumed_ms = DEFAULT_LATENCY_MS
        is_remote_a = a.data_center != self._data_center
        is_remote_b = b.data_center != self._data_center
        expected_a_ms = server_a.expected_ms(
            a.slots,
            now_ms,
            assumed_ms + REMOTE_MS if is_remote_a else assumed_ms,
        )
        expected_b_ms = server_b.expected_ms(
            b.slots,
            now_ms,
            assumed_ms + REMOTE_MS if is_remote_b else assumed_ms,
        )
        if abs(expected_a_ms - expected_b_ms) > TIE_SHARE * max(
            expected_a_ms, expected_b_ms
        ):
            return a if expected_a_ms < expected_b_ms else b
        if is_remote_a != is_remote_b:
            return b if is_remote_a else a
        busy_a = server_a.busy_slots * b.slots
        busy_b = server_b.busy_slots * a.slots
        return b if busy_b < busy_a else a
