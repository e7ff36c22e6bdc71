"""Write-ahead log of one Raft node: hard state and log entries.

One `append` writes one frame and synchronizes it, so at most the last frame
can be incomplete after a crash. An incomplete last frame was never
acknowledged and is cut off. A bad frame that is followed by a valid one was
acknowledged, so the log is refused.

An entry whose index is not past the last one replaces that entry and all
later ones; this is how a truncation is recorded.
"""

from collections import abc
import dataclasses

from auburnway.core import raft_records as records
from auburnway.storage import disk as disk_lib
from auburnway.storage import frames

FILE = "log"


@dataclasses.dataclass(frozen=True)
class Content:
    """What a log holds.

    Attributes:
      hard_state: Last term and vote.
      entries: Entries with consecutive indexes.
      cut_bytes: Length of the incomplete tail that was cut off.
    """

    hard_state: records.HardState
    entries: tuple[records.Entry, ...]
    cut_bytes: int = 0


class Wal:
    """Open log.

    Args:
      disk: Folder that holds the log.
    """

    def __init__(self, disk: disk_lib.Disk):
        self._disk = disk
        self._sequence = 0
        self.size_bytes = 0

    def create(self) -> None:
        """Writes an empty log.

        Raises:
          DiskFault: The write failed.
        """
        self.compact(records.HardState(), ())

    def load(self) -> Content:
        """Reads and verifies the log, and cuts an incomplete tail off.

        Raises:
          DiskFault: The log is absent, or a frame before the last is bad.
        """
        data = self._disk.read(FILE)
        if data is None:
            raise disk_lib.DiskFault(disk_lib.CorruptFile("absent", FILE))
        hard_state, entries, offset = records.HardState(), [], 0
        while offset < len(data):
            found = frames.decode(data, offset)
            if found is None or found[0] != self._sequence:
                break
            _, payload, offset = found
            self._sequence += 1
            hard_state = _replay(payload, hard_state, entries)
        cut_bytes = len(data) - offset
        if cut_bytes:
            # Frame 0 is written by an atomic replace, so it is never torn.
            acknowledged = self._sequence == 0 or frames.has_frame_after(
                data, offset, self._sequence
            )
            if acknowledged:
                detail = f"bad record {self._sequence} at byte {offset}"
                raise disk_lib.DiskFault(disk_lib.CorruptFile(detail, FILE))
            self._disk.truncate(FILE, offset)
        self.size_bytes = offset
        return Content(hard_state, tuple(entries), cut_bytes)

    def append(
        self,
        hard_state: records.HardState | None,
        entries: abc.Sequence[records.Entry],
    ) -> None:
        """Adds state and entries as one frame and synchronizes it.

        Raises:
          DiskFault: The write or the sync failed; the log must not be used
            any more.
        """
        frame = frames.encode(self._sequence, _payload(hard_state, entries))
        self._disk.append(FILE, frame)
        self._disk.sync(FILE)
        self._sequence += 1
        self.size_bytes += len(frame)

    def compact(
        self,
        hard_state: records.HardState,
        entries: abc.Sequence[records.Entry],
    ) -> None:
        """Replaces the log by one frame, after a snapshot was saved.

        Raises:
          DiskFault: The write failed; the old log is still in place.
        """
        frame = frames.encode(0, _payload(hard_state, entries))
        self._disk.replace(FILE, frame)
        self._sequence = 1
        self.size_bytes = len(frame)


def _payload(hard_state, entries):
    state = None
    if hard_state is not None:
        state = [hard_state.term, hard_state.vote]
    return [state, [[e.index, e.term, e.kind.value, e.data] for e in entries]]


def _replay(payload, hard_state, entries):
    state, added = payload
    for index, term, kind, data in added:
        if entries:
            del entries[max(index - entries[0].index, 0) :]
        entry = records.Entry(index, term, records.Kind(kind), data)
        entries.append(entry)
    return records.HardState(*state) if state is not None else hard_state
