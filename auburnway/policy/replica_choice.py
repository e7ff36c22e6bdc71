"""Choice of the backend server for a sub-request.

Of two random candidates the one with the lower expected time is taken. The
expected time uses only what this entry measured itself, because reports of
backend servers lag or mislead.
"""

from collections import abc
import math
import random

from auburnway.core import membership
from auburnway.kernel import registry
from auburnway.policy import ramp

# Weight of a new sample; about the last 10 replies count.
SAMPLE_WEIGHT = 0.1
# A sample that follows a pause replaces more of the old estimate.
SAMPLE_TAU_MS = 1000.0
# An idle server's estimate halves in this time, so that a server that was ten
# times slower than its peers is tried again after about 3 s.
DECAY_HALF_LIFE_MS = 1000.0
# An error counts as a reply this many times slower than the application's
# typical one: the sub-request must be sent again and its caller waited.
ERROR_SLOWDOWN = 20.0
# An error moves the estimate at once; a server that fails fast would
# otherwise receive ten more sub-requests before it looks slow.
ERROR_WEIGHT = 0.5
# A server that refused has no free slot; most sub-requests end sooner.
SHED_PAUSE_MS = 100.0
# Added to servers in other data centres before the first measurement, which
# includes the distance. Twice the greatest one-way latency within a site.
REMOTE_MS = 3.0
# Expected times closer than this are a tie.
TIE_SHARE = 0.05
DEFAULT_LATENCY_MS = 10.0


class _Server:
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
        # Instants at which the sub-requests in flight were sent, oldest first.
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
        """Returns the estimate as it has decayed since the last sample."""
        idle_ms = now_ms - self.sampled_ms
        return self.estimate_ms * 0.5 ** (idle_ms / DECAY_HALF_LIFE_MS)

    def expected_ms(
        self, slots: int, now_ms: float, unknown_ms: float
    ) -> float:
        """Returns the expected time of one more sub-request."""
        estimate_ms = self.estimate_ms
        if estimate_ms < 0.0:
            estimate_ms = unknown_ms
        starts = self.starts
        if not starts:
            # The estimate decays only while nothing is in flight, so that a
            # slow server is tried with one sub-request at a time.
            if self.estimate_ms < 0.0 or now_ms - self.sampled_ms < 100.0:
                return estimate_ms
            return self.decayed_ms(now_ms)
        # A sub-request that is late already counts as if it ended now.
        late_ms = now_ms - starts[0] - estimate_ms
        if late_ms > 0.0:
            estimate_ms += SAMPLE_WEIGHT * late_ms
        return estimate_ms * (1.0 + len(starts) / slots)


