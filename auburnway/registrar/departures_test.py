"""Tests of the count of disks that hold a leaving server's row."""

from auburnway.core import server_table
from auburnway.registrar import departures as departures_lib

ENDED = departures_lib.Departure("i-1", 100, server_table.State.ENDED)
DRAINING = departures_lib.Departure("i-1", 100, server_table.State.DRAINING)
COPIES = 2
DEADLINE_MS = 700.0


def make_row(started_ms=100, state=server_table.State.READY):
    return server_table.Row(
        "i-1", started_ms, 1, "s", "10.0.0.1:80", "a", 3, state
    )


def test_departure_waits_for_enough_disks():
    # Guards against an acknowledgement that one lost disk takes back.
    departures, results = departures_lib.Departures(), []
    assert departures.wait(ENDED, COPIES, DEADLINE_MS, results.append)
    departures.on_saved("a", [ENDED], COPIES)
    # The same disk again is not a second copy, and a drain is not an end.
    departures.on_saved("a", [ENDED], COPIES)
    departures.on_saved("b", [DRAINING], COPIES)
    assert results == []
    departures.on_saved("b", [ENDED], COPIES)
    assert results == [True]


def test_repeated_call_needs_no_new_copies():
    # Guards against a write for each heartbeat of a server that drains.
    departures, results = departures_lib.Departures(), []
    for holder in ("a", "b"):
        departures.on_saved(holder, [DRAINING], COPIES)
    assert not departures.wait(DRAINING, COPIES, DEADLINE_MS, results.append)
    assert results == [True]


def test_saved_end_acknowledges_a_drain_too():
    # Guards against refusing a late heartbeat of a server that has ended.
    departures, results = departures_lib.Departures(), []
    departures.wait(DRAINING, COPIES, DEADLINE_MS, results.append)
    for holder in ("a", "b"):
        departures.on_saved(holder, [ENDED], COPIES)
    assert results == [True]


def test_departure_without_enough_disks_is_refused_in_time():
    # Guards against servers that wait for an instance that cannot acknowledge.
    departures, results = departures_lib.Departures(), []
    departures.wait(ENDED, COPIES, DEADLINE_MS, results.append)
    departures.expire(DEADLINE_MS - 1.0)
    assert results == []
    departures.expire(DEADLINE_MS)
    assert results == [False]
    departures.on_saved("a", [ENDED], 1)
    assert results == [False]
    assert departures.waiting_count == 0


def test_later_states_and_starts_include_a_departure():
    assert not DRAINING.is_in(None)
    assert not DRAINING.is_in(make_row())
    assert DRAINING.is_in(make_row(state=server_table.State.DRAINING))
    assert DRAINING.is_in(make_row(state=server_table.State.ENDED))
    assert not ENDED.is_in(make_row(state=server_table.State.DRAINING))
    # An earlier start of the server is over when a later one is known.
    assert ENDED.is_in(make_row(started_ms=200))
    assert not ENDED.is_in(make_row(50, server_table.State.ENDED))


def test_departures_without_a_row_are_forgotten():
    # Guards against a memory that grows with each server that ever left.
    departures, table, results = (
        departures_lib.Departures(),
        server_table.Table(),
        [],
    )
    departures.on_saved("a", [ENDED], COPIES)
    departures.purge(table)
    departures.on_saved("b", [ENDED], COPIES)
    assert departures.wait(ENDED, COPIES, DEADLINE_MS, results.append)
