"""Tests that plans stay within the fault tolerance of the system."""

import pytest

from auburnway.soak import plan


def make_plan(seed):
    return plan.make_plan(seed, 60.0, 3, 3, 6)


def test_plan_follows_from_its_seed():
    assert make_plan(3) == make_plan(3)
    assert make_plan(3) != make_plan(4)


@pytest.mark.parametrize("seed", range(20))
def test_one_control_instance_is_lost_at_a_time(seed):
    # A plan with more simultaneous losses would make a run fail although the
    # system keeps its guarantees.
    recovered_s = float("-inf")
    for timed_fault in make_plan(seed):
        fault = timed_fault.fault
        if getattr(fault, "role", "control") != "control":
            continue
        if not isinstance(
            fault,
            plan.Kill | plan.Freeze | plan.Stop | plan.LoseDisk | plan.TearLog,
        ):
            continue
        assert timed_fault.at_s >= recovered_s
        outage_s = getattr(fault, "down_s", 0.0) + getattr(fault, "for_s", 0.0)
        recovered_s = timed_fault.at_s + outage_s + plan.CATCH_UP_S


@pytest.mark.parametrize("seed", range(5))
def test_no_fault_begins_in_the_fault_free_time(seed):
    assert (
        max(timed_fault.at_s for timed_fault in make_plan(seed))
        < 60.0 - plan.FAULT_FREE_S
    )


def test_plans_contain_all_kinds_of_faults():
    kinds = {
        type(timed_fault.fault)
        for seed in range(20)
        for timed_fault in make_plan(seed)
    }
    assert kinds == set(plan.Fault.__args__)
