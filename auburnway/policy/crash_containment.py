"""Containment of requests that crash the backend servers that run them.

A server that is gone after its connection was lost counts as a strike against
each request that it was running. A single strike says little, as the other
requests on that server were innocent, and the next run clears them. A request
with strikes from two starts of servers of one service is quarantined: nobody
runs it until a pause has ended, and then only one run at a time is allowed, as
a trial. Each further strike makes the pause longer.
"""

import collections
import dataclasses
import enum
import hashlib

# Strikes from which on a request is quarantined.
QUARANTINE_STRIKES = 2
FIRST_PAUSE_MS = 10_000.0
PAUSE_FACTOR = 4.0
MAX_PAUSE_MS = 3_600_000.0
# Time after the end of the pause, or after a single strike, for which a request
# is remembered.
RETENTION_MS = 600_000.0
# Time for which a trial excludes another one. A trial whose entry was lost must
# not block the request for good.
TRIAL_MS = 10_000.0
# The record with the oldest strike is dropped beyond this number.
MAX_RECORDS = 5_000
# Starts of servers that are remembered of one request, so that the entries
# that were connected to one of them do not count it again.
MAX_SERVERS = 16

KEY_BYTES = 16


class State(enum.Enum):
    """What may be done with a request."""

    FREE = "free"
    QUARANTINED = "quarantined"
    # It may run once, as a trial.
    TRIAL = "trial"


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Strikes against one request.

    Attributes:
      strikes: Number of servers that were lost while they ran it.
      last_strike_ms: Time of the last strike.
      servers: Lost starts of servers that are remembered.
      trial_until_ms: Time until which a trial excludes another one.
    """

    strikes: int
    last_strike_ms: float
    servers: tuple[str, ...] = ()
    trial_until_ms: float = 0.0

    @property
    def is_quarantined(self) -> bool:
        """Whether the request has enough strikes."""
        return self.strikes >= QUARANTINE_STRIKES

    @property
    def paused_until_ms(self) -> float:
        """Time before which the request does not run."""
        if not self.is_quarantined:
            return 0.0
        return self.last_strike_ms + pause_ms(self.strikes)


def fingerprint(*parts: bytes) -> bytes:
    """Returns the key of the requests that consist of equal parts."""
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in parts:
        # The length prefix makes the concatenation of the parts unambiguous.
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.digest()


def pause_ms(strikes: int) -> float:
    """Returns the pause after the last of some strikes."""
    pause = FIRST_PAUSE_MS
    for _ in range(strikes - QUARANTINE_STRIKES):
        pause *= PAUSE_FACTOR
        if pause >= MAX_PAUSE_MS:
            return MAX_PAUSE_MS
    return pause


class Containment:
    """Strikes against requests, by fingerprint of content and service."""

    def __init__(self):
        self._records: collections.OrderedDict[bytes, Record] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Number of requests with strikes."""
        return len(self._records)

    def __contains__(self, key: bytes) -> bool:
        """Whether a request has strikes."""
        return key in self._records

    def get(self, key: bytes) -> Record | None:
        """Returns the record of a request; None if it has no strikes."""
        return self._records.get(key)

    def quarantined(self) -> tuple[tuple[bytes, Record], ...]:
        """Returns the quarantined requests with their records."""
        return tuple(
            (key, record)
            for key, record in self._records.items()
            if record.is_quarantined
        )

    def strike(self, key: bytes, server: str, now_ms: float) -> Record | None:
        """Adds a strike.

        Args:
          key: Fingerprint of the request.
          server: Lost start of a server; each counts once.
          now_ms: Time of the loss.

        Returns:
          The new record; None if the server had been counted.
        """
        record = self._records.get(key, Record(0, now_ms))
        if server in record.servers:
            return None
        servers = (*record.servers, server)[-MAX_SERVERS:]
        return self._put(key, Record(record.strikes + 1, now_ms, servers))

    def merge(self, key: bytes, strikes: int, last_strike_ms: float) -> bool:
        """Adds what another process knows; returns whether it was news."""
        record = self._records.get(key)
        if record is not None and record.strikes >= strikes:
            return False
        servers = record.servers if record is not None else ()
        self._put(key, Record(strikes, last_strike_ms, servers))
        return True

    def clear(self, key: bytes) -> Record | None:
        """Removes the strikes of a request that a server has survived.

        Returns:
          The record that was removed; None if it had no strikes.
        """
        return self._records.pop(key, None)

    def state(self, key: bytes, now_ms: float) -> State:
        """Returns what may be done with a request now."""
        record = self._records.get(key)
        if record is None or not record.is_quarantined:
            return State.FREE
        if now_ms < record.paused_until_ms:
            return State.QUARANTINED
        return State.TRIAL

    def wait_ms(self, key: bytes, now_ms: float) -> float:
        """Returns the time until a request may run; 0 if it may now."""
        record = self._records.get(key)
        if record is None:
            return 0.0
        until_ms = max(record.paused_until_ms, record.trial_until_ms)
        return max(until_ms - now_ms, 0.0)

    def grant_trial(self, key: bytes, now_ms: float) -> bool:
        """Returns whether a request may run now, and excludes other trials."""
        record = self._records.get(key)
        if record is None or not record.is_quarantined:
            return True
        if self.wait_ms(key, now_ms):
            return False
        self._records[key] = dataclasses.replace(
            record, trial_until_ms=now_ms + TRIAL_MS
        )
        return True

    def purge(self, now_ms: float) -> None:
        """Forgets requests whose last strike is long ago."""
        for key, record in tuple(self._records.items()):
            since_ms = max(record.paused_until_ms, record.last_strike_ms)
            if now_ms - since_ms > RETENTION_MS:
                del self._records[key]

    def _put(self, key: bytes, record: Record) -> Record:
        self._records[key] = record
        self._records.move_to_end(key)
        if len(self._records) > MAX_RECORDS:
            self._records.popitem(last=False)
        return record
