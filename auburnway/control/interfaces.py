"""Interfaces between the consensus component and its surroundings."""

from collections import abc
import typing

from returns import result

from auburnway.core import raft_records as records

OnReply = abc.Callable[[result.Result], None]
Post = abc.Callable[[abc.Callable[[], None]], None]


class StateMachine(typing.Protocol):
    """State machine to which the commands of the log are applied.

    Attributes:
      empty: State before the first command.
    """

    empty: typing.Any

    def encode_command(self, command: typing.Any) -> bytes:
        """Encodes a command for the log."""

    def apply(
        self, state: typing.Any, index: int, data: bytes
    ) -> tuple[typing.Any, typing.Any]:
        """Applies an encoded command; returns the new state and the reply."""

    def encode(self, state: typing.Any) -> bytes:
        """Encodes a state for a snapshot."""

    def decode(self, data: bytes) -> typing.Any:
        """Decodes a state from a snapshot."""


class Link(typing.Protocol):
    """Connection to one other instance; may drop messages."""

    def send(self, message: records.Message) -> None:
        """Sends or queues a message without blocking."""

    def close(self) -> None:
        """Closes the connection."""


Connect = abc.Callable[[str, Post], Link]
