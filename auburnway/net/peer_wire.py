"""Datagrams between entries: authentication, splitting, acknowledgement.

This module is pure: it turns messages into datagrams and back. Plain messages
are sent once. Reliable messages go through a `Channel`, one per peer, which
splits them into parts, repeats each part until it is acknowledged, and drops
duplicates on the other side. Every queue has a limit; what is dropped is
found again by the digests that entries exchange.
"""

from collections import abc
import hashlib
import hmac
import typing

import msgpack

# A datagram of this size passes Ethernet and common tunnels in one piece.
MAX_DATAGRAM_BYTES = 1400
MAC_BYTES = 16
# Rest after authentication, sender name and part header.
PART_BYTES = 1200
# A configuration or row of up to 300 KB can be sent.
MAX_PARTS = 256
# Parts on the way to one peer at a time, and parts waiting in all.
WINDOW = 32
MAX_QUEUED = 4096
# Parts kept of incomplete messages, 600 KB per peer.
MAX_PARTIAL_PARTS = 512
MAX_SEEN = 4096
# A part is given up after about 4 s; digests repair what was lost.
FIRST_RETRY_MS = 60.0
MAX_RETRY_MS = 500.0
MAX_TRIES = 12


class Seal:
    """Authenticates datagrams with the fleet token."""

    def __init__(self, token: str):
        self._key = hashlib.sha256(token.encode()).digest()

    def close(self, body: typing.Any) -> bytes:
        """Returns the datagram of a msgpack body."""
        data = msgpack.packb(body)
        return self._mac(data) + data

    def open(self, datagram: bytes) -> typing.Any:
        """Returns the body of a datagram; None when it is not authentic."""
        if not MAC_BYTES < len(datagram) <= MAX_DATAGRAM_BYTES:
            return None
        mac, data = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(data)):
            return None
        try:
            return msgpack.unpackb(data)
        except ValueError:
            return None

    def _mac(self, data: bytes) -> bytes:
        return hmac.digest(self._key, data, "sha256")[:MAC_BYTES]


class _Part:
    """One part on the way: body, next instant to send, tries so far."""

    __slots__ = ("body", "due_ms", "tries")

    def __init__(self, body: list[typing.Any]):
        self.body = body
        self.due_ms = 0.0
        self.tries = 0


class Channel:
    """Reliable messages to and from one peer."""

    def __init__(self):
        self._next_unit = 1
        self._in_flight: dict[int, _Part] = {}
        self._waiting: dict[int, _Part] = {}
        self.dropped = 0
        self.resent = 0
        self.reset_receiver()

    @property
    def queued(self) -> int:
        """Number of parts that are not acknowledged yet."""
        return len(self._in_flight) + len(self._waiting)

    def send(self, kind: str, body: typing.Any) -> bool:
        """Queues a message.

        Returns:
          False when it is too large or the queue is full.
        """
        return self.send_packed(msgpack.packb([kind, body]))

    def send_packed(self, data: bytes) -> bool:
        """Queues a message that is packed once for many peers.

        Args:
          data: msgpack form of `[kind, body]`.

        Returns:
          False when it is too large or the queue is full.
        """
        count = max(1, -(-len(data) // PART_BYTES))
        if count > MAX_PARTS or self.queued + count > MAX_QUEUED:
            self.dropped += 1
            return False
        first = self._next_unit
        self._next_unit += count
        for i in range(count):
            piece = data[i * PART_BYTES : (i + 1) * PART_BYTES]
            self._waiting[first + i] = _Part([first + i, first, count, piece])
        return True

    def clear(self) -> None:
        """Drops what is not acknowledged, as the peer is unreachable."""
        self.dropped += self.queued
        self._in_flight.clear()
        self._waiting.clear()

    def due(self, now_ms: float) -> list[list[typing.Any]]:
        """Returns the part bodies that must be sent now."""
        while self._waiting and len(self._in_flight) < WINDOW:
            unit = next(iter(self._waiting))
            self._in_flight[unit] = self._waiting.pop(unit)
        bodies = []
        for unit, part in tuple(self._in_flight.items()):
            if part.due_ms > now_ms:
                continue
            if part.tries >= MAX_TRIES:
                del self._in_flight[unit]
                self.dropped += 1
                continue
            pause_ms = min(FIRST_RETRY_MS * 2**part.tries, MAX_RETRY_MS)
            part.due_ms = now_ms + pause_ms
            self.resent += part.tries > 0
            part.tries += 1
            bodies.append(part.body)
        return bodies

    def acknowledge(self, units: abc.Iterable[int]) -> None:
        """Ends the repetition of parts that have arrived."""
        for unit in units:
            self._in_flight.pop(unit, None)

    def reset_receiver(self) -> None:
        """Forgets what was received; the peer is a new incarnation."""
        self._floor = 0
        self._seen: set[int] = set()
        self._partial: dict[int, dict[int, bytes]] = {}

    def accept(self, body: typing.Any) -> tuple[int, typing.Any]:
        """Takes a part.

        Returns:
          The unit to acknowledge (0 for a malformed part), and
          `[kind, body]` when the part completed a message, else None.
        """
        unit, first, count, piece = body
        if not (0 < first <= unit < first + count and count <= MAX_PARTS):
            return 0, None
        if unit <= self._floor or unit in self._seen:
            return unit, None
        self._seen.add(unit)
        if len(self._seen) > MAX_SEEN:
            self._floor = sorted(self._seen)[MAX_SEEN // 2]
            self._seen = {u for u in self._seen if u > self._floor}
        pieces = self._partial.setdefault(first, {})
        pieces[unit] = piece
        if len(pieces) < count:
            if sum(map(len, self._partial.values())) > MAX_PARTIAL_PARTS:
                del self._partial[min(self._partial)]
            return unit, None
        del self._partial[first]
        data = b"".join(pieces[u] for u in range(first, first + count))
        message = msgpack.unpackb(data)
        if not isinstance(message, list) or len(message) != 2:
            return unit, None
        return unit, message
