"""Conversion of Raft messages and errors to and from protobuf."""

import functools

from auburnway.core import errors
from auburnway.core import raft_records as records
from auburnway.rpc import control_errors
from auburnway.rpc import control_pb2 as pb


@functools.singledispatch
def encode(message: records.Message) -> pb.RaftMessage:
    """Encodes a Raft message without source and target.

    The envelope holds these two for all of its messages.
    """
    raise TypeError(f"no protobuf encoding for {type(message).__name__}")


@encode.register
def _(message: records.VoteRequest) -> pb.RaftMessage:
    return pb.RaftMessage(
        type="vote",
        term=message.term,
        index=message.last_index,
        log_term=message.last_term,
        pre_vote=message.pre_vote,
        context=int(message.transfer),
    )


@encode.register
def _(message: records.VoteReply) -> pb.RaftMessage:
    return pb.RaftMessage(
        type="vote_reply",
        term=message.term,
        granted=message.granted,
        pre_vote=message.pre_vote,
    )


@encode.register
def _(message: records.Append) -> pb.RaftMessage:
    return pb.RaftMessage(
        type="append",
        term=message.term,
        index=message.previous_index,
        log_term=message.previous_term,
        commit=message.commit,
        context=message.round,
        entries=[
            pb.LogEntry(
                index=e.index, term=e.term, kind=e.kind.value, data=e.data
            )
            for e in message.entries
        ],
    )


@encode.register
def _(message: records.AppendReply) -> pb.RaftMessage:
    return pb.RaftMessage(
        type="append_reply",
        term=message.term,
        granted=message.accepted,
        index=message.index,
        context=message.round,
    )


@encode.register
def _(message: records.InstallSnapshot) -> pb.RaftMessage:
    snapshot = message.snapshot
    return pb.RaftMessage(
        type="snapshot",
        term=message.term,
        index=snapshot.index,
        log_term=snapshot.term,
        context=message.round,
        snapshot=snapshot.data,
        # One entry carries the member set as of the snapshot.
        entries=[
            pb.LogEntry(
                kind=records.Kind.VOTERS.value,
                data=records.encode_members(snapshot.members),
            )
        ],
    )


@encode.register
def _(message: records.ElectNow) -> pb.RaftMessage:
    return pb.RaftMessage(type="elect_now", term=message.term)


def decode(source: str, target: str, raw: pb.RaftMessage) -> records.Message:
    """Decodes a Raft message.

    Args:
      source: Incarnation of the sender.
      target: Incarnation of the receiver.
      raw: Protobuf message.

    Raises:
      ValueError: The message type or the kind of an entry is unknown.
      IndexError: A snapshot message lacks the entry of the member set.
    """
    common_fields = (source, target, raw.term)
    match raw.type:
        case "vote":
            return records.VoteRequest(
                *common_fields,
                raw.index,
                raw.log_term,
                raw.pre_vote,
                bool(raw.context),
            )
        case "vote_reply":
            return records.VoteReply(*common_fields, raw.granted, raw.pre_vote)
        case "append":
            entries = tuple(
                records.LogEntry(e.index, e.term, records.Kind(e.kind), e.data)
                for e in raw.entries
            )
            return records.Append(
                *common_fields,
                raw.index,
                raw.log_term,
                entries,
                raw.commit,
                raw.context,
            )
        case "append_reply":
            return records.AppendReply(
                *common_fields, raw.granted, raw.index, raw.context
            )
        case "snapshot":
            members = records.decode_members(raw.entries[0].data)
            snapshot = records.Snapshot(
                raw.index, raw.log_term, members, raw.snapshot
            )
            return records.InstallSnapshot(
                *common_fields, snapshot, raw.context
            )
        case "elect_now":
            return records.ElectNow(*common_fields)
    raise ValueError(f"unknown message type {raw.type!r}")


def encode_error(error: errors.Error | None) -> pb.Error | None:
    """Encodes an error; None stays None."""
    if error is None:
        return None
    leader_address = ""
    if isinstance(error, control_errors.NotLeader):
        leader_address = error.leader_address
    return pb.Error(
        code=error.code,
        message=error.detail or error.code,
        remedy=error.remedy,
        source=error.source,
        leader_address=leader_address,
    )
