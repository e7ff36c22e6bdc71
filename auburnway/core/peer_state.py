"""Heartbeats between entries, and decisions based on them.

A heartbeat echoes the sequence number of an earlier heartbeat of its receiver
(`echo`). The receiver therefore has a lower bound, on its own clock, for the
instant at which the heartbeat was sent. All ages are counted from that bound,
so that a datagram which was delayed in a queue, or in the socket buffer of a
frozen process, never looks recent.
"""

from collections import abc
import dataclasses
import hashlib
import typing

from auburnway.core import membership

HEARTBEAT_MS = 200.0
# Five heartbeat periods: a single lost datagram must not make an entry
# suspected.
SUSPECT_MS = 1000.0
# Maximum number of entries that all exchange heartbeats; above it, heartbeats
# go to a random sample of `HEARTBEAT_SAMPLE_SIZE` peers.
FULL_MESH_MAX_ENTRIES = 16
HEARTBEAT_SAMPLE_SIZE = 4
# Number of buckets of the table digest. With 4,300 rows, one datagram of 600
# bytes narrows a difference down to about 67 rows.
DIGEST_BUCKETS = 64
NO_NUMBER = -1

# Waiting and running requests by application and rank.
Demand = dict[str, dict[str, int]]


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """Heartbeat: state of the sending entry.

    Attributes:
      name: Name of the sender.
      started_ms: Wall-clock start of the sender's process, which identifies
        its incarnation.
      sequence: Number of heartbeats that this incarnation sent.
      echo_started_ms: Incarnation of the receiver that `echo` belongs to.
      echo: Greatest sequence received from the receiver; 0 for none.
      caller_address: Address that callers connect to, `ip:port`.
      peer_address: Address that peers send datagrams to, `ip:port`.
      data_center: Data centre of the sender.
      leaving: Whether a planned stop of the sender is in progress.
      number: Number of the configuration in force at the sender; `NO_NUMBER`
        before the first linearizable read.
      digest: Digest of that configuration.
      lease_left_ms: Remaining time of the lease from control; 0 without one.
      holds_lease: Whether the sender holds a lease from control or a peer
        lease.
      registered: Digest of the names of the entries that are registered
        according to the sender.
      demand: Waiting and running requests by application and rank.
      table: Digest of the sender's table of backend servers.
      wants_reply: Whether the receiver must reply at once.
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


# Fields that seldom change. They are omitted for a receiver that has echoed a
# heartbeat with their current values, which saves a third of the bytes.
PROFILE = ("caller_address", "peer_address", "data_center", "digest")
_PROFILE_TYPES = (str,) * len(PROFILE)
_CHANGING_FIELDS = tuple(
    field
    for field in dataclasses.fields(Heartbeat)
    if field.name not in PROFILE
)
_CHANGING_NAMES = tuple(field.name for field in _CHANGING_FIELDS)
_CHANGING_TYPES = tuple(
    dict if field.name == "demand" else field.type for field in _CHANGING_FIELDS
)


def encode_heartbeat(
    heartbeat: Heartbeat, with_profile: bool = True
) -> list[typing.Any]:
    """Returns the wire form: two lists of values, in the order of the fields.

    Args:
      heartbeat: The heartbeat.
      with_profile: False to send an empty list for `PROFILE`.
    """
    profile = [getattr(heartbeat, name) for name in PROFILE]
    values = [getattr(heartbeat, name) for name in _CHANGING_NAMES]
    return [values, profile if with_profile else []]


def decode_heartbeat(
    data: typing.Any, last: Heartbeat | None = None
) -> Heartbeat | None:
    """Returns the heartbeat, or None when the data is malformed.

    Args:
      data: Wire form.
      last: Earlier heartbeat of the same incarnation, which provides the
        omitted fields. Without it, a heartbeat that omits fields cannot be
        decoded.
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
class PeerStatement:
    """State of a peer's lease and configuration, from its last heartbeat.

    Attributes:
      name: Name of the peer.
      number: Number of the configuration in force at the peer; `NO_NUMBER`
        for none.
      holds_lease: Whether the peer held a lease from control or a peer lease.
      lease_left_ms: Remaining time of the peer's lease from control; 0 without
        one.
      registered: Digest of the names of the entries that are registered
        according to the peer.
      since_ms: Lower bound, on the clock of this entry, of the instant at
        which the peer sent the heartbeat.
    """

    name: str
    number: int
    holds_lease: bool
    lease_left_ms: float
    registered: int
    since_ms: float


