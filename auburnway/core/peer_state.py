"""What entries tell each other, and what follows from it.

Entries exchange heartbeats. A heartbeat answers an earlier one of its receiver
(`echo`), so the receiver knows an instant on its own clock after which the
statement was made. All ages are counted from that instant: a datagram that
waited in a queue, or in the socket of a frozen process, never looks fresh.
"""

from collections import abc
import dataclasses
import hashlib
import typing

from auburnway.core import membership

HEARTBEAT_MS = 200.0
# Five heartbeats: a single lost datagram must not remove an entry.
SUSPECT_MS = 1000.0
# Above this number of entries, heartbeats go to a random sample of peers.
FULL_MESH = 16
SAMPLE = 4
# Buckets of the table digest: with 4,300 rows a difference is narrowed down
# to about 67 rows by one datagram of 600 bytes.
BUCKETS = 64
NO_NUMBER = -1

# Waiting and running requests by application and rank.
Demand = dict[str, dict[str, int]]


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """What an entry says of itself.

    Attributes:
      name: Name of the entry.
      started_ms: Incarnation: wall-clock start of the process.
      sequence: Counts the heartbeats of this incarnation.
      echo_started_ms: Incarnation of the receiver that `echo` belongs to.
      echo: Greatest sequence that came from the receiver; 0 is none.
      caller_address: Where callers connect, `ip:port`.
      peer_address: Where peers send datagrams, `ip:port`.
      data_center: Data centre of the entry.
      leaving: Whether a planned stop is under way.
      number: Configuration in force; `NO_NUMBER` before the first
        linearizable read.
      digest: Digest of that configuration.
      lease_left_ms: Rest of the lease that control gave; 0 is none.
      holds_lease: Whether it holds any lease, also one through a peer.
      registered: Digest of the entry names that it takes as registered.
      demand: Waiting and running requests by application and rank.
      table: Digest of its backend table.
      wants_reply: Whether the receiver must answer at once.
    """

    name: str
    started_ms: int
    sequence: int
    echo_started_ms: int
    echo: int
    caller_address: str
    peer_address: str
    data_center: str
    leaving: bool
    number: int
    digest: str
    lease_left_ms: float
    holds_lease: bool
    registered: int
    demand: Demand
    table: int
    wants_reply: bool


# Fields that seldom change. They are left out for a receiver that has echoed
# a heartbeat with their present values, which saves a third of the bytes.
PROFILE = ("caller_address", "peer_address", "data_center", "digest")
_PROFILE_TYPES = (str,) * len(PROFILE)
_CHANGING = tuple(
    field
    for field in dataclasses.fields(Heartbeat)
    if field.name not in PROFILE
)
_CHANGING_NAMES = tuple(field.name for field in _CHANGING)
_CHANGING_TYPES = tuple(
    dict if field.name == "demand" else field.type for field in _CHANGING
)


def encode_heartbeat(
    heartbeat: Heartbeat, with_profile: bool = True
) -> list[typing.Any]:
    """Returns the wire form: two lists of values, in the order of the fields.

    Args:
      heartbeat: What is said.
      with_profile: False to send an empty list for the fields of `PROFILE`.
    """
    profile = [getattr(heartbeat, name) for name in PROFILE]
    values = [getattr(heartbeat, name) for name in _CHANGING_NAMES]
    return [values, profile if with_profile else []]


def decode_heartbeat(
    data: typing.Any, last: Heartbeat | None = None
) -> Heartbeat | None:
    """Returns the heartbeat, or None when the data is none.

    Args:
      data: Wire form.
      last: Earlier heartbeat of the same incarnation, which gives the fields
        that were left out; without it such a heartbeat is None.
    """
    if not isinstance(data, list) or len(data) != 2:
        return None
    values, profile = data
    if profile == [] and last is not None:
        profile = [getattr(last, name) for name in PROFILE]
    if not _has_types(values, _CHANGING_TYPES):
        return None
    if not _has_types(profile, _PROFILE_TYPES):
        return None
    return Heartbeat(
        **dict(zip(_CHANGING_NAMES, values, strict=True)),
        **dict(zip(PROFILE, profile, strict=True)),
    )


