"""Tests the encoding of Raft messages."""

import msgpack
import pytest

from auburnway.core import raft_records as records
from auburnway.core import raft_wire

HEAD = ("a.1", "b.1", 3)
ENTRY = records.LogEntry(4, 3, records.Kind.COMMAND, b"data")
SNAPSHOT = records.Snapshot(
    4, 2, (records.Member("a", "a.1", "10.0.0.1:1", False),), b"state"
)


@pytest.mark.parametrize(
    "message",
    [
        records.VoteRequest(*HEAD, 7, 2, True, False),
        records.VoteReply(*HEAD, True, False),
        records.Append(*HEAD, 3, 2, (ENTRY, ENTRY), 2, 9),
        records.AppendReply(*HEAD, False, 5, 9),
        records.InstallSnapshot(*HEAD, SNAPSHOT, 9),
        records.ElectNow(*HEAD),
    ],
)
def test_every_message_round_trips(message):
    packed = msgpack.packb(raft_wire.encode(message))
    value = msgpack.unpackb(packed, use_list=False)
    assert raft_wire.decode(value) == message
