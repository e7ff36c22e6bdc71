"""Which entries clients are sent to.

A query over many shards is best served by an entry that has just used the same
backend servers: it has connections to them, knows which of them are slow, and
has a part of the retry budget that is worth something. With many entries and
little traffic each of them would learn the same things at the expense of its
own clients. So the directory names only as many entries as the load takes, the
same ones to all clients of a data centre; the others stand ready.
"""

from collections import abc
import dataclasses
import hashlib
import math

# Part of its processor that an entry should be busy with requests. Requests
# wait for each other, and a burst of several times the load must find room.
TARGET_LOAD = 0.15
# Processor time of a sub-request, in ms.
SUB_REQUEST_MS = 0.25
# Entries of a data centre that are named whatever the load: when one is lost,
# its clients have two others until they ask again.
LEAST_PER_DATA_CENTER = 3
# A smaller load counts as none.
LEAST_LOAD = 0.005
# The load that is told falls only when the real one is below this part of it.
KEEP_SHARE = 0.5
# The load that is told exceeds the real one by this factor, so that a slow
# rise does not change the entries again and again.
HEADROOM = 1.3


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """An entry that is ready for clients.

    Attributes:
      address: Address for clients.
      data_center: Data centre that it runs in.
    """

    address: str
    data_center: str


def load(sub_requests_per_s: float, cores: float) -> float:
    """Returns the part of its processor that an entry is busy with.

    Args:
      sub_requests_per_s: Rate of its sub-requests.
      cores: Processor of its instance, in cores.
    """
    return sub_requests_per_s * SUB_REQUEST_MS / 1000.0 / cores


def told_load(told: float, present: float) -> float:
    """Returns the load of all entries that they should be told.

    Args:
      told: Load that they were told last.
      present: Sum of their loads now.
    """
    if present < LEAST_LOAD:
        return 0.0
    if KEEP_SHARE * told <= present <= told:
        return told
    return round(HEADROOM * present, 3)


def active(
    entries: abc.Iterable[Entry], total_load: float
) -> tuple[Entry, ...]:
    """Returns the entries that clients are sent to, in a fixed order.

    Args:
      entries: All entries that are ready.
      total_load: Sum of their loads, each as a part of its processor.
    """
    by_place: dict[str, list[Entry]] = {}
    for entry in entries:
        by_place.setdefault(entry.data_center, []).append(entry)
    count = sum(map(len, by_place.values()))
    wanted = total_load / TARGET_LOAD
    chosen: list[Entry] = []
    for place in sorted(by_place):
        members = sorted(by_place[place], key=_order)
        share = math.ceil(wanted * len(members) / count)
        chosen.extend(members[: max(share, LEAST_PER_DATA_CENTER)])
    return tuple(chosen)


def _order(entry: Entry) -> bytes:
    # Neighbours by address may share a rack.
    return hashlib.blake2b(entry.address.encode(), digest_size=8).digest()
