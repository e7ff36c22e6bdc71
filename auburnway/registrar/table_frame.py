"""Encoded table of backend servers, for entries that connect."""

from auburnway.core import server_table
from auburnway.net import stream
from auburnway.registrar import messages


class TableFrame:
    """Encodes the table once a change.

    After a loss of all processes every entry connects and asks for the table
    at the same time; encoding it for each of them delayed the configuration.
    """

    def __init__(self):
        self._change_count = -1
        self._frame = b""

    def get(self, table: server_table.Table) -> bytes:
        """Returns a frame with all rows of a table.

        Rows whose content has not changed may have the sequence number of an
        earlier heartbeat.
        """
        if table.change_count != self._change_count:
            rows = tuple(map(server_table.encode_row, table.rows()))
            self._frame = stream.pack(messages.encode(messages.Rows(rows)))
            self._change_count = table.change_count
        return self._frame