def _has_types(values, types) -> bool:
    return (
        isinstance(values, list)
        and len(values) == len(types)
        and all(map(isinstance, values, types))
    )


@dataclasses.dataclass(frozen=True)
class Statement:
    """What a peer said of its lease and its configuration.

    Attributes:
      name: Name of the peer.
      number: Number that it knows; `NO_NUMBER` is none.
      holds_lease: Whether it held any lease.
      lease_left_ms: Rest of a lease from control that it can lend; 0 is none.
      registered: Digest of the entry names that it takes as registered.
      since_ms: Instant on the own clock after which it said so.
    """

    name: str
    number: int
    holds_lease: bool
    lease_left_ms: float
    registered: int
    since_ms: float


@dataclasses.dataclass(frozen=True)
class Address:
    """One entry as a choice for callers.

    Attributes:
      caller_address: Where callers connect, `ip:port`.
      data_center: Data centre of the entry.
      leaving: Whether a planned stop is under way.
      heard_ms: Instant since which it is not heard; see `is_suspected`.
    """

    caller_address: str
    data_center: str
    leaving: bool
    heard_ms: float


def is_suspected(heard_ms: float, now_ms: float) -> bool:
    """Whether a peer has been silent for too long.

    Args:
      heard_ms: Instant at which the own heartbeat was sent that the peer's
        last one answered. A peer that does not hear this entry therefore
        counts as silent, as in a cut of one direction.
      now_ms: Instant of the question.
    """
    return now_ms - heard_ms > SUSPECT_MS


def addresses(
    own: Address, peers: abc.Iterable[Address], now_ms: float
) -> tuple[str, ...]:
    """Returns the addresses that callers should use, best first.

    The own data centre comes first, so that callers stay near. A leaving or
    suspected entry is never named, the own entry included when it leaves.

    Args:
      own: This entry; it is always heard.
      peers: The other entries.
      now_ms: Instant of the question.
    """
    usable = [] if own.leaving else [own]
    usable += [
        peer
        for peer in peers
        if not peer.leaving and not is_suspected(peer.heard_ms, now_ms)
    ]
    usable.sort(
        key=lambda entry: (
            entry.data_center != own.data_center,
            entry is not own,
            entry.caller_address,
        )
    )
    return tuple(dict.fromkeys(entry.caller_address for entry in usable))


def accepting_ms(address_ttl_ms: float) -> float:
    """Returns how long an entry that leaves must still accept requests.

    A peer whose datagrams are lost names it until it suspects it, and a caller
    keeps that answer for its time to live.

    Args:
      address_ttl_ms: Time to live of an answer with addresses.
    """
    return SUSPECT_MS + address_ttl_ms


def identifier(text: str) -> int:
    """Returns a stable 64-bit identifier of a name.

    Of 4,300 names two collide with a probability of 1e-12; with 32 bits it
    would be 0.2%, and a collision would mix up two leases.
    """
    return int.from_bytes(
        hashlib.blake2b(text.encode(), digest_size=8).digest()
    )


def registered_digest(names: abc.Iterable[str]) -> int:
    """Returns the digest of a set of entry names."""
    return identifier("\n".join(sorted(names)))


class TableDigest:
    """Digest of the versions of all rows, kept up to date row by row.

    Each row adds a hash of its name and version to its bucket by exclusive
    or, so that a change costs the same for a table of any size.
    """

    def __init__(self):
        self._hashes: dict[str, int] = {}
        self.buckets = [0] * BUCKETS

    @property
    def total(self) -> int:
        """Digest of the whole table."""
        total = 0
        for bucket in self.buckets:
            total ^= bucket
        return total

    def put(self, row: membership.Row) -> None:
        """Takes the new version of a row."""
        value = identifier(f"{row.name}\n{row.started_ms}\n{row.sequence}")
        bucket = bucket_of(identifier(row.name))
        self.buckets[bucket] ^= self._hashes.get(row.name, 0) ^ value
        self._hashes[row.name] = value


def bucket_of(row_identifier: int) -> int:
    """Returns the bucket of a row in the table digest."""
    return row_identifier % BUCKETS
