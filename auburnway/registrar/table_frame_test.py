"""Tests of the encoded table of backend servers."""

import dataclasses

import msgpack

from auburnway.core import server_table
from auburnway.registrar import messages
from auburnway.registrar import table_frame

ROW = server_table.Row(
    "s1", 1, 1, "shop", "10.0.0.1:80", "z", 3, server_table.State.READY
)
LENGTH_BYTES = 4


def decode(frame):
    message = messages.decode(msgpack.unpackb(frame[LENGTH_BYTES:]))
    return tuple(map(server_table.decode_row, message.rows))


def test_frame_follows_the_table():
    # Guards against entries that get a drained server as ready.
    table, frame = server_table.Table(), table_frame.TableFrame()
    table.put(ROW, 0.0)
    assert decode(frame.get(table)) == (ROW,)
    drained = dataclasses.replace(
        ROW, sequence=2, state=server_table.State.DRAINING
    )
    table.put(drained, 1.0)
    assert decode(frame.get(table)) == (drained,)


def test_table_is_encoded_once_a_change():
    # Guards against a control instance that encodes the whole table for each
    # of hundreds of entries that connect after a restart.
    table, frame = server_table.Table(), table_frame.TableFrame()
    table.put(ROW, 0.0)
    first = frame.get(table)
    assert frame.get(table) is first
    # A heartbeat without a change of content.
    table.put(dataclasses.replace(ROW, sequence=2), 1.0)
    assert frame.get(table) is first
