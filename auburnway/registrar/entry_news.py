"""What a control instance sends to the entries that are connected to it.

An entry that connects gets the whole state, and then what changes. News of
backend servers go to the entries that subscribed to this instance; entries
that watch it get a digest of its table, to find out whether they missed some.
Drains, ends and stops are sent at once. What can wait is collected until the
next `flush`, so that the start of many processes does not send each entry a
message for each of them.
"""

from collections import abc
import typing

from auburnway.core import server_table
from auburnway.net import stream as stream_lib
from auburnway.registrar import entry_states
from auburnway.registrar import messages
from auburnway.registrar import subscribers
from auburnway.registrar import table_frame


class EntryNews:
    """Sends state and changes to the connected entries.

    Args:
      table: Table of backend servers of this instance.
      data_center: Data centre of this instance.
    """

    def __init__(self, table: server_table.Table, data_center: str):
        self._table = table
        self._data_center = data_center
        self._entries = entry_states.EntryStates()
        self._subscribers = subscribers.Subscribers()
        self._table_frame = table_frame.TableFrame()
        self._newly_heard: dict[str, None] = {}
        self._sent_controls: messages.Controls | None = None
        self._sent_digest = table.digest()

    def __len__(self) -> int:
        """Number of connected entries."""
        return len(self._entries)

    # Entries.

    def put_state(
        self, stream: stream_lib.Stream, state: messages.EntryState
    ) -> tuple[bool, bool]:
        """Records the state of an entry.

        Returns:
          Whether the entry is new, and whether the list of entries is to be
          sent at once.
        """
        is_new = stream not in self._entries
        return is_new, self._entries.put(stream, state)

    def drop(self, stream: stream_lib.Stream) -> bool:
        """Removes a lost stream; returns whether it belonged to an entry."""
        self._subscribers.drop(stream)
        return self._entries.drop(stream)

    def send_state(
        self,
        stream: stream_lib.Stream,
        controls: messages.Controls | None,
        heard_ids: abc.Iterable[str],
        revision: int,
    ) -> None:
        """Sends the whole state to a new entry.

        Args:
          stream: Stream to the entry.
          controls: Control instances; None before they are known.
          heard_ids: Servers whose heartbeats this instance gets.
          revision: Number of the newest configuration; negative for none.
        """
        if self._subscribers.wants(stream):
            self.send_table(stream)
        initial_messages = [
            messages.Location(self._data_center),
            messages.AskRows() if self._subscribers.should_ask_rows() else None,
            controls,
            messages.Heard(tuple(heard_ids), True),
            self._entries.last_list(),
            messages.Revision(revision) if revision >= 0 else None,
        ]
        for message in initial_messages:
            if message is not None:
                stream.send(messages.encode(message))

    def send_table(self, stream: stream_lib.Stream) -> None:
        """Sends all rows, if there are any."""
        if len(self._table):
            stream.send_packed(self._table_frame.get(self._table))

    # Subscriptions.

    def on_subscribe(
        self, subscribe: messages.Subscribe, stream: stream_lib.Stream
    ) -> None:
        """Starts or ends the news of backend servers to an entry."""
        self._subscribers.put(stream, subscribe.is_wanted)
        if subscribe.is_wanted and subscribe.digest != self._table.digest():
            self.send_table(stream)

    def on_watch(
        self, watch: messages.Watch, stream: stream_lib.Stream
    ) -> None:
        """Starts or ends the digests of the table to an entry."""
        self._subscribers.watch(stream, watch.is_wanted)
        if watch.is_wanted:
            stream.send(messages.encode(self._digest()))

    def _digest(self) -> messages.TableDigest:
        return messages.TableDigest(self._table.digest())

    # Changes.

    def push_rows(self, frame: bytes, reaches_all: bool) -> None:
        """Sends changed rows.

        Args:
          frame: Packed message with the rows.
          reaches_all: Whether all other instances hear of the change; if not,
            their subscribers get it from here.
        """
        for stream in self._subscribers.recipients(
            self._entries.streams(), reaches_all
        ):
            stream.send_packed(frame)

    def on_change(self, server_ids: tuple[str, ...], now_ms: float) -> None:
        """Remembers changed servers for `recent`."""
        self._subscribers.on_change(server_ids, now_ms)

    def recent(self, now_ms: float) -> tuple[str, ...]:
        """Returns the servers that changed a short time ago."""
        return self._subscribers.recent(now_ms)

    def push(self, message: messages.Message) -> None:
        """Sends a message to all entries."""
        self.push_frame(stream_lib.pack(messages.encode(message)))

    def push_frame(self, frame: bytes) -> None:
        """Sends a packed message to all entries."""
        for stream in self._entries.streams():
            stream.send_packed(frame)

    def push_controls(self, controls: messages.Controls | None) -> None:
        """Sends the control instances if they have changed."""
        if controls is not None and controls != self._sent_controls:
            self._sent_controls = controls
            self.push(controls)

    def push_entries(self) -> None:
        """Sends the list of entries, or what has changed in it."""
        message = self._entries.pending_update()
        if message is not None:
            self.push(message)

    def add_heard(self, server_id: str) -> None:
        """Collects a server whose heartbeats this instance now gets."""
        self._newly_heard[server_id] = None

    def flush(self) -> None:
        """Sends what was collected and, to watchers, a changed digest."""
        if self._newly_heard:
            self.push(messages.Heard(tuple(self._newly_heard), True))
            self._newly_heard.clear()
        digest = self._digest()
        if digest.digest != self._sent_digest:
            self._sent_digest = digest.digest
            _send_all(self._subscribers.watchers(), digest)


def _send_all(
    streams: abc.Iterable[typing.Any], message: messages.Message
) -> None:
    frame = stream_lib.pack(messages.encode(message))
    for stream in streams:
        stream.send_packed(frame)
