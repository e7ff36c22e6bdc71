"""Memory of requests that were running when a backend server was lost.

A request that crashes every server that runs it is sent again by its caller.
After the first loss (a strike) it runs only as a trial granted by control; a
request that succeeded before needs no canary.
"""

import collections
from collections import abc
import hashlib

# Strikes of more requests than this push out the oldest. A lost server
# strikes every request that ran there, a few dozen at most.
MAX_STRUCK = 10_000
# About 3 MB of fingerprints; older ones run a canary again.
MAX_SEEN = 20_000


def fingerprint(caller: str, kind: str, query_bytes: bytes) -> str:
    """Returns the key under which strikes on a request are counted.

    Args:
      caller: Name of the caller, so that one caller's strikes never concern
        another's requests.
      kind: Request kind.
      query_bytes: Canonical form of the query.
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in (caller.encode(), kind.encode()):
        # The length keeps the parts apart.
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(query_bytes)
    return digest.hexdigest()


class Quarantine:
    """Strikes, refusals and fingerprints that succeeded."""

    def __init__(self, window_ms: float):
        """Creates an empty quarantine.

        Args:
          window_ms: Time after which a strike is forgotten.
        """
        self._window_ms = window_ms
        # Instants of strikes, by fingerprint and server incarnation.
        self._strikes: collections.OrderedDict[str, dict[str, float]] = (
            collections.OrderedDict()
        )
        self._refused_until_ms: dict[str, float] = {}
        # Strikes that were cleared here; peers may still relay them.
        self._cleared: collections.OrderedDict[tuple[str, str], None] = (
            collections.OrderedDict()
        )
        self._seen: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def strike(
        self, fingerprint: str, server_incarnation: str, now_ms: float
    ) -> bool:
        """Notes that a server was lost while the request ran there.

        Args:
          fingerprint: Fingerprint of the request.
          server_incarnation: Name and incarnation of the lost server.
          now_ms: Instant of the loss.

        Returns:
          True when this pair was not known, so it must be relayed.
        """
        servers = self._strikes.setdefault(fingerprint, {})
        is_new = server_incarnation not in servers
        servers.setdefault(server_incarnation, now_ms)
        self._strikes.move_to_end(fingerprint)
        self._seen.pop(fingerprint, None)
        if len(self._strikes) > MAX_STRUCK:
            self._strikes.popitem(last=False)
        return is_new

    def needs_trial(self, fingerprint: str, now_ms: float) -> bool:
        """Returns whether the request may run only as a trial."""
        return bool(self._recent(fingerprint, now_ms))

    def refuse(self, fingerprint: str, until_ms: float) -> None:
        """Refuses the request until an instant; never shortens a refusal.

        Args:
          fingerprint: Fingerprint of the request.
          until_ms: End of the refusal on the own monotonic clock.
        """
        present_ms = self._refused_until_ms.get(fingerprint, until_ms)
        self._refused_until_ms[fingerprint] = max(present_ms, until_ms)

    def refused(self, fingerprint: str, now_ms: float) -> bool:
        """Returns whether the request is refused at this instant."""
        until_ms = self._refused_until_ms.get(fingerprint)
        if until_ms is None:
            return False
        if until_ms <= now_ms:
            del self._refused_until_ms[fingerprint]
            return False
        return True

    def clear(self, fingerprint: str) -> None:
        """Forgets strikes and refusal; a trial succeeded."""
        self._refused_until_ms.pop(fingerprint, None)
        for server_incarnation in self._strikes.pop(fingerprint, {}):
            self._cleared[(fingerprint, server_incarnation)] = None
        while len(self._cleared) > MAX_STRUCK:
            self._cleared.popitem(last=False)

    def seen_ok(self, fingerprint: str) -> None:
        """Notes that the request ran well on a server."""
        self._seen[fingerprint] = None
        self._seen.move_to_end(fingerprint)
        if len(self._seen) > MAX_SEEN:
            self._seen.popitem(last=False)

    def needs_canary(self, fingerprint: str) -> bool:
        """Returns whether the request must run on one server first."""
        return fingerprint not in self._seen

    def export(self, now_ms: float) -> tuple[tuple[str, str, float], ...]:
        """Returns the recent strikes for peers.

        Returns:
          Triples of fingerprint, server incarnation and age in ms; an age,
          because monotonic clocks of instances differ.
        """
        return tuple(
            (key, server, now_ms - struck_ms)
            for key in tuple(self._strikes)
            for server, struck_ms in self._recent(key, now_ms).items()
        )

    def merge(
        self, strikes: abc.Iterable[abc.Sequence], now_ms: float
    ) -> tuple[tuple[str, str, float], ...]:
        """Takes strikes that a peer exported.

        Args:
          strikes: Triples as returned by `export`.
          now_ms: Present instant.

        Returns:
          The triples that were not known here.
        """
        new = []
        for key, server, age_ms in strikes:
            if (key, server) in self._cleared or age_ms >= self._window_ms:
                continue
            if self.strike(key, server, now_ms - age_ms):
                new.append((key, server, age_ms))
        return tuple(new)

    def _recent(self, fingerprint: str, now_ms: float) -> dict[str, float]:
        servers = self._strikes.get(fingerprint)
        if not servers:
            return {}
        for server, struck_ms in tuple(servers.items()):
            if now_ms - struck_ms >= self._window_ms:
                del servers[server]
        if not servers:
            del self._strikes[fingerprint]
        return servers
