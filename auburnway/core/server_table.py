"""Table of the backend servers that register by heartbeat.

Each control instance and each entry holds a table. Tables are merged row by
row (`merge`): the row of the latest start wins. Of one start the greatest
sequence decides, except for the state, which only advances: the news that a
server ends need not come from the process with its last heartbeat, and a reply
that says that it leaves has no sequence. The row of an ended server stays as a
tombstone for `TOMBSTONE_MS`, so that a late heartbeat does not revive the
server.

Missing heartbeats are tracked apart from the rows. Each control instance
reports whether it receives heartbeats of a server. A server counts as silent
only when at least one instance has reported on it and none receives its
heartbeats. The loss of a control instance therefore makes no server silent.
"""

import dataclasses
import enum
import hashlib
import ipaddress
import re
import typing

# Retention of tombstones. A heartbeat that a partition delayed arrives well
# within this time.
TOMBSTONE_MS = 120_000.0


# Greatest integer that all JSON implementations represent exactly.
MAX_INTEGER = (1 << 53) - 1
MAX_SLOTS = 1_000_000
MAX_COLD_MS = 3_600_000

# Names go into HTTP headers and logs.
_NAME = re.compile(r"[!-~]{1,200}\Z")
_PORT = re.compile(r"[0-9]{1,5}\Z")


class State(enum.Enum):
    """State that a backend server reports."""

    READY = "ready"
    DRAINING = "draining"
    ENDED = "ended"


# States of one start, in the order in which it passes through them.
_STATE_ORDER = {State.READY: 0, State.DRAINING: 1, State.ENDED: 2}


