"""Rate limit that a backend server names, shared by all entries.

A server in need states how many requests per second it takes from all entries
together. The entries divide that limit without messages: each knows the active
entries and takes an equal part as a token bucket. Idle entries leave their part
unused, which costs nothing while the sibling servers have room; leases of parts
would need control on the path of requests, and parts by demand would need the
demand of every entry for every server within a fraction of a second.

The bursts of all entries together are bounded too. Where the limit is low
against the number of entries, only some of them send to that server, chosen by
a hash of entry and server that all entries compute alike.
"""

from collections import abc
import dataclasses
import hashlib
import math

# Requests that all entries together may send at once, beside one second's
# worth of the limit.
TOTAL_BURST = 3.0
# A server that states a lower limit still gets a request at times: only its
# replies show that the limit has ended.
MIN_LIMIT_PER_S = 0.25
# Share of the burst that less urgent ranks leave for the most urgent one.
URGENT_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """Part of a limit that one entry may use.

    Attributes:
      rate_per_s: Requests per second.
      burst: Requests that may be sent at once; at least 1 unless the entry is
        not to send at all.
    """

    rate_per_s: float
    burst: float


NO_SHARE = Share(0.0, 0.0)


def share(
    limit_per_s: float, entries: abc.Collection[str], own: str, server_id: str
) -> Share:
    """Returns the part of a server's limit that this entry may use.

    Args:
      limit_per_s: Requests per second that the server takes from all entries.
      entries: Addresses of the active entries, with or without this one.
      own: Address of this entry.
      server_id: Identifier of the server.
    """
    limit_per_s = max(limit_per_s, MIN_LIMIT_PER_S)
    all_entries = {*entries, own}
    burst = limit_per_s + TOTAL_BURST
    sender_count = min(len(all_entries), math.floor(burst))
    if sender_count < len(all_entries):
        order = sorted(all_entries, key=lambda entry: _hash(entry, server_id))
        if own not in order[:sender_count]:
            return NO_SHARE
    return Share(limit_per_s / sender_count, burst / sender_count)


def _hash(entry: str, server_id: str) -> bytes:
    text = f"{entry} {server_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


class Bucket:
    """Token bucket of one server at this entry; one token a request.

    Args:
      share: Part of the limit that this entry may use.
      now_ms: Current time.
    """

    def __init__(self, share: Share, now_ms: float):
        self._share = share
        self._tokens = share.burst / 2.0
        self._updated_ms = now_ms

    def set_share(self, share: Share, now_ms: float) -> None:
        """Changes the part of the limit from now on."""
        if share != self._share:
            self._refill(now_ms)
            self._share = share
            self._tokens = min(self._tokens, share.burst)

    def wait_ms(self, now_ms: float, is_urgent: bool) -> float:
        """Returns the time until a request may be sent, in ms.

        Args:
          now_ms: Current time.
          is_urgent: Whether the request has the most urgent rank.

        Returns:
          0 if it may be sent now; infinity if this entry has no part.
        """
        if not self._share.rate_per_s:
            return math.inf
        self._refill(now_ms)
        spare = self._share.burst - 1.0
        needed = 1.0 if is_urgent else 1.0 + URGENT_SHARE * spare
        missing = needed - self._tokens
        # Rounding must not leave a wait that is too short to add anything.
        if missing <= 1e-9:
            return 0.0
        return 1000.0 * missing / self._share.rate_per_s

    def take(self, now_ms: float) -> None:
        """Takes the token of a request that is sent now."""
        self._refill(now_ms)
        self._tokens -= 1.0

    def _refill(self, now_ms: float) -> None:
        elapsed_s = max(now_ms - self._updated_ms, 0.0) / 1000.0
        tokens = self._tokens + self._share.rate_per_s * elapsed_s
        self._tokens = min(tokens, self._share.burst)
        self._updated_ms = max(now_ms, self._updated_ms)
