"""Quarantine of requests that ran on a backend server when it was lost.

Callers retry a request, even one that crashes every server that runs it. After
the first loss of a server, which counts as a strike against the request, the
request runs only as a trial that a control instance grants. A request that has
not yet succeeded runs on one server first, as a canary.
"""

import collections
from collections import abc
import hashlib

# Maximum number of requests with strikes; the request whose last strike is
# oldest is evicted. A lost server adds a strike to every request that ran
# there, a few dozen at most.
MAX_STRUCK_REQUESTS = 10_000
# Maximum number of fingerprints of requests that succeeded, about 3 MB. A
# request whose fingerprint was evicted runs as a canary again.
MAX_SUCCEEDED_REQUESTS = 20_000


def fingerprint(caller: str, kind: str, query_bytes: bytes) -> str:
    """Returns the key under which strikes on a request are counted.

    Args:
      caller: Name of the caller, so that one caller's strikes never affect
        another caller's requests.
      kind: Request kind.
      query_bytes: Canonical form of the query.
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in (caller.encode(), kind.encode()):
        # The length prefix makes the concatenation of the parts unambiguous.
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(query_bytes)
    return digest.hexdigest()


class Quarantine:
    """Strikes, refusals and fingerprints of requests that succeeded."""

    def __init__(self, window_ms: float):
        """Creates an empty quarantine.

        Args:
          window_ms: Time after which a strike expires.
        """
        self._window_ms = window_ms
        # Times of strikes, by fingerprint and server incarnation.
        self._strikes: collections.OrderedDict[str, dict[str, float]] = (
            collections.OrderedDict()
        )
        self._refused_until_ms: dict[str, float] = {}
        # Strikes that this entry cleared; peers may still relay them.
        self._cleared: collections.OrderedDict[tuple[str, str], None] = (
            collections.OrderedDict()
        )
        self._succeeded: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def strike(
        self, fingerprint: str, server_incarnation: str, now_ms: float
    ) -> bool:
        """Records that a server was lost while the request ran there.

        Args:
          fingerprint: Fingerprint of the request.
          server_incarnation: Name and incarnation of the lost server.
          now_ms: Time of the loss.

        Returns:
          Whether the strike is new and must be relayed to peers.
        """
        servers = self._strikes.setdefault(fingerprint, {})
        is_new = server_incarnation not in servers
        servers.setdefault(server_incarnation, now_ms)
        self._strikes.move_to_end(fingerprint)
        self._succeeded.pop(fingerprint, None)
        if len(self._strikes) > MAX_STRUCK_REQUESTS:
            self._strikes.popitem(last=False)
        return is_new

    def needs_trial(self, fingerprint: str, now_ms: float) -> bool:
        """Returns whether the request may run only as a trial."""
        return bool(self._recent_strikes(fingerprint, now_ms))

    def refuse(self, fingerprint: str, until_ms: float) -> None:
        """Refuses the request for a time; never shortens a refusal.

        Args:
          fingerprint: Fingerprint of the request.
          until_ms: End of the refusal on this process's monotonic clock.
        """
        previous_ms = self._refused_until_ms.get(fingerprint, until_ms)
        self._refused_until_ms[fingerprint] = max(previous_ms, until_ms)

    def is_refused(self, fingerprint: str, now_ms: float) -> bool:
        """Returns whether the request is refused at the given time."""
        until_ms = self._refused_until_ms.get(fingerprint)
        if until_ms is None:
            return False
        if until_ms <= now_ms:
            del self._refused_until_ms[fingerprint]
            return False
        return True

    def clear(self, fingerprint: str) -> None:
        """Removes strikes and refusal of a request after a successful trial."""
        self._refused_until_ms.pop(fingerprint, None)
        for server_incarnation in self._strikes.pop(fingerprint, {}):
            self._cleared[(fingerprint, server_incarnation)] = None
        while len(self._cleared) > MAX_STRUCK_REQUESTS:
            self._cleared.popitem(last=False)

    def record_success(self, fingerprint: str) -> None:
        """Records that the request succeeded on a server."""
        self._succeeded[fingerprint] = None
        self._succeeded.move_to_end(fingerprint)
        if len(self._succeeded) > MAX_SUCCEEDED_REQUESTS:
            self._succeeded.popitem(last=False)

    def needs_canary(self, fingerprint: str) -> bool:
        """Returns whether the request must first run on one server only."""
        return fingerprint not in self._succeeded

    def export(self, now_ms: float) -> tuple[tuple[str, str, float], ...]:
        """Returns the strikes within the window, to be sent to peers.

        Returns:
          Triples of fingerprint, server incarnation and age in ms. The age is
          sent because the monotonic clocks of instances differ.
        """
        return tuple(
            (key, server, now_ms - struck_ms)
            for key in tuple(self._strikes)
            for server, struck_ms in self._recent_strikes(key, now_ms).items()
        )

    def merge(
        self, strikes: abc.Iterable[abc.Sequence], now_ms: float
    ) -> tuple[tuple[str, str, float], ...]:
        """Adds the strikes that a peer exported.

        Args:
          strikes: Triples as returned by `export`.
          now_ms: Current time.

        Returns:
          The triples that are new to this entry.
        """
        new_strikes = []
        for key, server, age_ms in strikes:
            if (key, server) in self._cleared or age_ms >= self._window_ms:
                continue
            if self.strike(key, server, now_ms - age_ms):
                new_strikes.append((key, server, age_ms))
        return tuple(new_strikes)

    def _recent_strikes(
        self, fingerprint: str, now_ms: float
    ) -> dict[str, float]:
        servers = self._strikes.get(fingerprint)
        if not servers:
            return {}
        for server, struck_ms in tuple(servers.items()):
            if now_ms - struck_ms >= self._window_ms:
                del servers[server]
        if not servers:
            del self._strikes[fingerprint]
        return servers
