"""Tests of the list of entries and of its updates."""

from auburnway.policy import entry_selection
from auburnway.registrar import entry_states
from auburnway.registrar import messages


def state(number, is_ready=True, load=0.0):
    return messages.EntryState(f"10.0.0.{number}:80", "a", is_ready, load)


def test_whole_list_first_then_changes():
    # Guards against sending the whole list for each entry that restarts.
    states = entry_states.EntryStates()
    assert states.last_list() is None
    assert not states.put("s1", state(1))
    assert not states.put("s2", state(2))
    pairs = (("10.0.0.1:80", "a"), ("10.0.0.2:80", "a"))
    assert states.pending_update() == messages.Entries(pairs, 0.0)
    assert states.pending_update() is None
    assert states.put("s2", state(2, is_ready=False))
    assert not states.put("s3", state(3))
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


def many(count, load=0.0):
    states = entry_states.EntryStates()
    for n in range(count):
        states.put(f"s{n}", state(n, load=load))
    return states, {address for address, _ in states.pending_update().entries}


def test_list_holds_the_entries_for_clients_only():
    # Guards against messages to all entries for each of hundreds that starts
    # or stops, most of which no client uses.
    states, listed = many(40)
    assert len(listed) == entry_selection.MIN_PER_DATA_CENTER
    standby = next(n for n in range(40) if state(n).address not in listed)
    assert not states.put(f"s{standby}", state(standby, is_ready=False))
    assert states.pending_update() is None


def test_listed_entry_that_stops_is_replaced_at_once():
    states, listed = many(40)
    stopped = next(n for n in range(40) if state(n).address in listed)
    assert states.put(f"s{stopped}", state(stopped, is_ready=False))
    update = states.pending_update()
    assert update.removed == ((state(stopped).address, "a"),)
    assert len(update.added) == 1


def test_list_grows_with_the_load():
    # Guards against clients that crowd on few entries in a burst.
    _, idle = many(40)
    _, busy = many(40, load=0.2)
    assert idle < busy
    assert len(busy) > 2 * len(idle)
