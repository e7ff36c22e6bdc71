"""Tests of the choice of the sources of news."""

import collections

import hypothesis
from hypothesis import strategies

from auburnway.policy import news_sources

CONTROLS = {f"10.{n}.0.1:1": "abcde"[n % 5] for n in range(7)}
NONE = news_sources.Sources()


def choose(connected, current=NONE, name="e", data_center="a"):
    return news_sources.choose(connected, current, name, data_center)


def test_sources_of_the_own_data_centre_come_first():
    # Guards against news that crosses data centres without need.
    chosen = choose(CONTROLS)
    assert {chosen.news, chosen.watched} == {"10.0.0.1:1", "10.5.0.1:1"}
    assert choose(CONTROLS, data_center="c").news == "10.2.0.1:1"


def test_lost_source_is_replaced_and_the_other_kept():
    # Guards against an entry without news after the loss of its source.
    before = choose(CONTROLS, data_center="c")
    without_news = {a: d for a, d in CONTROLS.items() if a != before.news}
    after = choose(without_news, before, data_center="c")
    assert after.news in without_news
    assert after.watched in without_news
    assert after.news != after.watched
    without_watched = {a: d for a, d in CONTROLS.items() if a != before.watched}
    after = choose(without_watched, before, data_center="c")
    assert after.news == before.news
    assert after.watched not in (None, before.news, before.watched)


def test_instance_of_unknown_data_centre_is_no_source():
    # An instance of an earlier version sends all news without being asked.
    assert choose({"x": None, "y": "b"}) == news_sources.Sources("y")


def test_source_of_another_data_centre_gives_way_to_one_of_the_own():
    current = news_sources.Sources("10.1.0.1:1", "10.2.0.1:1")
    chosen = choose(CONTROLS, current)
    assert {chosen.news, chosen.watched} == {"10.0.0.1:1", "10.5.0.1:1"}


def test_entries_are_spread_over_the_sources():
    # Guards against one control instance that sends the news to all entries.
    chosen = [choose(CONTROLS, NONE, f"e{n}", "z") for n in range(300)]
    for counts in (
        collections.Counter(sources.news for sources in chosen),
        collections.Counter(sources.watched for sources in chosen),
    ):
        assert len(counts) == len(CONTROLS)
        assert max(counts.values()) < 2 * min(counts.values())


@hypothesis.given(
    strategies.dictionaries(
        strategies.text(max_size=3),
        strategies.sampled_from(["a", "b", None]),
        max_size=6,
    ),
    strategies.text(max_size=3),
    strategies.text(max_size=3),
)
def test_choice_is_stable(connected, news, watched):
    # Guards against an entry that changes its sources again and again.
    chosen = choose(connected, news_sources.Sources(news, watched))
    names = {chosen.news, chosen.watched} - {None}
    assert names <= connected.keys()
    known_count = sum(location is not None for location in connected.values())
    assert len(names) == min(known_count, 2)
    assert choose(connected, chosen) == chosen


def asks(watch, own_digest, until_ms, since_ms=0):
    return [
        now_ms
        for now_ms in range(since_ms, until_ms, 100)
        if watch.should_ask(own_digest, now_ms)
    ]


def test_news_that_the_source_did_not_send_are_asked_for_within_a_second():
    # Guards against an entry that sends requests to a server that has ended
    # because its source of news stands still.
    watch = news_sources.DigestWatch()
    assert not asks(watch, "own", 2000)
    watch.on_digest("other")
    assert asks(watch, "own", 3000, 2000)[0] == 2500


def test_news_on_their_way_are_not_asked_for():
    # Guards against the whole table for each change.
    watch = news_sources.DigestWatch()
    watch.on_digest("new")
    assert not asks(watch, "old", 400)
    assert not asks(watch, "new", 5000, 400)


def test_table_that_stays_different_is_asked_for_seldom():
    # Guards against tables that are sent without end as one of them still has
    # a row that the other has forgotten.
    watch = news_sources.DigestWatch()
    watch.on_digest("other")
    times = asks(watch, "own", 60_000)
    assert len(times) < 14
    assert times[-1] - times[-2] >= news_sources.MAX_PAUSE_MS


def test_another_watched_instance_starts_anew():
    watch = news_sources.DigestWatch()
    watch.on_digest("other")
    asks(watch, "own", 10_000)
    watch.reset()
    assert not asks(watch, "own", 12_000, 10_000)
