"""How long a client waits beyond the time that an entry works for it.

A latency objective counts from the client's first step. Before an entry has
read a request, the client may have asked the directory (two round trips, as it
connects there), connected (one) and sent (half a one); the answer takes another
half. An entry cannot see these steps, but it sees round trips to clients: after
a reply that ends its connection the client closes at once, so that the close
arrives one round trip after the reply.
"""

import collections

# Round trips of a client for the first request on a connection, and for a
# later one, which may follow a call to the directory.
FIRST_ROUND_TRIPS = 4.0
LATER_ROUND_TRIPS = 3.0
SAMPLES = 64
# Fewer samples say too little.
LEAST_SAMPLES = 8
# Most clients are within this percentile of the round trips.
PERCENTILE = 0.75
# A client that closes later than this did not close at once.
LONGEST_MS = 500.0


class ClientDelay:
    """Learns round trips to clients.

    Args:
      default_ms: Delay while too few round trips are known.
    """

    def __init__(self, default_ms: float):
        self._default_ms = default_ms
        self._samples: collections.deque[float] = collections.deque(
            maxlen=SAMPLES
        )
        self._round_trip_ms: float | None = None

    def on_round_trip(self, round_trip_ms: float) -> None:
        """Takes the time from a last reply to the client's close."""
        if round_trip_ms > LONGEST_MS:
            return
        self._samples.append(round_trip_ms)
        if len(self._samples) >= LEAST_SAMPLES:
            ordered = sorted(self._samples)
            self._round_trip_ms = ordered[int(PERCENTILE * len(ordered))]

    def delay_ms(self, is_first: bool) -> float:
        """Returns the time of a request that passes outside of the entry.

        Args:
          is_first: Whether it is the first request on its connection.
        """
        if self._round_trip_ms is None:
            return self._default_ms
        count = FIRST_ROUND_TRIPS if is_first else LATER_ROUND_TRIPS
        return count * self._round_trip_ms
