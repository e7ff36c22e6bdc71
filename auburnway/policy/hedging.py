"""Delay after which a sub-request is hedged.

A hedge is a duplicate of a sub-request that is sent to another replica once
the first send has been outstanding for longer than the 95th percentile of the
application's latencies. At most about one sub-request in twenty is therefore
duplicated.
"""

from hdrh import histogram

from auburnway.kernel import registry

QUANTILE_PERCENT = 95.0
# Samples older than this are discarded.
WINDOW_MS = 10_000.0
# With fewer samples, the 95th percentile is based on fewer than five slow
# samples.
MIN_SAMPLES = 100
# Computing a percentile takes about 100 µs, so it is computed only once per
# period.
REFRESH_MS = 250.0
# Range and precision of the histogram, in µs: two significant digits.
_MIN_US = 1
_MAX_US = 60_000_000
_DIGITS = 2


class _LatencyWindow:
    """Latencies of one application over a sliding window.

    Two histograms record every sample and are cleared in turn, half a window
    apart. The histogram that was cleared earlier covers between half a window
    and a whole window, or more when the application has too few samples in that
    time.
    """

    def __init__(self, now_ms: float, percent: float, min_samples: int):
        self._percent = percent
        self._min_samples = min_samples
        self.older_histogram = histogram.HdrHistogram(_MIN_US, _MAX_US, _DIGITS)
        self.newer_histogram = histogram.HdrHistogram(_MIN_US, _MAX_US, _DIGITS)
        self.swap_at_ms = now_ms + WINDOW_MS / 2
        self.refreshed_ms = now_ms
        self.refresh_at_ms = now_ms
        self.delay_ms: float | None = None

    def refresh(self, now_ms: float) -> None:
        """Discards old samples and computes the percentile."""
        if now_ms - self.refreshed_ms > WINDOW_MS:
            # No sample was recorded for a whole window, so all are too old.
            self.older_histogram.reset()
            self.newer_histogram.reset()
        if (
            now_ms >= self.swap_at_ms
            and self.newer_histogram.get_total_count() >= self._min_samples
        ):
            self.older_histogram.reset()
            self.older_histogram, self.newer_histogram = (
                self.newer_histogram,
                self.older_histogram,
            )
            self.swap_at_ms = now_ms + WINDOW_MS / 2
        self.refreshed_ms = now_ms
        self.refresh_at_ms = now_ms + REFRESH_MS
        if self.older_histogram.get_total_count() >= self._min_samples:
            value_us = self.older_histogram.get_value_at_percentile(
                self._percent
            )
            self.delay_ms = value_us / 1000.0
        else:
            self.delay_ms = None


@registry.register("hedging", "quantile")
class Hedger:
    """Computes the hedging delay from the observed latency percentile.

    Attributes:
      max_extra: Maximum number of extra sends per sub-request.
      uses_budget: Whether an extra send needs a token of the retry budget.
      cancels_previous: Whether an extra send replaces the earlier one.
    """

    max_extra = 1
    uses_budget = True
    cancels_previous = False

    def __init__(
        self,
        quantile_percent: float = QUANTILE_PERCENT,
        min_samples: int = MIN_SAMPLES,
    ):
        """Creates a hedger without samples.

        Args:
          quantile_percent: Percentile of the latencies that is the delay.
          min_samples: Number of samples that the percentile requires.
        """
        self._quantile_percent = quantile_percent
        self._min_samples = min_samples
        self._windows: dict[str, _LatencyWindow] = {}

    def observe(
        self, application: str, latency_ms: float, now_ms: float
    ) -> None:
        """Records the latency of one finished sub-request.

        Args:
          application: Application of the sub-request.
          latency_ms: Time from sending to the reply; values outside of 0.001
            to 60,000 ms are clipped.
          now_ms: Current monotonic time.
        """
        window = self._windows.get(application)
        if window is None:
            window = self._windows[application] = _LatencyWindow(
                now_ms, self._quantile_percent, self._min_samples
            )
        value_us = min(max(int(latency_ms * 1000.0), _MIN_US), _MAX_US)
        if now_ms >= window.refresh_at_ms:
            window.refresh(now_ms)
        window.older_histogram.record_value(value_us)
        window.newer_histogram.record_value(value_us)

    def delay_ms(self, application: str) -> float | None:
        """Returns how long to wait before a hedge.

        Returns:
          Delay from the first send, in ms; None to send no hedge, for example
          while fewer than the minimum number of samples are known.
        """
        window = self._windows.get(application)
        return window.delay_ms if window is not None else None
