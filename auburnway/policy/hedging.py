"""When to send a sub-request a second time.

A hedge is a duplicate sub-request to another replica. It is sent once the
first has waited longer than the 95th percentile of the application's
sub-requests, so at most about one in twenty is duplicated.
"""

from hdrh import histogram

from auburnway.kernel import registry

QUANTILE_PERCENT = 95.0
# Samples older than this are forgotten.
WINDOW_MS = 10_000.0
# Below this the 95th percentile rests on fewer than five slow samples.
MIN_SAMPLES = 100
# Reading a percentile costs about 100 µs, so it is read rarely.
REFRESH_MS = 250.0
# Range and precision of the histogram, in µs: two significant digits.
_MIN_US = 1
_MAX_US = 60_000_000
_DIGITS = 2


class _Window:
    """Latencies of one application over a sliding window.

    Two histograms record every sample and are cleared in turn, half a window
    apart. The one cleared earlier holds the last half to whole window, or
    more when the application has too few samples in that time.
    """

    def __init__(self, now_ms: float, percent: float, min_samples: int):
        self._percent = percent
        self._min_samples = min_samples
        self.older = histogram.HdrHistogram(_MIN_US, _MAX_US, _DIGITS)
        self.newer = histogram.HdrHistogram(_MIN_US, _MAX_US, _DIGITS)
        self.swap_at_ms = now_ms + WINDOW_MS / 2
        self.refreshed_ms = now_ms
        self.refresh_at_ms = now_ms
        self.delay_ms: float | None = None

    def refresh(self, now_ms: float) -> None:
        """Forgets old samples and reads the percentile."""
        if now_ms - self.refreshed_ms > WINDOW_MS:
            # No sample came for that long: all are old.
            self.older.reset()
            self.newer.reset()
        if (
            now_ms >= self.swap_at_ms
            and self.newer.get_total_count() >= self._min_samples
        ):
            self.older.reset()
            self.older, self.newer = self.newer, self.older
            self.swap_at_ms = now_ms + WINDOW_MS / 2
        self.refreshed_ms = now_ms
        self.refresh_at_ms = now_ms + REFRESH_MS
        if self.older.get_total_count() >= self._min_samples:
            value_us = self.older.get_value_at_percentile(self._percent)
            self.delay_ms = value_us / 1000.0
        else:
            self.delay_ms = None


@registry.register("hedging", "quantile")
class Hedger:
    """Hedges after the observed 95th percentile.

    Attributes:
      max_extra: Greatest number of extra sends per sub-request.
      budgeted: Whether an extra send needs a token of the retry budget.
      cancels_previous: Whether an extra send replaces the earlier one.
    """

    max_extra = 1
    budgeted = True
    cancels_previous = False

    def __init__(
        self,
        quantile_percent: float = QUANTILE_PERCENT,
        min_samples: int = MIN_SAMPLES,
    ):
        """Creates a hedger without samples.

        Args:
          quantile_percent: Percentile of the latencies to wait for.
          min_samples: Samples without which no percentile is known.
        """
        self._quantile_percent = quantile_percent
        self._min_samples = min_samples
        self._windows: dict[str, _Window] = {}

    def observe(
        self, application: str, latency_ms: float, now_ms: float
    ) -> None:
        """Records the latency of one finished sub-request.

        Args:
          application: Application that it belongs to.
          latency_ms: Time from sending to the reply; values outside of 0.001
            to 60,000 ms are clipped.
          now_ms: Present instant, which never falls.
        """
        window = self._windows.get(application)
        if window is None:
            window = self._windows[application] = _Window(
                now_ms, self._quantile_percent, self._min_samples
            )
        value_us = min(max(int(latency_ms * 1000.0), _MIN_US), _MAX_US)
        if now_ms >= window.refresh_at_ms:
            window.refresh(now_ms)
        window.older.record_value(value_us)
        window.newer.record_value(value_us)

    def delay_ms(self, application: str) -> float | None:
        """Returns how long to wait before a hedge.

        Returns:
          Milliseconds since the sub-request was sent; None to send no hedge,
          as while fewer than `MIN_SAMPLES` latencies are known.
        """
        window = self._windows.get(application)
        return window.delay_ms if window is not None else None
