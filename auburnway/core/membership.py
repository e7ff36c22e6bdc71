"""Backend servers that announced themselves.

There is no list of backend servers. Each announces itself to two entries,
which relay changes to the others. The table is soft state: after a restart it
is learned again from peers and announcements.
"""

from collections import abc
import dataclasses
import enum
import typing

from returns import result

from auburnway.core import errors
from auburnway.core import snapshot as snapshot_lib


class State(enum.Enum):
    """What a backend server says of itself, or what is presumed of it."""

    WARMING = "warming"
    SERVING = "serving"
    DRAINING = "draining"
    # Its lease ran out together with most others; traffic decides.
    SUSPECT = "suspect"
    GONE = "gone"


@dataclasses.dataclass(frozen=True)
class Row:
    """One backend server.

    Attributes:
      name: Unique name of the backend server.
      started_ms: Wall-clock start of this incarnation; a restart is greater.
      sequence: Counts the changes that this incarnation announced.
      application: Application that it belongs to.
      address: `ip:port`.
      data_center: Data centre that it runs in.
      state: Announced state.
      slots: Requests that it runs at once.
      connection_limit: Connections that it accepts.
      holdings: Shards of snapshots that it holds.
      manifests: Shard maps of the snapshots that it holds.
    """

    name: str
    started_ms: int
    sequence: int
    application: str
    address: str
    data_center: str
    state: State
    slots: int
    connection_limit: int
    holdings: tuple[snapshot_lib.Holding, ...]
    manifests: tuple[snapshot_lib.Manifest, ...]

    @property
    def version(self) -> tuple[int, int]:
        """Orders the announcements of one backend server."""
        return (self.started_ms, self.sequence)


class BadAnnouncement(errors.Error):
    """An announcement lacks a field or has a wrong type."""

    code = "bad_announcement"
    remedy = "Send all fields listed in docs/API.md."
    http_status = 400


def encode_row(row: Row) -> dict[str, typing.Any]:
    """Returns the wire form of a row: JSON and msgpack compatible."""
    data = {
        field.name: getattr(row, field.name)
        for field in dataclasses.fields(row)
    }
    data["state"] = row.state.value
    data["holdings"] = [[h.snapshot, h.shard] for h in row.holdings]
    data["manifests"] = [
        [m.snapshot, [list(pair) for pair in m.weights]] for m in row.manifests
    ]
    return data


def decode_row(data: typing.Any) -> result.Result[Row, errors.Error]:
    """Returns the row of its wire form, or what is wrong with it."""
    try:
        return result.Success(
            Row(
                name=str(data["name"]),
                started_ms=int(data["started_ms"]),
                sequence=int(data["sequence"]),
                application=str(data["application"]),
                address=str(data["address"]),
                data_center=str(data["data_center"]),
                state=State(data["state"]),
                slots=int(data["slots"]),
                connection_limit=int(data["connection_limit"]),
                holdings=tuple(
                    snapshot_lib.Holding(int(snapshot), int(shard))
                    for snapshot, shard in data["holdings"]
                ),
                manifests=tuple(
                    snapshot_lib.Manifest(
                        int(snapshot),
                        tuple((int(s), int(w)) for s, w in weights),
                    )
                    for snapshot, weights in data["manifests"]
                ),
            )
        )
    except (KeyError, TypeError, ValueError) as error:
        return result.Failure(BadAnnouncement(repr(error), "announcement"))


