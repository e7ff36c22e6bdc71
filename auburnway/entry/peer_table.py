"""Rows of the backend table as they are exchanged with peers.

`membership.Table` holds the states that this entry assumes, with its own
leases. This module additionally stores each row as announced and the digest of
all versions. Repair between tables never renews a lease: otherwise two entries
would keep extending the lease of a lost backend server for each other.
"""

from collections import abc
import typing

import msgpack
from returns import pipeline

from auburnway.core import membership
from auburnway.core import peer_state
from auburnway.net import peer_wire


class PeerTable:
    """Announced rows, their digest, and the rows renewed at this entry."""

    def __init__(
        self,
        table: membership.Table,
        on_row: abc.Callable[[membership.Row], None],
    ):
        self._table = table
        self._on_row = on_row
        self._announced_rows: dict[str, membership.Row] = {}
        self._names_by_id: dict[int, str] = {}
        self._renewed_names: set[str] = set()
        self.digest = peer_state.TableDigest()
        for row in table.rows():
            self._store(row)

    def store_announced(self, row: membership.Row) -> None:
        """Stores a changed row from an announcement to this entry.

        The caller has put the row into the backend table already.
        """
        stored = self._announced_rows.get(row.name)
        if stored is None or stored.version <= row.version:
            self._store(row)
        self._renewed_names.add(row.name)

    def record_renewal(self, name: str) -> None:
        """Records an announcement that changed nothing."""
        if name in self._announced_rows:
            self._renewed_names.add(name)

    def pop_renewals(self) -> list[int]:
        """Returns the identifiers of rows renewed since the last call."""
        names, self._renewed_names = self._renewed_names, set()
        return [peer_state.identifier(name) for name in names]

    def apply_renewals(
        self, identifiers: abc.Iterable[int], now_ms: float
    ) -> list[int]:
        """Renews the leases of backend servers that announced to a peer.

        Args:
          identifiers: Row identifiers that the peer sent.
          now_ms: Current time.

        Returns:
          Identifiers of rows that are unknown to this entry or gone.
        """
        ids_to_fetch = []
        for identifier in identifiers:
            row = self._announced_rows.get(
                self._names_by_id.get(identifier, "")
            )
            if row is None or row.state is membership.State.GONE:
                ids_to_fetch.append(identifier)
            else:
                self._table.put(row, now_ms)
        return ids_to_fetch

    def merge_rows(
        self, encoded_rows: abc.Iterable[typing.Any], now_ms: float
    ) -> None:
        """Stores relayed rows whose version is greater than the stored one.

        Args:
          encoded_rows: Rows in wire form.
          now_ms: Current time.

        Raises:
          ValueError: A row is malformed.
        """
        for data in encoded_rows:
            decoded = membership.decode_row(data)
            if not pipeline.is_successful(decoded):
                raise ValueError(decoded.failure().message)
            row = decoded.unwrap()
            stored = self._announced_rows.get(row.name)
            if stored is not None and row.version <= stored.version:
                # A row that was received as gone returns when the backend
                # server announces the same version to a peer.
                is_revived = row.version == stored.version and (
                    stored.state is membership.State.GONE is not row.state
                )
                if not is_revived:
                    continue
            self._store(row)
            self._table.put(row, now_ms)
            self._on_row(row)

    def differing_buckets(
        self, buckets: list[int]
    ) -> abc.Iterator[tuple[int, list[tuple[int, int, int]]]]:
        """Yields each bucket that differs, with the versions of its rows.

        Args:
          buckets: Digests of the peer's buckets.
        """
        own_buckets = self.digest.buckets
        versions_by_bucket: dict[int, list[tuple[int, int, int]]] = {
            i: []
            for i in range(len(own_buckets))
            if own_buckets[i] != buckets[i]
        }
        for identifier, name in self._names_by_id.items():
            versions = versions_by_bucket.get(peer_state.bucket_of(identifier))
            if versions is not None:
                versions.append(
                    (identifier, *self._announced_rows[name].version)
                )
        yield from versions_by_bucket.items()

    def compare_bucket(
        self, bucket: int, versions: list[tuple[int, int, int]]
    ) -> tuple[list[dict[str, typing.Any]], list[int]]:
        """Compares a peer's versions of one bucket with the own rows.

        Args:
          bucket: Number of the bucket.
          versions: Identifier, start time and sequence of the peer's rows.

        Returns:
          The own rows that are newer than the peer's, and the identifiers of
          rows that are newer at the peer.
        """
        peer_versions = {
            identifier: (started_ms, sequence)
            for identifier, started_ms, sequence in versions
        }
        newer_rows = []
        for identifier, name in self._names_by_id.items():
            if peer_state.bucket_of(identifier) != bucket:
                continue
            version = peer_versions.get(identifier)
            own_version = self._announced_rows[name].version
            if version is None or version < own_version:
                newer_rows.append(self._encode(name))
            if version is not None and version <= own_version:
                del peer_versions[identifier]
        return newer_rows, list(peer_versions)

    def encode_rows(
        self, identifiers: abc.Iterable[int]
    ) -> list[dict[str, typing.Any]]:
        """Returns the encoded rows of these identifiers."""
        names = (
            self._names_by_id.get(identifier) for identifier in identifiers
        )
        return [self._encode(name) for name in names if name is not None]

    def _encode(self, name: str) -> dict[str, typing.Any]:
        # A row that is gone in the backend table is sent as gone, so that it
        # does not start a new lease at an entry that lacks the row.
        row = self._table.get(name) or self._announced_rows[name]
        announced_row = self._announced_rows[name]
        is_gone = row.version == announced_row.version and (
            row.state is membership.State.GONE
        )
        return membership.encode_row(row if is_gone else announced_row)

    def _store(self, row: membership.Row) -> None:
        self._announced_rows[row.name] = row
        self._names_by_id[peer_state.identifier(row.name)] = row.name
        self.digest.put(row)


def datagram_batches(
    rows: abc.Iterable[dict[str, typing.Any]],
) -> abc.Iterator[list[dict[str, typing.Any]]]:
    """Yields encoded rows in groups that fit one datagram if possible."""
    batch, size = [], 0
    for row in rows:
        length = len(msgpack.packb(row))
        if batch and size + length > peer_wire.PART_BYTES - 16:
            yield batch
            batch, size = [], 0
        batch.append(row)
        size += length
    if batch:
        yield batch
