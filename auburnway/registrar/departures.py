"""Which leaving backend servers are on enough disks to be acknowledged.

A server that was told that its stop or drain is known relies on it: it must
stay known after a loss of all processes and of as many disks as the settings
tolerate. The table of backend servers itself is saved only from time to time,
so a row that says that a server leaves is acknowledged once enough control
instances have saved it. No leader is needed, as the states of one start of a
server only advance, and tables merge.
"""

from collections import abc
import dataclasses

from auburnway.core import server_table

# Servers wait a second for an acknowledgement before they ask another instance.
TIMEOUT_MS = 700.0


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """A state of one start of a server that requests must respect.

    Attributes:
      server_id: Identifier of the server.
      started_ms: Time of its start, in ms since the Unix epoch.
      state: Draining or ended.
    """

    server_id: str
    started_ms: int
    state: server_table.State

    @classmethod
    def of(cls, row: server_table.Row) -> "Departure":
        """Returns the departure that a row states."""
        return cls(row.server_id, row.started_ms, row.state)

    def is_in(self, row: server_table.Row | None) -> bool:
        """Whether a row says this, or what came after it."""
        if row is None:
            return False
        if row.started_ms != self.started_ms:
            return row.started_ms > self.started_ms
        return row.has_reached(self.state)


@dataclasses.dataclass(slots=True)
class _Waiter:
    departure: Departure
    deadline_ms: float
    on_done: abc.Callable[[bool], None]


class Departures:
    """Counts the control instances that have saved each departure."""

    def __init__(self):
        self._holders: dict[Departure, set[str]] = {}
        self._waiters: list[_Waiter] = []

    @property
    def waiting_count(self) -> int:
        """Number of calls that wait to be acknowledged."""
        return len(self._waiters)

    def wait(
        self,
        departure: Departure,
        copies: int,
        deadline_ms: float,
        on_done: abc.Callable[[bool], None],
    ) -> bool:
        """Calls a function once enough instances have saved a departure.

        Args:
          departure: What is to be saved.
          copies: Number of instances that must have saved it.
          deadline_ms: Time after which the function is called with False.
          on_done: Called once, perhaps at once, with whether it is saved.

        Returns:
          Whether the instances must be asked to save it.
        """
        if len(self._holders.get(departure, ())) >= copies:
            on_done(True)
            return False
        self._waiters.append(_Waiter(departure, deadline_ms, on_done))
        return True

    def on_saved(
        self, holder: str, departures: abc.Iterable[Departure], copies: int
    ) -> None:
        """Records what one instance has on its disk.

        Args:
          holder: Address of the instance.
          departures: What it has saved.
          copies: Number of instances that must have saved a departure.
        """
        for departure in departures:
            self._holders.setdefault(departure, set()).add(holder)
            if departure.state is server_table.State.ENDED:
                # A server that has ended does not get requests either.
                drained = dataclasses.replace(
                    departure, state=server_table.State.DRAINING
                )
                self._holders.setdefault(drained, set()).add(holder)
        self._finish(
            lambda waiter: (
                len(self._holders.get(waiter.departure, ())) >= copies
            ),
            True,
        )

    def expire(self, now_ms: float) -> None:
        """Ends the calls whose time is over."""
        self._finish(lambda waiter: now_ms >= waiter.deadline_ms, False)

    def purge(self, table: server_table.Table) -> None:
        """Forgets the departures that no row states any more."""
        for departure in tuple(self._holders):
            row = table.get(departure.server_id)
            if row is None or row.started_ms != departure.started_ms:
                del self._holders[departure]

    def _finish(
        self, is_done: abc.Callable[[_Waiter], bool], is_saved: bool
    ) -> None:
        done = [waiter for waiter in self._waiters if is_done(waiter)]
        if not done:
            return
        self._waiters = [w for w in self._waiters if not is_done(w)]
        for waiter in done:
            waiter.on_done(is_saved)