@dataclasses.dataclass(frozen=True)
class Row:
    """One start of a backend server.

    Attributes:
      server_id: Identifier that the server reports.
      started_ms: Time of the start on the server's clock, in ms since the Unix
        epoch.
      sequence: Sequence number of the heartbeat that the row comes from.
      service: Service that the server belongs to.
      address: `ip:port`.
      data_center: Data centre that the server runs in.
      slots: Requests that the server runs concurrently.
      state: Reported state.
      cold_ms: Remaining warm-up time, in which the server is slow, when it sent
        the heartbeat.
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
        """Version that orders the heartbeats of one server."""
        return (self.started_ms, self.sequence)

    def has_reached(self, state: State) -> bool:
        """Whether the start is in a state or beyond it."""
        return _STATE_ORDER[self.state] >= _STATE_ORDER[state]


def merge(first: Row, second: Row) -> Row:
    """Returns what two rows of one server say together.

    The result does not depend on the order in which rows are merged, nor on
    how often one is.
    """
    if first.started_ms != second.started_ms:
        return max(first, second, key=lambda row: row.started_ms)
    newest = max(first, second, key=lambda row: (row.version, _content(row)))
    state = max(first.state, second.state, key=_STATE_ORDER.__getitem__)
    return dataclasses.replace(newest, state=state)


def check(row: Row) -> Row:
    """Returns the row if it describes a server that can be used.

    Raises:
      TypeError, ValueError: A field has a wrong type or value.
    """
    for name in ("server_id", "service", "data_center"):
        if not _NAME.match(getattr(row, name)):
            raise ValueError(f"{name} is not a name")
    for name, low, high in (
        ("started_ms", 0, MAX_INTEGER),
        ("sequence", 0, MAX_INTEGER),
        ("slots", 1, MAX_SLOTS),
        ("cold_ms", 0, MAX_COLD_MS),
    ):
        value = getattr(row, name)
        if type(value) is not int or not low <= value <= high:
            raise ValueError(f"{name} is not an integer of {low} to {high}")
    host, _, port = row.address.rpartition(":")
    ipaddress.IPv4Address(host)
    if not _PORT.match(port) or not 1 <= int(port) <= 65535:
        raise ValueError("the port is not an integer of 1 to 65535")
    return row


def encode_row(row: Row) -> list[typing.Any]:
    """Returns the msgpack form of a row."""
    fields = [getattr(row, field.name) for field in dataclasses.fields(row)]
    fields[7] = row.state.value
    return fields


def decode_row(fields: typing.Sequence[typing.Any]) -> Row:
    """Decodes a row from its msgpack form.

    Raises:
      TypeError, ValueError: The fields are not a row.
    """
    head, state, cold_ms = fields[:7], fields[7], fields[8]
    return check(Row(*head, State(state), cold_ms))


def decode_rows(
    encoded: typing.Iterable[typing.Any],
) -> tuple[tuple[Row, ...], tuple[str, ...]]:
    """Decodes rows from another process, which may have another version.

    Returns:
      The rows, and the errors of those that cannot be used.
    """
    rows, problems = [], []
    for fields in encoded:
        try:
            rows.append(decode_row(fields))
        except (TypeError, ValueError, LookupError) as error:
            problems.append(repr(error))
    return tuple(rows), tuple(problems)


class Table:
    """Rows by server id, with an index of ready servers by service.

    Attributes:
      change_count: Number of changes of the content, tombstones included.
    """

    def __init__(self):
        self._rows: dict[str, Row] = {}
        self._ended_ms: dict[str, float] = {}
        # By server and control instance: whether that instance receives the
        # server's heartbeats.
        self._heartbeat_status: dict[str, dict[str, bool]] = {}
        # Servers that count as silent; kept as a set because each choice of a
        # server reads it.
        self._silent: set[str] = set()
        self._ready_by_service: dict[str, tuple[Row, ...]] | None = None
        # Exclusive or of the hashes of all rows that are not tombstones.
        self._hash = 0
        self.change_count = 0

    def __len__(self) -> int:
        """Number of rows, tombstones included."""
        return len(self._rows)

    def rows(self) -> tuple[Row, ...]:
        """Returns all rows, tombstones included."""
        return tuple(self._rows.values())

    def digest(self) -> str:
        """Returns a text that is equal for tables with the same servers.

        Tombstones do not count, as each process removes them at another time.
        """
        return f"{self._hash:016x}"

    def get(self, server_id: str) -> Row | None:
        """Returns the row of a server, or None."""
        return self._rows.get(server_id)

    def put(self, row: Row, now_ms: float) -> bool:
        """Merges a row.

        Returns:
          True when the content changed, so that the row must be relayed. A
          later heartbeat with the same content returns False.
        """
        current = self._rows.get(row.server_id)
        if current is not None:
            row = merge(current, row)
        self._rows[row.server_id] = row
        changed = current is None or _relayed_fields(
            current
        ) != _relayed_fields(row)
        if row.state is State.ENDED:
            self._ended_ms.setdefault(row.server_id, now_ms)
        else:
            self._ended_ms.pop(row.server_id, None)
        if changed:
            self._ready_by_service = None
            self.change_count += 1
            self._hash ^= _row_hash(current) ^ _row_hash(row)
        return changed

    def end(self, server_id: str, now_ms: float) -> Row | None:
        """Marks a server as ended; returns its row if the state changed."""
        row = self._rows.get(server_id)
        if row is None or row.state is State.ENDED:
            return None
        ended = dataclasses.replace(
            row, state=State.ENDED, sequence=row.sequence + 1
        )
        self.put(ended, now_ms)
        return ended

    def set_heartbeat_status(
        self, server_id: str, control: str, receives_heartbeats: bool
    ) -> None:
        """Records whether a control instance receives heartbeats.

        Args:
          server_id: Backend server that sends the heartbeats.
          control: Control instance that reports.
          receives_heartbeats: Whether that instance receives the heartbeats.
        """
        self._heartbeat_status.setdefault(server_id, {})[control] = (
            receives_heartbeats
        )
        self._update_silence(server_id)

    def remove_control_instance(self, control: str) -> None:
        """Removes all reports of a control instance that is lost."""
        for server_id, status_by_instance in self._heartbeat_status.items():
            if status_by_instance.pop(control, None) is not None:
                self._update_silence(server_id)

    def is_silent(self, server_id: str) -> bool:
        """Whether no reporting control instance receives heartbeats."""
        return server_id in self._silent

    def _update_silence(self, server_id: str) -> None:
        status_by_instance = self._heartbeat_status[server_id]
        if status_by_instance and not any(status_by_instance.values()):
            self._silent.add(server_id)
        else:
            self._silent.discard(server_id)

    def servers(self, service: str) -> tuple[Row, ...]:
        """Returns the servers of a service that accept new requests."""
        if self._ready_by_service is None:
            self._ready_by_service = self._index()
        return self._ready_by_service.get(service, ())

    def purge(self, now_ms: float) -> None:
        """Removes tombstones that are older than `TOMBSTONE_MS`."""
        for server_id, ended_ms in tuple(self._ended_ms.items()):
            if now_ms - ended_ms > TOMBSTONE_MS:
                del self._ended_ms[server_id]
                self._rows.pop(server_id, None)
                self.change_count += 1
                self._heartbeat_status.pop(server_id, None)
                self._silent.discard(server_id)

    def _index(self) -> dict[str, tuple[Row, ...]]:
        # If several rows have the same address, the latest start owns it.
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


def _content(row: Row) -> tuple:
    return (row.service, row.address, row.data_center, row.slots, row.cold_ms)


def _relayed_fields(row: Row) -> tuple:
    return (
        row.started_ms,
        row.service,
        row.address,
        row.data_center,
        row.slots,
        row.state,
    )


def _row_hash(row: Row | None) -> int:
    if row is None or row.state is State.ENDED:
        return 0
    fields = (row.server_id, *_relayed_fields(row)[:-1], row.state.value)
    digest = hashlib.blake2b(repr(fields).encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
