"""The configuration in force: what release notes add up to.

A `Configuration` is the result of all accepted release notes. Entries act on
it; control replicates it; the operator's command shows it.
"""

import dataclasses
import functools

import msgpack


@dataclasses.dataclass(frozen=True)
class Rank:
    """Urgency class of work.

    Attributes:
      name: Unique name.
      order: 0 is the most urgent.
      floor_share: Guaranteed part of the fleet's slots, 0 to 1.
      latency_target_ms: Latency that 99 of 100 answers should meet.
      queue_limit: Greatest number of waiting requests per entry.
    """

    name: str
    order: int
    floor_share: float
    latency_target_ms: float
    queue_limit: int = 200


@dataclasses.dataclass(frozen=True)
class Caller:
    """A customer of the tier.

    Attributes:
      name: Unique name, sent with each request.
      share: Weight against the other callers inside a rank.
    """

    name: str
    share: float = 1.0


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request.

    Attributes:
      name: Unique name, used by callers.
      application: Application whose backend servers run it.
      rank: Rank that it is admitted under.
      repeatable: False for work that must run at most once.
      fan_out: True to query each shard, False to run on one server.
      deadline_ms: Deadline when the caller sends none, and the greatest.
      canary: `unseen` runs unseen fan-outs on one server first; `off`.
    """

    name: str
    application: str
    rank: str
    repeatable: bool = True
    fan_out: bool = True
    deadline_ms: float = 2000.0
    canary: str = "unseen"


@dataclasses.dataclass(frozen=True)
class Application:
    """A group of services with the same limits.

    Attributes:
      name: Unique name, announced by backend servers.
      slots_per_server: Requests that a backend server runs at once.
      connections_per_server: Connections that a backend server accepts.
      connect_ms: Typical cost of a new connection.
    """

    name: str
    slots_per_server: int
    connections_per_server: int
    connect_ms: float = 6.0


@dataclasses.dataclass(frozen=True)
class Policy:
    """Chooses the plug-in `value` for the decision `name`."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True)
class Drain:
    """A backend server that receives no new work.

    Attributes:
      name: Name of the backend server.
    """

    name: str


ITEM_TYPES = {
    "rank": Rank,
    "caller": Caller,
    "kind": Kind,
    "application": Application,
    "policy": Policy,
    "drain": Drain,
}

# Field of Configuration that holds the items of each type.
FIELDS = {
    "rank": "ranks",
    "caller": "callers",
    "kind": "kinds",
    "application": "applications",
    "policy": "policies",
    "drain": "drains",
}


@dataclasses.dataclass(frozen=True)
class Configuration:
    """All items in force, each tuple sorted by name.

    Attributes:
      number: Number of the last accepted release note; 0 before the first.
      digest: Digest of that note.
    """

    number: int = 0
    digest: str = ""
    ranks: tuple[Rank, ...] = ()
    callers: tuple[Caller, ...] = ()
    kinds: tuple[Kind, ...] = ()
    applications: tuple[Application, ...] = ()
    policies: tuple[Policy, ...] = ()
    drains: tuple[Drain, ...] = ()

    @functools.cached_property
    def _index(self) -> dict[tuple[str, str], object]:
        return {
            (item, record.name): record
            for item, field in FIELDS.items()
            for record in getattr(self, field)
        }

    def find(self, item: str, name: str):
        """Returns the record of this item type and name, or None."""
        return self._index.get((item, name))

    def policy(self, name: str, default: str) -> str:
        """Returns the plug-in chosen for a decision."""
        record = self.find("policy", name)
        return record.value if record is not None else default


EMPTY = Configuration()


def encode(configuration: Configuration) -> bytes:
    """Returns the msgpack form of a configuration."""
    data = {
        "number": configuration.number,
        "digest": configuration.digest,
    }
    for field in FIELDS.values():
        data[field] = [
            dataclasses.asdict(record)
            for record in getattr(configuration, field)
        ]
    return msgpack.packb(data)


def decode(data: bytes) -> Configuration:
    """Returns the configuration of its msgpack form.

    Raises:
      ValueError, TypeError: The bytes are no configuration.
    """
    raw = msgpack.unpackb(data)
    items = {
        field: tuple(ITEM_TYPES[item](**record) for record in raw[field])
        for item, field in FIELDS.items()
    }
    return Configuration(number=raw["number"], digest=raw["digest"], **items)
