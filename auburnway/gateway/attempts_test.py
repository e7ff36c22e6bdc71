"""Tests of the rules for sending again, at-most-once execution included."""

from hypothesis import given
from hypothesis import strategies as st

from auburnway.gateway import attempts

Verdict = attempts.Verdict


def test_unrepeatable_request_is_sent_again_only_if_it_did_not_run():
    tracker = attempts.AttemptTracker(3, is_repeatable=False)
    tracker.on_send()
    assert not tracker.may_hedge()
    tracker.on_end(Verdict.REJECTED, True)
    assert tracker.may_retry()
    tracker.on_send()
    tracker.on_end(Verdict.LOST, False)
    assert tracker.may_retry()
    tracker.on_send()
    tracker.on_end(Verdict.LOST, True)
    assert not tracker.may_retry()
    assert tracker.may_have_run


def test_retries_at_a_rejecting_service_are_limited():
    tracker = attempts.AttemptTracker(2, is_repeatable=True)
    sends = 0
    while tracker.may_retry() and sends < 100:
        sends += 1
        tracker.on_send()
        tracker.on_end(Verdict.REJECTED, True)
    assert sends == attempts.MAX_SENDS_NOT_RUN + 1
    assert not tracker.may_have_run


@given(
    st.integers(1, 4),
    st.booleans(),
    st.lists(
        st.one_of(
            st.just("hedge"),
            st.tuples(st.sampled_from(Verdict), st.booleans()),
        ),
        max_size=20,
    ),
)
def test_never_more_runs_than_allowed(max_runs, repeatable, steps):
    tracker = attempts.AttemptTracker(max_runs, repeatable)
    tracker.on_send()
    open_sends, maybe_ran = 1, 0
    for step in steps:
        if step == "hedge":
            if tracker.may_hedge():
                tracker.on_send()
                open_sends += 1
        elif open_sends:
            verdict, reached = step
            if verdict is not Verdict.LOST:
                reached = True
            tracker.on_end(verdict, reached)
            open_sends -= 1
            maybe_ran += verdict is not Verdict.REJECTED and reached
            if verdict is not Verdict.SUCCESS and tracker.may_retry():
                tracker.on_send()
                open_sends += 1
        allowed = max_runs if repeatable else 1
        assert maybe_ran + open_sends <= allowed
        assert tracker.may_have_run == (maybe_ran + open_sends > 0)