@registry.register("replica_choice", "two_choices")
class Chooser:
    """Takes the better of two random candidates."""

    def __init__(self, rng: random.Random, data_center: str):
        """Creates a chooser without measurements.

        Args:
          rng: Source of randomness.
          data_center: Data centre of this entry.
        """
        self._random = rng.random
        self._data_center = data_center
        self._servers: dict[str, _Server] = {}
        # Moving average of good replies, by application.
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
          exclude: Names that were tried for this sub-request already.
          now_ms: Present instant.

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
            # A server that refused lately is better than none.
            usable = avoided
        count = len(usable)
        if count < 2:
            return usable[0] if usable else None
        first = int(self._random() * count)
        second = int(self._random() * (count - 1))
        if second >= first:
            second += 1
        return self._better(usable[first], usable[second], now_ms)

    def started(self, name: str, now_ms: float) -> None:
        """Notes that a sub-request was sent to a backend server."""
        self._server(name).starts.append(now_ms)

    def finished(
        self,
        name: str,
        latency_ms: float,
        ok: bool,
        now_ms: float,
        reported_busy_slots: int | None = None,
    ) -> None:
        """Notes the reply to a sub-request.

        Args:
          name: Backend server.
          latency_ms: Time from sending to the reply.
          ok: False for an error, which is charged as a slow reply.
          now_ms: Present instant.
          reported_busy_slots: Busy slots that the reply stated, if any.
        """
        server = self._servers.get(name)
        if server is None:
            # It was forgotten while the sub-request ran.
            return
        self._remove_start(server, now_ms - latency_ms)
        if reported_busy_slots is not None:
            server.busy_slots = reported_busy_slots
        if ok:
            typical_ms = self._typical_ms.get(server.application, latency_ms)
            if server.estimate_ms < 0.0:
                # One slow first reply would shut out a new server.
                server.estimate_ms = typical_ms
                server.sampled_ms = now_ms
            server.sample(latency_ms, now_ms, SAMPLE_WEIGHT)
            typical_ms += 0.05 * (latency_ms - typical_ms)
            self._typical_ms[server.application] = typical_ms
            return
        typical_ms = self._typical_ms.get(
            server.application, DEFAULT_LATENCY_MS
        )
        charged_ms = max(latency_ms, ERROR_SLOWDOWN * typical_ms)
        server.sample(charged_ms, now_ms, ERROR_WEIGHT)

    def abandoned(self, name: str, now_ms: float) -> None:
        """Notes that no reply is awaited any longer.

        The time waited is a lower bound of the latency, so it can raise the
        estimate but not lower it. The sub-request that is given up is taken
        to be the oldest one in flight there.
        """
        server = self._servers.get(name)
        if server is None or not server.starts:
            return
        elapsed_ms = now_ms - server.starts.pop(0)
        if elapsed_ms > server.estimate_ms:
            server.sample(elapsed_ms, now_ms, ERROR_WEIGHT)
            return
        # The decay starts again from here; without that, a server that never
        # replies would look faster with every try.
        server.estimate_ms = max(elapsed_ms, server.decayed_ms(now_ms))
        server.sampled_ms = now_ms

    def shed(self, name: str, now_ms: float) -> None:
        """Notes that a backend server refused before starting."""
        server = self._servers.get(name)
        if server is None:
            return
        if server.starts:
            server.starts.pop()
        server.avoided_until_ms = now_ms + SHED_PAUSE_MS

    def in_flight(self, name: str) -> int:
        """Returns the number of this entry's sub-requests there."""
        server = self._servers.get(name)
        return len(server.starts) if server is not None else 0

    def latency_ms(self, name: str) -> float:
        """Returns the latency estimate; the default when unmeasured."""
        server = self._servers.get(name)
        if server is None or server.estimate_ms < 0.0:
            return DEFAULT_LATENCY_MS
        return server.estimate_ms

    def added(self, name: str, now_ms: float) -> None:
        """Starts the ramp of a new backend server or incarnation."""
        old = self._servers.get(name)
        server = _Server()
        if old is not None:
            # Their completions are still to be reported.
            server.starts = old.starts
        server.added_ms = now_ms
        self._servers[name] = server

    def forget(self, name: str) -> None:
        """Drops all measurements of a backend server that is gone."""
        self._servers.pop(name, None)

    def _server(self, name: str) -> _Server:
        server = self._servers.get(name)
        if server is None:
            server = self._servers[name] = _Server()
        return server

    def _remove_start(self, server: _Server, started_ms: float) -> None:
        starts = server.starts
        if len(starts) < 2:
            starts.clear()
            return
        nearest = min(starts, key=lambda start: abs(start - started_ms))
        starts.remove(nearest)

    def _better(
        self, a: membership.Row, b: membership.Row, now_ms: float
    ) -> membership.Row:
        server_a = self._server(a.name)
        server_b = self._server(b.name)
        server_a.application = a.application
        server_b.application = b.application

        # A ramping server takes part in a share of the draws only.
        if now_ms - server_a.added_ms < ramp.RAMP_MS or (
            now_ms - server_b.added_ms < ramp.RAMP_MS
        ):
            random_value = self._random()
            takes_a = random_value < ramp.share(server_a.added_ms, now_ms)
            takes_b = random_value < ramp.share(server_b.added_ms, now_ms)
            if takes_a != takes_b:
                return a if takes_a else b

        # An unmeasured server is taken to be like the other one.
        known_ms = max(server_a.estimate_ms, server_b.estimate_ms)
        if known_ms < 0.0:
            known_ms = DEFAULT_LATENCY_MS
        remote_a = a.data_center != self._data_center
        remote_b = b.data_center != self._data_center
        time_a = server_a.expected_ms(
            a.slots, now_ms, known_ms + REMOTE_MS if remote_a else known_ms
        )
        time_b = server_b.expected_ms(
            b.slots, now_ms, known_ms + REMOTE_MS if remote_b else known_ms
        )
        if abs(time_a - time_b) > TIE_SHARE * max(time_a, time_b):
            return a if time_a < time_b else b
        if remote_a != remote_b:
            return b if remote_a else a
        busy_a = server_a.busy_slots * b.slots
        busy_b = server_b.busy_slots * a.slots
        return b if busy_b < busy_a else a
