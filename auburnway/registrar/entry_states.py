"""What the connected entries say of themselves, and what others are told.

Each entry is told the whole list once and then only the changes: with many
entries a rolling restart would otherwise send the list to all of them for each
one that leaves or returns.
"""

from collections import abc

from auburnway.policy import entry_selection
from auburnway.registrar import messages


class EntryStates:
    """States by stream; the streams are opaque keys here."""

    def __init__(self):
        self._states: dict[abc.Hashable, messages.EntryState] = {}
        # What all entries were told; None before the first list.
        self._told: set[tuple[str, str]] | None = None
        self._told_load = 0.0

    def __len__(self) -> int:
        """Number of connected entries."""
        return len(self._states)

    def __contains__(self, stream: abc.Hashable) -> bool:
        """Whether the stream is one of an entry that told its state."""
        return stream in self._states

    def streams(self) -> tuple[abc.Hashable, ...]:
        """Returns the streams of all connected entries."""
        return tuple(self._states)

    def put(self, stream: abc.Hashable, state: messages.EntryState) -> bool:
        """Takes a state; returns whether the list may have changed.

        A load alone is not urgent and returns False.
        """
        known = self._states.get(stream)
        self._states[stream] = state
        return known is None or known.is_ready != state.is_ready

    def drop(self, stream: abc.Hashable) -> bool:
        """Forgets a lost stream; returns whether it was an entry's."""
        return self._states.pop(stream, None) is not None

    def news(self) -> messages.Entries | messages.EntriesChanged | None:
        """Returns what all connected entries must be told now, or None."""
        ready = {
            (state.address, state.data_center)
            for state in self._states.values()
            if state.is_ready
        }
        load = entry_selection.told_load(
            self._told_load, sum(state.load for state in self._states.values())
        )
        told = self._told
        if told == ready and load == self._told_load:
            return None
        self._told, self._told_load = ready, load
        if told is None:
            return self.whole()
        return messages.EntriesChanged(
            tuple(sorted(ready - told)), tuple(sorted(told - ready)), load
        )

    def whole(self) -> messages.Entries | None:
        """Returns the list as it was told last; None before the first."""
        if self._told is None:
            return None
        return messages.Entries(tuple(sorted(self._told)), self._told_load)
