"""Tests of the admission of requests by a process that is stopping."""

import hypothesis
from hypothesis import strategies

from auburnway.policy import stop_admission

STOP = stop_admission.Stop(started_ms=1000.0, min_ms=3000.0, grace_ms=6000.0)


def test_request_that_may_outlast_the_process_is_refused():
    # Guards against cutting a request that was taken late in the grace time.
    assert STOP.accepts(deadline_ms=STOP.end_ms)
    assert not STOP.accepts(deadline_ms=STOP.end_ms + 1)


@hypothesis.given(strategies.floats(1000, 8000), strategies.floats(1, 10_000))
def test_taken_request_ends_before_the_process(sent_ms, left_ms):
    deadline_ms = sent_ms + left_ms
    if STOP.accepts(deadline_ms):
        assert not STOP.is_over(deadline_ms, open_count=1)


def test_process_serves_until_clients_have_new_addresses():
    assert not STOP.is_over(3999.0, open_count=0)
    assert STOP.is_over(4001.0, open_count=0)


def test_process_ends_before_it_is_killed():
    assert not STOP.is_over(STOP.end_ms, open_count=1)
    assert STOP.is_over(STOP.end_ms + 1, open_count=1)
    assert STOP.end_ms < STOP.started_ms + STOP.grace_ms
