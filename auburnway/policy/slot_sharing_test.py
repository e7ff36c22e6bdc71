"""Tests of slot sharing: seven entries with stale views of each other."""

import hypothesis
from hypothesis import strategies as st
import pytest

from auburnway.policy import admission
from auburnway.policy import flood_driver_test as driver
from auburnway.policy import slot_sharing

ENTRIES = 7


def site(slots, load, seed=1):
    """Returns the site after 5 s of warming up and 60 s of load."""
    fleet = driver.Fleet(
        [admission.Admission(driver.RANKS, {}, 0.0) for _ in range(ENTRIES)],
        slots,
        seed,
        [
            slot_sharing.Sharing(ENTRIES, driver.RANKS, str(entry))
            for entry in range(ENTRIES)
        ],
    )
    fleet.load = lambda now_ms: load
    fleet.run(5_000)
    fleet.reset()
    fleet.run(60_000)
    print(
        f"slots={slots} idle={fleet.idle_share():.3f}"
        f" shed={fleet.shed / fleet.sent:.4f}",
        *(
            f"{rank.name}: good={fleet.goodput(rank.name):.3f}"
            f" share={fleet.share(rank.name):.3f}"
            f" p99={fleet.p99(rank.name):.0f}"
            for rank in driver.RANKS
        ),
    )
    return fleet


@pytest.mark.parametrize("slots", [15, 45])
def test_a_flood_of_the_least_urgent_rank_uses_the_slots(slots):
    # Guards against limits that leave slots idle or overshoot.
    fleet = site(slots, driver.BULK_FLOOD)
    assert fleet.idle_share() <= 0.05
    assert fleet.shed <= 0.02 * fleet.sent
    assert fleet.goodput("urgent") >= 0.99
    assert fleet.share("bulk") >= 0.09


@pytest.mark.parametrize("slots", [9, 15])
def test_a_flood_of_the_most_urgent_rank_keeps_the_floors(slots):
    # Guards against floors that hold in each entry but not in the fleet.
    fleet = site(slots, driver.URGENT_FLOOD)
    assert fleet.idle_share() <= 0.05
    assert fleet.shed <= 0.02 * fleet.sent
    assert fleet.share("normal") >= 0.18
    assert fleet.share("bulk") >= 0.09


def test_urgent_work_is_served_when_one_entry_takes_the_flood():
    # Guards against an entry whose long queue of bulk work takes the permits
    # of entries with urgent work.
    quiet = {**driver.BULK_FLOOD, "bulk": 0.01}
    flooded = {**driver.BULK_FLOOD, "bulk": 35.0}
    fleet = site(15, [flooded] + [quiet] * (ENTRIES - 1))
    assert fleet.goodput("urgent") >= 0.99
    assert fleet.shed <= 0.02 * fleet.sent


DEMANDS = st.lists(
    st.fixed_dictionaries(
        {
            rank.name: st.tuples(st.integers(0, 200), st.integers(0, 9))
            for rank in driver.RANKS
        }
    ),
    min_size=1,
    max_size=8,
)


@hypothesis.given(DEMANDS, st.integers(1, 60))
def test_equal_views_divide_the_slots_exactly(demands, slots):
    # Guards against rounding that loses or doubles permits.
    named = {str(number): demand for number, demand in enumerate(demands)}
    limits = [
        slot_sharing.Sharing(len(named), driver.RANKS, name).limit(
            "app",
            slots,
            own,
            {peer: d for peer, d in named.items() if peer != name},
            0.0,
            0.0,
        )
        for name, own in named.items()
    ]
    assert min(limits) >= 1.0
    if len(named) == 1:
        assert limits == [slots]
    else:
        assert sum(limits) == max(slots, len(named))


def test_sheds_lower_the_limit_and_calm_restores_it():
    # Guards against an entry that keeps sending to servers that have fewer
    # free slots than they announce, and against a limit that stays low.
    sharing = slot_sharing.Sharing(1, driver.RANKS, "a")
    demand = {"urgent": (50, 10)}
    limits = []
    for beat in range(200):
        shed = 0.5 if beat < 50 else 0.0
        limits.append(sharing.limit("app", 10, demand, {}, shed, 200.0 * beat))
    assert limits[49] <= 6.0
    assert limits[-1] == pytest.approx(10.0, rel=0.05)
