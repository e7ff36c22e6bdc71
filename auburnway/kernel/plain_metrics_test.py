"""Tests of the Prometheus text of metrics without OpenTelemetry."""

from prometheus_client import parser

from auburnway.kernel import plain_metrics


def scrape_samples(metrics):
    families = parser.text_string_to_metric_families(metrics.text().decode())
    return {
        (sample.name, *sorted(sample.labels.items())): sample.value
        for family in families
        for sample in family.samples
        if not sample.name.endswith("_created")
    }


def test_counter_by_attributes():
    metrics = plain_metrics.Metrics("entry")
    counter = metrics.counter("answers", "Answers.")
    for rank in (0, 1, 1):
        counter.add(1, {"rank": rank, "reason": "ok"})
    name, process = "auburnway_answers_total", ("process", "entry")
    reason = ("reason", "ok")
    assert scrape_samples(metrics) == {
        (name, process, ("rank", "0"), reason): 1,
        (name, process, ("rank", "1"), reason): 2,
    }


def test_histogram_counts_up_to_each_bound():
    # Prometheus computes quantiles from cumulative buckets.
    metrics = plain_metrics.Metrics("entry")
    histogram = metrics.duration("request", "Time.")
    for seconds in (0.001, 0.002, 0.03, 99.0):
        histogram.record(seconds, {"rank": 0})
    name = "auburnway_request_duration_seconds"
    labels = (("process", "entry"), ("rank", "0"))
    sample_values = scrape_samples(metrics)
    expected_counts = [("0.002", 2), ("0.04", 3), ("5.12", 3), ("+Inf", 4)]
    for bound, count in expected_counts:
        assert (
            sample_values[(f"{name}_bucket", ("le", bound), *labels)] == count
        )
    assert sample_values[(f"{name}_count", *labels)] == 4
    assert sample_values[(f"{name}_sum", *labels)] == 99.033


def test_gauge_is_read_at_scrape_time():
    metrics = plain_metrics.Metrics("control")
    values = [3]
    metrics.gauge(
        "consensus.log.size", "Size.", lambda: [(values[0], {})], "bytes"
    )
    values[0] = 5
    key = ("auburnway_consensus_log_size_bytes", ("process", "control"))
    assert scrape_samples(metrics) == {key: 5}
