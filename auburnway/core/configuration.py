"""The configuration in force: the result of all accepted release notes.

Control instances replicate the configuration, entries serve requests by it and
the operator's command shows it.
"""

import dataclasses
import functools

import msgpack


@dataclasses.dataclass(frozen=True)
class Rank:
    """Priority class of requests.

    Attributes:
      name: Unique name.
      order: Position by urgency; 0 is the most urgent.
      floor_share: Guaranteed share of the slots of all backend servers, 0 to
        1.
      latency_target_ms: Latency that 99 of 100 answers should meet.
      queue_limit: Maximum number of waiting requests per entry.
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
      share: Weight relative to the other callers in the same rank.
    """

    name: str
    share: float = 1.0


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request.

    Attributes:
      name: Unique name, used by callers.
      application: Application whose backend servers run the requests.
      rank: Rank under which the requests are admitted.
      repeatable: False for requests that must run at most once.
      fan_out: True to query each shard, False to run on one server.
      deadline_ms: Default deadline, and the maximum that a caller may set.
      canary: `unseen` to run a fan-out query that has not been seen before on
        one server first, or `off`.
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
      slots_per_server: Requests that a backend server runs concurrently.
      connections_per_server: Connections that a backend server accepts.
      connect_ms: Typical time to open a new connection.
    """

    name: str
    slots_per_server: int
    connections_per_server: int
    connect_ms: float = 6.0


@dataclasses.dataclass(frozen=True)
class Policy:
    """Selects the plug-in `value` for the decision `name`."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True)
class Drain:
    """A backend server that is drained and receives no new requests.

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

# Field of `Configuration` that holds the records of each item type.
FIELD_BY_ITEM_TYPE = {
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
    def _records_by_key(self) -> dict[tuple[str, str], object]:
        return {
            (item, record.name): record
            for item, field in FIELD_BY_ITEM_TYPE.items()
            for record in getattr(self, field)
        }

    def find(self, item: str, name: str):
        """Returns the record with this item type and name, or None."""
        return self._records_by_key.get((item, name))

    def policy(self, name: str, default: str) -> str:
        """Returns the plug-in selected for a decision.

        Args:
          name: Name of the decision.
          default: Plug-in to return when no policy is in force.
        """
        record = self.find("policy", name)
        return record.value if record is not None else default


EMPTY = Configuration()


def encode(configuration: Configuration) -> bytes:
    """Returns the msgpack form of a configuration."""
    data = {
        "number": configuration.number,
        "digest": configuration.digest,
    }
    for field in FIELD_BY_ITEM_TYPE.values():
        data[field] = [
            dataclasses.asdict(record)
            for record in getattr(configuration, field)
        ]
    return msgpack.packb(data)


def decode(data: bytes) -> Configuration:
    """Decodes a configuration from its msgpack form.

    Raises:
      ValueError, TypeError: The bytes are not a configuration.
    """
    fields = msgpack.unpackb(data)
    items = {
        field: tuple(ITEM_TYPES[item](**record) for record in fields[field])
        for item, field in FIELD_BY_ITEM_TYPE.items()
    }
    return Configuration(
        number=fields["number"], digest=fields["digest"], **items
    )
