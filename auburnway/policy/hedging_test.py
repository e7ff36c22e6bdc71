"""Tests of the hedging delay."""

import random

import pytest

from auburnway.kernel import registry
from auburnway.policy import baselines  # noqa: F401  Registers the baselines.
from auburnway.policy import hedging


def observe(hedger, latencies, start_ms=0.0, step_ms=10.0):
    now_ms = start_ms
    for latency_ms in latencies:
        now_ms += step_ms
        hedger.observe("app", latency_ms, now_ms)
    return now_ms


def test_no_delay_until_enough_samples():
    # Guards against hedges at random delays just after a start.
    hedger = hedging.Hedger()
    assert hedger.delay_ms("app") is None
    observe(hedger, [10.0] * (hedging.MIN_SAMPLES - 1))
    hedger.observe("app", 10.0, 5_000.0)
    assert hedger.delay_ms("app") is None


@pytest.mark.parametrize("mean_ms", [0.8, 20.0, 700.0])
def test_about_one_in_twenty_waits_longer(mean_ms):
    # Guards against hedges that come too early or too late at any scale.
    rng = random.Random(3)
    latencies = [rng.expovariate(1.0 / mean_ms) for _ in range(900)]
    hedger = hedging.Hedger()
    observe(hedger, latencies)
    later = sum(value > hedger.delay_ms("app") for value in latencies)
    print(f"mean {mean_ms} ms: {later / 900:.3f} wait longer")
    assert 0.035 <= later / 900 <= 0.065


@pytest.mark.parametrize("pause_ms", [0.0, 60_000.0])
def test_old_samples_are_forgotten(pause_ms):
    # Guards against a delay that stays at an earlier latency.
    hedger = hedging.Hedger()
    now_ms = observe(hedger, [100.0] * 2_000)
    observe(hedger, [10.0] * 1_100, start_ms=now_ms + pause_ms)
    assert hedger.delay_ms("app") == pytest.approx(10.0, rel=0.02)


def test_fixed_timeout_is_not_budgeted():
    # Guards against a baseline that is milder than the usual default.
    fixed = registry.get("hedging", "fixed_timeout")()
    assert (fixed.max_extra, fixed.budgeted) == (3, False)
    assert fixed.delay_ms("app") == 100.0
    assert registry.get("hedging", "none")().delay_ms("app") is None
