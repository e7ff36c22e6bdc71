"""State machine of release notes, entries, claims and trials."""

from auburnway.core import commands
from auburnway.core import replicated_state
from auburnway.core import state_codec


class ControlStateMachine:
    """Implements `control.interfaces.StateMachine` on the replicated state."""

    empty = replicated_state.EMPTY_STATE

    def encode_command(self, command: commands.Command) -> bytes:
        """Encodes a command for the log."""
        return replicated_state.encode_command(command)

    def apply(self, state: replicated_state.State, index: int, data: bytes):
        """Applies an encoded command; returns the new state and the reply."""
        command = replicated_state.decode_command(data)
        return replicated_state.apply(state, index, command)

    def encode(self, state: replicated_state.State) -> bytes:
        """Encodes a state for a snapshot."""
        return state_codec.encode(state)

    def decode(self, data: bytes) -> replicated_state.State:
        """Decodes a state from a snapshot."""
        return state_codec.decode(data)
