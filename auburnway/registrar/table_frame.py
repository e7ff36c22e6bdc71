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
        self._digest = ""
        self._frame = b""

    def get(self, table: server_table.Table) -> bytes:
        """Returns a frame with all rows of a table.

        Rows whose content has not changed may have the sequence number of an
        earlier heartbeat.
        """
        if table.digest() != self._digest:
            rows = tuple(map(server_table.encode_row, table.rows()))
            self._frame = stream.pack(messages.encode(messages.Rows(rows)))
            self._digest = table.digest()
        return self._frame
