"""Tests of the list of entries that is merged from control instances."""

from auburnway.core import clock as clock_lib
from auburnway.gateway import entry_list as entry_list_lib
from auburnway.policy import entry_selection

A, B, C = (entry_selection.Entry(f"10.0.0.{n}:80", "a") for n in (1, 2, 3))


def merged_list():
    clock = clock_lib.ManualClock()
    entries = entry_list_lib.EntryList(clock)
    entries.put("c1", (A, B), 0.1)
    entries.put("c2", (B, C), 0.3)
    return clock, entries


def test_lists_are_merged():
    _, entries = merged_list()
    assert set(entries.entries()) == {A, B, C}
    assert entries.active_count == 3


def test_changes_apply_to_the_list_of_their_control_instance():
    clock, entries = merged_list()
    entries.change("c1", (C,), (A, B), 0.2)
    clock.advance(entry_list_lib.LISTED_TTL_MS + 1)
    assert set(entries.entries()) == {B, C}


def test_entry_that_all_instances_removed_is_dropped_at_once():
    # Guards against clients that are sent to a killed entry for seconds.
    _, entries = merged_list()
    entries.change("c1", (), (A, B), 0.1)
    assert set(entries.entries()) == {B, C}
    entries.change("c2", (), (B,), 0.1)
    assert set(entries.entries()) == {C}


def test_entry_that_one_lost_instance_listed_stays_for_a_time():
    clock, entries = merged_list()
    entries.remove_list("c1")
    assert A in entries.entries()
    clock.advance(entry_list_lib.LISTED_TTL_MS + 1)
    assert set(entries.entries()) == {B, C}


def test_unlisted_entry_is_dropped_after_a_time():
    clock, entries = merged_list()
    entries.put("c1", (B,), 0.1)
    assert A in entries.entries()
    clock.advance(entry_list_lib.LISTED_TTL_MS + 1)
    assert set(entries.entries()) == {B, C}


def test_list_is_kept_without_control_instances():
    # Guards against a directory that returns no addresses while all control
    # instances are unreachable.
    clock, entries = merged_list()
    entries.remove_list("c1")
    entries.remove_list("c2")
    clock.advance(60_000)
    assert set(entries.entries()) == {A, B, C}


def test_stopping_entry_is_removed_at_once():
    _, entries = merged_list()
    entries.put("c1", (B,), 0.1)
    entries.put("c2", (B, C), 0.1)
    entries.remove_entry(A.address)
    assert set(entries.entries()) == {B, C}


def test_highest_reported_load_is_used():
    # Guards against too few active entries while only some of the entries are
    # connected to a control instance that has just started.
    clock = clock_lib.ManualClock()
    entries = entry_list_lib.EntryList(clock)
    many = [entry_selection.Entry(f"10.0.0.{n}:80", "a") for n in range(40)]
    entries.put("c1", many, 3.0)
    entries.put("c2", (), 0.0)
    assert len(entries.active()) == 20
