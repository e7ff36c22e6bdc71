"""Copy of the table of backend servers on the disk of a control instance.

Most of the table is soft state, but after a loss of all processes no client
could be served until each server has sent its next heartbeat. A copy that is
about a second old covers that time; heartbeats then correct the rows that have
changed since. A server that leaves sends no further heartbeat, so it is
acknowledged only when the copy says so (`registrar.departures`).
"""

from collections import abc

import loguru

from auburnway.core import server_table
from auburnway.registrar import copy_writer
from auburnway.storage import disk as disk_lib

FILE = "servers"


def load(disk: disk_lib.Disk) -> tuple[server_table.Row, ...]:
    """Returns the rows of the copy; empty if it is absent or corrupt."""
    encoded = copy_writer.read(disk, FILE)
    if not isinstance(encoded, list):
        return ()
    rows, problems = server_table.decode_rows(encoded)
    if problems:
        loguru.logger.bind(count=len(problems)).warning(
            "ignored rows of the copy of the table: {}", problems[0]
        )
    return rows


class TableSaver:
    """Saves the table when it has changed.

    Args:
      writer: Writer of the data folder.

    Attributes:
      on_saved: Called with the rows that are durable after each `save`; with
        None if they could not be saved.
    """

    def __init__(self, writer: copy_writer.CopyWriter):
        self._writer = writer
        self._saved: tuple[server_table.Row, ...] = ()
        self.on_saved: abc.Callable[
            [tuple[server_table.Row, ...] | None], None
        ] = lambda rows: None

    @property
    def is_busy(self) -> bool:
        """Whether a save is in progress."""
        return self._writer.is_busy(FILE)

    def save(self, rows: abc.Sequence[server_table.Row]) -> None:
        """Saves the rows unless they are saved; no save may be in progress."""
        rows = tuple(rows)
        if _saved_fields(rows) == _saved_fields(self._saved):
            self.on_saved(self._saved)
            return

        def on_done(is_written: bool):
            if is_written:
                self._saved = rows
            self.on_saved(rows if is_written else None)

        encoded = [server_table.encode_row(row) for row in rows]
        self._writer.write(FILE, encoded, on_done)


def _saved_fields(rows: abc.Sequence[server_table.Row]) -> list[tuple]:
    # The sequence number is left out, as it rises with every heartbeat.
    return [(row.server_id, row.started_ms, row.state) for row in rows]
