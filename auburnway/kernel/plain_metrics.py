"""Metrics without OpenTelemetry, for processes that must start fast.

The interface, the metric names and the exported text equal those of `metrics`.
OpenTelemetry takes longer to import than the rest of a pass-through process,
which has to serve again within a fraction of a second after a restart. This
module stores values as plain numbers and imports prometheus_client, the library
that the exporter of `metrics` uses, only at the first scrape.
"""

import bisect
from collections import abc
import dataclasses
import itertools

LATENCY_BOUNDS_S = (
    0.002, 0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28, 2.56, 5.12,
)  # fmt: skip

Attributes = abc.Mapping[str, str | int]
Key = tuple[tuple[str, str | int], ...]


def _attributes_key(attributes: Attributes) -> Key:
    return tuple(attributes.items())


class Counter:
    """Counter with one value per set of attributes."""

    def __init__(self, name: str, description: str):
        self.name = name
        self.description = description
        self.values: dict[Key, float] = {}

    def add(self, amount: float, attributes: Attributes) -> None:
        """Adds an amount to the value of these attributes."""
        key = _attributes_key(attributes)
        self.values[key] = self.values.get(key, 0) + amount


class Histogram:
    """Histogram of durations in seconds, per set of attributes."""

    def __init__(self, name: str, description: str):
        self.name = name
        self.description = description
        # By attributes: counts per bucket, the last one without a bound, and
        # the sum in seconds as a list of one element.
        self.values: dict[Key, tuple[list[int], list[float]]] = {}

    def record(self, seconds: float, attributes: Attributes) -> None:
        """Adds one duration to the histogram of these attributes."""
        key = _attributes_key(attributes)
        counts_and_sum = self.values.get(key)
        if counts_and_sum is None:
            counts_and_sum = self.values[key] = (
                [0] * (len(LATENCY_BOUNDS_S) + 1),
                [0.0],
            )
        counts, sum_s = counts_and_sum
        counts[bisect.bisect_left(LATENCY_BOUNDS_S, seconds)] += 1
        sum_s[0] += seconds


@dataclasses.dataclass(frozen=True)
class _Gauge:
    name: str
    description: str
    read: abc.Callable[[], abc.Iterable[tuple[float, Attributes]]]


class Metrics:
    """Metric instruments of one process.

    Args:
      process: Kind of process, written as a label of all values.
    """

    def __init__(self, process: str):
        self._process = process
        self._counters: list[Counter] = []
        self._histograms: list[Histogram] = []
        self._gauges: list[_Gauge] = []

    def duration(self, name: str, description: str) -> Histogram:
        """Creates a histogram of durations in seconds."""
        histogram = Histogram(
            f"auburnway_{_prometheus_name(name)}_duration_seconds", description
        )
        self._histograms.append(histogram)
        return histogram

    def counter(self, name: str, description: str) -> Counter:
        """Creates a counter."""
        counter = Counter(f"auburnway_{_prometheus_name(name)}", description)
        self._counters.append(counter)
        return counter

    def gauge(
        self,
        name: str,
        description: str,
        read: abc.Callable[[], abc.Iterable[tuple[float, Attributes]]],
        unit: str = "",
    ) -> None:
        """Adds a gauge that is read when the metrics are scraped.

        Args:
          name: Name without the prefix `auburnway.`.
          description: Help text of the metric.
          read: Returns pairs of value and attributes.
          unit: Unit with which the name ends, such as `bytes`; empty for a
            count.
        """
        full_name = f"auburnway_{_prometheus_name(name)}"
        full_name = f"{full_name}_{unit}" if unit else full_name
        self._gauges.append(_Gauge(full_name, description, read))

    def text(self) -> bytes:
        """Returns all metrics as Prometheus text."""
        import prometheus_client

        registry = prometheus_client.CollectorRegistry()
        registry.register(self)
        return prometheus_client.generate_latest(registry)

    def collect(self) -> abc.Iterator:
        """Yields the metric families; called by prometheus_client."""
        from prometheus_client import core

        for counter in self._counters:
            yield self._build_family(
                core.CounterMetricFamily,
                counter,
                [(key, (value,)) for key, value in counter.values.items()],
            )
        for histogram in self._histograms:
            yield self._build_family(
                core.HistogramMetricFamily,
                histogram,
                [
                    (key, (_cumulative_buckets(counts), sum_s[0]))
                    for key, (counts, sum_s) in histogram.values.items()
                ],
            )
        for gauge in self._gauges:
            yield self._build_family(
                core.GaugeMetricFamily,
                gauge,
                [
                    (_attributes_key(gauge_attributes), (value,))
                    for value, gauge_attributes in gauge.read()
                ],
            )

    def _build_family(self, family_type, instrument, rows):
        """Returns a metric family; `rows` are pairs of key and values."""
        names = [name for name, _ in rows[0][0]] if rows else []
        family = family_type(
            instrument.name, instrument.description, labels=["process", *names]
        )
        for key, values in rows:
            labels = [self._process, *(str(value) for _, value in key)]
            family.add_metric(labels, *values)
        return family


def _prometheus_name(name: str) -> str:
    return name.replace(".", "_")


def _cumulative_buckets(counts: abc.Sequence[int]) -> list[tuple[str, float]]:
    bounds = (*map(str, LATENCY_BOUNDS_S), "+Inf")
    cumulative_counts = itertools.accumulate(counts)
    return list(zip(bounds, cumulative_counts, strict=True))
