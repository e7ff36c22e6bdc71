"""Request counts and latency histograms of a load run."""

import collections
import dataclasses
import math
import typing

from hdrh import histogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
QUANTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p999": 99.9}
SERIES_PERIOD_MS = 500.0


def new_histogram() -> histogram.HdrHistogram:
    """Returns an empty histogram of values in microseconds."""
    return histogram.HdrHistogram(
        MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
    )


def summary_ms(values: histogram.HdrHistogram) -> dict[str, float]:
    """Returns quantiles, mean and maximum of a histogram in milliseconds."""
    if not values.get_total_count():
        return {}
    summary = {
        name: values.get_value_at_percentile(percent) / 1000.0
        for name, percent in QUANTILES.items()
    }
    summary["mean"] = round(values.get_mean_value() / 1000.0, 3)
    summary["max"] = values.get_max_value() / 1000.0
    return summary


@dataclasses.dataclass
class _RankCounts:
    offered: int = 0
    good: int = 0
    outcomes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    latencies: histogram.HdrHistogram = dataclasses.field(
        default_factory=new_histogram
    )
    # Number of requests, number of good answers and latencies of answers in
    # milliseconds, by period of arrival.
    periods: dict[int, list] = dataclasses.field(default_factory=dict)


class Tally:
    """Counts requests and measures latencies for each rank.

    Attributes:
      lag: Histogram of the delays between intended and actual send time.
    """

    def __init__(self, warm_up_ms: float):
        self._warm_up_ms = warm_up_ms
        self._ranks: dict[str, _RankCounts] = {}
        self.lag = new_histogram()

    def add_request(
        self,
        rank: str,
        at_ms: float,
        latency_ms: float,
        outcome: str,
        in_time: bool,
    ) -> None:
        """Counts one completed request, unless it is part of the warm-up.

        Args:
          rank: Rank of the request.
          at_ms: Intended arrival, from the start of the run.
          latency_ms: Time from the intended arrival to the result.
          outcome: `done`, `partial`, `not_run:<code>`, `unknown` or a
            transport failure.
          in_time: Whether the result arrived within the deadline.
        """
        if at_ms < self._warm_up_ms:
            return
        counts = self._ranks.setdefault(rank, _RankCounts())
        period = counts.periods.setdefault(
            int(at_ms // SERIES_PERIOD_MS), [0, 0, []]
        )
        counts.offered += 1
        period[0] += 1
        counts.outcomes[outcome] += 1
        if outcome == "done" and in_time:
            counts.good += 1
            period[1] += 1
        if outcome in ("done", "partial"):
            latency_us = min(max(int(latency_ms * 1000), 1), MAX_LATENCY_US)
            counts.latencies.record_value(latency_us)
            period[2].append(latency_ms)

    def add_lag(self, lag_ms: float) -> None:
        """Records how long after its intended arrival a request was sent."""
        self.lag.record_value(max(int(lag_ms * 1000), 1))

    def as_dict(self, measured_ms: float) -> dict[str, typing.Any]:
        """Returns the figures of each rank.

        Args:
          measured_ms: Length of the run without the warm-up.
        """
        return {
            rank: {
                "offered": counts.offered,
                "offered_per_s": round(counts.offered * 1000 / measured_ms, 1),
                "good_share": round(counts.good / counts.offered, 4),
                "good_per_s": round(counts.good * 1000 / measured_ms, 1),
                "outcomes": dict(sorted(counts.outcomes.items())),
                "latency_ms": summary_ms(counts.latencies),
                "series": [
                    {
                        "at_ms": period * SERIES_PERIOD_MS,
                        "offered": offered,
                        "good": good,
                        "p50_ms": _quantile(latencies, 0.5),
                        "p99_ms": _quantile(latencies, 0.99),
                    }
                    for period, (offered, good, latencies) in sorted(
                        counts.periods.items()
                    )
                ],
            }
            for rank, counts in sorted(self._ranks.items())
        }


def _quantile(values: list[float], fraction: float) -> float | None:
    if not values:
        return None
    ordered = sorted(values)
    index = max(math.ceil(fraction * len(ordered)) - 1, 0)
    return round(ordered[index], 3)
