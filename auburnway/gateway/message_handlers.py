"""Calls the method of an entry's feed that handles a message of control."""

import functools

from auburnway.registrar import messages


@functools.singledispatch
def handle(message, address: str, feed) -> None:
    """Handles a message of a control instance; ignores other message types."""


@handle.register
def _(message: messages.Controls, address, feed) -> None:
    feed.on_controls(message, address)


@handle.register
def _(message: messages.Rows, address, feed) -> None:
    feed.on_rows(message)


@handle.register
def _(message: messages.Location, address, feed) -> None:
    feed.on_location(message, address)


@handle.register
def _(message: messages.TableDigest, address, feed) -> None:
    feed.on_table_digest(message, address)


@handle.register
def _(message: messages.AskRows, address, feed) -> None:
    del message
    feed.on_ask_rows(address)


@handle.register
def _(message: messages.Heard, address, feed) -> None:
    feed.on_heartbeat_state(message, address)


@handle.register
def _(message: messages.Quarantine, address, feed) -> None:
    del address
    feed.on_quarantine(message)


@handle.register
def _(message: messages.Cleared, address, feed) -> None:
    del address
    feed.containment.clear(message.key)


@handle.register
def _(message: messages.Trial, address, feed) -> None:
    del address
    feed.on_trial(message)


@handle.register
def _(message: messages.Entries, address, feed) -> None:
    feed.on_entries(message, address)


@handle.register
def _(message: messages.EntriesChanged, address, feed) -> None:
    feed.on_entries_changed(message, address)


@handle.register
def _(message: messages.Revision, address, feed) -> None:
    feed.on_revision(message, address)


@handle.register
def _(message: messages.Document, address, feed) -> None:
    feed.on_document(message)
