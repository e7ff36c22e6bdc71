"""Tests of pauses that servers ask for, and of the return after them."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from auburnway.policy import server_pause


def _paused(duration_ms, seed=0):
    pause = server_pause.Pause()
    pause.start(duration_ms, 0.0, random.Random(seed))
    return pause


@hypothesis.given(strategies.floats(0.0, 1e9), strategies.integers(0, 1000))
def test_nothing_is_sent_before_the_end(duration_ms, seed):
    # Guards against a request within the time that the server asked for.
    pause = _paused(duration_ms, seed)
    duration_ms = min(duration_ms, server_pause.MAX_PAUSE_MS)
    now_ms = 0.999 * duration_ms
    assert pause.wait_ms(0, now_ms) >= 0.0
    if now_ms < duration_ms:
        assert pause.is_active(now_ms)
    assert pause.wait_ms(0, 1.1 * duration_ms + 250.0) == 0.0


def test_a_later_reply_does_not_shorten_a_pause():
    # Guards against a late reply of an earlier request that ends the pause.
    pause = _paused(5_000.0)
    pause.start(100.0, 50.0, random.Random(1))
    assert pause.is_active(4_999.0)


def test_entries_return_at_different_moments():
    # Guards against all entries that return in one instant.
    waits_ms = [_paused(4_000.0, seed).wait_ms(0, 0.0) for seed in range(7)]
    assert max(waits_ms) - min(waits_ms) > 100.0
    assert min(waits_ms) >= 4_000.0


def test_return_is_one_request_at_a_time_first():
    # Guards against a flood at the end of a pause.
    pause = _paused(1_000.0)
    now_ms = 2_000.0
    allowed = []
    for _ in range(4):
        allowed.append(
            next(n for n in range(99) if n == 50 or pause.wait_ms(n, now_ms))
        )
        pause.on_success(5, now_ms)
    assert allowed == [1, 2, 4, 50]


def test_answers_within_a_pause_do_not_end_the_slow_return():
    pause = _paused(1_000.0)
    pause.on_success(1, 500.0)
    assert pause.wait_ms(1, 2_000.0) == pytest.approx(server_pause.RECHECK_MS)
