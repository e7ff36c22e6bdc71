"""Tests that the baselines behave as the usual defaults do."""

import math
import random

from auburnway.kernel import registry
from auburnway.policy import admission
from auburnway.policy import baselines
from auburnway.policy import flood_driver_test as driver
from auburnway.policy import replica_choice_test


def test_all_policies_are_registered():
    # Guards against a plug-in that a release note cannot choose.
    registry.load("auburnway.policy")
    assert registry.names("admission") == ("first_come", "ranked")
    assert registry.names("hedging") == ("fixed_timeout", "none", "quantile")
    assert registry.names("replica_choice") == ("round_robin", "two_choices")


def test_round_robin_takes_turns_and_skips_the_excluded():
    # Guards against a baseline that is uneven.
    chooser = baselines.RoundRobin(random.Random(1), "here")
    rows = replica_choice_test.ROWS
    names = [chooser.choose(rows, (), 0.0).name for _ in range(6)]
    assert sorted(names) == ["a", "a", "b", "b", "c", "c"]
    assert chooser.choose(rows, {"a", "b"}, 0.0).name == "c"


def test_first_come_starts_in_order_of_arrival():
    # Guards against a baseline that prefers a rank.
    entry = baselines.FirstCome(driver.RANKS, {}, 0.0)
    assert entry.offer("q0", "bulk", "a", 1.0, 0.0) == admission.ADMITTED
    entry.offer("q1", "bulk", "a", 1.0, 0.0)
    entry.offer("q2", "bulk", "a", math.inf, 0.0)
    entry.offer("q3", "urgent", "a", math.inf, 0.0)
    assert entry.demand()["bulk"] == (2, 1)
    entry.finish("q0", 5.0)
    assert entry.poll(5.0) == (("q2",), (("q1", "deadline"),))


def test_first_come_fails_in_a_flood():
    # Guards against a driver too mild to tell the policies apart.
    fleet = driver.one_entry(3, baselines.FirstCome)
    fleet.load = lambda now_ms: driver.BULK_FLOOD
    fleet.run(30_000)
    print(f"first come: urgent goodput {fleet.goodput('urgent'):.3f}")
    assert fleet.goodput("urgent") < 0.5
