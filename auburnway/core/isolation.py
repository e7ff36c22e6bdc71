"""Decides whether an entry may serve: section 8.1 of docs/design.md.

An entry serves under a lease from control, or under a peer lease: the lease of
a peer with the same configuration number. Without any lease, an entry may
continue to serve when a majority of all registered entries hold no lease
either and report no higher configuration number.

This is safe only because control declares a release note accepted after a
majority of the registered entries have acknowledged its number: two majorities
share an entry, so at least one entry in the serving majority would report the
higher number. A majority of valid leases at commit time is not enough, because
all leases can expire before any entry has received the number.
"""

from collections import abc
import dataclasses
import enum

from auburnway.core import peer_state

# Validity of a peer's statement that it holds no lease. It bounds how long a
# partition without leases keeps serving after one of its entries has regained
# a lease in another partition.
STATEMENT_VALID_MS = 1000.0


class Mode(enum.Enum):
    """What an entry without a lease does; setting `when_isolated`."""

    FENCE = "fence"
    SERVE = "serve"
    MAJORITY = "majority"


class Basis(enum.Enum):
    """Reason for which an entry may serve."""

    LEASE = "lease"
    PEER_LEASE = "peer_lease"
    MAJORITY = "majority"
    ALWAYS = "always"


@dataclasses.dataclass(frozen=True)
class Serving:
    """The entry may serve.

    Attributes:
      basis: Reason for the permission.
      until_ms: Instant at which the permission ends unless it is renewed.
    """

    basis: Basis
    until_ms: float


@dataclasses.dataclass(frozen=True)
class Fenced:
    """The entry must not serve, for this reason."""

    reason: str


def peer_lease_end_ms(
    number: int, statements: abc.Iterable[peer_state.PeerStatement]
) -> float:
    """Returns the end of the longest peer lease; minus infinity without one.

    The remaining time of a peer's lease is counted from the instant at which
    this entry sent the heartbeat that the peer echoed. The peer measured the
    remaining time later, so a peer lease ends no later than the lease itself.

    Args:
      number: Own configuration number. Only peers with the same number count.
      statements: Last statement of each peer.
    """
    return max(
        (
            statement.since_ms + statement.lease_left_ms
            for statement in statements
            if statement.number == number and statement.lease_left_ms > 0
        ),
        default=float("-inf"),
    )


def may_serve(
    own_name: str,
    own_number: int,
    lease_end_ms: float,
    mode: Mode,
    registered: abc.Collection[str],
    statements: abc.Collection[peer_state.PeerStatement],
    now_ms: float,
    known_number: int = peer_state.NO_NUMBER,
) -> Serving | Fenced:
    """Decides whether an entry may serve.

    Args:
      own_name: Name of this entry.
      own_number: Configuration number in force at this entry; `NO_NUMBER`
        before the first linearizable read, when nothing may be served.
      lease_end_ms: End of the lease from control.
      mode: Setting `when_isolated`.
      registered: Names of all registered entries.
      statements: Last statement of each peer.
      now_ms: Current instant.
      known_number: Greatest number that any peer ever reported, including
        peers that are silent now, because numbers never decrease.
    """
    if own_number == peer_state.NO_NUMBER:
        return Fenced("no linearizable read of the configuration yet")
    if now_ms < lease_end_ms:
        return Serving(Basis.LEASE, lease_end_ms)
    peer_end_ms = peer_lease_end_ms(own_number, statements)
    if now_ms < peer_end_ms:
        return Serving(Basis.PEER_LEASE, peer_end_ms)
    if mode is Mode.SERVE:
        return Serving(Basis.ALWAYS, float("inf"))
    if mode is Mode.FENCE:
        return Fenced("no lease")
    known_number = max([known_number, *(s.number for s in statements)])
    if known_number > own_number:
        return Fenced(f"peers know number {known_number}, above {own_number}")
    return _serve_by_majority(own_name, registered, statements, now_ms)


def _serve_by_majority(own_name, registered, statements, now_ms):
    if own_name not in registered:
        return Fenced("this entry is not registered")
    # Entries with different sets of registered entries could each find a
    # majority, so only statements of peers with the same set are counted.
    digest = peer_state.registered_digest(registered)
    stated_ms = sorted(
        (
            statement.since_ms
            for statement in statements
            if statement.name in registered
            and statement.name != own_name
            and not statement.holds_lease
            # A restarted entry no longer has the number that it acknowledged.
            and statement.number != peer_state.NO_NUMBER
            and statement.registered == digest
            and now_ms - statement.since_ms < STATEMENT_VALID_MS
        ),
        reverse=True,
    )
    majority = len(registered) // 2 + 1
    if len(stated_ms) + 1 < majority:
        return Fenced(
            f"no lease, and {len(stated_ms) + 1} of {len(registered)}"
            " registered entries without a lease are in contact"
        )
    # The permission ends when the oldest statement in the most recent
    # majority expires.
    needed_peers = majority - 1
    oldest_ms = stated_ms[needed_peers - 1] if needed_peers else now_ms
    return Serving(Basis.MAJORITY, oldest_ms + STATEMENT_VALID_MS)
