"""Which faults a run meets, and when: a pure function of the seed.

Faults come in series and overlap. A plan stays within what the system has to
bear: one control instance at a time is down, frozen or without its disk, and
its successor has time to catch up. Everything else may happen at any moment.
"""

import dataclasses
import random

# A control instance that came back must catch up before the next is lost.
CATCH_UP_S = 5.0
# Time without new faults at the end, in which all service must return.
CALM_S = 12.0


@dataclasses.dataclass(frozen=True)
class Kill:
    """SIGKILL, and a start after `down_s`."""

    role: str
    index: int
    down_s: float


@dataclasses.dataclass(frozen=True)
class Freeze:
    """SIGSTOP, and SIGCONT after `for_s`."""

    role: str
    index: int
    for_s: float


@dataclasses.dataclass(frozen=True)
class Stop:
    """SIGTERM, and a start once the process has ended."""

    role: str
    index: int


@dataclasses.dataclass(frozen=True)
class Reload:
    """SIGHUP."""

    role: str
    index: int


@dataclasses.dataclass(frozen=True)
class LoseDisk:
    """SIGKILL of a control instance whose data folder is empty afterwards."""

    index: int


@dataclasses.dataclass(frozen=True)
class TearLog:
    """SIGKILL of a control instance whose log ends in a torn write."""

    index: int


@dataclasses.dataclass(frozen=True)
class Link:
    """A backend server's connections are disturbed for `for_s`.

    Attributes:
      how: `delay`, `requests` (bytes to the server vanish), `replies` (bytes
        from it vanish) or `reset`.
    """

    index: int
    how: str
    for_s: float


@dataclasses.dataclass(frozen=True)
class Reject:
    """A backend server rejects all requests for `for_s`."""

    index: int
    for_s: float


@dataclasses.dataclass(frozen=True)
class Drain:
    """A backend server drains, ends, and a new one takes its place."""

    index: int


@dataclasses.dataclass(frozen=True)
class Change:
    """The operator sends the next version."""


Fault = (
    Kill
    | Freeze
    | Stop
    | Reload
    | LoseDisk
    | TearLog
    | Link
    | Reject
    | Drain
    | Change
)


@dataclasses.dataclass(frozen=True)
class Timed:
    """A fault and its instant, in seconds from the start."""

    at_s: float
    fault: Fault


def plan(
    seed: int, duration_s: float, controls: int, entries: int, servers: int
) -> tuple[Timed, ...]:
    """Returns the faults of a run, in order of time.

    Args:
      seed: Seed of the run.
      duration_s: Length of the run; its last `CALM_S` have no new faults.
      controls: Number of control instances.
      entries: Number of entries.
      servers: Number of backend servers.
    """
    rng = random.Random(seed)
    end_s = duration_s - CALM_S
    found = [
        *_changes(rng, end_s),
        *_control_faults(rng, end_s, controls),
        *_entry_faults(rng, end_s, entries),
        *_server_faults(rng, end_s, servers),
    ]
    return tuple(sorted(found, key=lambda timed: timed.at_s))


def _instants(rng: random.Random, end_s: float, low_s: float, high_s: float):
    at_s = rng.uniform(0.5, high_s)
    while at_s < end_s:
        yield at_s
        at_s += rng.uniform(low_s, high_s)


def _changes(rng, end_s):
    return [Timed(at_s, Change()) for at_s in _instants(rng, end_s, 0.2, 2.0)]


def _control_faults(rng, end_s, count):
    found, free_s = [], 0.5
    while free_s < end_s:
        index = rng.randrange(count)
        lost_s = rng.uniform(0.2, 3.0)
        fault = rng.choice(
            (
                Kill("control", index, lost_s),
                Freeze("control", index, lost_s),
                Stop("control", index),
                LoseDisk(index),
                TearLog(index),
            )
        )
        found.append(Timed(free_s, fault))
        free_s += lost_s + CATCH_UP_S + rng.uniform(0.0, 2.0)
    at_s = rng.uniform(0.5, end_s)
    found.append(Timed(at_s, Reload("control", rng.randrange(count))))
    return found


def _entry_faults(rng, end_s, count):
    found = []
    for at_s in _instants(rng, end_s, 0.5, 3.0):
        index = rng.randrange(count)
        fault = rng.choice(
            (
                Kill("entry", index, rng.uniform(0.1, 2.0)),
                Freeze("entry", index, rng.uniform(0.1, 3.0)),
                Stop("entry", index),
                Stop("entry", index),
                Reload("entry", index),
            )
        )
        found.append(Timed(at_s, fault))
    return found


def _server_faults(rng, end_s, count):
    found = []
    for at_s in _instants(rng, end_s, 0.2, 2.0):
        index = rng.randrange(count)
        for_s = rng.uniform(0.2, 3.0)
        how = rng.choice(("delay", "requests", "replies", "reset"))
        fault = rng.choice(
            (Link(index, how, for_s), Reject(index, for_s), Drain(index))
        )
        found.append(Timed(at_s, fault))
    return found
