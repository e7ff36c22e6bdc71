"""Calls the method of a Raft node that handles a message."""

from __future__ import annotations

import functools
import typing

from auburnway.core import raft_records as records

if typing.TYPE_CHECKING:
    from auburnway.core import raft


@functools.singledispatch
def handle(message: records.Message, node: raft.Raft) -> None:
    """Passes a message to the method of a node that handles it."""
    raise TypeError(f"no handler for {type(message).__name__}")


@handle.register
def _(message: records.VoteRequest, node) -> None:
    node.on_vote_request(message)


@handle.register
def _(message: records.VoteReply, node) -> None:
    node.on_vote_reply(message)


@handle.register
def _(message: records.Append, node) -> None:
    node.on_append(message)


@handle.register
def _(message: records.InstallSnapshot, node) -> None:
    node.on_snapshot(message)


@handle.register
def _(message: records.ElectNow, node) -> None:
    node.on_elect_now(message)


@handle.register
def _(message: records.AppendReply, node) -> None:
    if node.leader_state is not None and message.term == node.term:
        node.leader_state.on_reply(message)
