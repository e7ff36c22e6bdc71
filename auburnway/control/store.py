"""Data folder of a control instance: identity, log and snapshot.

The identity file is written last, so an instance whose folder has no identity
has never acknowledged anything. A process that finds such a folder creates a
new incarnation. That incarnation is in no member set, so it does not count as a
voter before the leader has added it and brought its log up to date.
"""

from concurrent import futures
import dataclasses
import secrets

from auburnway.core import raft_log
from auburnway.core import raft_records as records
from auburnway.storage import disk as disk_lib
from auburnway.storage import frames
from auburnway.storage import snapshots
from auburnway.storage import wal as wal_lib

# File that is written to find out whether a full disk has room again.
ROOM_FILE = "room"
ROOM_BYTES = 1 << 16
IDENTITY_FILE = "identity"


@dataclasses.dataclass(frozen=True)
class Identity:
    """Instance and incarnation that own a data folder."""

    name: str
    incarnation: str


def first_incarnation(name: str) -> str:
    """Returns the incarnation that `init` writes.

    It is derived from the name, so that every instance can write the whole
    initial member set without contacting the others.
    """
    return f"{name}.first"


def new_incarnation(name: str) -> str:
    """Returns a random incarnation, unique among those of this name."""
    return f"{name}.{secrets.token_hex(8)}"


def read_identity(disk: disk_lib.Disk) -> Identity | None:
    """Returns the identity; None when the folder never had an identity.

    The log of an interrupted `create` is removed.

    Raises:
      DiskFault: The identity is damaged, or is absent although a log holds
        entries.
    """
    data = disk.read(IDENTITY_FILE)
    if data is not None:
        frame = frames.decode(data, 0)
        if frame is None:
            raise disk_lib.DiskFault(
                disk_lib.CorruptFile("checksum is invalid", IDENTITY_FILE)
            )
        return Identity(*frame[1])
    for number in wal_lib.list_file_numbers(disk):
        # An interrupted `create` leaves at most one file with one frame
        # without entries.
        data = disk.read(f"{wal_lib.FILE_PREFIX}{number}")
        if number > 1 or len(data) > wal_lib.EMPTY_LOG_BYTES:
            raise disk_lib.DiskFault(
                disk_lib.CorruptFile(
                    "absent although a log exists", IDENTITY_FILE
                )
            )
        disk.remove(f"{wal_lib.FILE_PREFIX}{number}")
    return None


def create(
    disk: disk_lib.Disk, identity: Identity, members: records.Members
) -> None:
    """Initializes a data folder with a snapshot, an empty log and an identity.

    Args:
      disk: Folder without an identity.
      identity: Identity of the owner.
      members: Initial member set; empty for an instance that joins a group.
    """
    snapshots.save(disk, records.Snapshot(members=members))
    wal_lib.Wal(disk).create()
    payload = [identity.name, identity.incarnation]
    disk.replace(IDENTITY_FILE, frames.encode(0, payload))


class Store:
    """Log and snapshot of an open data folder.

    Args:
      disk: Folder with an identity.

    Raises:
      DiskFault: A file is absent or damaged.
    """

    def __init__(self, disk: disk_lib.Disk):
        self._disk = disk
        self._wal = wal_lib.Wal(disk)
        self._save_job: futures.Future | None = None
        content = self._wal.load()
        self.truncated_bytes = content.truncated_bytes
        self._use(content)

    def reload(self) -> None:
        """Reads hard state and log again after a disk was full.

        Raises:
          DiskFault: The disk is still full, or a file is damaged.
        """
        if self._save_job is not None:
            self._save_job.exception()
            self._save_job = None
        # With less room the next steps would soon fail again.
        self._disk.replace(ROOM_FILE, bytes(ROOM_BYTES))
        self._disk.remove(ROOM_FILE)
        self._use(self._wal.reload())

    def _use(self, content: wal_lib.LogContent) -> None:
        self.hard_state = content.hard_state
        try:
            snapshot = snapshots.load(self._disk)
            self.log = raft_log.Log(snapshot, content.entries)
        except ValueError as error:
            raise disk_lib.DiskFault(
                disk_lib.CorruptFile(str(error), self._wal.file)
            ) from error

    @property
    def size_bytes(self) -> int:
        """Size of the current log file, in bytes."""
        return self._wal.size_bytes

    def write(self, outputs) -> None:
        """Writes and syncs the outputs of consecutive Raft steps.

        Blocks until the sync is done; one sync covers all outputs.

        Raises:
          DiskFault: The write failed; no part of the outputs may be
            acknowledged.
        """
        hard_state, entries, has_snapshot = None, [], False
        for output in outputs:
            hard_state = output.hard_state or hard_state
            entries.extend(output.appended)
            has_snapshot = has_snapshot or output.snapshot is not None
        self.hard_state = hard_state or self.hard_state
        if has_snapshot:
            # The log in memory already includes all outputs.
            self.compact(self.log.snapshot)
        elif hard_state is not None or entries:
            self._wal.append(hard_state, entries)

    def compact(self, snapshot: records.Snapshot) -> None:
        """Saves a snapshot and drops the log that it covers; blocks."""
        self._finish_save_job()
        snapshots.save(self._disk, snapshot)
        entries = self.log.between(snapshot.index + 1, self.log.last_index)
        self._wal.compact(self.hard_state, entries)

    def begin_compaction(
        self, index: int, data: bytes, executor: futures.Executor
    ) -> futures.Future:
        """Saves a snapshot of an applied index on another thread.

        On common file systems the replacement of a file takes so long that a
        leader that waits for it could lose its leadership.

        Returns:
          Future of the work; call `end_compaction` when it is done.
        """
        term, members = self.log.term(index), self.log.members_at(index)
        snapshot = records.Snapshot(index, term, members, data)
        next_file = self._wal.next_file

        def save_snapshot():
            snapshots.save(self._disk, snapshot)
            self._disk.create(next_file)

        self._save_job = executor.submit(save_snapshot)
        return self._save_job

    def end_compaction(self, executor: futures.Executor) -> None:
        """Switches to the new log file after the log in memory was compacted.

        Raises:
          DiskFault: The snapshot or the new file could not be written.
        """
        self._finish_save_job()
        first_index = self.log.snapshot.index + 1
        entries = self.log.between(first_index, self.log.last_index)
        old_file = self._wal.switch_file(self.hard_state, entries)
        executor.submit(self._disk.remove, old_file)

    def _finish_save_job(self):
        """Waits for the job, so that no older snapshot replaces a newer one."""
        if self._save_job is not None:
            self._save_job.result()
            self._save_job = None
