"""Copy of the table of backend servers on the disk of a control instance.

The table is soft state, but after a loss of all processes nobody could be
served until each server has sent its next heartbeat. A copy that is a second
old bridges that time; a heartbeat corrects what has changed since.
"""

from collections import abc
from concurrent import futures
import contextlib

import loguru

from auburnway.core import server_table
from auburnway.storage import disk as disk_lib
from auburnway.storage import frames

FILE = "servers"


def load(disk: disk_lib.Disk) -> tuple[server_table.Row, ...]:
    """Returns the rows of the copy; none when it is absent or damaged."""
    try:
        data = disk.read(FILE)
    except disk_lib.DiskFault as fault:
        loguru.logger.warning(fault.error.message)
        return ()
    found = frames.decode(data, 0) if data is not None else None
    if found is None:
        return ()
    try:
        return tuple(map(server_table.decode_row, found[1]))
    except (TypeError, ValueError, LookupError) as error:
        loguru.logger.warning("the copy of the table is of no use: {}", error)
        return ()


class Saver:
    """Saves the table on another thread, as a disk may hang for seconds.

    Args:
      disk: The data folder.
      stack: Exit stack that ends the thread.
    """

    def __init__(self, disk: disk_lib.Disk, stack: contextlib.ExitStack):
        self._disk = disk
        self._saved: tuple[server_table.Row, ...] = ()
        self._job: futures.Future | None = None
        self._executor = futures.ThreadPoolExecutor(1, "table")
        stack.callback(self._executor.shutdown, wait=False)

    def save(self, rows: abc.Sequence[server_table.Row]) -> None:
        """Saves the rows unless they are saved or a save is under way."""
        rows = tuple(rows)
        is_busy = self._job is not None and not self._job.done()
        if is_busy or _known(rows) == _known(self._saved):
            return
        self._saved = rows
        payload = [server_table.encode_row(row) for row in rows]
        frame = frames.encode(0, payload)
        self._job = self._executor.submit(self._write, frame)

    def _write(self, frame: bytes) -> None:
        try:
            self._disk.replace(FILE, frame)
        except disk_lib.DiskFault as fault:
            loguru.logger.warning(
                "cannot save a copy of the table: {}", fault.error.message
            )


def _known(rows: abc.Sequence[server_table.Row]) -> list[tuple]:
    # The sequence rises with every heartbeat and is no reason to save.
    return [(row.server_id, row.started_ms, row.state) for row in rows]
