"""Backend servers that register themselves by heartbeat.

Each control instance and each entry holds a table. Tables are merged row by
row: the row of the latest start wins, and within one start the one with the
greatest sequence. A row that ended stays as a tombstone for a time, so that a
late heartbeat does not revive it.

Silence is kept apart from the rows. Each control instance states of a server
whether it hears it; a server counts as silent only when the instance that
heard it last says that it no longer does, and no other hears it. A lost
control instance therefore makes no server silent.
"""

import dataclasses
import enum
import typing

# A heartbeat that was held back by a partition arrives well within it.
TOMBSTONE_MS = 120_000.0


class State(enum.Enum):
    """What a backend server says of itself."""

    READY = "ready"
    DRAINING = "draining"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True)
class Row:
    """One start of a backend server.

    Attributes:
      server_id: Identity that it names.
      started_ms: Unix milliseconds of its start, by its own clock.
      sequence: Number of the heartbeat that the row comes from.
      service: Service that it belongs to.
      address: `ip:port`.
      data_center: Data centre that it runs in.
      slots: Requests that it runs at once.
      state: What it says of itself.
      cold_ms: How much longer it was slow when it sent the heartbeat.
    """

    server_id: str
    started_ms: int
    sequence: int
    service: str
    address: str
    data_center: str
    slots: int
    state: State
    cold_ms: int = 0

    @property
    def version(self) -> tuple[int, int]:
        """Orders the rows of one server."""
        return (self.started_ms, self.sequence)


def encode_row(row: Row) -> list[typing.Any]:
    """Returns the msgpack form of a row."""
    fields = [getattr(row, field.name) for field in dataclasses.fields(row)]
    fields[7] = row.state.value
    return fields


def decode_row(fields: typing.Sequence[typing.Any]) -> Row:
    """Returns the row of its msgpack form.

    Raises:
      TypeError, ValueError: It is no row.
    """
    head, state, cold_ms = fields[:7], fields[7], fields[8]
    return Row(*head, State(state), cold_ms)


class Table:
    """Rows by identity, with an index of usable servers by service."""

    def __init__(self):
        self._rows: dict[str, Row] = {}
        self._ended_ms: dict[str, float] = {}
        # Per server and control instance: whether that instance hears it.
        self._heartbeat_status: dict[str, dict[str, bool]] = {}
        # Servers that are silent; asked for with every choice of a server.
        self._silent: set[str] = set()
        self._by_service: dict[str, tuple[Row, ...]] | None = None

    def __len__(self) -> int:
        """Number of rows, tombstones included."""
        return len(self._rows)

    def rows(self) -> tuple[Row, ...]:
        """Returns all rows, tombstones included."""
        return tuple(self._rows.values())

    def get(self, server_id: str) -> Row | None:
        """Returns the row of a server, or None."""
        return self._rows.get(server_id)

    def put(self, row: Row, now_ms: float) -> bool:
        """Merges a row.

        Returns:
          True when it changed what is known of the server, so that others
          must learn it; a later heartbeat with the same content does not.
        """
        current = self._rows.get(row.server_id)
        if current is not None:
            if row.version < current.version:
                return False
            same_start = row.started_ms == current.started_ms
            if same_start and current.state is State.ENDED:
                return False
            # A start that drains never becomes ready again.
            was_draining = current.state is State.DRAINING
            if same_start and was_draining and row.state is State.READY:
                row = dataclasses.replace(row, state=State.DRAINING)
        self._rows[row.server_id] = row
        changed = current is None or _relayed_fields(
            current
        ) != _relayed_fields(row)
        if row.state is State.ENDED:
            self._ended_ms.setdefault(row.server_id, now_ms)
        else:
            self._ended_ms.pop(row.server_id, None)
        if changed:
            self._by_service = None
        return changed

    def end(self, server_id: str, now_ms: float) -> Row | None:
        """Marks a server as ended; returns its row if that is news."""
        row = self._rows.get(server_id)
        if row is None or row.state is State.ENDED:
            return None
        ended = dataclasses.replace(
            row, state=State.ENDED, sequence=row.sequence + 1
        )
        self.put(ended, now_ms)
        return ended

    def set_heard(self, server_id: str, control: str, heard: bool) -> None:
        """Takes what a control instance says of a server."""
        self._heartbeat_status.setdefault(server_id, {})[control] = heard
        self._update_silence(server_id)

    def drop_control(self, control: str) -> None:
        """Forgets what a control instance said, as it is lost."""
        for server_id, status_by_instance in self._heartbeat_status.items():
            if status_by_instance.pop(control, None) is not None:
                self._update_silence(server_id)

    def is_silent(self, server_id: str) -> bool:
        """Whether control instances say that nothing is heard any more."""
        return server_id in self._silent

    def _update_silence(self, server_id: str) -> None:
        status_by_instance = self._heartbeat_status[server_id]
        if status_by_instance and not any(status_by_instance.values()):
            self._silent.add(server_id)
        else:
            self._silent.discard(server_id)

    def servers(self, service: str) -> tuple[Row, ...]:
        """Returns the servers of a service that take new requests."""
        if self._by_service is None:
            self._by_service = self._index()
        return self._by_service.get(service, ())

    def purge(self, now_ms: float) -> None:
        """Drops tombstones that are old enough."""
        for server_id, ended_ms in tuple(self._ended_ms.items()):
            if now_ms - ended_ms > TOMBSTONE_MS:
                del self._ended_ms[server_id]
                self._rows.pop(server_id, None)
                self._heartbeat_status.pop(server_id, None)
                self._silent.discard(server_id)

    def _index(self) -> dict[str, tuple[Row, ...]]:
        # An address belongs to the server that started there last.
        owners: dict[str, Row] = {}
        for row in self._rows.values():
            if row.state is State.ENDED:
                continue
            owner = owners.get(row.address)
            if owner is None or row.started_ms > owner.started_ms:
                owners[row.address] = row
        ready: dict[str, list[Row]] = {}
        for row in owners.values():
            if row.state is State.READY:
                ready.setdefault(row.service, []).append(row)
        return {service: tuple(rows) for service, rows in ready.items()}


def _relayed_fields(row: Row) -> tuple:
    return (
        row.started_ms,
        row.service,
        row.address,
        row.data_center,
        row.slots,
        row.state,
    )
