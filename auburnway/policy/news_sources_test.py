"""Tests of the choice of the sources of news."""

import collections

import hypothesis
from hypothesis import strategies

from auburnway.policy import news_sources

CONTROLS = {f"10.{n}.0.1:1": "abcde"[n % 5] for n in range(7)}


def choose(connected, current=frozenset(), name="e", data_center="a"):
    return news_sources.choose(connected, current, name, data_center)


def test_sources_of_the_own_data_centre_come_first():
    # Guards against news that crosses data centres without need.
    assert choose(CONTROLS) == {"10.0.0.1:1", "10.5.0.1:1"}
    assert "10.2.0.1:1" in choose(CONTROLS, data_center="c")


def test_lost_source_is_replaced_and_the_other_kept():
    # Guards against an entry without news after the loss of its source.
    before = choose(CONTROLS, data_center="c")
    for lost in before:
        rest = {a: d for a, d in CONTROLS.items() if a != lost}
        after = choose(rest, before - {lost}, data_center="c")
        assert len(after) == 2
        assert before - {lost} < after


def test_instance_of_unknown_data_centre_is_no_source():
    # An instance of an earlier version sends all news without being asked.
    assert choose({"x": None, "y": "b"}) == {"y"}


def test_source_of_another_data_centre_gives_way_to_one_of_the_own():
    current = {"10.1.0.1:1", "10.2.0.1:1"}
    assert choose(CONTROLS, current) == {"10.0.0.1:1", "10.5.0.1:1"}


def test_entries_are_spread_over_the_sources():
    # Guards against one control instance that sends the news to all entries.
    counts = collections.Counter()
    for n in range(300):
        counts.update(choose(CONTROLS, name=f"e{n}", data_center="z"))
    assert len(counts) == len(CONTROLS)
    assert max(counts.values()) < 2 * min(counts.values())


@hypothesis.given(
    strategies.dictionaries(
        strategies.text(max_size=3),
        strategies.sampled_from(["a", "b", None]),
        max_size=6,
    ),
    strategies.sets(strategies.text(max_size=3)),
)
def test_choice_is_stable(connected, current):
    # Guards against an entry that changes its sources again and again.
    chosen = choose(connected, current)
    assert chosen <= connected.keys()
    assert choose(connected, chosen) == chosen
