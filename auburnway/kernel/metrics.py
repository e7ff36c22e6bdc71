"""OpenTelemetry metrics, exported as Prometheus text.

Names and units follow the OpenTelemetry conventions: durations in seconds,
counts without unit.
"""

from collections import abc

from opentelemetry import metrics as otel
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk.metrics import view
import prometheus_client

from auburnway.kernel import plain_metrics


class Metrics:
    """Metric instruments of one process.

    Args:
      process: Name of the process, which is a part of the meter's name.
    """

    def __init__(self, process: str):
        self._registry = prometheus_client.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(registry=self._registry)
        self._provider = sdk.MeterProvider(
            metric_readers=[reader],
            views=[
                view.View(
                    instrument_name="*.duration",
                    aggregation=view.ExplicitBucketHistogramAggregation(
                        plain_metrics.LATENCY_BOUNDS_S
                    ),
                )
            ],
        )
        self._meter = self._provider.get_meter(f"auburnway.{process}")

    def duration(self, name: str, description: str) -> otel.Histogram:
        """Creates a histogram of durations in seconds."""
        return self._meter.create_histogram(
            f"auburnway.{name}.duration", unit="s", description=description
        )

    def counter(self, name: str, description: str) -> otel.Counter:
        """Creates a counter."""
        return self._meter.create_counter(
            f"auburnway.{name}", unit="1", description=description
        )

    def gauge(
        self,
        name: str,
        description: str,
        read: abc.Callable[[], abc.Iterable[tuple[float, dict[str, str]]]],
        unit: str = "1",
    ) -> None:
        """Adds a gauge that is read when the metrics are scraped.

        Args:
          name: Name without the prefix `auburnway.`.
          description: Help text of the metric.
          read: Returns pairs of value and attributes; called on the thread that
            serves the scrape.
          unit: Unit of the value.
        """

        def observe(_):
            return [
                otel.Observation(value, attributes)
                for value, attributes in read()
            ]

        self._meter.create_observable_gauge(
            f"auburnway.{name}",
            callbacks=[observe],
            unit=unit,
            description=description,
        )

    def text(self) -> bytes:
        """Returns all metrics as Prometheus text."""
        return prometheus_client.generate_latest(self._registry)

    def close(self) -> None:
        """Shuts the provider down."""
        self._provider.shutdown()