class Table:
    """Rows by name, with leases counted on the owner's clock.

    A row is replaced only by a greater version, so that a late datagram or an
    entry that was cut off never brings back an old state.

    Args:
      lease_ms: Time after its last announcement for which a row counts.
    """

    def __init__(self, lease_ms: float):
        self._lease_ms = lease_ms
        self._rows: dict[str, Row] = {}
        self._renewed_ms: dict[str, float] = {}
        self._drained: frozenset[str] = frozenset()
        self._replicas: dict[tuple[str, int, int], tuple[Row, ...]] = {}
        self._manifests: dict[str, tuple[snapshot_lib.Manifest, ...]] = {}
        # Usable holders of a snapshot and the shard map that each named.
        self._holders: dict[
            tuple[str, int], dict[str, snapshot_lib.Manifest]
        ] = {}

    def rows(self) -> abc.Collection[Row]:
        """Returns all rows, those that are gone included."""
        return self._rows.values()

    def get(self, name: str) -> Row | None:
        """Returns the row of this backend server, or None."""
        return self._rows.get(name)

    def put(self, row: Row, now_ms: float) -> bool:
        """Takes an announced or relayed row.

        Args:
          row: The row; ignored when its version is not the greatest seen.
          now_ms: Instant at which its lease starts again.

        Returns:
          True when the row is news that must be relayed.
        """
        current = self._rows.get(row.name)
        if current is not None and row.version < current.version:
            return False
        self._renewed_ms[row.name] = now_ms
        if current is not None and row.version == current.version:
            # The lease is renewed; a suspect row is trusted again.
            if current.state is State.SUSPECT or current.state is State.GONE:
                self._replace_row(row)
            return False
        self._replace_row(row)
        return True

    def mark(self, name: str, state: State) -> bool:
        """Sets a state that was observed rather than announced.

        Args:
          name: Backend server.
          state: Its new state; the version stays, so that the next
            announcement of a greater version replaces it.

        Returns:
          True when the state changed.
        """
        row = self._rows.get(name)
        if row is None or row.state is state:
            return False
        self._replace_row(dataclasses.replace(row, state=state))
        return True

    def set_drained(self, names: abc.Collection[str]) -> None:
        """Sets the backend servers that operators have drained."""
        self._drained = frozenset(names)
        self._rebuild_indexes()

    def is_drained(self, name: str) -> bool:
        """Whether operators have drained this backend server."""
        return name in self._drained

    def expire(self, now_ms: float) -> tuple[Row, ...]:
        """Ends leases that have run out.

        When more than half of an application's servers run out within one
        lease, announcements are being lost rather than servers: the rows
        stay, marked as suspect, and traffic decides.

        Returns:
          The rows that changed.
        """
        live_counts: dict[str, int] = {}
        expired: dict[str, list[Row]] = {}
        for row in self._rows.values():
            if row.state is State.GONE:
                continue
            live_counts[row.application] = (
                live_counts.get(row.application, 0) + 1
            )
            if now_ms - self._renewed_ms[row.name] > self._lease_ms:
                expired.setdefault(row.application, []).append(row)
        changed = []
        for application, rows in expired.items():
            is_mass_expiry = len(rows) * 2 > live_counts[application]
            state = State.SUSPECT if is_mass_expiry else State.GONE
            for row in rows:
                if row.state is State.SUSPECT and not is_mass_expiry:
                    # Half of the servers are back, so this one is lost.
                    state = State.GONE
                if self.mark(row.name, state):
                    changed.append(self._rows[row.name])
        return tuple(changed)

    def replicas(
        self, application: str, snapshot: int, shard: int
    ) -> tuple[Row, ...]:
        """Returns the backend servers that may run work on a shard.

        Args:
          application: Application of the request.
          snapshot: Version that the query is pinned to.
          shard: Shard of that snapshot.
        """
        return self._replicas.get((application, snapshot, shard), ())

    def servers(self, application: str) -> tuple[Row, ...]:
        """Returns the usable backend servers of an application."""
        return tuple(
            row
            for row in self._rows.values()
            if row.application == application and self._usable(row)
        )

    def manifests(self, application: str) -> tuple[snapshot_lib.Manifest, ...]:
        """Returns the known shard maps of an application."""
        return self._manifests.get(application, ())

    def _replace_row(self, row: Row) -> None:
        # Rows of one snapshot carry equal shard maps; one object serves all,
        # because at 96 shards the map is most of a row's memory.
        shared = tuple(
            self._shared_manifest(row.application, manifest)
            for manifest in row.manifests
        )
        row = dataclasses.replace(row, manifests=shared)
        current = self._rows.get(row.name)
        if current is not None and self._usable(current):
            self._remove_from_index(current)
        self._rows[row.name] = row
        if self._usable(row):
            self._add_to_index(row)

    def _rebuild_indexes(self) -> None:
        self._replicas.clear()
        self._manifests.clear()
        self._holders.clear()
        for row in self._rows.values():
            if self._usable(row):
                self._add_to_index(row)

    def _add_to_index(self, row: Row) -> None:
        # Look-ups happen per sub-request, so the indexes hold tuples. One
        # change touches only its own shards: building all anew cost 5.9 ms
        # at 4,300 rows, and the square of that to fill the table.
        for holding in row.holdings:
            key = (row.application, holding.snapshot, holding.shard)
            self._replicas[key] = (*self._replicas.get(key, ()), row)
        for manifest in row.manifests:
            holders = self._holders.setdefault(
                (row.application, manifest.snapshot), {}
            )
            holders[row.name] = manifest
            self._choose_manifest(row.application, manifest.snapshot)

    def _remove_from_index(self, row: Row) -> None:
        for holding in row.holdings:
            key = (row.application, holding.snapshot, holding.shard)
            remaining = tuple(
                other
                for other in self._replicas.get(key, ())
                if other.name != row.name
            )
            if remaining:
                self._replicas[key] = remaining
            else:
                self._replicas.pop(key, None)
        for manifest in row.manifests:
            holders = self._holders[(row.application, manifest.snapshot)]
            holders.pop(row.name, None)
            self._choose_manifest(row.application, manifest.snapshot)

    def _choose_manifest(self, application: str, snapshot: int) -> None:
        """Keeps the shard map that the first holder of a snapshot named."""
        present = self._manifests.get(application, ())
        holders = self._holders[(application, snapshot)]
        chosen = next(iter(holders.values()), None)
        if chosen is not None and chosen in present:
            return
        others = tuple(m for m in present if m.snapshot != snapshot)
        self._manifests[application] = (
            others if chosen is None else (*others, chosen)
        )

    def _shared_manifest(
        self, application: str, manifest: snapshot_lib.Manifest
    ) -> snapshot_lib.Manifest:
        for present in self._manifests.get(application, ()):
            if present == manifest:
                return present
        return manifest

    def _usable(self, row: Row) -> bool:
        return (
            row.state in (State.SERVING, State.SUSPECT)
            and row.name not in self._drained
        )
