"""Counts and latency histograms of a load run."""

import collections
import dataclasses
import math
import typing

from hdrh import histogram

LEAST_US = 1
GREATEST_US = 120_000_000
SIGNIFICANT_DIGITS = 3
QUANTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p999": 99.9}
SERIES_PERIOD_MS = 500.0


def new_histogram() -> histogram.HdrHistogram:
    """Returns an empty histogram of microseconds."""
    return histogram.HdrHistogram(LEAST_US, GREATEST_US, SIGNIFICANT_DIGITS)


def summary_ms(values: histogram.HdrHistogram) -> dict[str, float]:
    """Returns quantiles, mean and greatest value in milliseconds."""
    if not values.get_total_count():
        return {}
    found = {
        name: values.get_value_at_percentile(percent) / 1000.0
        for name, percent in QUANTILES.items()
    }
    found["mean"] = round(values.get_mean_value() / 1000.0, 3)
    found["max"] = values.get_max_value() / 1000.0
    return found


@dataclasses.dataclass
class _Rank:
    offered: int = 0
    good: int = 0
    outcomes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    latencies: histogram.HdrHistogram = dataclasses.field(
        default_factory=new_histogram
    )
    # Offered, good and latencies of answers by period of arrival.
    periods: dict[int, list] = dataclasses.field(default_factory=dict)


class Tally:
    """Takes the end of each request, by rank."""

    def __init__(self, warm_up_ms: float):
        self._warm_up_ms = warm_up_ms
        self._ranks: dict[str, _Rank] = {}
        self.lag = new_histogram()

    def add(
        self,
        rank: str,
        at_ms: float,
        latency_ms: float,
        outcome: str,
        in_time: bool,
    ) -> None:
        """Counts one request.

        Args:
          rank: Rank label.
          at_ms: Intended arrival from the start of the run.
          latency_ms: Time from the intended arrival to the end.
          outcome: `done`, `partial`, `not_run:<code>`, `unknown` or a
            failure of the transport.
          in_time: The answer came within its deadline.
        """
        if at_ms < self._warm_up_ms:
            return
        row = self._ranks.setdefault(rank, _Rank())
        period = row.periods.setdefault(
            int(at_ms // SERIES_PERIOD_MS), [0, 0, []]
        )
        row.offered += 1
        period[0] += 1
        row.outcomes[outcome] += 1
        if outcome == "done" and in_time:
            row.good += 1
            period[1] += 1
        if outcome in ("done", "partial"):
            latency_us = min(max(int(latency_ms * 1000), 1), GREATEST_US)
            row.latencies.record_value(latency_us)
            period[2].append(latency_ms)

    def add_lag(self, lag_ms: float) -> None:
        """Notes how late a request was sent by this tool."""
        self.lag.record_value(max(int(lag_ms * 1000), 1))

    def as_dict(self, measured_ms: float) -> dict[str, typing.Any]:
        """Returns the figures by rank.

        Args:
          measured_ms: Length of the measured part of the run.
        """
        return {
            rank: {
                "offered": row.offered,
                "offered_per_s": round(row.offered * 1000 / measured_ms, 1),
                "good_share": round(row.good / row.offered, 4),
                "good_per_s": round(row.good * 1000 / measured_ms, 1),
                "outcomes": dict(sorted(row.outcomes.items())),
                "latency_ms": summary_ms(row.latencies),
                "series": [
                    {
                        "at_ms": number * SERIES_PERIOD_MS,
                        "offered": offered,
                        "good": good,
                        "p50_ms": _quantile(latencies, 0.5),
                        "p99_ms": _quantile(latencies, 0.99),
                    }
                    for number, (offered, good, latencies) in sorted(
                        row.periods.items()
                    )
                ],
            }
            for rank, row in sorted(self._ranks.items())
        }


def _quantile(values: list[float], share: float) -> float | None:
    if not values:
        return None
    ordered = sorted(values)
    place = max(math.ceil(share * len(ordered)) - 1, 0)
    return round(ordered[place], 3)
