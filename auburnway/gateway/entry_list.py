"""The entries that clients may use, as control instances tell them.

Each control instance lists the entries that it hears. An entry counts as
listed for a time after the last instance that heard it was lost or dropped it,
so that the loss of a control instance takes no entry from the clients.
"""

from collections import abc

from auburnway.core import clock as clock_lib
from auburnway.policy import entry_selection

# How long an entry stays listed after the last control instance that heard
# it was lost or no longer lists it.
LISTED_MS = 2_000.0
# The number of active entries is asked for with every send.
COUNT_MS = 100.0


class EntryList:
    """Merges the lists of all control instances.

    Args:
      clock: Source of time.
    """

    def __init__(self, clock: clock_lib.Clock):
        self._clock = clock
        self._lists: dict[str, tuple[entry_selection.Entry, ...]] = {}
        self._loads: dict[str, float] = {}
        self._listed_ms: dict[entry_selection.Entry, float] = {}
        self._count = 0
        self._count_until_ms = float("-inf")

    def put(
        self,
        control: str,
        entries: abc.Iterable[entry_selection.Entry],
        load: float,
    ) -> None:
        """Takes the list of a control instance.

        Args:
          control: Address of the control instance.
          entries: Ready entries that it hears.
          load: Sum of their loads, each as a part of its processor.
        """
        # The entries of the former list count as listed until now.
        self._refresh()
        self._lists[control] = tuple(entries)
        self._loads[control] = load

    def change(
        self,
        control: str,
        added: abc.Iterable[entry_selection.Entry],
        removed: abc.Iterable[entry_selection.Entry],
        load: float,
    ) -> None:
        """Takes what has changed in the list of a control instance."""
        known = set(self._lists.get(control, ()))
        self.put(control, known.difference(removed).union(added), load)

    def drop(self, control: str) -> None:
        """Forgets the list of a control instance that was lost."""
        self._refresh()
        self._lists.pop(control, None)
        self._loads.pop(control, None)

    def forget(self, address: str) -> None:
        """Takes an entry off the list at once."""
        for entry in tuple(self._listed_ms):
            if entry.address == address:
                del self._listed_ms[entry]

    def entries(self) -> tuple[entry_selection.Entry, ...]:
        """Returns all listed entries."""
        self._refresh()
        return tuple(self._listed_ms)

    def active(self) -> tuple[entry_selection.Entry, ...]:
        """Returns the entries that clients should be sent to."""
        load = max(self._loads.values(), default=0.0)
        return entry_selection.active(self.entries(), load)

    @property
    def active_count(self) -> int:
        """Number of active entries, `COUNT_MS` old; 0 while none is known."""
        now_ms = self._clock.now_ms()
        if now_ms >= self._count_until_ms:
            self._count = len(self.active())
            self._count_until_ms = now_ms + COUNT_MS
        return self._count

    def _refresh(self) -> None:
        now_ms = self._clock.now_ms()
        for entries in self._lists.values():
            for entry in entries:
                self._listed_ms[entry] = now_ms
        # Without any control instance the last list stays in use.
        if self._lists:
            for entry, listed_ms in tuple(self._listed_ms.items()):
                if now_ms - listed_ms > LISTED_MS:
                    del self._listed_ms[entry]
