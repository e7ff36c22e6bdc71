"""The audit trail: rows in a hash chain.

The hash of each row covers the row and the hash of the previous row, so that
`verify` over the whole trail finds a changed, removed or inserted row.
"""

from collections import abc
import dataclasses
import hashlib

import msgpack


@dataclasses.dataclass(frozen=True)
class Row:
    """One change, or one refused attempt at a change.

    Attributes:
      revision: Position in the trail: 1 for the first row, without gaps.
      wall_ms: Wall clock of the leader, in ms since the Unix epoch.
      author: Operator, or name of the entry that was registered or removed.
      action: `note`, `register_entry`, `remove_entry` or `quarantine`.
      number: Number of the release note; 0 for other actions.
      digest: Digest of the release note, or fingerprint of the quarantined
        request.
      result: `accepted` or `refused`.
      detail: What changed, or why the attempt was refused.
      hash: SHA-256 over this row and the hash of the previous row, in hex.
    """

    revision: int
    wall_ms: int
    author: str
    action: str
    number: int
    digest: str
    result: str
    detail: str
    hash: str = ""


def append(rows: list[Row], row: Row) -> Row:
    """Appends a row to the trail.

    Args:
      rows: Whole trail; extended in place.
      row: New row; its `revision` and `hash` are replaced.

    Returns:
      The row as stored, with its revision and hash.
    """
    previous_hash = rows[-1].hash if rows else ""
    row = dataclasses.replace(row, revision=len(rows) + 1)
    row = dataclasses.replace(row, hash=_hash(row, previous_hash))
    rows.append(row)
    return row


def verify(
    rows: abc.Iterable[Row], previous_hash: str = "", revision: int = 1
) -> int | None:
    """Checks the hash chain.

    Args:
      rows: Consecutive rows.
      previous_hash: Hash of the row before the first; empty for the whole
        trail.
      revision: Revision that the first row must have.

    Returns:
      The revision of the first row with a wrong revision or hash, or None.
    """
    for row in rows:
        if row.revision != revision or row.hash != _hash(row, previous_hash):
            return revision
        previous_hash = row.hash
        revision += 1
    return None


def _hash(row: Row, previous_hash: str) -> str:
    fields = dataclasses.astuple(dataclasses.replace(row, hash=previous_hash))
    return hashlib.sha256(msgpack.packb(fields)).hexdigest()
