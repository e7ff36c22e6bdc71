"""Kills and freezes processes of a fleet one after another."""

from collections import abc
import itertools
import random
import signal
import threading
import time

from auburnway.demo import fleet as fleet_lib
from auburnway.faults import rig as rig_lib

# Longer than a configuration lease (1.5 s), so that a frozen process wakes
# after the others have gone on without it.
FREEZE_MS = 2000.0
DOWN_MS = 400.0
PAUSE_MS = 700.0
# A slow process works for a fifth of the time.
SLOW_STOPPED_MS = 80.0
SLOW_RUNNING_MS = 20.0


class Chaos:
    """Faults in turn on an entry, the control leader and a backend server.

    Attributes:
      done: Faults carried out, as `<fault> <process>`.
    """

    def __init__(
        self, rig: rig_lib.Rig, seed: int = 1, application: str = "ledger"
    ):
        self._rig = rig
        self._application = application
        self._rng = random.Random(seed)
        self._stopped = threading.Event()
        self.done: list[str] = []

    def run(self) -> None:
        """Works until `stop`; then all processes run again."""
        faults = itertools.cycle(
            (fault, victim)
            for fault in (self._kill, self._freeze)
            for victim in (self._entry, self._leader, self._server)
        )
        for fault, victim in faults:
            if self._stopped.is_set():
                return
            fault(victim())
            self._stopped.wait(PAUSE_MS / 1000.0)

    def stop(self) -> None:
        """Ends after the present fault."""
        self._stopped.set()

    def _entry(self) -> fleet_lib.Member:
        return self._rng.choice(self._rig.fleet.entries)

    def _leader(self) -> fleet_lib.Member:
        return self._rig.leader()

    def _server(self) -> fleet_lib.Member:
        return self._rng.choice(self._rig.application(self._application))

    def _kill(self, member: fleet_lib.Member) -> None:
        self._rig.fleet.kill(member)
        self.done.append(f"kill {member.name}")
        time.sleep(DOWN_MS / 1000.0)
        self._rig.restart(member)

    def _freeze(self, member: fleet_lib.Member) -> None:
        freeze(self._rig, member, lambda: time.sleep(FREEZE_MS / 1000.0))
        self.done.append(f"freeze {member.name}")


def freeze(
    rig: rig_lib.Rig,
    member: fleet_lib.Member,
    meanwhile: abc.Callable[[], None],
) -> None:
    """Stops a process with SIGSTOP while a function runs."""
    rig.fleet.signal(member, signal.SIGSTOP)
    try:
        meanwhile()
    finally:
        rig.fleet.signal(member, signal.SIGCONT)


def slow_down(
    rig: rig_lib.Rig, member: fleet_lib.Member, stopped: threading.Event
) -> None:
    """Lets a process work for a part of the time until the event."""
    while not stopped.is_set():
        freeze(rig, member, lambda: time.sleep(SLOW_STOPPED_MS / 1000.0))
        stopped.wait(SLOW_RUNNING_MS / 1000.0)
