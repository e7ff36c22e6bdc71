"""Write-ahead log of one Raft node: hard state and log entries.

One `append` writes one frame and synchronizes it, so at most the last frame
can be incomplete after a crash. An incomplete last frame was never
acknowledged, so it is truncated. An invalid frame that is followed by a valid
frame was acknowledged, so the log is refused as corrupt.

An entry whose index is not greater than the last index replaces the entry with
that index and all later entries; this is how a truncation of the Raft log is
recorded.

The log is one file. A compaction starts the next file with a frame that holds
the hard state and all entries still needed, and the old file is removed only
afterwards. While the first frame of the newest file is incomplete, the previous
file is the valid one.
"""

from collections import abc
import dataclasses

from auburnway.core import raft_records as records
from auburnway.storage import disk as disk_lib
from auburnway.storage import frames

FILE_PREFIX = "log."


@dataclasses.dataclass(frozen=True)
class LogContent:
    """Content of a log.

    Attributes:
      hard_state: Last term and vote.
      entries: Entries with consecutive indexes.
      truncated_bytes: Length of the incomplete tail that was removed.
    """

    hard_state: records.HardState
    entries: tuple[records.LogEntry, ...]
    truncated_bytes: int = 0


class Wal:
    """Write-ahead log in a data folder; call `create` or `load` first.

    Args:
      disk: Folder of the log files.

    Attributes:
      size_bytes: Size of the current file.
    """

    def __init__(self, disk: disk_lib.Disk):
        self._disk = disk
        self._number = 0
        self._sequence = 0
        self.size_bytes = 0

    @property
    def file(self) -> str:
        """Name of the current log file."""
        return f"{FILE_PREFIX}{self._number}"

    @property
    def next_file(self) -> str:
        """Name of the file to which the next compaction switches."""
        return f"{FILE_PREFIX}{self._number + 1}"

    def create(self) -> None:
        """Writes an empty log.

        Raises:
          DiskFault: The write failed.
        """
        self.compact(records.HardState(), ())

    def load(self) -> LogContent:
        """Reads and verifies the log, and truncates an incomplete tail.

        Raises:
          DiskFault: The log is absent, or a frame before the last is invalid.
        """
        numbers = list_file_numbers(self._disk)
        if not numbers:
            raise disk_lib.DiskFault(
                disk_lib.CorruptFile("absent", FILE_PREFIX)
            )
        for number in reversed(numbers):
            self._number, self._sequence = number, 0
            data = self._disk.read(self.file)
            hard_state, entries, offset = self._replay(data)
            if offset:
                break
            if number == numbers[0] or frames.has_frame_after(data, 0, 0):
                raise self._corrupt(0)
        truncated_bytes = len(data) - offset
        if truncated_bytes:
            if frames.has_frame_after(data, offset, self._sequence):
                raise self._corrupt(offset)
            self._disk.truncate(self.file, offset)
        for number in numbers:
            if number != self._number:
                self._disk.remove(f"{FILE_PREFIX}{number}")
        self.size_bytes = offset
        return LogContent(hard_state, tuple(entries), truncated_bytes)

    def reload(self) -> LogContent:
        """Cuts off what a failed append left, and reads the log again.

        Raises:
          DiskFault: The file could not be cut, or as for `load`.
        """
        # Bytes whose sync failed may be read although they are not on disk.
        self._disk.truncate(self.file, self.size_bytes)
        return self.load()

    def append(
        self,
        hard_state: records.HardState | None,
        entries: abc.Sequence[records.LogEntry],
    ) -> None:
        """Appends hard state and entries as one frame and synchronizes it.

        Args:
          hard_state: New term and vote; None when they are unchanged.
          entries: Entries to add; may replace earlier ones.

        Raises:
          DiskFault: The write or the sync failed; the log must not be used
            before `reload`.
        """
        frame = frames.encode(
            self._sequence, _encode_payload(hard_state, entries)
        )
        self._disk.append(self.file, frame)
        self._disk.sync(self.file)
        self._sequence += 1
        self.size_bytes += len(frame)

    def switch_file(
        self,
        hard_state: records.HardState,
        entries: abc.Sequence[records.LogEntry],
    ) -> str:
        """Switches to `next_file`, which must exist and be empty.

        The switch costs one sync of one file. Creating the file takes far
        longer on common file systems, so another thread creates it beforehand.

        Args:
          hard_state: Current term and vote.
          entries: All entries that the snapshot does not cover.

        Returns:
          Name of the old file, which may now be removed.

        Raises:
          DiskFault: The write or the sync failed.
        """
        old_file = self.file
        self._number, self._sequence, self.size_bytes = self._number + 1, 0, 0
        self.append(hard_state, entries)
        return old_file

    def compact(
        self,
        hard_state: records.HardState,
        entries: abc.Sequence[records.LogEntry],
    ) -> None:
        """Creates and switches to a new file, then removes the old file.

        Raises:
          DiskFault: The write or the sync failed.
        """
        self._disk.create(self.next_file)
        self._disk.remove(self.switch_file(hard_state, entries))

    def _replay(self, data):
        """Returns hard state, entries and end offset of the valid frames."""
        hard_state, entries, offset = records.HardState(), [], 0
        while offset < len(data):
            frame = frames.decode(data, offset)
            if frame is None or frame[0] != self._sequence:
                break
            _, payload, offset = frame
            self._sequence += 1
            hard_state = _replay_frame(payload, hard_state, entries)
        return hard_state, entries, offset

    def _corrupt(self, offset):
        detail = f"frame {self._sequence} at byte {offset} is invalid"
        return disk_lib.DiskFault(disk_lib.CorruptFile(detail, self.file))


def list_file_numbers(disk: disk_lib.Disk) -> list[int]:
    """Returns the numbers of the log files, in ascending order."""
    names = (
        name.removeprefix(FILE_PREFIX)
        for name in disk.list()
        if name.startswith(FILE_PREFIX)
    )
    return sorted(int(number) for number in names if number.isdigit())


# Size of a log that holds one frame without a vote and without entries.
EMPTY_LOG_BYTES = len(frames.encode(0, [[0, ""], []]))


def _encode_payload(hard_state, entries):
    state = None
    if hard_state is not None:
        state = [hard_state.term, hard_state.vote]
    return [state, [[e.index, e.term, e.kind.value, e.data] for e in entries]]


def _replay_frame(payload, hard_state, entries):
    state, added_entries = payload
    for index, term, kind, data in added_entries:
        if entries:
            del entries[max(index - entries[0].index, 0) :]
        entry = records.LogEntry(index, term, records.Kind(kind), data)
        entries.append(entry)
    return records.HardState(*state) if state is not None else hard_state
