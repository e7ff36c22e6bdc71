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
      latest_end_ms: Latest instant at which the lease can end.
      earliest_end_ms: Earliest instant at which the lease can end; the entry
        certainly holds the lease before that instant.
      entry_set_revision: Revision of the entry set that the entry has certainly
        received.
      reply_count: Number of grants sent since the lease last expired.
    """

    incarnation: str
    number: int = 0
    leaving: bool = False
    latest_end_ms: float = float("-inf")
    earliest_end_ms: float = float("-inf")
    entry_set_revision: int = 0
    reply_count: int = 0
    # The last reply: its lease id, its entry set revision, when it was sent,
    # and the earliest instant at which its request can have been sent.
    last_lease_id: int = 0
    last_entry_set_revision: int = 0
    last_reply_ms: float = float("-inf")
    last_earliest_sent_ms: float = float("-inf")


class Leases:
    """Leases granted since this instance became leader.

    Args:
      clock: Source of time.
      lease_id_base: Lease ids are greater than this number. Leaders of
        different terms must not assign the same id.
    """

    def __init__(self, clock: clock_lib.Clock, lease_id_base: int):
        self._clock = clock
        self._last_lease_id = lease_id_base
        # Leases granted by the previous leader may run until this instant.
        self.previous_leases_end_ms = clock.now_ms() + LEASE_MS
        self._leases: dict[str, Lease] = {}

    def find(self, name: str, incarnation: str) -> Lease | None:
        """Returns the lease of this incarnation of an entry, or None."""
        lease = self._leases.get(name)
        if lease is not None and lease.incarnation == incarnation:
            return lease
        return None

    def record_request(
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
          been sent, to be passed to `record_grant`.
        """
        lease = self.find(name, incarnation)
        if lease is None:
            lease = Lease(incarnation)
            # The previous incarnation may still run and hold its lease.
            previous = self._leases.get(name)
            if previous is not None:
                lease.latest_end_ms = previous.latest_end_ms
            self._leases[name] = lease
        if lease.latest_end_ms < self._clock.now_ms():
            lease.reply_count = 0
        lease.number = max(lease.number, number)
        earliest_sent_ms = float("-inf")
        if held_lease_id and held_lease_id == lease.last_lease_id:
            earliest_end_ms = lease.last_earliest_sent_ms + LEASE_MS
            lease.earliest_end_ms = max(lease.earliest_end_ms, earliest_end_ms)
            lease.entry_set_revision = lease.last_entry_set_revision
            # The entry sent this request after it received the last reply.
            earliest_sent_ms = lease.last_reply_ms
        return lease, earliest_sent_ms

    def record_grant(
        self, lease: Lease, earliest_sent_ms: float, entry_set_revision: int
    ) -> int:
        """Records that a lease is granted now; returns the lease id."""
        now_ms = self._clock.now_ms()
        self._last_lease_id += 1
        lease.last_lease_id = self._last_lease_id
        lease.last_entry_set_revision = entry_set_revision
        lease.last_earliest_sent_ms = earliest_sent_ms
        lease.last_reply_ms = now_ms
        lease.latest_end_ms = now_ms + LEASE_MS
        lease.reply_count += 1
        return lease.last_lease_id

    def record_release(self, lease: Lease) -> None:
        """Records that an entry that is stopping released its lease."""
        lease.leaving = True
        lease.latest_end_ms = self._clock.now_ms()

    def is_held(
        self, name: str, incarnation: str, entry_set_revision: int
    ) -> bool:
        """Whether the entry certainly holds a lease and received the entry set.

        True also for an entry that is leaving.
        """
        lease = self.find(name, incarnation)
        if lease is None:
            return False
        # A leaving entry serves nothing without a lease, so it counts as well.
        return lease.leaving or (
            lease.earliest_end_ms > self._clock.now_ms()
            and lease.entry_set_revision >= entry_set_revision
        )

    def max_remaining_ms(self, name: str) -> float:
        """Returns the longest time for which a lease can still be held.

        Negative when every lease of the entry has certainly expired.
        """
        lease = self._leases.get(name)
        now_ms = self._clock.now_ms()
        latest_end_ms = (
            lease.latest_end_ms if lease is not None else float("-inf")
        )
        return max(latest_end_ms, self.previous_leases_end_ms) - now_ms

    def time_without_lease_ms(self, name: str) -> float:
        """Returns for how long the entry has certainly held no lease."""
        return -self.max_remaining_ms(name)
