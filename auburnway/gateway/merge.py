"""Merges the records of shards into one answer."""

from collections import abc
import heapq

RECORD_BYTES = 16


def top_records(bodies: abc.Iterable[bytes], count: int) -> bytes:
    """Returns the greatest records of all bodies, greatest first.

    Args:
      bodies: Records of 16 bytes in no order; a shorter rest is no record.
      count: Greatest number of records returned. Equal records all count.
    """
    records = (
        body[i : i + RECORD_BYTES]
        for body in bodies
        for i in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    )
    return b"".join(heapq.nlargest(count, records))
