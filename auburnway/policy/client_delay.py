"""Estimate of the request latency that arises outside an entry.

A latency objective is measured from the client's first step. Before an entry
has read a request, the client may have queried the directory (two round trips,
connection included), connected to the entry (one round trip) and sent the
request (half a round trip); the answer takes another half. An entry cannot
observe these steps, but it can measure round trips to clients: after a reply
that ends the connection, the client closes the connection at once, so the
close arrives one round trip after the reply.

Some round trips are much longer than most, as requests wait for a busy entry or
behind other traffic on its link. A partial answer is ready long before the
latency objective, and the parts that are still missing seldom arrive in its
last milliseconds, so that answer is sent early enough for a long round trip.
"""

import collections
from collections import abc

# Round trips of a client for the first request on a connection and for a later
# request, which may follow a call to the directory.
FIRST_ROUND_TRIPS = 4.0
LATER_ROUND_TRIPS = 3.0
MAX_SAMPLES = 64
# With fewer samples the default delay is used.
MIN_SAMPLES = 8
# Quantile of the measured round trips that is taken as the round trip of all
# clients.
ROUND_TRIP_QUANTILE = 0.75
# Quantile of the measured round trips that is taken as a long one.
LONG_ROUND_TRIP_QUANTILE = 0.95
# Share of the latency objective that is kept free at most for a long round
# trip.
MAX_RESERVED_SHARE = 0.2
# A longer time between reply and close is ignored, as the client did not close
# the connection at once.
MAX_ROUND_TRIP_MS = 500.0


class ClientDelay:
    """Estimates the delay of requests outside the entry from round trips.

    Args:
      default_ms: Delay to return until enough round trips were measured.
    """

    def __init__(self, default_ms: float):
        self._default_ms = default_ms
        self._samples: collections.deque[float] = collections.deque(
            maxlen=MAX_SAMPLES
        )
        self._round_trip_ms: float | None = None
        self._long_round_trip_ms = 0.0

    def on_round_trip(self, round_trip_ms: float) -> None:
        """Records the time from a connection's last reply to its close.

        Args:
          round_trip_ms: Time until the client closed the connection.
        """
        if round_trip_ms > MAX_ROUND_TRIP_MS:
            return
        self._samples.append(round_trip_ms)
        if len(self._samples) >= MIN_SAMPLES:
            ordered = sorted(self._samples)
            self._round_trip_ms = _quantile(ordered, ROUND_TRIP_QUANTILE)
            self._long_round_trip_ms = _quantile(
                ordered, LONG_ROUND_TRIP_QUANTILE
            )

    def delay_ms(self, is_first: bool) -> float:
        """Returns the latency of a request that arises outside the entry.

        Args:
          is_first: Whether the request is the first on its connection.
        """
        if self._round_trip_ms is None:
            return self._default_ms
        round_trips = FIRST_ROUND_TRIPS if is_first else LATER_ROUND_TRIPS
        return round_trips * self._round_trip_ms

    def reserved_ms(self, is_first: bool, objective_ms: float) -> float:
        """Returns the time to keep free after a partial answer.

        One of the client's round trips may be a long one.

        Args:
          is_first: Whether the request is the first on its connection.
          objective_ms: Latency objective of the request.
        """
        delay_ms = self.delay_ms(is_first)
        if self._round_trip_ms is None:
            return delay_ms
        extra_ms = self._long_round_trip_ms - self._round_trip_ms
        limit_ms = MAX_RESERVED_SHARE * objective_ms
        return max(min(delay_ms + extra_ms, limit_ms), delay_ms)


def _quantile(ordered: abc.Sequence[float], quantile: float) -> float:
    return ordered[int(quantile * len(ordered))]
