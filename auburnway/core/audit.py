"""The audit trail: rows that are chained by hash.

Each row's hash covers the row and the hash before it, so that a changed,
removed or inserted row is found by anyone who reads the whole trail.
"""

from collections import abc
import dataclasses
import hashlib

import msgpack


@dataclasses.dataclass(frozen=True)
class Row:
    """One change or refused attempt.

    Attributes:
      revision: 1 for the first row, then without gaps.
      wall_ms: The leader's wall clock.
      author: Operator, or the entry that an entry row is about.
      action: `note`, `register_entry`, `remove_entry` or `quarantine`.
      number: Number of the release note; 0 for other rows.
      digest: Digest of the release note, or the request's fingerprint.
      result: `accepted` or `refused`.
      detail: Why it was refused, or what changed.
      hash: SHA-256 over this row and the previous hash, in hex.
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
      rows: Whole trail; the row is added to it.
      row: Row whose `revision` and `hash` are set here.

    Returns:
      The row as stored.
    """
    previous = rows[-1].hash if rows else ""
    row = dataclasses.replace(row, revision=len(rows) + 1)
    row = dataclasses.replace(row, hash=_hash(row, previous))
    rows.append(row)
    return row


def verify(
    rows: abc.Iterable[Row], previous: str = "", revision: int = 1
) -> int | None:
    """Checks the hash chain.

    Args:
      rows: Consecutive rows.
      previous: Hash of the row before the first; empty for the whole trail.
      revision: Revision that the first row must have.

    Returns:
      The revision of the first row that does not verify, or None.
    """
    for row in rows:
        if row.revision != revision or row.hash != _hash(row, previous):
            return revision
        previous = row.hash
        revision += 1
    return None


def _hash(row: Row, previous: str) -> str:
    fields = dataclasses.astuple(dataclasses.replace(row, hash=previous))
    return hashlib.sha256(msgpack.packb(fields)).hexdigest()
