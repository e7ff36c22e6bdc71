"""State machine of release notes, claims and trials, for the consensus task."""

from auburnway.core import commands
from auburnway.core import replicated_state
from auburnway.core import state_codec


class NoteMachine:
    """Functions of `control.node.StateMachine` over the replicated state."""

    empty = replicated_state.EMPTY_STATE

    def encode_command(self, command: commands.Command) -> bytes:
        """Returns the log form of a command."""
        return replicated_state.encode_command(command)

    def apply(self, state: replicated_state.State, index: int, data: bytes):
        """Applies a command in its log form; returns state and reply."""
        command = replicated_state.decode_command(data)
        return replicated_state.apply(state, index, command)

    def encode(self, state: replicated_state.State) -> bytes:
        """Returns the snapshot form of a state."""
        return state_codec.encode(state)

    def decode(self, data: bytes) -> replicated_state.State:
        """Returns the state of its snapshot form."""
        return state_codec.decode(data)
