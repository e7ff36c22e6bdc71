"""Snapshot file of the replicated state; holds one checksummed frame."""

from auburnway.core import raft_records as records
from auburnway.storage import disk as disk_lib
from auburnway.storage import frames

SNAPSHOT_FILE = "snapshot"


def save(disk: disk_lib.Disk, snapshot: records.Snapshot) -> None:
    """Replaces the snapshot file, atomically and durably.

    Raises:
      DiskFault: The write failed; the file still holds the old snapshot.
    """
    payload = [
        snapshot.index,
        snapshot.term,
        records.encode_members(snapshot.members),
        snapshot.data,
    ]
    disk.replace(SNAPSHOT_FILE, frames.encode(0, payload))


def load(disk: disk_lib.Disk) -> records.Snapshot:
    """Returns the saved snapshot; an empty snapshot when there is no file.

    Raises:
      DiskFault: The file is damaged.
    """
    data = disk.read(SNAPSHOT_FILE)
    if data is None:
        return records.Snapshot()
    frame = frames.decode(data, 0)
    if frame is None or frame[2] != len(data):
        raise disk_lib.DiskFault(
            disk_lib.CorruptFile("checksum is invalid", SNAPSHOT_FILE)
        )
    index, term, members, state = frame[1]
    return records.Snapshot(index, term, records.decode_members(members), state)
