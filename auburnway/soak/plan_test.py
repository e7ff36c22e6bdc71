"""Plans stay within what the system has to bear."""

import pytest

from auburnway.soak import plan


def made(seed):
    return plan.plan(seed, 60.0, 3, 3, 6)


def test_plan_follows_from_its_seed():
    assert made(3) == made(3)
    assert made(3) != made(4)


@pytest.mark.parametrize("seed", range(20))
def test_one_control_instance_is_lost_at_a_time(seed):
    # Guards against a run that fails because it went beyond the promise.
    until_s = float("-inf")
    for timed in made(seed):
        fault = timed.fault
        if getattr(fault, "role", "control") != "control":
            continue
        if not isinstance(
            fault,
            plan.Kill | plan.Freeze | plan.Stop | plan.LoseDisk | plan.TearLog,
        ):
            continue
        assert timed.at_s >= until_s
        lost_s = getattr(fault, "down_s", 0.0) + getattr(fault, "for_s", 0.0)
        until_s = timed.at_s + lost_s + plan.CATCH_UP_S


@pytest.mark.parametrize("seed", range(5))
def test_no_fault_begins_in_the_calm(seed):
    assert max(timed.at_s for timed in made(seed)) < 60.0 - plan.CALM_S


def test_all_kinds_of_faults_come():
    kinds = {type(t.fault) for seed in range(20) for t in made(seed)}
    assert kinds == set(plan.Fault.__args__)
