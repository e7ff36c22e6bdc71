"""What a backend server says of itself in the headers of a reply."""

import dataclasses

from auburnway.gateway import dialect as dialect_lib
from auburnway.net import header_numbers
from auburnway.net import web_connection

# Greater numbers are not meant; they are taken as these.
MAX_LIMIT_PER_S = 1e6
MAX_LOAD = 1_000_000
MAX_PAUSE_S = 1e6


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load of a backend server.

    Attributes:
      running: Requests that it runs.
      waiting: Requests that wait for a slot.
      slots: Requests that it runs concurrently, at least 1.
    """

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServerReport:
    """What one reply states of its server.

    Attributes:
      load: Load of the server; None if it states none.
      limit_per_s: Requests per second that it takes from all entries together;
        None if it states no limit.
      is_limit_unreadable: Whether it states a limit that cannot be read.
      is_leaving: Whether it is about to stop and wants no new requests.
      pause_ms: Time for which it wants no request from this entry; 0 for none.
      invalid: Names of the headers whose values cannot be used.
    """

    load: Load | None = None
    limit_per_s: float | None = None
    is_limit_unreadable: bool = False
    is_leaving: bool = False
    pause_ms: float = 0.0
    invalid: tuple[str, ...] = ()


def decode(
    dialect: dialect_lib.Dialect, reply: web_connection.Reply
) -> ServerReport:
    """Decodes the headers of a reply that a backend server has sent.

    Args:
      dialect: Header names.
      reply: A reply, not a failure.
    """
    invalid = []

    def number(
        name: bytes, maximum: float, allows_exponent: bool = False
    ) -> float | None:
        text = reply.fields.get(name)
        if text is None:
            return None
        value = header_numbers.decimal(text, maximum, allows_exponent)
        if value is None:
            invalid.append(name.decode("latin-1"))
        return value

    limit_per_s = number(dialect.limit, MAX_LIMIT_PER_S, allows_exponent=True)
    is_limit_unreadable = bool(invalid)
    load = _load(reply.fields.get(dialect.load, b""))
    is_leaving = reply.fields.get(dialect.leaving, b"").strip() == b"1"
    # With other statuses the header is meant for clients.
    pause_s = None
    if reply.status == 503:
        pause_s = number(dialect.pause, MAX_PAUSE_S)
    return ServerReport(
        load=load,
        limit_per_s=limit_per_s,
        is_limit_unreadable=is_limit_unreadable,
        is_leaving=is_leaving,
        pause_ms=1000.0 * (pause_s or 0.0),
        invalid=tuple(invalid),
    )


def _load(text: bytes) -> Load | None:
    numbers = [
        header_numbers.whole(part, MAX_LOAD) for part in text.split(b",")
    ]
    if len(numbers) != 3 or None in numbers:
        return None
    running, waiting, slots = numbers
    return Load(running, waiting, max(slots, 1))
