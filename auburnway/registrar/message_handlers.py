"""Calls the method of a control instance that handles a message."""

import functools

from auburnway.net import stream as stream_lib
from auburnway.registrar import messages


@functools.singledispatch
def handle(message, stream: stream_lib.Stream, node) -> None:
    """Handles a message of a stream; ignores other message types."""


@handle.register
def _(message: messages.Hello, stream, node) -> None:
    node.on_hello(message, stream)


@handle.register
def _(message: messages.EntryState, stream, node) -> None:
    node.on_entry_state(message, stream)


@handle.register
def _(message: messages.Rows, stream, node) -> None:
    node.servers.on_rows(message)


@handle.register
def _(message: messages.SaveRows, stream, node) -> None:
    node.servers.on_save_rows(message, stream)


@handle.register
def _(message: messages.RowsSaved, stream, node) -> None:
    node.servers.on_rows_saved(message)


@handle.register
def _(message: messages.Subscribe, stream, node) -> None:
    node.on_subscribe(message, stream)


@handle.register
def _(message: messages.Watch, stream, node) -> None:
    node.on_watch(message, stream)


@handle.register
def _(message: messages.Strike, stream, node) -> None:
    node.crash_reports.on_strike(message, stream)


@handle.register
def _(message: messages.Cleared, stream, node) -> None:
    node.crash_reports.on_cleared(message)


@handle.register
def _(message: messages.AskTrial, stream, node) -> None:
    node.crash_reports.on_ask_trial(message, stream)


@handle.register
def _(message: messages.Fetch, stream, node) -> None:
    node.on_fetch(stream)


@handle.register
def _(message: messages.Raft, stream, node) -> None:
    node.on_raft(message)


@handle.register
def _(message: messages.Join, stream, node) -> None:
    node.on_join(message, stream)