@dataclasses.dataclass(frozen=True)
class Address:
    """Address of one entry that callers may use.

    Attributes:
      caller_address: Address that callers connect to, `ip:port`.
      data_center: Data centre of the entry.
      leaving: Whether a planned stop of the entry is in progress.
      last_contact_ms: Instant of the last confirmed contact; see
        `is_suspected`.
    """

    caller_address: str
    data_center: str
    leaving: bool
    last_contact_ms: float


def is_suspected(last_contact_ms: float, now_ms: float) -> bool:
    """Whether a peer has been silent for longer than `SUSPECT_MS`.

    Args:
      last_contact_ms: Instant at which this entry sent the heartbeat that the
        peer's last heartbeat echoed. A peer that receives nothing from this
        entry therefore counts as silent, as in a one-way partition.
      now_ms: Current instant.
    """
    return now_ms - last_contact_ms > SUSPECT_MS


def addresses(
    own: Address, peers: abc.Iterable[Address], now_ms: float
) -> tuple[str, ...]:
    """Returns the addresses that callers should use, best first.

    Entries in the data centre of this entry come first, so that callers stay
    in their data centre. Leaving or suspected entries are left out, including
    this entry when it is leaving.

    Args:
      own: This entry, which is never suspected.
      peers: The other entries.
      now_ms: Current instant.
    """
    usable = [] if own.leaving else [own]
    usable += [
        peer
        for peer in peers
        if not peer.leaving and not is_suspected(peer.last_contact_ms, now_ms)
    ]
    usable.sort(
        key=lambda entry: (
            entry.data_center != own.data_center,
            entry is not own,
            entry.caller_address,
        )
    )
    return tuple(dict.fromkeys(entry.caller_address for entry in usable))


def leaving_accept_ms(address_ttl_ms: float) -> float:
    """Returns how long a leaving entry must still accept requests.

    A peer that does not receive the leaving entry's datagrams returns its
    address to callers until it suspects the entry, and a caller uses that
    answer for its time to live.

    Args:
      address_ttl_ms: Time to live of an answer with addresses.
    """
    return SUSPECT_MS + address_ttl_ms


def identifier(text: str) -> int:
    """Returns a stable 64-bit identifier of a name.

    Any two of 4,300 names collide with a probability of 1e-12. With 32 bits
    the probability would be 0.2%, and a collision would mix up two leases.
    """
    return int.from_bytes(
        hashlib.blake2b(text.encode(), digest_size=8).digest()
    )


def registered_digest(names: abc.Iterable[str]) -> int:
    """Returns the digest of a set of entry names."""
    return identifier("\n".join(sorted(names)))


class TableDigest:
    """Digest of the versions of all rows, updated row by row.

    The hash of each row's name and version is combined into the row's bucket
    by exclusive or, so that the cost of a change does not depend on the size
    of the table.
    """

    def __init__(self):
        self._hashes: dict[str, int] = {}
        self.buckets = [0] * DIGEST_BUCKETS

    @property
    def total(self) -> int:
        """Digest of the whole table."""
        total = 0
        for bucket in self.buckets:
            total ^= bucket
        return total

    def put(self, row: membership.Row) -> None:
        """Updates the digest for the new version of a row."""
        value = identifier(f"{row.name}\n{row.started_ms}\n{row.sequence}")
        bucket = bucket_of(identifier(row.name))
        self.buckets[bucket] ^= self._hashes.get(row.name, 0) ^ value
        self._hashes[row.name] = value


def bucket_of(row_identifier: int) -> int:
    """Returns the bucket of a row in the table digest."""
    return row_identifier % DIGEST_BUCKETS
