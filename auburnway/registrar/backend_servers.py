"""Heartbeats, drains and stops of backend servers at one control instance.

A heartbeat of a ready server is acknowledged at once, as nothing is promised.
A drain or a stop is acknowledged once more control instances than may be lost
with their disks have saved it. What is heard is told to all processes at once
in either case.
"""

from collections import abc
import dataclasses

import loguru
from returns import result

from auburnway.core import clock as clock_lib
from auburnway.core import server_table
from auburnway.kernel import timers as timers_lib
from auburnway.net import stream as stream_lib
from auburnway.registrar import departures as departures_lib
from auburnway.registrar import entry_news
from auburnway.registrar import messages
from auburnway.registrar import peers as peers_lib
from auburnway.registrar import replies
from auburnway.registrar import table_file

# A server counts as silent after this many periods without a heartbeat.
MISSED_HEARTBEATS = 2.5
# Departures of this time are saved by one write of the whole table.
COMMIT_MS = 20.0

OnReply = abc.Callable[[result.Result], None]


@dataclasses.dataclass(frozen=True, slots=True)
class _Question:
    """Another instance waits until a departure is saved here."""

    stream: stream_lib.Stream
    departure: departures_lib.Departure
    deadline_ms: float


class BackendServers:
    """Table of the backend servers at one control instance.

    Args:
      peers: The other control instances.
      entries: The connected entries.
      table: The table, which the instance shares with its other parts.
      saver: Saves the table in the data folder.
      timers: Timer queue of the loop.
      clock: Source of time.
      heartbeat_ms: Period of the heartbeats.
    """

    def __init__(
        self,
        peers: peers_lib.Peers,
        entries: entry_news.EntryNews,
        table: server_table.Table,
        saver: table_file.TableSaver,
        timers: timers_lib.TimerQueue,
        clock: clock_lib.Clock,
        heartbeat_ms: float,
    ):
        self._peers = peers
        self._entries = entries
        self._table = table
        self._saver = saver
        self._timers = timers
        self._clock = clock
        self._silence_ms = MISSED_HEARTBEATS * heartbeat_ms
        self._last_heartbeat_ms: dict[str, float] = {}
        self._departures = departures_lib.Departures()
        # What other instances asked to save and is not saved yet.
        self._asked: list[_Question] = []
        self._is_commit_due = False
        # Calls that were refused because too few instances saved in time.
        self.refused_count = 0
        saver.on_saved = self._on_saved

    @property
    def heard_ids(self) -> abc.Collection[str]:
        """Servers whose heartbeats this instance gets."""
        return self._last_heartbeat_ms

    @property
    def waiting_count(self) -> int:
        """Number of drains and stops that wait to be acknowledged."""
        return self._departures.waiting_count

    # Calls of backend servers.

    def accept_heartbeat(
        self, row: server_table.Row, on_reply: OnReply
    ) -> None:
        """Processes a heartbeat.

        Args:
          row: What the heartbeat says.
          on_reply: Called with Success(None), or `NotAvailable` if the
            heartbeat must not be acknowledged.
        """
        if self._is_isolated():
            on_reply(_refusal("this instance reaches no other"))
            return
        now_ms = self._clock.now_ms()
        if self._table.put(row, now_ms):
            loguru.logger.bind(
                server=row.server_id,
                service=row.service,
                state=row.state.value,
                sequence=row.sequence,
            ).info("backend server changed")
            self._push((row.server_id,))
        # A late heartbeat of a server that has ended says nothing of it.
        if self._table.get(row.server_id).state is not server_table.State.ENDED:
            if row.server_id not in self._last_heartbeat_ms:
                self._entries.add_heard(row.server_id)
            self._last_heartbeat_ms[row.server_id] = now_ms
        if row.state is server_table.State.READY:
            on_reply(result.Success(None))
        else:
            self._acknowledge(departures_lib.Departure.of(row), on_reply)

    def accept_stop(self, server_id: str, on_reply: OnReply) -> None:
        """Processes the stop of a server.

        Args:
          server_id: Identifier of the server.
          on_reply: Called with Success(None), or `NotAvailable` if the stop
            must not be acknowledged.
        """
        if self._is_isolated():
            on_reply(_refusal("this instance reaches no other"))
            return
        if self._table.end(server_id, self._clock.now_ms()) is not None:
            loguru.logger.bind(server=server_id).info("backend server ended")
            self._push((server_id,))
        row = self._table.get(server_id)
        if row is None:
            # Another instance may know it as ready.
            on_reply(_refusal("this instance does not know it"))
        else:
            self._acknowledge(departures_lib.Departure.of(row), on_reply)

    def _is_isolated(self) -> bool:
        return self._peers.are_all_lost() and not self._entries

    # Acknowledgements.

    def _acknowledge(
        self, departure: departures_lib.Departure, on_reply: OnReply
    ) -> None:
        def on_done(is_saved: bool):
            if is_saved:
                on_reply(result.Success(None))
                return
            self.refused_count += 1
            loguru.logger.bind(
                server=departure.server_id, state=departure.state.value
            ).warning("too few instances saved that a server leaves")
            on_reply(_refusal("too few instances have saved it"))

        must_save = self._departures.wait(
            departure,
            self._peers.copies_needed(),
            self._clock.now_ms() + departures_lib.TIMEOUT_MS,
            on_done,
        )
        if must_save:
            self._timers.after(departures_lib.TIMEOUT_MS, self._expire)
            rows = self._encode_rows((departure.server_id,))
            self._peers.send(messages.SaveRows(rows))
            self._commit_soon()

    def _expire(self) -> None:
        self._departures.expire(self._clock.now_ms())

    def on_save_rows(
        self, message: messages.SaveRows, stream: stream_lib.Stream
    ) -> None:
        """Saves the rows of another instance, and then tells it so."""
        rows = self._merge(message.rows)
        deadline_ms = self._clock.now_ms() + departures_lib.TIMEOUT_MS
        for row in rows:
            departure = departures_lib.Departure.of(row)
            self._asked.append(_Question(stream, departure, deadline_ms))
        self._commit_soon()

    def on_rows_saved(self, message: messages.RowsSaved) -> None:
        """Records what another instance has saved."""
        self._departures.on_saved(
            message.holder,
            (
                departures_lib.Departure(
                    server_id, started_ms, server_table.State(state)
                )
                for server_id, started_ms, state in message.departures
            ),
            self._peers.copies_needed(),
        )

    def _commit_soon(self) -> None:
        if not self._is_commit_due:
            self._is_commit_due = True
            self._timers.after(COMMIT_MS, self._commit)

    def _commit(self) -> None:
        self._is_commit_due = False
        if self._saver.is_busy:
            self._commit_soon()
        else:
            self._saver.save(self._table.rows())

    def _on_saved(self, rows: tuple[server_table.Row, ...] | None) -> None:
        """Handles that rows are on the disk of this instance.

        Args:
          rows: The rows; None if they could not be saved.
        """
        now_ms = self._clock.now_ms()
        self._asked = [q for q in self._asked if q.deadline_ms > now_ms]
        if rows is None:
            return
        by_id = {row.server_id: row for row in rows}
        self._departures.on_saved(
            self._peers.own_address,
            [
                departures_lib.Departure.of(row)
                for row in rows
                if row.state is not server_table.State.READY
            ],
            self._peers.copies_needed(),
        )
        # A save that had begun before a question came does not answer it.
        open_questions = []
        for question in self._asked:
            if question.departure.is_in(
                by_id.get(question.departure.server_id)
            ):
                self._confirm(question)
            else:
                open_questions.append(question)
        self._asked = open_questions
        if open_questions:
            self._commit_soon()

    def _confirm(self, question: "_Question") -> None:
        departure = question.departure
        saved = (
            departure.server_id,
            departure.started_ms,
            departure.state.value,
        )
        reply = messages.RowsSaved(self._peers.own_address, (saved,))
        question.stream.send(messages.encode(reply))

    # News.

    def on_rows(self, message: messages.Rows) -> None:
        """Merges rows and forwards the changed rows to the entries."""
        self._merge(message.rows)

    def _merge(
        self, encoded: abc.Iterable[abc.Sequence]
    ) -> tuple[server_table.Row, ...]:
        now_ms = self._clock.now_ms()
        rows, problems = server_table.decode_rows(encoded)
        if problems:
            loguru.logger.bind(count=len(problems)).warning(
                "ignored rows of backend servers: {}", problems[0]
            )
        changed_ids = [
            row.server_id for row in rows if self._table.put(row, now_ms)
        ]
        if changed_ids:
            frame = self._pack(tuple(changed_ids))
            self._entries.push_rows(frame, reaches_all=True)
        return rows

    def _push(self, server_ids: tuple[str, ...]) -> None:
        """Tells all processes of rows that changed here first."""
        frame = self._pack(server_ids)
        self._entries.push_rows(frame, self._peers.are_all_reached())
        self._entries.on_change(server_ids, self._clock.now_ms())
        self._peers.send_packed(frame)

    def repeat_recent(self) -> None:
        """Tells all entries what those of a lost instance may lack."""
        recent_ids = self._entries.recent(self._clock.now_ms())
        if recent_ids:
            self._entries.push_frame(self._pack(recent_ids))

    def _pack(self, server_ids: tuple[str, ...]) -> bytes:
        rows = messages.Rows(self._encode_rows(server_ids))
        return stream_lib.pack(messages.encode(rows))

    def _encode_rows(self, server_ids: tuple[str, ...]) -> tuple:
        return tuple(
            server_table.encode_row(row)
            for row in map(self._table.get, server_ids)
            if row is not None
        )

    # Periodic work.

    def check(self) -> None:
        """Reports servers that missed their heartbeats; removes old rows."""
        now_ms = self._clock.now_ms()
        silent = tuple(
            server_id
            for server_id, last_ms in self._last_heartbeat_ms.items()
            if now_ms - last_ms > self._silence_ms
        )
        for server_id in silent:
            del self._last_heartbeat_ms[server_id]
        if silent:
            loguru.logger.bind(servers=silent).info(
                "backend servers missed their heartbeats"
            )
            self._entries.push(messages.Heard(silent, False))
        self._table.purge(now_ms)
        self._departures.purge(self._table)

    def save(self) -> None:
        """Saves the table if it has changed."""
        if not self._saver.is_busy:
            self._saver.save(self._table.rows())


def _refusal(detail: str) -> result.Result:
    return result.Failure(replies.NotAvailable(detail))
