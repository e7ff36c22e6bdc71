"""Stops an HTTP parser at a limit, in the middle of a received block.

A block of 64 KiB can hold thousands of headers, chunks or messages. A limit
that is checked after the block was parsed comes too late: the objects of the
block take a hundred times its size, and the time of all other connections.
"""

# Pieces that one read may hold. Ordinary headers have about 70 in a short read,
# and empty ones 500.
PIECES_PER_READ = 128
# Size of a short read.
SHORT_READ_BYTES = 2_048


class ParseLimitError(Exception):
    """Ends `feed_data` of a parser when a callback raises it."""


class ReadSize:
    """Size of the next read of a connection.

    A peer that sends tiny pieces costs far more time for a byte than others, so
    it gets fewer bytes in a turn of the loop. The first read is short, as
    nothing is known of the peer.

    Args:
      full_bytes: Size of a read of a connection with large pieces.

    Attributes:
      pieces: Pieces that were parsed since the last read; counted by the owner.
    """

    __slots__ = ("_full_bytes", "_is_first", "pieces")

    def __init__(self, full_bytes: int):
        self._full_bytes = full_bytes
        self._is_first = True
        self.pieces = 0

    @property
    def is_costly(self) -> bool:
        """Whether the last read held too many pieces."""
        return self.pieces > PIECES_PER_READ

    def next_bytes(self) -> int:
        """Returns the size of the next read, which begins now."""
        is_short = self._is_first or self.is_costly
        self._is_first = False
        self.pieces = 0
        return SHORT_READ_BYTES if is_short else self._full_bytes
