"""Tests of the hedging delay."""

import random

import pytest

from auburnway.policy import hedging


def observe(hedger, latencies, start_ms=0.0, step_ms=10.0):
    for number, latency_ms in enumerate(latencies):
        hedger.observe("app", latency_ms, start_ms + step_ms * number)
    return hedger.delay_ms("app")


def test_no_delay_until_enough_samples():
    # Guards against delays that are based on too few samples after a start.
    assert hedging.Hedger().delay_ms("app") is None
    assert observe(hedging.Hedger(), [10.0] * hedging.MIN_SAMPLES) is None


@pytest.mark.parametrize("mean_ms", [0.8, 20.0, 700.0])
def test_about_one_in_twenty_waits_longer(mean_ms):
    # Guards against delays that are too short or too long at any latency.
    rng = random.Random(3)
    latencies = [rng.expovariate(1.0 / mean_ms) for _ in range(900)]
    delay_ms = observe(hedging.Hedger(), latencies)
    later = sum(value > delay_ms for value in latencies) / 900
    print(f"mean {mean_ms} ms: {later:.3f} wait longer")
    assert 0.035 <= later <= 0.065


@pytest.mark.parametrize("pause_ms, count", [(0.0, 1_100), (60_000.0, 200)])
def test_old_samples_are_forgotten(pause_ms, count):
    # Guards against a delay that does not follow a change of the latency.
    hedger = hedging.Hedger()
    observe(hedger, [100.0] * 2_000)
    delay_ms = observe(hedger, [10.0] * count, 20_000.0 + pause_ms)
    assert delay_ms == pytest.approx(10.0, rel=0.02)


def test_an_application_with_few_requests_has_a_delay():
    # Guards against an application with 2 sub-requests/s that is never hedged,
    # because no window contains enough samples.
    assert observe(hedging.Hedger(), [10.0] * 300, step_ms=500.0) is not None
