"""Copy of the table of backend servers on the disk of a control instance.

The table is soft state, but after a loss of all processes no client could be
served until each server has sent its next heartbeat. A copy that is about a
second old covers that time; heartbeats then correct the rows that have changed
since.
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
    """Returns the rows of the copy; empty if it is absent or corrupt."""
    try:
        data = disk.read(FILE)
    except disk_lib.DiskFault as fault:
        loguru.logger.warning(fault.error.message)
        return ()
    decoded = frames.decode(data, 0) if data is not None else None
    if decoded is None:
        return ()
    try:
        return tuple(map(server_table.decode_row, decoded[1]))
    except (TypeError, ValueError, LookupError) as error:
        loguru.logger.warning("cannot decode the copy of the table: {}", error)
        return ()


class TableSaver:
    """Saves the table in another thread, as a disk may block for seconds.

    Args:
      disk: Data folder.
      stack: Exit stack that shuts the thread down.
    """

    def __init__(self, disk: disk_lib.Disk, stack: contextlib.ExitStack):
        self._disk = disk
        self._saved: tuple[server_table.Row, ...] = ()
        self._pending_save: futures.Future | None = None
        self._executor = futures.ThreadPoolExecutor(1, "table")
        stack.callback(self._executor.shutdown, wait=False)

    def save(self, rows: abc.Sequence[server_table.Row]) -> None:
        """Saves changed rows unless another save is in progress."""
        rows = tuple(rows)
        is_busy = (
            self._pending_save is not None and not self._pending_save.done()
        )
        if is_busy or _saved_fields(rows) == _saved_fields(self._saved):
            return
        self._saved = rows
        payload = [server_table.encode_row(row) for row in rows]
        frame = frames.encode(0, payload)
        self._pending_save = self._executor.submit(self._write, frame)

    def _write(self, frame: bytes) -> None:
        try:
            self._disk.replace(FILE, frame)
        except disk_lib.DiskFault as fault:
            loguru.logger.warning(
                "cannot save a copy of the table: {}", fault.error.message
            )


def _saved_fields(rows: abc.Sequence[server_table.Row]) -> list[tuple]:
    # The sequence number is left out, as it rises with every heartbeat.
    return [(row.server_id, row.started_ms, row.state) for row in rows]
