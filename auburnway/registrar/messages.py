"""Messages between control instances and entries of the pass-through tier.

The msgpack form of a message is its class name and its field values in order.
"""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class Hello:
    """First message of a process that connects to a control instance.

    Attributes:
      kind: Role of the process, `entry` or `control`.
      name: Name of an entry, or address of a control instance.
    """

    kind: str
    name: str


@dataclasses.dataclass(frozen=True)
class Controls:
    """Addresses of all control instances.

    Attributes:
      name: Address of the sending control instance.
      addresses: Addresses of the control instances, ip:port.
    """

    name: str
    addresses: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Rows:
    """Rows of backend servers, as encoded by `core.server_table`."""

    rows: tuple[typing.Any, ...]


@dataclasses.dataclass(frozen=True)
class SaveRows:
    """Asks a control instance to save rows, and to say so with `RowsSaved`.

    Attributes:
      rows: Rows of backend servers that leave, as in `Rows`.
    """

    rows: tuple[typing.Any, ...]


@dataclasses.dataclass(frozen=True)
class RowsSaved:
    """States of leaving backend servers that a control instance has saved.

    Attributes:
      holder: Address of the instance.
      departures: Identifier, start (ms since the Unix epoch) and state of each
        server.
    """

    holder: str
    departures: tuple[tuple[str, int, str], ...]


@dataclasses.dataclass(frozen=True)
class Location:
    """Data centre of the sending control instance.

    Attributes:
      data_center: Name of the data centre.
    """

    data_center: str


@dataclasses.dataclass(frozen=True)
class Subscribe:
    """Whether the sending entry wants news of backend servers.

    Until an entry has said so, it gets all news, as an entry of an earlier
    version does.

    Attributes:
      is_wanted: Whether the receiver is to send all rows that change.
      digest: Digest of the sender's table; the receiver sends all its rows
        first if its own table differs.
    """

    is_wanted: bool
    digest: str


@dataclasses.dataclass(frozen=True)
class Watch:
    """Whether the sending entry wants digests of the receiver's table.

    Attributes:
      is_wanted: Whether the receiver is to send the digest when it changes.
    """

    is_wanted: bool


@dataclasses.dataclass(frozen=True)
class TableDigest:
    """Digest of the sender's table of backend servers.

    Attributes:
      digest: As returned by `server_table.Table.digest`.
    """

    digest: str


@dataclasses.dataclass(frozen=True)
class AskRows:
    """Asks an entry for its rows of backend servers."""


@dataclasses.dataclass(frozen=True)
class Heard:
    """Whether the sending control instance gets heartbeats of these servers.

    Attributes:
      server_ids: Identifiers of backend servers.
      heard: False if the servers missed their heartbeats.
    """

    server_ids: tuple[str, ...]
    heard: bool


@dataclasses.dataclass(frozen=True)
class EntryState:
    """State of the sending entry.

    Attributes:
      address: Address for clients, ip:port.
      data_center: Data centre that the entry runs in.
      is_ready: Whether clients should use the entry.
      load: Share of the entry's processor time that requests use.
    """

    address: str
    data_center: str
    is_ready: bool
    load: float = 0.0


@dataclasses.dataclass(frozen=True)
class Entries:
    """Entries that clients are to use, of those connected to the sender.

    An instance of an earlier version sends all that are ready, so receivers
    select again.

    Attributes:
      entries: Pairs of address and data centre.
      load: Sum of the loads of all connected entries.
    """

    entries: tuple[tuple[str, str], ...]
    load: float = 0.0


@dataclasses.dataclass(frozen=True)
class EntriesChanged:
    """Changes of the list of entries since the last message to the receiver.

    Attributes:
      added: Pairs of address and data centre of added entries.
      removed: Pairs of address and data centre of removed entries.
      load: Sum of the loads of all connected entries.
    """

    added: tuple[tuple[str, str], ...]
    removed: tuple[tuple[str, str], ...]
    load: float


@dataclasses.dataclass(frozen=True)
class Revision:
    """Number of the newest configuration that the sender knows."""

    number: int


@dataclasses.dataclass(frozen=True)
class Fetch:
    """Requests the configuration with this number or a later one."""

    number: int


@dataclasses.dataclass(frozen=True)
class Document:
    """A configuration in its stored form.

    Attributes:
      number: Number of the configuration.
      content: Compressed document.
    """

    number: int
    content: bytes


@dataclasses.dataclass(frozen=True)
class Raft:
    """A Raft message, as encoded by `core.raft_wire`.

    Attributes:
      sender: Address of the sending control instance.
      message: Encoded Raft message.
    """

    sender: str
    message: tuple[typing.Any, ...]


@dataclasses.dataclass(frozen=True)
class Join:
    """Requests that the leader add the sending control instance.

    Attributes:
      name: Name of the instance.
      incarnation: Incarnation of its data folder.
      address: Address of its internal port, ip:port.
    """

    name: str
    incarnation: str
    address: str


@dataclasses.dataclass(frozen=True)
class Strike:
    """A backend server was lost while it ran a request of the sending entry.

    Attributes:
      key: Fingerprint of the request.
      server: Lost start of the server.
    """

    key: bytes
    server: str


@dataclasses.dataclass(frozen=True)
class Cleared:
    """A backend server has survived a request that had strikes.

    Attributes:
      key: Fingerprint of the request.
    """

    key: bytes


@dataclasses.dataclass(frozen=True)
class Quarantine:
    """A request that crashes backend servers, which entries must not run.

    Attributes:
      key: Fingerprint of the request.
      strikes: Number of servers that it has cost.
      age_ms: Time since the last of them was lost.
    """

    key: bytes
    strikes: int
    age_ms: float


@dataclasses.dataclass(frozen=True)
class AskTrial:
    """Asks whether the sending entry may run a quarantined request once.

    Attributes:
      key: Fingerprint of the request.
      strikes: Number of servers that it has cost, as the entry knows.
      age_ms: Time since the last of them was lost.
    """

    key: bytes
    strikes: int
    age_ms: float


@dataclasses.dataclass(frozen=True)
class Trial:
    """Answer to `AskTrial`.

    Attributes:
      key: Fingerprint of the request.
      is_granted: Whether the entry may run the request once.
      wait_ms: Time until a trial may be granted; 0 if it is.
    """

    key: bytes
    is_granted: bool
    wait_ms: float


Message = (
    Hello
    | Controls
    | Rows
    | SaveRows
    | RowsSaved
    | Location
    | Subscribe
    | Watch
    | TableDigest
    | AskRows
    | Heard
    | EntryState
    | Entries
    | EntriesChanged
    | Revision
    | Fetch
    | Document
    | Raft
    | Join
    | Strike
    | Cleared
    | Quarantine
    | AskTrial
    | Trial
)

_TYPES = {cls.__name__: cls for cls in typing.get_args(Message)}


def encode(message: Message) -> list[typing.Any]:
    """Returns the msgpack form of a message."""
    values = [getattr(message, f.name) for f in dataclasses.fields(message)]
    return [type(message).__name__, *values]


def decode(value: typing.Any) -> Message:
    """Returns the message that a msgpack form represents.

    Raises:
      KeyError, TypeError, ValueError: The value does not encode a message.
    """
    name, *fields = value
    return _TYPES[name](*fields)
