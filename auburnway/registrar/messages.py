"""Messages between control instances and entries of the pass-through tier."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class Hello:
    """First message of a process that dials a control instance.

    Attributes:
      kind: `entry` or `control`.
      name: Address of a control instance, or name of an entry.
    """

    kind: str
    name: str


@dataclasses.dataclass(frozen=True)
class Controls:
    """Addresses of all control instances that the sender knows."""

    name: str
    addresses: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Rows:
    """Rows of backend servers, in the form of `core.server_table`."""

    rows: tuple[typing.Any, ...]


@dataclasses.dataclass(frozen=True)
class Heard:
    """Whether the sending control instance hears these servers."""

    server_ids: tuple[str, ...]
    heard: bool


@dataclasses.dataclass(frozen=True)
class EntryState:
    """What an entry says of itself.

    Attributes:
      address: Address for clients.
      data_center: Data centre that it runs in.
      is_ready: Whether clients should be sent to it.
      load: Part of its processor that requests take.
    """

    address: str
    data_center: str
    is_ready: bool
    load: float = 0.0


@dataclasses.dataclass(frozen=True)
class Entries:
    """All ready entries that the sending control instance hears.

    Attributes:
      entries: Pairs of address and data centre.
      load: Sum of their loads.
    """

    entries: tuple[tuple[str, str], ...]
    load: float = 0.0


@dataclasses.dataclass(frozen=True)
class EntriesChanged:
    """What has changed since the last list to the same process.

    Attributes:
      added: Pairs of address and data centre.
      removed: Likewise.
      load: Sum of the loads of all listed entries.
    """

    added: tuple[tuple[str, str], ...]
    removed: tuple[tuple[str, str], ...]
    load: float


@dataclasses.dataclass(frozen=True)
class Revision:
    """Number of the configuration that the sender knows to be in force."""

    number: int


@dataclasses.dataclass(frozen=True)
class Fetch:
    """Asks for the configuration of this number or a later one."""

    number: int


@dataclasses.dataclass(frozen=True)
class Document:
    """A configuration in its stored form."""

    number: int
    content: bytes


@dataclasses.dataclass(frozen=True)
class Raft:
    """A message of the Raft rules, in the form of `core.raft_wire`."""

    sender: str
    message: tuple[typing.Any, ...]


@dataclasses.dataclass(frozen=True)
class Join:
    """Asks the leader to add a control instance."""

    name: str
    incarnation: str
    address: str


Message = (
    Hello
    | Controls
    | Rows
    | Heard
    | EntryState
    | Entries
    | EntriesChanged
    | Revision
    | Fetch
    | Document
    | Raft
    | Join
)

_TYPES = {cls.__name__: cls for cls in typing.get_args(Message)}


def encode(message: Message) -> list[typing.Any]:
    """Returns the msgpack form of a message."""
    values = [getattr(message, f.name) for f in dataclasses.fields(message)]
    return [type(message).__name__, *values]


def decode(value: typing.Any) -> Message:
    """Returns the message of its msgpack form.

    Raises:
      KeyError, TypeError, ValueError: It is no message.
    """
    name, *fields = value
    return _TYPES[name](*fields)
