"""Reads HTTP replies from received bytes, within limits of their size.

A faulty server can send bytes without end, in a header or in a body. The reader
reports a reply that exceeds a limit, so that its connection can be closed
before the reply fills the memory of the process.
"""

import dataclasses

import httptools

from auburnway.net import parse_limit

# Bytes that a body may take on the wire, as a multiple of its own size and
# beside a fixed number: chunked coding adds a few bytes to each chunk.
WIRE_FACTOR = 2
FRAMING_BYTES = 16_384
# Length, two line ends.
MIN_CHUNK_FRAMING_BYTES = 5
# Size of the blocks in which a body is kept. One buffer that grows would be
# copied again and again, and the heap would keep the gaps.
BLOCK_BYTES = 1 << 16


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyLimits:
    """Limits of the size of replies.

    Attributes:
      header_bytes: Maximum size of a status line with headers, and of
        trailers. Interim replies count towards the head that follows.
      header_count: Maximum number of headers and trailers.
      reply_count: Maximum number of replies to one request: interim ones, late
        ones to earlier requests, and its own.
      body_bytes: Maximum size of a body.
      total_bytes: Maximum size of all replies together that a pool of
        connections is receiving.
    """

    header_bytes: int = 65_536
    header_count: int = 256
    reply_count: int = 16
    body_bytes: int = 4 << 20
    total_bytes: int = 12 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedReply:
    """One complete reply, which may not belong to the current request.

    Attributes:
      status: HTTP status.
      headers: Pairs of name and value as received.
      body: Whole body.
      keep_alive: Whether the connection stays open after the reply.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    keep_alive: bool


class _Body:
    """Received bytes of a body, in blocks of equal size.

    Small pieces share a block, as an object for each would take several times
    the memory of its bytes.
    """

    def __init__(self):
        self._blocks: list[bytes] = []
        self._open_block = bytearray()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def add(self, piece: bytes) -> None:
        """Adds the next piece."""
        self._size += len(piece)
        self._open_block += piece
        while len(self._open_block) >= BLOCK_BYTES:
            self._blocks.append(bytes(self._open_block[:BLOCK_BYTES]))
            del self._open_block[:BLOCK_BYTES]

    def join(self) -> bytes:
        """Returns the whole body."""
        return b"".join((*self._blocks, self._open_block))


class ReplyReader:
    """Parser of the replies on one connection, used for one request.

    Attributes:
      replies: Complete replies that were not taken yet; the owner takes them.
      held_bytes: Bytes that were received.
      is_in_message: Whether a reply has begun and is incomplete.
      is_malformed: Whether the bytes are not valid HTTP.
      excess: Name of the limit that was exceeded; empty within all limits.
      pieces: Headers, pieces of bodies and replies that were parsed.
    """

    def __init__(self, limits: ReplyLimits):
        self.replies: list[ParsedReply] = []
        self.held_bytes = 0
        self.is_malformed = False
        self.excess = ""
        self.pieces = 0
        self._limits = limits
        self._reply_count = 0
        self._parser = httptools.HttpResponseParser(self)
        # Bytes received since the last final reply, before headers end.
        self._head_bytes = 0
        self._final_count = 0
        self._start_message()

    def _start_message(self) -> None:
        self.is_in_message = False
        self._headers: list[tuple[bytes, bytes]] = []
        self._field_bytes = 0
        self._field_count = 0
        self._body = _Body()
        self._chunk_count = 0
        self._has_headers = False

    def feed(self, data: bytes, has_no_body: bool = False) -> None:
        """Parses received bytes.

        Args:
          data: Bytes in the order of their arrival.
          has_no_body: Whether the reply ends with its headers, as for HEAD.
        """
        self.held_bytes += len(data)
        final_count = self._final_count
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # A complete reply may precede the invalid data.
            self.is_malformed = True
        if self._final_count > final_count:
            self._head_bytes = 0
        elif not self._has_headers:
            self._head_bytes += len(data)
        if has_no_body and self._has_headers and not self.replies:
            self.replies.append(self._make_reply(False))
        if not self.excess:
            self._check_limits()

    def close(self) -> None:
        """Drops what was received; the reader is not used any more.

        The parser and the reader refer to each other, so the bytes of a closed
        connection would stay until the cycle collector runs.
        """
        self._parser = None
        self.replies = []
        self._headers = []
        self._body = _Body()

    def end_of_stream(self) -> None:
        """Completes a reply whose body ends with the connection."""
        names = {name.lower() for name, _ in self._headers}
        close_ends_body = not names & {b"content-length", b"transfer-encoding"}
        is_sound = not self.is_malformed and not self.excess
        if self._has_headers and close_ends_body and is_sound:
            self.replies.append(self._make_reply(False))
            self._has_headers = False

    def _check_limits(self) -> None:
        limits = self._limits
        wire_bytes = limits.header_bytes + WIRE_FACTOR * limits.body_bytes
        if self._head_bytes > limits.header_bytes:
            self.excess = "header_bytes"
        elif self.held_bytes > wire_bytes:
            self.excess = "body_bytes"

    def _exceed(self, limit: str) -> None:
        """Stops the parser in the middle of what it was fed.

        Raises:
          ParseLimitError: Always.
        """
        self.excess = limit
        raise parse_limit.ParseLimitError(limit)

    def _make_reply(self, keep_alive: bool) -> ParsedReply:
        return ParsedReply(
            self._parser.get_status_code(),
            tuple(self._headers),
            self._body.join(),
            keep_alive,
        )

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Begins a reply."""
        self._start_message()
        self.is_in_message = True
        self.pieces += 1
        self._reply_count += 1
        if self._reply_count > self._limits.reply_count:
            self._exceed("reply_count")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header; a trailer only counts, as it is no header."""
        if not self._has_headers:
            self._headers.append((name, value))
        self._field_count += 1
        self.pieces += 1
        self._field_bytes += len(name) + len(value) + 4
        if self._field_bytes > self._limits.header_bytes:
            self._exceed("header_bytes")
        if self._field_count > self._limits.header_count:
            self._exceed("header_count")

    def on_headers_complete(self) -> None:
        """Refuses a body whose stated length exceeds the limit."""
        self._has_headers = True
        for name, value in self._headers:
            if name.lower() == b"content-length" and (
                int(value) > self._limits.body_bytes
            ):
                self._exceed("body_bytes")

    def on_body(self, body: bytes) -> None:
        """Adds a piece of the body."""
        self._body.add(body)
        self.pieces += 1
        if len(self._body) > self._limits.body_bytes:
            self._exceed("body_bytes")

    def on_chunk_header(self) -> None:
        """Counts the framing of a chunk."""
        self._chunk_count += 1
        framing_bytes = MIN_CHUNK_FRAMING_BYTES * self._chunk_count
        allowed_bytes = FRAMING_BYTES + (WIRE_FACTOR - 1) * len(self._body)
        if framing_bytes > allowed_bytes:
            self._exceed("chunk_count")

    def on_message_complete(self) -> None:
        """Completes a reply, unless it exceeds a limit."""
        self.is_in_message = False
        if self.excess:
            return
        # `should_keep_alive` is correct only inside this callback.
        reply = self._make_reply(self._parser.should_keep_alive())
        self.replies.append(reply)
        self._final_count += reply.status >= 200
        self._has_headers = False
