"""Tests of the recipients of news of backend servers."""

from auburnway.registrar import subscribers as subscribers_lib


def test_entry_gets_all_news_until_it_says_otherwise():
    # Guards against an entry of an earlier version that hears of nothing.
    subscribers = subscribers_lib.Subscribers()
    assert subscribers.recipients("ab", True) == ("a", "b")
    subscribers.put("a", False)
    assert subscribers.recipients("ab", True) == ("b",)
    subscribers.put("a", True)
    assert subscribers.recipients("ab", True) == ("a", "b")


def test_all_entries_are_told_while_an_instance_is_unreachable():
    # Guards against entries that miss a drain because both their sources are
    # on the other side of a partition.
    subscribers = subscribers_lib.Subscribers()
    subscribers.put("a", False)
    assert subscribers.recipients("ab", False) == ("a", "b")


def test_stream_number_that_is_used_again_is_a_new_entry():
    subscribers = subscribers_lib.Subscribers()
    subscribers.put("a", False)
    subscribers.drop("a")
    assert subscribers.wants("a")


def test_changes_before_a_noticed_loss_are_repeated_once():
    subscribers = subscribers_lib.Subscribers()
    subscribers.on_change(("s1",), 0.0)
    subscribers.on_change(("s2", "s3"), 1000.0)
    subscribers.on_change(("s2",), 2000.0)
    assert subscribers.recent(3500.0) == ("s2", "s3")
    assert subscribers.recent(5500.0) == ()


def test_few_entries_are_asked_for_their_rows():
    # Guards against a start at which each entry sends its whole table.
    subscribers = subscribers_lib.Subscribers()
    asked = [subscribers.should_ask_rows() for _ in range(10)]
    assert sum(asked) == subscribers_lib.ASKED_ENTRIES
