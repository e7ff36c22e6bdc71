"""Lists of entries and their changes."""

from auburnway.registrar import entry_states
from auburnway.registrar import messages


def state(number, is_ready=True, load=0.0):
    return messages.EntryState(f"10.0.0.{number}:80", "a", is_ready, load)


def test_whole_list_first_then_changes():
    # Guards against the whole list for each entry that restarts.
    states = entry_states.EntryStates()
    assert states.whole() is None
    assert states.put("s1", state(1))
    assert states.put("s2", state(2))
    pairs = (("10.0.0.1:80", "a"), ("10.0.0.2:80", "a"))
    assert states.news() == messages.Entries(pairs, 0.0)
    assert states.news() is None
    assert states.put("s2", state(2, is_ready=False))
    assert states.put("s3", state(3))
    added = (("10.0.0.3:80", "a"),)
    assert states.news() == messages.EntriesChanged(added, pairs[1:], 0.0)
    assert states.whole() == messages.Entries((pairs[0], *added), 0.0)


def test_lost_stream_removes_its_entry():
    states = entry_states.EntryStates()
    states.put("s1", state(1))
    states.news()
    assert states.drop("s1")
    assert not states.drop("s1")
    removed = (("10.0.0.1:80", "a"),)
    assert states.news() == messages.EntriesChanged((), removed, 0.0)


def test_entry_with_two_streams_stays_while_one_is_left():
    # An entry that dials again is known by its new stream first.
    states = entry_states.EntryStates()
    states.put("old", state(1))
    states.put("new", state(1))
    states.news()
    states.drop("old")
    assert states.news() is None


def test_small_changes_of_load_are_not_told():
    # Guards against a message to all entries for each measure of the load.
    states = entry_states.EntryStates()
    states.put("s1", state(1, load=0.1))
    assert states.news().load == 0.13
    for load in (0.09, 0.12, 0.08):
        assert not states.put("s1", state(1, load=load))
        assert states.news() is None
    states.put("s1", state(1, load=0.2))
    assert states.news() == messages.EntriesChanged((), (), 0.26)
