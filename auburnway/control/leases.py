"""Configuration leases of entries, in the leader's memory.

Two questions are answered with opposite caution. For "in force everywhere" a
lease may be held whenever a reply with it was sent, so it counts until one
lease period after the answer. For "a majority of entries hold leases" it must
surely be held: the entry counts it from the instant it sent the request, and
the reply may be lost. Each reply therefore carries a lease id that the entry
echoes in its next request.
"""

import dataclasses

from auburnway.core import clock as clock_lib

LEASE_MS = 1500.0


@dataclasses.dataclass
class Lease:
    """What is known of one entry's lease.

    Attributes:
      incarnation: Incarnation of the entry.
      number: Configuration number that the entry acknowledged.
      leaving: Whether the entry gave its lease up for good.
      ends_ms: The entry holds no lease from then on.
      held_until_ms: The entry surely holds a lease until then.
      set_revision: Entry set that the entry surely knows.
      answers: Replies that were sent since the lease last ran out.
    """

    incarnation: str
    number: int = 0
    leaving: bool = False
    ends_ms: float = float("-inf")
    held_until_ms: float = float("-inf")
    set_revision: int = 0
    answers: int = 0
    # Of the last reply: its lease id and entry set, when it was sent, and an
    # instant before which its request cannot have been sent.
    last_id: int = 0
    last_set_revision: int = 0
    last_answered_ms: float = float("-inf")
    last_sent_after_ms: float = float("-inf")


class Leases:
    """Leases given since this instance became leader.

    Args:
      clock: Source of time.
      first_id: Lease ids start after it; leaders of different terms must not
        give the same id.
    """

    def __init__(self, clock: clock_lib.Clock, first_id: int):
        self._clock = clock
        self._last_id = first_id
        # Leases of the leader before this one may run until then.
        self.settled_ms = clock.now_ms() + LEASE_MS
        self._leases: dict[str, Lease] = {}

    def find(self, name: str, incarnation: str) -> Lease | None:
        """Returns the lease of this incarnation, or None."""
        lease = self._leases.get(name)
        if lease is not None and lease.incarnation == incarnation:
            return lease
        return None

    def request(
        self, name: str, incarnation: str, number: int, held_lease_id: int
    ) -> tuple[Lease, float]:
        """Notes that an entry asked for a lease.

        Args:
          name: Name of the entry.
          incarnation: Its incarnation.
          number: Configuration number in force on it.
          held_lease_id: Lease id of the last reply that it received.

        Returns:
          The lease, and an instant before which the request cannot have been
          sent; `answer` takes it.
        """
        lease = self.find(name, incarnation)
        if lease is None:
            lease = Lease(incarnation)
            # A process that was replaced may still hold its lease.
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
            # The entry sent this request after it had the last reply.
            sent_after_ms = lease.last_answered_ms
        return lease, sent_after_ms

    def answer(
        self, lease: Lease, sent_after_ms: float, set_revision: int
    ) -> int:
        """Notes that a lease is given now; returns its id."""
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
        """Notes that an entry gave its lease up for good."""
        lease.leaving = True
        lease.ends_ms = self._clock.now_ms()

    def is_held(self, name: str, incarnation: str, set_revision: int) -> bool:
        """Whether the entry surely holds a lease and knows the entry set."""
        lease = self.find(name, incarnation)
        if lease is None:
            return False
        # An entry that is leaving serves nothing without a lease.
        return lease.leaving or (
            lease.held_until_ms > self._clock.now_ms()
            and lease.set_revision >= set_revision
        )

    def left_ms(self, name: str) -> float:
        """Returns how long the entry may still hold a lease."""
        lease = self._leases.get(name)
        now_ms = self._clock.now_ms()
        ends_ms = lease.ends_ms if lease is not None else float("-inf")
        return max(ends_ms, self.settled_ms) - now_ms

    def silent_ms(self, name: str) -> float:
        """Returns for how long the entry surely held no lease."""
        return -self.left_ms(name)
