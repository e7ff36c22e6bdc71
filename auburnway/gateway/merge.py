"""Merging of the shards' records into one answer."""

from collections import abc
import heapq

RECORD_BYTES = 16


def top_records(bodies: abc.Iterable[bytes], count: int) -> bytes:
    """Returns the greatest records of all bodies, in descending order.

    Args:
      bodies: Unordered records of 16 bytes; a shorter remainder is ignored.
      count: Maximum number of records to return. Equal records are all kept.
    """
    records = (
        body[i : i + RECORD_BYTES]
        for body in bodies
        for i in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    )
    return b"".join(heapq.nlargest(count, records))
