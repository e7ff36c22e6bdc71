"""An entry's streams to the control instances.

The entry keeps a stream to every control instance, applies each update from
the first control instance that sends it, and reports its own state to all of
them. While no control instance is reachable, the entry uses the last known
table, configuration and list of entries.
"""

from collections import abc
import dataclasses
import functools

import loguru
from returns import pipeline

from auburnway.core import route_table
from auburnway.core import server_table
from auburnway.gateway import dialect as dialect_lib
from auburnway.gateway import entry_list
from auburnway.gateway import message_handlers
from auburnway.gateway import settings as settings_lib
from auburnway.kernel import process
from auburnway.net import socket_set
from auburnway.net import stream as stream_lib
from auburnway.policy import crash_containment
from auburnway.policy import entry_selection
from auburnway.policy import news_sources
from auburnway.policy import revision_source
from auburnway.registrar import messages
from auburnway.registrar import revision_machine

# Time after which a configuration is requested from another control instance.
FETCH_TIMEOUT_MS = 400.0
# Period in which the table is compared with that of another control instance.
COMPARE_MS = 250.0
# Period in which outdated rows are removed from the table of backend servers.
PURGE_MS = 10_000.0
# Servers that change together beyond this number, as in a whole table, are
# logged in one line: single lines would delay the first requests.
MAX_LOGGED_ROWS = 10


