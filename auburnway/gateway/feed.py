"""What an entry learns from the control instances.

The entry keeps a stream to every control instance, takes what is news from
whichever is first, and tells each of them that it is there. When all control
instances are lost it goes on with what it knows.
"""

from collections import abc
import functools

import loguru
from returns import pipeline

from auburnway.core import route_table
from auburnway.core import server_table
from auburnway.gateway import dialect as dialect_lib
from auburnway.gateway import entry_list
from auburnway.gateway import settings as settings_lib
from auburnway.kernel import process
from auburnway.net import socket_set
from auburnway.net import stream as stream_lib
from auburnway.policy import entry_selection
from auburnway.registrar import messages
from auburnway.registrar import revision_machine

# A control instance that was asked for a configuration and has not sent it
# by then is passed over.
FETCH_TIMEOUT_MS = 400.0
PURGE_MS = 10_000.0


class Feed:
    """Table of backend servers, configuration in force and list of entries.

    Args:
      settings: Settings of the entry.
      dialect: Decodes configurations.
      loop: Loop that runs the entry.
      sockets: Set that watches the streams.
      on_configuration: Called with each newer configuration.

    Attributes:
      table: Backend servers.
      configuration: Newest known configuration; None before the first.
      entries: Entries that clients may use.
      is_ready: What is told of this entry; changed by `announce`.
      load: What is told of this entry; changed by `tell_load`.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        dialect: dialect_lib.Dialect,
        loop: process.Loop,
        sockets: socket_set.SocketSet,
        on_configuration: abc.Callable[[route_table.Configuration], None],
    ):
        self.table = server_table.Table()
        self.configuration: route_table.Configuration | None = None
        self.is_ready = False
        self.load = 0.0
        self._settings = settings
        self._dialect = dialect
        self._loop = loop
        self._clock = loop.clock
        self._sockets = sockets
        self._on_configuration = on_configuration
        self._dialers: dict[str, stream_lib.Dialer] = {}
        self.entries = entry_list.EntryList(loop.clock)
        self._wanted_revision = -1
        self._asked: set[str] = set()
        self._seeds = {
            f"{seed.rpartition(':')[0]}:{settings.internal_port}"
            for seed in settings.seeds
        }
        self._set_controls(self._seeds)
        loop.stack.callback(self._close)
        loop.timers.every(
            PURGE_MS, lambda: self.table.purge(self._clock.now_ms())
        )

    @property
    def revision(self) -> int:
        """Number of the configuration in force; -1 before the first."""
        if self.configuration is None:
            return -1
        return self.configuration.version

    @property
    def control_count(self) -> int:
        """Number of control instances with an established stream."""
        return sum(d.stream is not None for d in self._dialers.values())

    def announce(self, is_ready: bool) -> None:
        """Tells all control instances whether clients should be sent here."""
        if is_ready == self.is_ready:
            return
        self.is_ready = is_ready
        self._tell_state()

    def tell_load(self, load: float) -> None:
        """Tells all control instances the load of this entry, if it is news.

        Args:
          load: Part of the processor that requests take.
        """
        told = entry_selection.told_load(self.load, load)
        if told != self.load:
            self.load = told
            self._tell_state()

    def _tell_state(self) -> None:
        for dialer in self._dialers.values():
            if dialer.stream is not None:
                self._send_state(dialer.stream)

    # Streams.

    def _set_controls(self, addresses: abc.Set[str]) -> None:
        for address in addresses - self._dialers.keys():
            self._dialers[address] = stream_lib.Dialer(
                address,
                self._sockets,
                self._loop.timers,
                self._clock,
                functools.partial(self._on_open, address),
                functools.partial(self._on_message, address),
                functools.partial(self._on_lost, address),
            )
        for address in self._dialers.keys() - addresses:
            self._dialers.pop(address).close()

    def _on_open(self, address: str, stream: stream_lib.Stream) -> None:
        loguru.logger.bind(control=address).info("control instance answers")
        stream.send(
            messages.encode(messages.Hello("entry", self._settings.name))
        )
        self._send_state(stream)
        rows = tuple(map(server_table.encode_row, self.table.rows()))
        if rows:
            stream.send(messages.encode(messages.Rows(rows)))

    def _on_lost(self, address: str, stream: stream_lib.Stream) -> None:
        del stream
        loguru.logger.bind(control=address).warning("lost a control instance")
        self.table.drop_control(address)
        self.entries.drop(address)

    def _send_state(self, stream: stream_lib.Stream) -> None:
        state = messages.EntryState(
            self._settings.client_address,
            self._settings.data_center,
            self.is_ready,
            self.load,
        )
        stream.send(messages.encode(state))

    def _on_message(
        self, address: str, stream: stream_lib.Stream, value
    ) -> None:
        try:
            message = messages.decode(value)
        except (KeyError, TypeError, ValueError) as error:
            loguru.logger.bind(control=address).warning(
                "ignored an unknown message: {}", repr(error)
            )
            return
        _take(message, address, self)

    def on_controls(self, controls: messages.Controls) -> None:
        """Follows the set of control instances."""
        self._set_controls(set(controls.addresses) | self._seeds)

    def on_rows(self, rows: messages.Rows) -> None:
        """Merges rows of backend servers."""
        now_ms = self._clock.now_ms()
        for fields in rows.rows:
            row = server_table.decode_row(fields)
            if self.table.put(row, now_ms):
                loguru.logger.bind(
                    server=row.server_id,
                    service=row.service,
                    state=row.state.value,
                ).info("backend server changed")

    def on_heard(self, heard: messages.Heard, address: str) -> None:
        """Takes which backend servers a control instance hears."""
        for server_id in heard.server_ids:
            self.table.set_heard(server_id, address, heard.heard)

    def on_entries(self, entries: messages.Entries, address: str) -> None:
        """Takes the entries that a control instance hears."""
        self.entries.put(address, _decode(entries.entries), entries.load)

    def on_entries_changed(
        self, changed: messages.EntriesChanged, address: str
    ) -> None:
        """Takes what has changed in the list of a control instance."""
        added, removed = _decode(changed.added), _decode(changed.removed)
        self.entries.change(address, added, removed, changed.load)

    def on_revision(self, revision: messages.Revision, address: str) -> None:
        """Fetches a newer configuration from the first that names it."""
        if revision.number <= self.revision:
            return
        if revision.number > self._wanted_revision:
            self._wanted_revision = revision.number
            self._asked = set()
            self._fetch(address)

    def _fetch(self, address: str) -> None:
        if self.revision >= self._wanted_revision:
            return
        self._asked.add(address)
        dialer = self._dialers.get(address)
        if dialer is not None:
            fetch = messages.Fetch(self._wanted_revision)
            dialer.send(messages.encode(fetch))
        number = self._wanted_revision
        self._loop.timers.after(
            FETCH_TIMEOUT_MS, lambda: self._fetch_elsewhere(number)
        )

    def _fetch_elsewhere(self, number: int) -> None:
        if number != self._wanted_revision or self.revision >= number:
            return
        open_addresses = [
            address
            for address, dialer in self._dialers.items()
            if dialer.stream is not None
        ]
        untried = [a for a in open_addresses if a not in self._asked]
        if not untried:
            self._asked = set()
            untried = open_addresses or list(self._dialers)
        if untried:
            self._fetch(untried[0])

    def on_document(self, document: messages.Document) -> None:
        """Puts a configuration in force unless a newer one is."""
        if document.number <= self.revision:
            return
        text = revision_machine.decompress(document.content)
        decoded = self._dialect.decode_configuration(text)
        if not pipeline.is_successful(decoded):
            for error in decoded.failure():
                loguru.logger.bind(revision=document.number).error(
                    "cannot use an accepted configuration: {}", error.message
                )
            return
        self.configuration = decoded.unwrap()
        loguru.logger.bind(
            revision=document.number,
            routes=len(self.configuration.routes),
        ).info("configuration is in force")
        self._on_configuration(self.configuration)

    def _close(self) -> None:
        for dialer in self._dialers.values():
            dialer.close()


def _decode(pairs) -> tuple[entry_selection.Entry, ...]:
    return tuple(entry_selection.Entry(*pair) for pair in pairs)


@functools.singledispatch
def _take(message, address: str, feed: Feed) -> None:
    """Handles a message of a control instance; others are ignored."""


@_take.register
def _(message: messages.Controls, address, feed) -> None:
    feed.on_controls(message)


@_take.register
def _(message: messages.Rows, address, feed) -> None:
    feed.on_rows(message)


@_take.register
def _(message: messages.Heard, address, feed) -> None:
    feed.on_heard(message, address)


@_take.register
def _(message: messages.Entries, address, feed) -> None:
    feed.on_entries(message, address)


@_take.register
def _(message: messages.EntriesChanged, address, feed) -> None:
    feed.on_entries_changed(message, address)


@_take.register
def _(message: messages.Revision, address, feed) -> None:
    feed.on_revision(message, address)


@_take.register
def _(message: messages.Document, address, feed) -> None:
    feed.on_document(message)
