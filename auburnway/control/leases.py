"""Configuration leases of entries, kept in the leader's memory.

The leader tracks two bounds per lease. "In force everywhere" needs the latest
possible end: an entry may hold a lease as soon as the reply that grants the
lease was sent, so the lease counts until one lease period after that reply.
"A majority of entries hold leases" needs the earliest possible end: the entry
counts the lease from the instant at which it sent the request, and the reply
may be lost. Each reply therefore carries a lease id that the entry echoes in
its next request, which proves that the reply arrived.
"""

import dataclasses

from auburnway.core import clock as clock_lib

LEASE_MS = 1500.0


@dataclasses.dataclass
class Lease:
    """State of one entry's lease, as far as the leader can prove it.

    Attributes:
      incarnation: Incarnation of the entry.
      number: Configuration number that the entry acknowledged.
      leaving: Whether the entry is stopping and has released its lease.
      ends_ms: Latest instant at which the lease can end.
      held_until_ms: Earliest instant at which the lease can end; the entry
        certainly holds the lease before it.
      set_revision: Revision of the entry set that the entry has certainly
        received.
      answers: Number of grants sent since the lease last expired.
    """

    incarnation: str
    number: int = 0
    leaving: bool = False
    ends_ms: float = float("-inf")
    held_until_ms: float = float("-inf")
    set_revision: int = 0
    answers: int = 0
    # The last reply: its lease id, its entry set revision, when it was sent,
    # and the earliest instant at which its request can have been sent.
    last_id: int = 0
    last_set_revision: int = 0
    last_answered_ms: float = float("-inf")
    last_sent_after_ms: float = float("-inf")


class Leases:
    """Leases granted since this instance became leader.

    Args:
      clock: Source of time.
      first_id: Lease ids are greater than this number. Leaders of different
        terms must not assign the same id.
    """

    def __init__(self, clock: clock_lib.Clock, first_id: int):
        self._clock = clock
        self._last_id = first_id
        # Leases granted by the previous leader may run until this instant.
        self.settled_ms = clock.now_ms() + LEASE_MS
        self._leases: dict[str, Lease] = {}

    def find(self, name: str, incarnation: str) -> Lease | None:
        """Returns the lease of this incarnation of an entry, or None."""
        lease = self._leases.get(name)
        if lease is not None and lease.incarnation == incarnation:
            return lease
        return None

    def request(
        self, name: str, incarnation: str, number: int, held_lease_id: int
    ) -> tuple[Lease, float]:
        """Records that an entry requested a lease.

        Args:
          name: Name of the entry.
          incarnation: Incarnation of the entry.
          number: Configuration number in force on the entry.
          held_lease_id: Lease id of the last reply that the entry received.

        Returns:
          The lease, and the earliest instant at which the request can have
          been sent, to be passed to `answer`.
        """
        lease = self.find(name, incarnation)
        if lease is None:
            lease = Lease(incarnation)
            # The previous incarnation may still run and hold its lease.
            old = self._leases.get(name)
            if old is not None:
                lease.ends_ms = old.ends_ms
            self._leases[name] = lease
        if lease.ends_ms < self._clock.now_ms():
            lease.answers = 0
        lease.number = max(lease.number, number)
        sent_after_ms = float("-inf")
        if held_lease_id and held_lease_id == lease.last_id:
            held_until_ms = lease.last_sent_after_ms + LEASE_MS
            lease.held_until_ms = max(lease.held_until_ms, held_until_ms)
            lease.set_revision = lease.last_set_revision
            # The entry sent this request after it received the last reply.
            sent_after_ms = lease.last_answered_ms
        return lease, sent_after_ms

    def answer(
        self, lease: Lease, sent_after_ms: float, set_revision: int
    ) -> int:
        """Records that a lease is granted now; returns the lease id."""
        now_ms = self._clock.now_ms()
        self._last_id += 1
        lease.last_id = self._last_id
        lease.last_set_revision = set_revision
        lease.last_sent_after_ms = sent_after_ms
        lease.last_answered_ms = now_ms
        lease.ends_ms = now_ms + LEASE_MS
        lease.answers += 1
        return lease.last_id

    def release(self, lease: Lease) -> None:
        """Records that an entry that is stopping released its lease."""
        lease.leaving = True
        lease.ends_ms = self._clock.now_ms()

    def is_held(self, name: str, incarnation: str, set_revision: int) -> bool:
        """Whether the entry certainly holds a lease and has the entry set.

        True also for an entry that is leaving.
        """
        lease = self.find(name, incarnation)
        if lease is None:
            return False
        # A leaving entry serves nothing without a lease, so it counts as well.
        return lease.leaving or (
            lease.held_until_ms > self._clock.now_ms()
            and lease.set_revision >= set_revision
        )

    def left_ms(self, name: str) -> float:
        """Returns the longest time for which a lease can still be held.

        Negative when every lease of the entry has certainly expired.
        """
        lease = self._leases.get(name)
        now_ms = self._clock.now_ms()
        ends_ms = lease.ends_ms if lease is not None else float("-inf")
        return max(ends_ms, self.settled_ms) - now_ms

    def silent_ms(self, name: str) -> float:
        """Returns for how long the entry has certainly held no lease."""
        return -self.left_ms(name)
