"""Writes copies of a control instance's knowledge to its data folder.

The copies make the first answers after a loss of all processes fast. They are
no source of truth: the replicated log and the heartbeats are.
"""

from concurrent import futures
import contextlib
import typing

import loguru

from auburnway.storage import disk as disk_lib
from auburnway.storage import frames


class CopyWriter:
    """Writes files in another thread, as a disk may block for seconds.

    Args:
      disk: Data folder.
      stack: Exit stack that shuts the thread down.
    """

    def __init__(self, disk: disk_lib.Disk, stack: contextlib.ExitStack):
        self._disk = disk
        self._pending: dict[str, futures.Future] = {}
        # Files whose last write failed; a full disk is logged once for each.
        self._failed: set[str] = set()
        self._executor = futures.ThreadPoolExecutor(1, "copies")
        stack.callback(self._executor.shutdown, wait=False)

    def is_busy(self, file: str) -> bool:
        """Whether a file is being written or waits for it."""
        pending = self._pending.get(file)
        return pending is not None and not pending.done()

    def write(self, file: str, payload: typing.Any) -> None:
        """Replaces a file by a value that msgpack can encode."""
        frame = frames.encode(0, payload)
        self._pending[file] = self._executor.submit(self._write, file, frame)

    def wait(self, file: str) -> None:
        """Waits until a file is written."""
        self._pending[file].result()

    def _write(self, file: str, frame: bytes) -> None:
        try:
            self._disk.replace(file, frame)
        except disk_lib.DiskFault as fault:
            if file not in self._failed:
                loguru.logger.warning(
                    "cannot save a copy: {}", fault.error.message
                )
            self._failed.add(file)
        else:
            self._failed.discard(file)


def read(disk: disk_lib.Disk, file: str) -> typing.Any:
    """Returns the value in a file; None if it is absent or corrupt."""
    try:
        data = disk.read(file)
    except disk_lib.DiskFault as fault:
        loguru.logger.warning(fault.error.message)
        return None
    decoded = frames.decode(data, 0) if data is not None else None
    return decoded[1] if decoded is not None else None
