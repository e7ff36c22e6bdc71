"""Selection of the entries that the directory returns to clients.

A query over many shards is best served by an entry that has recently used the
same backend servers: the entry has open connections, current latency
estimates and a useful part of the retry budget. With many entries and little
traffic, each entry would have to collect this state at the expense of its own
clients. The directory therefore returns only as many entries as the load
requires, the same entries to all clients of a data centre; the other entries
are on standby.
"""

from collections import abc
import dataclasses
import hashlib
import math

# Target share of an entry's processor time that requests use. The target is
# low because requests queue behind each other and a burst of several times the
# load needs spare capacity.
TARGET_LOAD = 0.15
# Processor time of a sub-request, in ms.
SUB_REQUEST_MS = 0.25
# Entries of a data centre that are returned at any load: when one of them
# fails, its clients have two others until their next directory call.
MIN_PER_DATA_CENTER = 3
# A lower load is treated as zero.
MIN_LOAD = 0.005
# The reported load is lowered only when the measured load is below this share
# of the reported load.
KEEP_REPORT_SHARE = 0.5
# Ratio of a new reported load to the measured load. The margin keeps a slow
# rise of the load from changing the selection repeatedly.
REPORT_HEADROOM = 1.3


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """An entry that is ready for clients.

    Attributes:
      address: Address for clients, ip:port.
      data_center: Data centre that the entry runs in.
    """

    address: str
    data_center: str


def load(sub_requests_per_s: float, cores: float) -> float:
    """Returns the share of an entry's processor time that requests use.

    Args:
      sub_requests_per_s: Rate of the entry's sub-requests.
      cores: Processor cores that are available to the entry.
    """
    return sub_requests_per_s * SUB_REQUEST_MS / 1000.0 / cores


def load_to_report(last_reported: float, measured: float) -> float:
    """Returns the load to report, with hysteresis.

    Args:
      last_reported: Load that was reported last.
      measured: Load that is measured now.
    """
    if measured < MIN_LOAD:
        return 0.0
    if KEEP_REPORT_SHARE * last_reported <= measured <= last_reported:
        return last_reported
    return round(REPORT_HEADROOM * measured, 3)


def select_entries(
    entries: abc.Iterable[Entry], total_load: float
) -> tuple[Entry, ...]:
    """Returns the entries to return to clients, in a deterministic order.

    Args:
      entries: All entries that are ready.
      total_load: Sum of the entries' loads, each as a share of the entry's
        processor time.
    """
    by_data_center: dict[str, list[Entry]] = {}
    for entry in entries:
        by_data_center.setdefault(entry.data_center, []).append(entry)
    count = sum(map(len, by_data_center.values()))
    wanted_count = total_load / TARGET_LOAD
    chosen: list[Entry] = []
    for data_center in sorted(by_data_center):
        candidates = sorted(by_data_center[data_center], key=_address_hash)
        share = math.ceil(wanted_count * len(candidates) / count)
        chosen.extend(candidates[: max(share, MIN_PER_DATA_CENTER)])
    return tuple(chosen)


def _address_hash(entry: Entry) -> bytes:
    # Entries with adjacent addresses may share a rack, so a hash of the
    # address decides the order.
    return hashlib.blake2b(entry.address.encode(), digest_size=8).digest()
