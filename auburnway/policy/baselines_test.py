"""Tests of the baseline policies."""

import math

from auburnway.kernel import registry
from auburnway.policy import admission
from auburnway.policy import flood_driver_test as driver


def test_all_policies_are_registered():
    # Guards against a policy that a release note cannot select by name.
    registry.load("auburnway.policy")
    assert registry.names("admission") == ("first_come", "ranked")
    assert registry.names("hedging") == ("fixed_timeout", "none", "quantile")
    assert registry.names("replica_choice") == ("round_robin", "two_choices")


def test_first_come_ignores_ranks():
    # Guards against a baseline that is better or worse than a plain queue, and
    # against a simulated overload too small to show differences of policies.
    make = registry.get("admission", "first_come")
    entry = make(driver.RANKS, {}, 0.0)
    assert entry.offer("q0", "bulk", "a", 1.0, 0.0) == admission.ADMITTED
    entry.offer("q1", "bulk", "a", 1.0, 0.0)
    entry.offer("q2", "bulk", "a", math.inf, 0.0)
    entry.offer("q3", "urgent", "a", math.inf, 0.0)
    entry.finish("q0", 5.0)
    assert entry.poll(5.0) == (("q2",), (("q1", "deadline"),))
    fleet = driver.one_entry(3, driver.BULK_FLOOD, make).measure(60_000)
    print(f"first come: urgent goodput {fleet.figures('urgent')[0]:.3f}")
    assert fleet.figures("urgent")[0] < 0.5
