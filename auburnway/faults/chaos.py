"""Injects faults into the processes of a fleet, one after another."""

from collections import abc
import itertools
import random
import signal
import threading
import time

from auburnway.demo import fleet as fleet_lib
from auburnway.faults import rig as rig_lib

# Longer than a configuration lease (1.5 s), so that the other processes operate
# without the frozen process before it resumes.
FREEZE_MS = 2000.0
RESTART_DELAY_MS = 400.0
FAULT_PAUSE_MS = 700.0
# A slow process runs for a fifth of the time.
SLOW_STOPPED_MS = 80.0
SLOW_RUNNING_MS = 20.0


class FaultInjector:
    """Kills and freezes an entry, the control leader and a backend server.

    Attributes:
      injected_faults: Faults injected so far, as `<fault> <process>`.
    """

    def __init__(
        self, rig: rig_lib.Rig, seed: int = 1, application: str = "ledger"
    ):
        self._rig = rig
        self._application = application
        self._rng = random.Random(seed)
        self._stop_requested = threading.Event()
        self.injected_faults: list[str] = []

    def run(self) -> None:
        """Injects faults until `stop` is called.

        All victims are running again when this method returns.
        """
        faults = itertools.cycle(
            (fault, victim)
            for fault in (self._kill, self._freeze)
            for victim in (
                self._choose_entry,
                self._find_leader,
                self._choose_server,
            )
        )
        for fault, victim in faults:
            if self._stop_requested.is_set():
                return
            fault(victim())
            self._stop_requested.wait(FAULT_PAUSE_MS / 1000.0)

    def stop(self) -> None:
        """Makes `run` return after the current fault."""
        self._stop_requested.set()

    def _choose_entry(self) -> fleet_lib.Member:
        return self._rng.choice(self._rig.fleet.entries)

    def _find_leader(self) -> fleet_lib.Member:
        return self._rig.leader()

    def _choose_server(self) -> fleet_lib.Member:
        return self._rng.choice(self._rig.servers_of(self._application))

    def _kill(self, member: fleet_lib.Member) -> None:
        self._rig.fleet.kill(member)
        self.injected_faults.append(f"kill {member.name}")
        time.sleep(RESTART_DELAY_MS / 1000.0)
        self._rig.start_if_ended(member)

    def _freeze(self, member: fleet_lib.Member) -> None:
        freeze(self._rig, member, lambda: time.sleep(FREEZE_MS / 1000.0))
        self.injected_faults.append(f"freeze {member.name}")


def freeze(
    rig: rig_lib.Rig,
    member: fleet_lib.Member,
    while_frozen: abc.Callable[[], None],
) -> None:
    """Suspends a process with SIGSTOP while `while_frozen` runs."""
    rig.fleet.send_signal(member, signal.SIGSTOP)
    try:
        while_frozen()
    finally:
        rig.fleet.send_signal(member, signal.SIGCONT)


def slow_down(
    rig: rig_lib.Rig, member: fleet_lib.Member, stopped: threading.Event
) -> None:
    """Suspends a process periodically until `stopped` is set."""
    while not stopped.is_set():
        freeze(rig, member, lambda: time.sleep(SLOW_STOPPED_MS / 1000.0))
        stopped.wait(SLOW_RUNNING_MS / 1000.0)
