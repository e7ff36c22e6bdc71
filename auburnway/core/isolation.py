"""Whether an entry may serve: section 8.1 of the design page.

An entry serves under a lease from control, or under a lease that a peer with
the same configuration number lends. Without any lease it may go on when a
majority of all registered entries hold no lease either and know no higher
number. This is safe only when control calls a release note accepted after a
majority of the registered entries have acknowledged its number: two majorities
share an entry, so one of them would say that it knows the higher number.
(A majority of leases at the commit is not enough: all leases can run out
before any entry has learned the number.)
"""

from collections import abc
import dataclasses
import enum

from auburnway.core import peer_state

# A statement without a lease counts this long. It bounds the time for which a
# part serves on after one of its entries regained a lease elsewhere.
STATEMENT_MS = 1000.0


class Mode(enum.Enum):
    """Setting `when_isolated`."""

    FENCE = "fence"
    SERVE = "serve"
    MAJORITY = "majority"


class Basis(enum.Enum):
    """What a permission to serve rests on."""

    LEASE = "lease"
    PEER_LEASE = "peer_lease"
    MAJORITY = "majority"
    ALWAYS = "always"


@dataclasses.dataclass(frozen=True)
class Serving:
    """The entry may serve.

    Attributes:
      basis: What the permission rests on.
      until_ms: Instant at which it ends unless it is renewed.
    """

    basis: Basis
    until_ms: float


@dataclasses.dataclass(frozen=True)
class Fenced:
    """The entry must not serve; `reason` says why."""

    reason: str


def peer_lease_end_ms(
    number: int, statements: abc.Iterable[peer_state.Statement]
) -> float:
    """Returns the end of the longest lease that peers lend.

    The rest that a peer stated is counted from the instant at which the own
    heartbeat was sent that the peer answered. The peer measured it later, so
    the lent lease ends no later than the peer's own.

    Args:
      number: Own configuration number; only peers with the same one lend.
      statements: Last statements of peers.
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
    statements: abc.Collection[peer_state.Statement],
    now_ms: float,
    known_number: int = peer_state.NO_NUMBER,
) -> Serving | Fenced:
    """Decides whether an entry may serve.

    Args:
      own_name: Name of this entry.
      own_number: Configuration number in force here; `NO_NUMBER` before the
        first linearizable read, when nothing is served.
      lease_end_ms: End of the lease from control.
      mode: Setting `when_isolated`.
      registered: Names of all registered entries.
      statements: Last statement of each peer.
      now_ms: Instant of the question.
      known_number: Greatest number that any peer ever stated, also one that
        is silent now: numbers never go back.
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
    return _without_lease(own_name, registered, statements, now_ms)


def _without_lease(own_name, registered, statements, now_ms):
    if own_name not in registered:
        return Fenced("this entry is not registered")
    # Entries that count different sets could each find a majority, so a
    # statement counts only from a peer that counts the same set.
    digest = peer_state.registered_digest(registered)
    since_ms = sorted(
        (
            statement.since_ms
            for statement in statements
            if statement.name in registered
            and statement.name != own_name
            and not statement.holds_lease
            # A restarted entry has forgotten which number it acknowledged.
            and statement.number != peer_state.NO_NUMBER
            and statement.registered == digest
            and now_ms - statement.since_ms < STATEMENT_MS
        ),
        reverse=True,
    )
    needed = len(registered) // 2 + 1
    if len(since_ms) + 1 < needed:
        return Fenced(
            f"no lease, and {len(since_ms) + 1} of {len(registered)}"
            " registered entries without a lease are in contact"
        )
    # The oldest statement of the freshest majority ends the permission.
    others = needed - 1
    oldest_ms = since_ms[others - 1] if others else now_ms
    return Serving(Basis.MAJORITY, oldest_ms + STATEMENT_MS)
