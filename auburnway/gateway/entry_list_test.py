"""Lists of entries from several control instances."""

from auburnway.core import clock as clock_lib
from auburnway.gateway import entry_list as entry_list_lib
from auburnway.policy import entry_selection

A, B, C = (entry_selection.Entry(f"10.0.0.{n}:80", "a") for n in (1, 2, 3))


def listed():
    clock = clock_lib.ManualClock()
    entries = entry_list_lib.EntryList(clock)
    entries.put("c1", (A, B), 0.1)
    entries.put("c2", (B, C), 0.3)
    return clock, entries


def test_lists_are_merged():
    _, entries = listed()
    assert set(entries.entries()) == {A, B, C}
    assert entries.active_count == 3


def test_changes_apply_to_the_list_of_their_control_instance():
    clock, entries = listed()
    entries.change("c1", (C,), (A, B), 0.2)
    clock.advance(entry_list_lib.LISTED_MS + 1)
    assert set(entries.entries()) == {B, C}


def test_entry_that_nobody_lists_is_dropped_after_a_time():
    clock, entries = listed()
    entries.put("c1", (B,), 0.1)
    assert A in entries.entries()
    clock.advance(entry_list_lib.LISTED_MS + 1)
    assert set(entries.entries()) == {B, C}


def test_list_outlives_all_control_instances():
    # Guards against a directory that answers nothing while control is away.
    clock, entries = listed()
    entries.drop("c1")
    entries.drop("c2")
    clock.advance(60_000)
    assert set(entries.entries()) == {A, B, C}


def test_entry_that_stops_is_forgotten_at_once():
    _, entries = listed()
    entries.put("c1", (B,), 0.1)
    entries.put("c2", (B, C), 0.1)
    entries.forget(A.address)
    assert set(entries.entries()) == {B, C}


def test_greatest_load_that_is_told_counts():
    # Guards against too few entries while a control instance that has just
    # started hears only some of them.
    clock = clock_lib.ManualClock()
    entries = entry_list_lib.EntryList(clock)
    many = [entry_selection.Entry(f"10.0.0.{n}:80", "a") for n in range(40)]
    entries.put("c1", many, 3.0)
    entries.put("c2", (), 0.0)
    assert len(entries.active()) == 20
