"""Replicated state machine that holds the configuration in force.

The configuration with the highest revision is in force. A lower revision is
accepted without effect, so that an operator may retry after a lost
acknowledgement. The revision in force is accepted again only with the same
content.
"""

import dataclasses
import zlib

import msgpack

_FORMAT = 1


@dataclasses.dataclass(frozen=True)
class PutRevision:
    """Command that puts a configuration in force.

    Attributes:
      revision: Number of the configuration, chosen by the operator.
      digest: Digest of the decoded configuration; equal configurations have
        equal digests.
      content: Compressed document as the operator sent it.
    """

    revision: int
    digest: bytes
    content: bytes


@dataclasses.dataclass(frozen=True)
class State:
    """Configuration in force; revision -1 before the first."""

    revision: int = -1
    digest: bytes = b""
    content: bytes = b""


class RevisionMachine:
    """Implementation of `control.interfaces.StateMachine` over `State`."""

    empty = State()

    def encode_command(self, command: PutRevision) -> bytes:
        """Returns the log form of a command."""
        return msgpack.packb(dataclasses.astuple(command))

    def apply(
        self, state: State, index: int, data: bytes
    ) -> tuple[State, bool]:
        """Applies a command; returns the state and whether it is accepted."""
        del index
        command = PutRevision(*msgpack.unpackb(data))
        if command.revision > state.revision:
            new_state = State(command.revision, command.digest, command.content)
            return new_state, True
        if command.revision < state.revision:
            return state, True
        return state, command.digest == state.digest

    def encode(self, state: State) -> bytes:
        """Returns the snapshot form of a state."""
        return msgpack.packb([_FORMAT, *dataclasses.astuple(state)])

    def decode(self, data: bytes) -> State:
        """Returns the state that a snapshot form represents.

        Raises:
          ValueError: The snapshot has a different format version.
        """
        format_version, *fields = msgpack.unpackb(data)
        if format_version != _FORMAT:
            raise ValueError(
                f"state has format {format_version}, expected {_FORMAT}"
            )
        return State(*fields)


def compress(document: bytes) -> bytes:
    """Returns the stored form of a document."""
    return zlib.compress(document, 1)


def decompress(content: bytes) -> bytes:
    """Returns the document that a stored form represents.

    Raises:
      zlib.error: The stored form is corrupt.
    """
    return zlib.decompress(content)
