"""State machine of whole configurations that replace each other.

The highest revision is in force. A lower one is accepted without effect, so
that an operator whose acknowledgement was lost may send again. The revision in
force is accepted again only with the same content.
"""

import dataclasses
import zlib

import msgpack

_FORMAT = 1


@dataclasses.dataclass(frozen=True)
class PutRevision:
    """Proposes a configuration.

    Attributes:
      revision: Its number, chosen by the operator.
      digest: Digest of its meaning, equal for equal configurations.
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
    """Functions of `control.node.StateMachine` over `State`."""

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
            new = State(command.revision, command.digest, command.content)
            return new, True
        if command.revision < state.revision:
            return state, True
        return state, command.digest == state.digest

    def encode(self, state: State) -> bytes:
        """Returns the snapshot form of a state."""
        return msgpack.packb([_FORMAT, *dataclasses.astuple(state)])

    def decode(self, data: bytes) -> State:
        """Returns the state of its snapshot form.

        Raises:
          ValueError: The bytes have another format.
        """
        version, *fields = msgpack.unpackb(data)
        if version != _FORMAT:
            raise ValueError(f"state has format {version}, expected {_FORMAT}")
        return State(*fields)


def compress(document: bytes) -> bytes:
    """Returns the stored form of a document."""
    return zlib.compress(document, 1)


def decompress(content: bytes) -> bytes:
    """Returns the document of its stored form.

    Raises:
      zlib.error: It is damaged.
    """
    return zlib.decompress(content)
