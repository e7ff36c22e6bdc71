"""Which sends are allowed; guards at most once for unrepeatable requests."""

from hypothesis import given
from hypothesis import strategies as st

from auburnway.gateway import attempts

V = attempts.Verdict


def test_unrepeatable_request_is_sent_again_only_if_it_did_not_run():
    rules = attempts.Attempts(3, is_repeatable=False)
    rules.on_send()
    assert not rules.may_hedge()
    rules.on_end(V.REJECTED, True)
    assert rules.may_retry()
    rules.on_send()
    rules.on_end(V.LOST, False)
    assert rules.may_retry()
    rules.on_send()
    rules.on_end(V.LOST, True)
    assert not rules.may_retry()
    assert rules.may_have_run


def test_full_service_is_not_asked_for_ever():
    rules = attempts.Attempts(2, is_repeatable=True)
    sends = 0
    while rules.may_retry() and sends < 100:
        sends += 1
        rules.on_send()
        rules.on_end(V.REJECTED, True)
    assert sends == attempts.MAX_NOT_RUN + 1
    assert not rules.may_have_run


@given(
    st.integers(1, 4),
    st.booleans(),
    st.lists(
        st.one_of(
            st.just("hedge"),
            st.tuples(st.sampled_from(V), st.booleans()),
        ),
        max_size=20,
    ),
)
def test_never_more_runs_than_allowed(max_runs, repeatable, steps):
    rules = attempts.Attempts(max_runs, repeatable)
    rules.on_send()
    open_sends, maybe_ran = 1, 0
    for step in steps:
        if step == "hedge":
            if rules.may_hedge():
                rules.on_send()
                open_sends += 1
        elif open_sends:
            verdict, reached = step
            if verdict is not V.LOST:
                reached = True
            rules.on_end(verdict, reached)
            open_sends -= 1
            maybe_ran += verdict is not V.REJECTED and reached
            if verdict is not V.SUCCESS and rules.may_retry():
                rules.on_send()
                open_sends += 1
        allowed = max_runs if repeatable else 1
        assert maybe_ran + open_sends <= allowed
        assert rules.may_have_run == (maybe_ran + open_sends > 0)