class Feed:
    """Table of backend servers, configuration in force and list of entries.

    Args:
      settings: Settings of the entry.
      dialect: Decoder of configurations.
      loop: Event loop of the entry.
      sockets: Set that the streams are registered with.
      on_configuration: Called with each newer configuration.

    Attributes:
      table: Table of backend servers.
      configuration: Newest known configuration; None before the first.
      entries: Entries that clients may use.
      is_ready: Whether this entry is reported as ready; set by `report_ready`.
      load: Reported load of this entry; set by `report_load`.
      table_request_count: Number of requests for the table, as news did not
        arrive.
      containment: Requests that crash backend servers.
      on_trial: Called with each answer to a request for a trial.
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
        self.table_request_count = 0
        self.containment = crash_containment.Containment()
        self.on_trial: abc.Callable[[messages.Trial], None] = lambda _: None
        self._settings = settings
        self._dialect = dialect
        self._loop = loop
        self._clock = loop.clock
        self._sockets = sockets
        self._on_configuration = on_configuration
        self._dialers: dict[str, stream_lib.Dialer] = {}
        # Data centres of the control instances that are connected.
        self._locations: dict[str, str | None] = {}
        self._sources = news_sources.Sources()
        self._digest_watch = news_sources.DigestWatch()
        # Control instances that each connected one names, by its address.
        self._named_controls: dict[str, frozenset[str]] = {}
        self.entries = entry_list.EntryList(loop.clock)
        self._target_revision = -1
        self._requested_from: set[str] = set()
        self._seeds = {
            f"{seed.rpartition(':')[0]}:{settings.internal_port}"
            for seed in settings.seeds
        }
        self._set_controls(self._seeds)
        loop.stack.callback(self._close)
        loop.timers.every(PURGE_MS, self._purge)
        loop.timers.every(COMPARE_MS, self._compare_tables)

    def _purge(self) -> None:
        self.table.purge(self._clock.now_ms())
        self.containment.purge(self._clock.now_ms())

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

    def report_ready(self, is_ready: bool) -> None:
        """Reports to all control instances whether this entry is ready.

        Args:
          is_ready: Whether clients should use this entry.
        """
        if is_ready == self.is_ready:
            return
        self.is_ready = is_ready
        self._report_state()

    def report_load(self, load: float) -> None:
        """Reports a changed load of this entry to all control instances.

        Args:
          load: Share of the processor time that requests use.
        """
        reported = entry_selection.load_to_report(self.load, load)
        if reported != self.load:
            self.load = reported
            self._report_state()

    def _report_state(self) -> None:
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
        loguru.logger.bind(control=address).info(
            "connected to a control instance"
        )
        stream.send(
            messages.encode(messages.Hello("entry", self._settings.name))
        )
        self._locations[address] = None
        self._subscribe(address, False)
        self._send_state(stream)

    def _subscribe(self, address: str | None, is_wanted: bool) -> None:
        digest = self.table.digest() if is_wanted else ""
        self._send(address, messages.Subscribe(is_wanted, digest))

    def _send(self, address: str | None, message: messages.Message) -> None:
        """Sends a message to a control instance if it is connected."""
        dialer = self._dialers.get(address)
        if dialer is not None:
            dialer.send(messages.encode(message))

    def _choose_sources(self) -> None:
        old = self._sources
        self._sources = news_sources.choose(
            self._locations,
            old,
            self._settings.name,
            self._settings.data_center,
        )
        if self._sources.news != old.news:
            self._subscribe(old.news, False)
            self._subscribe(self._sources.news, True)
        if self._sources.watched != old.watched:
            self._digest_watch.reset()
            self._send(old.watched, messages.Watch(False))
            self._send(self._sources.watched, messages.Watch(True))

    def _compare_tables(self) -> None:
        """Asks for the whole table if the source failed to send news."""
        if self._digest_watch.should_ask(
            self.table.digest(), self._clock.now_ms()
        ):
            self.table_request_count += 1
            loguru.logger.bind(control=self._sources.watched).info(
                "asking for news that did not arrive"
            )
            # A subscription, even a short one, begins with the whole table.
            self._subscribe(self._sources.watched, True)
            self._subscribe(self._sources.watched, False)

    def on_table_digest(
        self, digest: messages.TableDigest, address: str
    ) -> None:
        """Records the digest of the watched control instance."""
        if address == self._sources.watched:
            self._digest_watch.on_digest(digest.digest)

    def on_location(self, location: messages.Location, address: str) -> None:
        """Records the data centre of a control instance."""
        self._locations[address] = location.data_center
        self._choose_sources()

    def on_ask_rows(self, address: str) -> None:
        """Sends the rows that this entry knows to a control instance."""
        rows = tuple(map(server_table.encode_row, self.table.rows()))
        if rows:
            self._send(address, messages.Rows(rows))

    def _on_lost(self, address: str, stream: stream_lib.Stream) -> None:
        del stream
        self._locations.pop(address, None)
        self._named_controls.pop(address, None)
        self._choose_sources()
        loguru.logger.bind(control=address).warning("lost a control instance")
        self.table.remove_control_instance(address)
        self.entries.remove_list(address)

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
                "ignored an undecodable message: {}", repr(error)
            )
            return
        message_handlers.handle(message, address, self)

    def on_controls(self, controls: messages.Controls, address: str) -> None:
        """Opens and closes streams to match the set of control instances.

        Instances that lag behind name other ones; streams to all are kept.
        """
        self._named_controls[address] = frozenset(controls.addresses)
        named = frozenset().union(*self._named_controls.values())
        self._set_controls(named | self._seeds)

    def on_rows(self, rows: messages.Rows) -> None:
        """Merges rows of backend servers."""
        now_ms = self._clock.now_ms()
        decoded, problems = server_table.decode_rows(rows.rows)
        if problems:
            loguru.logger.bind(count=len(problems)).warning(
                "ignored rows of backend servers: {}", problems[0]
            )
        changed = [row for row in decoded if self.table.put(row, now_ms)]
        if len(changed) > MAX_LOGGED_ROWS:
            loguru.logger.bind(count=len(changed)).info(
                "backend servers changed"
            )
            return
        for row in changed:
            loguru.logger.bind(
                server=row.server_id,
                service=row.service,
                state=row.state.value,
            ).info("backend server changed")

    def mark_leaving(self, row: server_table.Row) -> None:
        """Drains a server that has said in a reply that it leaves.

        All control instances are told, which tell the other entries.
        """
        current = self.table.get(row.server_id)
        if (
            current is None
            or current.started_ms != row.started_ms
            or current.state is not server_table.State.READY
        ):
            return
        drained = dataclasses.replace(
            current, state=server_table.State.DRAINING
        )
        self.table.put(drained, self._clock.now_ms())
        loguru.logger.bind(server=row.server_id, service=row.service).info(
            "backend server says in a reply that it leaves"
        )
        news = messages.Rows((server_table.encode_row(drained),))
        self.send_to_all(news)

    def send_to_all(self, message: messages.Message) -> None:
        """Sends a message to all control instances that are connected."""
        for address in self._dialers:
            self._send(address, message)

    def ask_trial(self, question: messages.AskTrial) -> bool:
        """Asks a control instance for a trial; returns whether one is there.

        All entries ask the same one, as long as they reach the same ones.
        """
        connected = [
            a for a, d in self._dialers.items() if d.stream is not None
        ]
        if not connected:
            return False
        address = max(
            connected,
            key=lambda a: crash_containment.fingerprint(
                question.key, a.encode()
            ),
        )
        self._send(address, question)
        return True

    def on_quarantine(self, quarantine: messages.Quarantine) -> None:
        """Records a request that entries must not run."""
        struck_ms = self._clock.now_ms() - quarantine.age_ms
        if self.containment.merge(
            quarantine.key, quarantine.strikes, struck_ms
        ):
            loguru.logger.bind(
                fingerprint=quarantine.key.hex(), strikes=quarantine.strikes
            ).warning("a request is quarantined")

    def on_heartbeat_state(self, heard: messages.Heard, address: str) -> None:
        """Records whether a control instance gets heartbeats of servers."""
        for server_id in heard.server_ids:
            self.table.set_heartbeat_status(server_id, address, heard.heard)

    def on_entries(self, entries: messages.Entries, address: str) -> None:
        """Replaces the list of entries of a control instance."""
        self.entries.put(
            address, _decode_entries(entries.entries), entries.load
        )

    def on_entries_changed(
        self, changed: messages.EntriesChanged, address: str
    ) -> None:
        """Applies changes to the list of entries of a control instance."""
        added, removed = (
            _decode_entries(changed.added),
            _decode_entries(changed.removed),
        )
        self.entries.change(address, added, removed, changed.load)

    def on_revision(self, revision: messages.Revision, address: str) -> None:
        """Fetches a newer configuration from the first instance that has it."""
        if revision.number <= self.revision:
            return
        if revision.number > self._target_revision:
            self._target_revision = revision.number
            self._requested_from = set()
        if self._requested_from:
            return
        wait_ms = revision_source.wait_ms(
            address,
            self._locations,
            self._settings.data_center,
            self.configuration is None,
        )
        if wait_ms:
            number = revision.number
            self._loop.timers.after(
                wait_ms, lambda: self._fetch_unrequested(number, address)
            )
        else:
            self._fetch(address)

    def _fetch_unrequested(self, number: int, address: str) -> None:
        if number == self._target_revision and not self._requested_from:
            self._fetch(address)

    def _fetch(self, address: str) -> None:
        if self.revision >= self._target_revision:
            return
        self._requested_from.add(address)
        self._send(address, messages.Fetch(self._target_revision))
        number = self._target_revision
        self._loop.timers.after(
            FETCH_TIMEOUT_MS, lambda: self._retry_fetch(number)
        )

    def _retry_fetch(self, number: int) -> None:
        if number != self._target_revision or self.revision >= number:
            return
        connected = [
            address
            for address, dialer in self._dialers.items()
            if dialer.stream is not None
        ]
        candidates = [a for a in connected if a not in self._requested_from]
        if not candidates:
            self._requested_from = set()
            candidates = connected or list(self._dialers)
        if candidates:
            self._fetch(candidates[0])

    def on_document(self, document: messages.Document) -> None:
        """Puts a configuration in force if it is newer than the present one."""
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


def _decode_entries(pairs) -> tuple[entry_selection.Entry, ...]:
    return tuple(entry_selection.Entry(*pair) for pair in pairs)
