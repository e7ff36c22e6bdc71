"""Encodes Raft messages as lists, for a transport that uses msgpack."""

import dataclasses
import typing

from auburnway.core import raft_records as records

_MESSAGE_TYPES = {
    cls.__name__: cls
    for cls in (
        records.VoteRequest,
        records.VoteReply,
        records.Append,
        records.AppendReply,
        records.InstallSnapshot,
        records.ElectNow,
    )
}


def encode(message: records.Message) -> list[typing.Any]:
    """Returns the type name of a message, followed by its fields."""
    fields = [
        getattr(message, field.name) for field in dataclasses.fields(message)
    ]
    if isinstance(message, records.Append):
        fields[5] = [
            [e.index, e.term, e.kind.value, e.data] for e in message.entries
        ]
    elif isinstance(message, records.InstallSnapshot):
        snapshot = message.snapshot
        members = records.encode_members(snapshot.members)
        fields[3] = [snapshot.index, snapshot.term, members, snapshot.data]
    return [type(message).__name__, *fields]


def decode(value: typing.Sequence[typing.Any]) -> records.Message:
    """Decodes a message from its list form.

    Raises:
      KeyError, TypeError, ValueError: The value is not a message.
    """
    name, *fields = value
    if name == "Append":
        fields[5] = tuple(
            records.LogEntry(index, term, records.Kind(kind), data)
            for index, term, kind, data in fields[5]
        )
    elif name == "InstallSnapshot":
        index, term, members, data = fields[3]
        fields[3] = records.Snapshot(
            index, term, records.decode_members(members), data
        )
    return _MESSAGE_TYPES[name](*fields)
