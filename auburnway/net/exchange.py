"""One request and its reply, as the owner of the request sees them."""

from collections import abc
import dataclasses
import enum
import typing


class Failure(enum.Enum):
    """Why an exchange has no reply."""

    # No connection is free and the limit is reached; nothing was sent.
    NO_CONNECTION = "no_connection"
    # The connection could not be established; nothing was sent.
    CONNECT_FAILED = "connect_failed"
    # The connection was lost after sending started.
    CONNECTION_LOST = "connection_lost"
    # The reply is not HTTP.
    PROTOCOL = "protocol"


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """End of an exchange.

    Attributes:
      status: HTTP status; 0 without a reply.
      headers: Header values by lower-case name.
      body: Body of the reply.
      failure: None with a reply.
      reached: False only when no byte of the request can have reached the
        backend server.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    failure: Failure | None
    reached: bool


OnReply = abc.Callable[[Reply], None]


class Carrier(typing.Protocol):
    """What carries an exchange."""

    def abandon(self, exchange: "Exchange") -> None:
        """Gives up the reply of an exchange."""


class Exchange:
    """Handle of one request; `abandon` gives up its reply.

    Attributes:
      connection: What carries it; None until a connection is assigned.
      on_reply: Completion function; None once it was called or given up.
      payload: Bytes of the request.
      sent: Whether sending has started.
      started_ms: Monotonic instant at which the request was handed over.
    """

    __slots__ = ("connection", "on_reply", "payload", "sent", "started_ms")

    def __init__(self, payload: bytes, on_reply: OnReply, started_ms: float):
        self.connection: Carrier | None = None
        self.on_reply: OnReply | None = on_reply
        self.payload = payload
        self.sent = False
        self.started_ms = started_ms

    def abandon(self) -> bool:
        """Gives up the reply; the completion function is not called.

        Returns:
          True when the request can have reached the backend server.
        """
        self.on_reply = None
        if self.connection is not None:
            self.connection.abandon(self)
        return self.sent

    def finish(self, reply: Reply) -> None:
        """Calls the completion function once."""
        on_reply, self.on_reply = self.on_reply, None
        if on_reply is not None:
            on_reply(reply)
