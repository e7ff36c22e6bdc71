"""Tests the merging of rows and heartbeat reports of backend servers."""

import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from auburnway.core import server_table

READY = server_table.State.READY
DRAINING = server_table.State.DRAINING
ENDED = server_table.State.ENDED
ROW = server_table.Row("i-1", 100, 1, "s", "10.0.0.1:80", "a", 3, READY)


def make_row(**changes):
    return dataclasses.replace(ROW, **changes)


def table_of(*rows):
    table = server_table.Table()
    for row in rows:
        table.put(row, 0.0)
    return table


def test_late_heartbeat_does_not_undo_a_drain():
    table = table_of(make_row(sequence=5, state=DRAINING), make_row(sequence=4))
    assert table.servers("s") == ()


def test_draining_server_becomes_ready_only_after_a_restart():
    table = table_of(make_row(sequence=5, state=DRAINING), make_row(sequence=6))
    assert table.servers("s") == ()


def test_late_heartbeat_does_not_revive_an_ended_server():
    table = table_of(ROW)
    table.end("i-1", 0.0)
    assert not table.put(make_row(sequence=9), 0.0)
    assert table.servers("s") == ()


def test_new_start_with_the_same_identity_counts():
    # A restarted server may reuse its id and counts heartbeats from 1 again.
    table = table_of(make_row(sequence=9, state=DRAINING))
    assert table.put(make_row(started_ms=200, sequence=1), 0.0)
    assert len(table.servers("s")) == 1


def test_heartbeat_of_an_earlier_start_is_ignored():
    table = table_of(make_row(started_ms=200))
    assert not table.put(make_row(started_ms=100, sequence=99), 0.0)


def test_address_belongs_to_the_latest_start():
    # Guards against a delayed heartbeat of an ended server whose address now
    # belongs to a server of another service.
    table = table_of(
        make_row(server_id="i-2", started_ms=300, service="t"), ROW
    )
    assert table.servers("s") == ()
    assert [row.server_id for row in table.servers("t")] == ["i-2"]


def test_equal_content_is_not_relayed():
    table = table_of(ROW)
    assert not table.put(make_row(sequence=2, cold_ms=7), 0.0)


def test_silent_only_when_no_control_instance_receives_heartbeats():
    table = table_of(ROW)
    assert not table.is_silent("i-1")
    table.set_heartbeat_status("i-1", "x", False)
    assert table.is_silent("i-1")
    table.set_heartbeat_status("i-1", "y", True)
    assert not table.is_silent("i-1")


def test_lost_control_makes_no_server_silent():
    # Guards against dropping servers after the loss of all control instances.
    table = table_of(ROW)
    table.set_heartbeat_status("i-1", "x", False)
    table.remove_control_instance("x")
    assert not table.is_silent("i-1")


def test_tombstone_is_dropped_after_its_time():
    table = table_of(ROW)
    table.end("i-1", 0.0)
    table.purge(server_table.TOMBSTONE_MS)
    assert len(table) == 1
    table.purge(server_table.TOMBSTONE_MS + 1)
    assert len(table) == 0


rows = st.builds(
    make_row,
    server_id=st.sampled_from(["i-1", "i-2"]),
    started_ms=st.integers(1, 3),
    sequence=st.integers(1, 4),
    state=st.sampled_from([READY, DRAINING, ENDED]),
)


@given(st.lists(rows, max_size=8))
def test_usable_row_is_the_latest_in_any_merge_order(merged):
    # Control instances and entries merge the same rows in different orders.
    for order in (merged, merged[::-1]):
        table = table_of(*order)
        for row in table.servers("s"):
            later = [
                other
                for other in merged
                if other.server_id == row.server_id
                and other.version > row.version
            ]
            assert not later


@given(st.lists(rows, max_size=8), st.randoms())
def test_tables_converge_whatever_the_order(merged, rng):
    # Guards against instances that hold different rows for good after late,
    # doubled and reordered heartbeats, and drop what each other says.
    shuffled = [*merged, *merged]
    rng.shuffle(shuffled)
    first, second = table_of(*merged), table_of(*shuffled)
    assert set(first.rows()) == set(second.rows())
    assert first.digest() == second.digest()


@given(st.lists(rows, max_size=8), rows)
def test_ended_start_never_serves_again(merged, ended):
    # Guards against a server that has ended and gets requests because another
    # instance had its last heartbeat.
    ended = dataclasses.replace(ended, state=ENDED)
    table = table_of(*merged[:4], ended, *merged[4:])
    served = [row for row in table.servers("s") if row.address == ROW.address]
    for row in served:
        is_same_server = row.server_id == ended.server_id
        assert not is_same_server or row.started_ms > ended.started_ms


def test_end_is_kept_and_relayed_beside_a_later_heartbeat():
    # Heartbeats that change nothing are not relayed, so the instance that
    # hears of the end may know an earlier one than others.
    other = table_of(make_row(sequence=1))
    ended = other.end(ROW.server_id, 0.0)
    table = table_of(make_row(sequence=9))
    assert table.put(ended, 0.0)
    assert table.servers("s") == ()


@given(rows)
def test_wire_form(row):
    assert server_table.decode_row(server_table.encode_row(row)) == row


def test_digest_follows_each_change():
    # Guards against an entry that believes its table equals the sender's.
    table, other = table_of(make_row()), table_of(make_row(sequence=7))
    assert table.digest() == other.digest()
    table.put(make_row(sequence=8, state=DRAINING), 0.0)
    assert table.digest() != other.digest()
    other.put(make_row(sequence=9, state=DRAINING), 0.0)
    assert table.digest() == other.digest()
    ended = table.digest()
    table.end(ROW.server_id, 0.0)
    assert table.digest() != ended
    # Processes remove tombstones at different times.
    assert table.digest() == server_table.Table().digest()
    table.purge(server_table.TOMBSTONE_MS + 1.0)
    assert table.digest() == server_table.Table().digest()


@given(st.lists(rows, max_size=8))
def test_digest_depends_on_the_servers_only(merged):
    # Guards against a digest that keeps a trace of replaced rows.
    table = table_of(*merged)
    fresh = table_of(*table.rows())
    assert table.digest() == fresh.digest()


@given(
    st.lists(
        st.lists(
            st.none()
            | st.integers()
            | st.text(max_size=20)
            | st.binary(max_size=5),
            max_size=10,
        )
        | st.none()
        | st.integers(),
        max_size=4,
    )
)
def test_odd_rows_are_left_out(encoded):
    # Guards against a control instance of another version whose rows end the
    # news of all others.
    good = server_table.encode_row(ROW)
    rows, problems = server_table.decode_rows([*encoded, good])
    assert rows[-1] == ROW
    assert len(rows) + len(problems) == len(encoded) + 1


def test_news_of_a_drain_counts_after_a_later_heartbeat():
    # Guards against a server that said in a reply that it leaves, and whose
    # heartbeat with a greater sequence had said before that it is ready.
    table = table_of(make_row(sequence=7), make_row(sequence=5, state=DRAINING))
    assert table.servers("s") == ()
    assert table.get("i-1").sequence == 7
