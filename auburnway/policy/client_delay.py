"""Estimate of the request latency that arises outside an entry.

A latency objective is measured from the client's first step. Before an entry
has read a request, the client may have queried the directory (two round trips,
connection included), connected to the entry (one round trip) and sent the
request (half a round trip); the answer takes another half. An entry cannot
observe these steps, but it can measure round trips to clients: after a reply
that ends the connection, the client closes the connection at once, so the
close arrives one round trip after the reply.
"""

import collections

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
            self._round_trip_ms = ordered[
                int(ROUND_TRIP_QUANTILE * len(ordered))
            ]

    def delay_ms(self, is_first: bool) -> float:
        """Returns the latency of a request that arises outside the entry.

        Args:
          is_first: Whether the request is the first on its connection.
        """
        if self._round_trip_ms is None:
            return self._default_ms
        round_trips = FIRST_ROUND_TRIPS if is_first else LATER_ROUND_TRIPS
        return round_trips * self._round_trip_ms
