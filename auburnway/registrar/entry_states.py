"""States of the connected entries, and the list of entries sent to them.

The list holds the entries that clients are to use, which are few of many. Each
entry receives the whole list once and then only changes. Otherwise, a rolling
restart would send the whole list to all entries for each entry that stops or
starts.
"""

from collections import abc

from auburnway.policy import entry_selection
from auburnway.registrar import messages


class EntryStates:
    """States of entries by stream; any hashable key may stand for a stream."""

    def __init__(self):
        self._states: dict[abc.Hashable, messages.EntryState] = {}
        # Entries of the list that was sent last; None before the first list.
        self._sent_entries: set[tuple[str, str]] | None = None
        self._sent_load = 0.0
        # Whether a state has changed since the last update.
        self._is_changed = True

    def __len__(self) -> int:
        """Number of connected entries."""
        return len(self._states)

    def __contains__(self, stream: abc.Hashable) -> bool:
        """Whether an entry has sent its state over the stream."""
        return stream in self._states

    def streams(self) -> tuple[abc.Hashable, ...]:
        """Returns the streams of all connected entries."""
        return tuple(self._states)

    def put(self, stream: abc.Hashable, state: messages.EntryState) -> bool:
        """Records the state of an entry.

        Returns:
          Whether the list of entries must be sent at once, because clients are
          to leave the entry. New entries and changes of the load can wait.
        """
        previous = self._states.get(stream)
        self._states[stream] = state
        self._is_changed = self._is_changed or previous != state
        is_listed = previous is not None and (
            (previous.address, previous.data_center)
            in (self._sent_entries or ())
        )
        return is_listed and previous.is_ready and not state.is_ready

    def drop(self, stream: abc.Hashable) -> bool:
        """Removes a lost stream; returns whether it belonged to an entry."""
        is_entry = self._states.pop(stream, None) is not None
        self._is_changed = self._is_changed or is_entry
        return is_entry

    def pending_update(
        self,
    ) -> messages.Entries | messages.EntriesChanged | None:
        """Returns the update to send to all entries, or None if none is due."""
        if not self._is_changed:
            return None
        self._is_changed = False
        load = entry_selection.load_to_report(
            self._sent_load, sum(state.load for state in self._states.values())
        )
        selected = self._select(load)
        sent = self._sent_entries
        if sent == selected and load == self._sent_load:
            return None
        self._sent_entries, self._sent_load = selected, load
        if sent is None:
            return self.last_list()
        return messages.EntriesChanged(
            tuple(sorted(selected - sent)), tuple(sorted(sent - selected)), load
        )

    def _select(self, load: float) -> set[tuple[str, str]]:
        ready = {
            entry_selection.Entry(state.address, state.data_center)
            for state in self._states.values()
            if state.is_ready
        }
        return {
            (entry.address, entry.data_center)
            for entry in entry_selection.select_entries(ready, load)
        }

    def last_list(self) -> messages.Entries | None:
        """Returns the list that was sent last; None before the first list."""
        if self._sent_entries is None:
            return None
        return messages.Entries(
            tuple(sorted(self._sent_entries)), self._sent_load
        )
