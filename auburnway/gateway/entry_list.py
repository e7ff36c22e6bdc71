"""List of the entries that clients may use, merged from control instances.

Each control instance sends a list of the ready entries that are connected to
it. An entry remains listed for some time after the last control instance that
listed it was lost, so that the loss of a control instance removes no entry from
the clients' addresses. An entry that was removed by all instances that listed
it has stopped or failed, and leaves the list at once.
"""

from collections import abc

from auburnway.core import clock as clock_lib
from auburnway.policy import entry_selection

# How long an entry stays listed after the last control instance that listed it
# was lost or sent a list without it.
LISTED_TTL_MS = 2_000.0
# Time for which the active entries are cached, as every send needs them.
ACTIVE_TTL_MS = 100.0


class EntryList:
    """Merges the lists of all control instances.

    Args:
      clock: Source of time.
    """

    def __init__(self, clock: clock_lib.Clock):
        self._clock = clock
        self._entries_by_control: dict[
            str, tuple[entry_selection.Entry, ...]
        ] = {}
        self._loads: dict[str, float] = {}
        self._last_listed_ms: dict[entry_selection.Entry, float] = {}
        self._active_addresses: tuple[str, ...] = ()
        self._active_until_ms = float("-inf")

    def put(
        self,
        control: str,
        entries: abc.Iterable[entry_selection.Entry],
        load: float,
    ) -> None:
        """Replaces the list of a control instance.

        Args:
          control: Address of the control instance.
          entries: Ready entries that are connected to it.
          load: Sum of the entries' loads, each as a share of the entry's
            processor time.
        """
        # Records that the entries of the previous list were listed until now.
        self._refresh()
        self._entries_by_control[control] = tuple(entries)
        self._loads[control] = load

    def change(
        self,
        control: str,
        added: abc.Iterable[entry_selection.Entry],
        removed: abc.Iterable[entry_selection.Entry],
        load: float,
    ) -> None:
        """Applies changes to the list of a control instance.

        Args:
          control: Address of the control instance.
          added: Entries to add.
          removed: Entries to remove.
          load: As for `put`, after the changes.
        """
        current = set(self._entries_by_control.get(control, ()))
        removed = set(removed)
        self.put(control, (current - removed).union(added), load)
        listed = set().union(*self._entries_by_control.values())
        for entry in removed - listed:
            self._last_listed_ms.pop(entry, None)

    def remove_list(self, control: str) -> None:
        """Removes the list of a control instance whose stream was lost."""
        self._refresh()
        self._entries_by_control.pop(control, None)
        self._loads.pop(control, None)

    def remove_entry(self, address: str) -> None:
        """Removes an entry from the merged list at once."""
        for entry in tuple(self._last_listed_ms):
            if entry.address == address:
                del self._last_listed_ms[entry]

    def entries(self) -> tuple[entry_selection.Entry, ...]:
        """Returns all listed entries."""
        self._refresh()
        return tuple(self._last_listed_ms)

    def active(self) -> tuple[entry_selection.Entry, ...]:
        """Returns the entries to return to clients."""
        load = max(self._loads.values(), default=0.0)
        return entry_selection.select_entries(self.entries(), load)

    @property
    def active_count(self) -> int:
        """Number of active entries, 0 if none is known; cached for a time."""
        return len(self.active_addresses)

    @property
    def active_addresses(self) -> tuple[str, ...]:
        """Addresses of the active entries; cached for a time."""
        now_ms = self._clock.now_ms()
        if now_ms >= self._active_until_ms:
            self._active_addresses = tuple(e.address for e in self.active())
            self._active_until_ms = now_ms + ACTIVE_TTL_MS
        return self._active_addresses

    def _refresh(self) -> None:
        now_ms = self._clock.now_ms()
        for entries in self._entries_by_control.values():
            for entry in entries:
                self._last_listed_ms[entry] = now_ms
        # Without any control instance, the last list remains in use.
        if self._entries_by_control:
            for entry, listed_ms in tuple(self._last_listed_ms.items()):
                if now_ms - listed_ms > LISTED_TTL_MS:
                    del self._last_listed_ms[entry]
