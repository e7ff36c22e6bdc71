"""Tests of the list of entries and of its updates."""

from auburnway.registrar import entry_states
from auburnway.registrar import messages


def state(number, is_ready=True, load=0.0):
    return messages.EntryState(f"10.0.0.{number}:80", "a", is_ready, load)


def test_whole_list_first_then_changes():
    # Guards against sending the whole list for each entry that restarts.
    states = entry_states.EntryStates()
    assert states.last_list() is None
    assert states.put("s1", state(1))
    assert states.put("s2", state(2))
    pairs = (("10.0.0.1:80", "a"), ("10.0.0.2:80", "a"))
    assert states.pending_update() == messages.Entries(pairs, 0.0)
    assert states.pending_update() is None
    assert states.put("s2", state(2, is_ready=False))
    assert states.put("s3", state(3))
    added = (("10.0.0.3:80", "a"),)
    assert states.pending_update() == messages.EntriesChanged(
        added, pairs[1:], 0.0
    )
    assert states.last_list() == messages.Entries((pairs[0], *added), 0.0)


def test_lost_stream_removes_its_entry():
    states = entry_states.EntryStates()
    states.put("s1", state(1))
    states.pending_update()
    assert states.drop("s1")
    assert not states.drop("s1")
    removed = (("10.0.0.1:80", "a"),)
    assert states.pending_update() == messages.EntriesChanged((), removed, 0.0)


def test_entry_with_two_streams_stays_while_one_is_left():
    # When an entry reconnects, its new stream opens before the old one ends.
    states = entry_states.EntryStates()
    states.put("old", state(1))
    states.put("new", state(1))
    states.pending_update()
    states.drop("old")
    assert states.pending_update() is None


def test_small_load_changes_are_not_sent():
    # Guards against a message to all entries for each measurement of the load.
    states = entry_states.EntryStates()
    states.put("s1", state(1, load=0.1))
    assert states.pending_update().load == 0.13
    for load in (0.09, 0.12, 0.08):
        assert not states.put("s1", state(1, load=load))
        assert states.pending_update() is None
    states.put("s1", state(1, load=0.2))
    assert states.pending_update() == messages.EntriesChanged((), (), 0.26)
