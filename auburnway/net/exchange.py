"""One HTTP request and its reply, as seen by the code that sends it."""

from collections import abc
import dataclasses
import enum
import typing


class Failure(enum.Enum):
    """Why an exchange has no reply."""

    # No connection is idle and the connection limit is reached; nothing was
    # sent.
    NO_CONNECTION = "no_connection"
    # The connection could not be established; nothing was sent.
    CONNECT_FAILED = "connect_failed"
    # The connection was lost after sending started.
    CONNECTION_LOST = "connection_lost"
    # The received bytes are not a valid HTTP reply.
    PROTOCOL = "protocol"
    # The reply exceeds a limit of its size.
    TOO_LARGE = "too_large"


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Result of an exchange: a reply, or the reason why there is none.

    Attributes:
      status: HTTP status; 0 when there is no reply.
      headers: Header values by lower-case name.
      body: Body of the reply.
      failure: Why there is no reply; None when there is one.
      reached: False only when no byte of the request can have reached the
        backend server.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    failure: Failure | None
    reached: bool


OnReply = abc.Callable[[Reply], None]


class Connection(typing.Protocol):
    """Connection on which an exchange is sent."""

    def abandon(self, exchange: "Exchange") -> None:
        """Discards the reply of an exchange when it arrives."""


class Exchange:
    """Handle of one request, with which its reply can be abandoned.

    Attributes:
      connection: Connection that is used; None until one is assigned.
      on_reply: Completion callback; None once the callback was called or
        the reply was abandoned.
      payload: Bytes of the request.
      sent: Whether sending has started.
      started_ms: Monotonic time in ms at which the exchange was created.
    """

    __slots__ = ("connection", "on_reply", "payload", "sent", "started_ms")

    def __init__(self, payload: bytes, on_reply: OnReply, started_ms: float):
        self.connection: Connection | None = None
        self.on_reply: OnReply | None = on_reply
        self.payload = payload
        self.sent = False
        self.started_ms = started_ms

    def abandon(self) -> bool:
        """Abandons the reply; the completion callback is not called.

        Returns:
          True when the request may have reached the backend server.
        """
        self.on_reply = None
        if self.connection is not None:
            self.connection.abandon(self)
        return self.sent

    def finish(self, reply: Reply) -> None:
        """Calls the completion callback; later calls have no effect."""
        on_reply, self.on_reply = self.on_reply, None
        if on_reply is not None:
            on_reply(reply)
