"""Tests of the budget for hedges and retries."""

import hypothesis
from hypothesis import strategies as st

from auburnway.policy import retry_budget


@hypothesis.given(
    st.lists(st.tuples(st.sampled_from("esqc"), st.integers(1, 300)))
)
def test_extra_load_stays_under_its_share(steps):
    # Guards against extra load above 5%, in total and in any burst, and
    # against tokens that are added while queries wait for admission.
    budget = retry_budget.Budget(0.05, 10.0)
    earned = spent = 0.0
    is_queueing = False
    for step, count in steps:
        if step == "e":
            for _ in range(count):
                budget.on_sub_request()
            earned += 0.0 if is_queueing else 0.05 * count
        elif step == "s":
            burst = sum(budget.try_spend(0.0) for _ in range(count))
            spent += burst
            assert burst <= 10
        else:
            is_queueing = step == "q"
            budget.set_overloaded(is_queueing)
        assert spent <= earned + 1e-6


def test_the_whole_share_can_be_spent():
    # Guards against a budget that allows less than its share.
    budget = retry_budget.Budget(0.05, 10.0)
    spent = 0
    for _ in range(10_000):
        budget.on_sub_request()
        spent += budget.try_spend(0.0)
    assert spent == 500


def test_hedges_leave_a_reserve_for_retries():
    # Guards against partial answers because hedges spent all tokens before a
    # server began to fail.
    budget = retry_budget.Budget()
    for _ in range(1000):
        budget.on_sub_request()
    while budget.try_spend_hedge(0.0):
        pass
    retries = sum(budget.try_spend(0.0) for _ in range(100))
    assert retries == int(retry_budget.RETRY_RESERVE)


def test_entries_together_stay_within_the_budget_of_a_window():
    # Each entry has its own budget. The sum of extra sends over all entries
    # must stay under share x requests + slack in each window.
    entries, slack, share, window_s = 7, 54.0, 0.2, 10.0
    burst = 0.6 * slack / entries
    budgets = [
        retry_budget.Budget(
            0.8 * share,
            burst,
            reserve=0.0,
            tokens=burst / 2,
            refill_per_s=0.2 * slack / entries / window_s,
        )
        for _ in range(entries)
    ]
    requests, spent = [], []
    for step in range(40):
        now_ms, sent, extra = step * 500.0, 0, 0
        for budget in budgets:
            # A quiet period, then an overload in which all tokens are spent.
            for _ in range(20 if step > 20 else 1):
                budget.on_sub_request()
                sent += 1
            while step > 18 and budget.try_spend(now_ms):
                extra += 1
        requests.append(sent)
        spent.append(extra)
    steps = int(window_s * 2)
    for end in range(steps, len(spent)):
        allowed = share * sum(requests[end - steps : end]) + slack
        assert sum(spent[end - steps : end]) <= allowed


def test_late_retry_leaves_a_token_for_a_request_in_time():
    # Guards against late requests that use up the budget of requests that can
    # still meet their objective.
    budget = retry_budget.Budget(burst=4.0, tokens=3.0)
    assert budget.try_spend_late(0.0)
    assert budget.try_spend_late(0.0)
    assert not budget.try_spend_late(0.0)
    assert budget.try_spend(0.0)


def test_small_bucket_allows_hedges_and_late_retries():
    # Guards against a reserve that the bucket of an entry among many can never
    # exceed.
    for spend in ("try_spend_hedge", "try_spend_late"):
        budget = retry_budget.Budget(burst=1.0, tokens=1.0)
        budget.set_burst(1.0, 0.0, 0.25)
        assert getattr(budget, spend)(0.0)
