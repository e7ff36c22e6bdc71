"""Tests of slot sharing: seven entries with outdated demand of each other."""

import hypothesis
from hypothesis import strategies as st
import pytest

from auburnway.policy import admission
from auburnway.policy import flood_driver_test as driver
from auburnway.policy import slot_sharing

ENTRIES = 7
RANKS = driver.RANKS
DEMANDS = st.lists(
    st.fixed_dictionaries(
        {
            r.name: st.tuples(st.sampled_from([0, 9, 2000]), st.just(1))
            for r in RANKS
        }
    ),
    min_size=2,
    max_size=8,
)


@pytest.mark.parametrize(
    "slots, flood, max_idle_share",
    [
        (9, "even bulk", 0.05),
        (15, "even bulk", 0.05),
        (45, "even bulk", 0.05),
        (9, "even urgent", 0.05),
        (15, "even urgent", 0.05),
        (15, "urgent at one entry", 0.05),
        # The target of 5% is not met in this case: entries with little load
        # must reserve permits for urgent queries, and the other entries receive
        # that demand late.
        (15, "bulk at one entry", 0.30),
    ],
)
def test_entries_share_the_slots_in_floods(slots, flood, max_idle_share):
    # Guards against limits that leave slots idle, exceed the slots, violate
    # the fleet-wide floor shares, or give permits of urgent queries to a long
    # queue of bulk queries.
    entries = [admission.Admission(RANKS, {}, 0.0) for _ in range(ENTRIES)]
    fleet = driver.Fleet(
        entries,
        slots,
        sharings=[
            slot_sharing.SlotSharing(ENTRIES, RANKS, str(entry))
            for entry in range(ENTRIES)
        ],
    )
    is_urgent = "urgent" in flood
    load = driver.URGENT_FLOOD if is_urgent else driver.BULK_FLOOD
    fleet.loads = [load] * ENTRIES
    if "one" in flood:
        rank = flood.split()[0]
        quiet = {**load, rank: 0.01}
        flooded = {**load, rank: ENTRIES * load[rank]}
        fleet.loads = [flooded] + [quiet] * (ENTRIES - 1)
    fleet.measure(5_000).measure(60_000)
    idle_share = fleet.idle_ms / fleet.slot_ms
    shed_share = sum(fleet.was_shed) / len(fleet.was_shed)
    print(f"{slots} slots, {flood}: idle {idle_share:.3f}", end=" ")
    print(f"shed {shed_share:.4f}, {fleet}")
    assert idle_share <= max_idle_share
    assert shed_share <= 0.02
    if is_urgent:
        assert fleet.figures("urgent")[1] >= 0.4
    else:
        assert fleet.figures("urgent")[0] >= 0.99
    assert fleet.figures("normal")[1] >= 0.18
    assert fleet.figures("bulk")[1] >= 0.09


@hypothesis.given(DEMANDS, st.integers(1, 60))
def test_equal_views_divide_the_slots_exactly(demands, slots):
    # Guards against rounding that loses permits or counts them twice.
    named = {str(number): demand for number, demand in enumerate(demands)}
    limits = []
    for name, own in named.items():
        peers = {peer: d for peer, d in named.items() if peer != name}
        sharing = slot_sharing.SlotSharing(1, RANKS, name)
        limits.append(sharing.limit("app", slots, own, peers, 0.0, 0.0))
    assert min(limits) >= 1.0
    assert sum(limits) == max(slots, len(named))


def test_limit_falls_with_sheds_and_recovers():
    # Guards against an entry that overloads servers that have fewer free slots
    # than they report, and against a limit that is not raised again.
    sharing = slot_sharing.SlotSharing(1, RANKS, "a")
    limits = [
        sharing.limit(
            "app", 10, {"urgent": (50, 10)}, {}, 0.5 * (i < 50), 200.0 * i
        )
        for i in range(200)
    ]
    assert limits[49] <= 6.0
    assert limits[-1] == pytest.approx(10.0, rel=0.05)
