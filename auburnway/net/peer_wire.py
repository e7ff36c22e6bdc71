"""Datagrams between entries: authentication, splitting, acknowledgement.

This module does no I/O: it converts messages to datagrams and back. Plain
messages are sent once. Reliable messages go through a `Channel`, one per peer,
which splits a message into numbered parts, resends each part until it is
acknowledged, and drops duplicates at the receiver. Every queue is bounded;
dropped messages are detected and repaired by the digests that entries exchange.
"""

from collections import abc
import hashlib
import hmac
import typing

import msgpack

# A datagram of this size passes Ethernet and common tunnels unfragmented.
MAX_DATAGRAM_BYTES = 1400
MAC_BYTES = 16
# Message bytes per part: the rest of a datagram after authentication, sender
# name and part header.
PART_BYTES = 1200
# Parts per message, so that a configuration or row may have up to 300 KB.
MAX_PARTS = 256
# Unacknowledged parts that are in flight to one peer, and all unacknowledged
# parts for one peer, including those not sent yet.
MAX_IN_FLIGHT_PARTS = 32
MAX_QUEUED_PARTS = 4096
# Received parts kept for incomplete messages, 600 KB per peer.
MAX_INCOMPLETE_PARTS = 512
# Numbers of received parts kept to recognise duplicates.
MAX_SEEN_PARTS = 4096
# A part is dropped after about 4 s of retries; digests repair the loss.
FIRST_RETRY_MS = 60.0
MAX_RETRY_MS = 500.0
MAX_TRIES = 12


class DatagramCodec:
    """Encodes and decodes datagrams, authenticated with the fleet token."""

    def __init__(self, token: str):
        self._key = hashlib.sha256(token.encode()).digest()

    def encode(self, body: typing.Any) -> bytes:
        """Returns a datagram with a MAC and the body, encoded as msgpack."""
        data = msgpack.packb(body)
        return self._mac(data) + data

    def decode(self, datagram: bytes) -> typing.Any:
        """Returns the body of a datagram.

        Returns:
          None when the datagram is too long, not authentic or unreadable.
        """
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
    """One unacknowledged part, with its next send time and number of tries."""

    __slots__ = ("body", "due_ms", "tries")

    def __init__(self, body: list[typing.Any]):
        self.body = body
        self.due_ms = 0.0
        self.tries = 0


class Channel:
    """Reliable messages to and from one peer.

    Attributes:
      dropped: Number of dropped messages and parts to the peer.
      resent: Number of parts sent again.
    """

    def __init__(self):
        self._next_part_number = 1
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
          False when the message is too large or the queue is full.
        """
        return self.send_packed(msgpack.packb([kind, body]))

    def send_packed(self, data: bytes) -> bool:
        """Queues a message that was encoded once for many peers.

        Args:
          data: `[kind, body]`, encoded as msgpack.

        Returns:
          False when the message is too large or the queue is full.
        """
        count = max(1, -(-len(data) // PART_BYTES))
        if count > MAX_PARTS or self.queued + count > MAX_QUEUED_PARTS:
            self.dropped += 1
            return False
        first_number = self._next_part_number
        self._next_part_number += count
        for i in range(count):
            piece = data[i * PART_BYTES : (i + 1) * PART_BYTES]
            self._waiting[first_number + i] = _Part(
                [first_number + i, first_number, count, piece]
            )
        return True

    def clear(self) -> None:
        """Drops all unacknowledged parts, as the peer is unreachable."""
        self.dropped += self.queued
        self._in_flight.clear()
        self._waiting.clear()

    def due_parts(self, now_ms: float) -> list[list[typing.Any]]:
        """Returns the bodies of the parts that must be sent now.

        Args:
          now_ms: Monotonic time in ms.
        """
        while self._waiting and len(self._in_flight) < MAX_IN_FLIGHT_PARTS:
            number = next(iter(self._waiting))
            self._in_flight[number] = self._waiting.pop(number)
        bodies = []
        for number, part in tuple(self._in_flight.items()):
            if part.due_ms > now_ms:
                continue
            if part.tries >= MAX_TRIES:
                del self._in_flight[number]
                self.dropped += 1
                continue
            delay_ms = min(FIRST_RETRY_MS * 2**part.tries, MAX_RETRY_MS)
            part.due_ms = now_ms + delay_ms
            self.resent += part.tries > 0
            part.tries += 1
            bodies.append(part.body)
        return bodies

    def acknowledge(self, numbers: abc.Iterable[int]) -> None:
        """Stops resending the parts that the peer has acknowledged."""
        for number in numbers:
            self._in_flight.pop(number, None)

    def reset_receiver(self) -> None:
        """Clears the receiver state for a new incarnation of the peer."""
        self._seen_up_to = 0
        self._seen: set[int] = set()
        self._incomplete: dict[int, dict[int, bytes]] = {}

    def receive_part(self, body: typing.Any) -> tuple[int, typing.Any]:
        """Processes a received part.

        Args:
          body: Part number, number of the message's first part, count of the
            message's parts, and bytes.

        Returns:
          The part number to acknowledge (0 for a malformed part), and
          `[kind, body]` when the part completes a message, else None.
        """
        number, first_number, count, piece = body
        if not (
            0 < first_number <= number < first_number + count
            and count <= MAX_PARTS
        ):
            return 0, None
        if number <= self._seen_up_to or number in self._seen:
            return number, None
        self._seen.add(number)
        if len(self._seen) > MAX_SEEN_PARTS:
            self._seen_up_to = sorted(self._seen)[MAX_SEEN_PARTS // 2]
            self._seen = {n for n in self._seen if n > self._seen_up_to}
        pieces = self._incomplete.setdefault(first_number, {})
        pieces[number] = piece
        if len(pieces) < count:
            if sum(map(len, self._incomplete.values())) > MAX_INCOMPLETE_PARTS:
                del self._incomplete[min(self._incomplete)]
            return number, None
        del self._incomplete[first_number]
        data = b"".join(
            pieces[n] for n in range(first_number, first_number + count)
        )
        message = msgpack.unpackb(data)
        if not isinstance(message, list) or len(message) != 2:
            return number, None
        return number, message
