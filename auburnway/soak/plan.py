"""Plans the faults of a soak run as a pure function of the seed.

Several faults can be in effect at once. A plan stays within the fault
tolerance of the system: only one control instance at a time is down, frozen or
without its disk, and it has time to catch up before the next is lost. All
other faults occur at any time.
"""

import dataclasses
import random

# Time in which a restarted control instance catches up before the next control
# instance is lost.
CATCH_UP_S = 5.0
# Time without new faults at the end of a run, in which all services must
# recover.
FAULT_FREE_S = 12.0
# Forms of bytes that are no reply: a head or a body without end, fast, slow or
# in small pieces, and a head or a body that is cut.
FAULTY_FORMS = (
    "endless_head",
    "endless_body",
    "slow_body",
    "cut_head",
    "cut_body",
    "small_headers",
    "small_chunks",
    "other_replies",
)
# What a backend server may say of itself in its replies; the same limit in
# several forms.
REPORT_FORMS = (
    "limit",
    "pause",
    "leaving",
    "limit_of_many_digits",
    "limit_with_exponent",
)
# Ways in which a backend server says that it leaves.
DEPARTURE_WAYS = ("draining", "deregister")


@dataclasses.dataclass(frozen=True)
class Kill:
    """SIGKILL to a process, followed by its restart after `down_s`."""

    role: str
    index: int
    down_s: float


@dataclasses.dataclass(frozen=True)
class Freeze:
    """SIGSTOP to a process, followed by SIGCONT after `for_s`."""

    role: str
    index: int
    for_s: float


@dataclasses.dataclass(frozen=True)
class Stop:
    """SIGTERM to a process, followed by its restart once it has exited."""

    role: str
    index: int


@dataclasses.dataclass(frozen=True)
class Reload:
    """SIGHUP to a process."""

    role: str
    index: int


@dataclasses.dataclass(frozen=True)
class LoseDisk:
    """SIGKILL to a control instance and removal of its data folder."""

    index: int


@dataclasses.dataclass(frozen=True)
class TearLog:
    """SIGKILL to a control instance, and a torn write at the end of its log."""

    index: int


@dataclasses.dataclass(frozen=True)
class LinkFault:
    """Network fault of the connections to a backend server for `for_s`.

    Attributes:
      index: Index of the backend server.
      effect: `delay`, `requests` (bytes to the server are dropped), `replies`
        (bytes from the server are dropped) or `reset`.
      for_s: Duration of the fault; a reset has no duration.
    """

    index: int
    effect: str
    for_s: float


@dataclasses.dataclass(frozen=True)
class Reject:
    """Rejection of all requests by a backend server for `for_s`."""

    index: int
    for_s: float


@dataclasses.dataclass(frozen=True)
class SendFaulty:
    """Bytes in place of replies of a backend server for `for_s`.

    Attributes:
      index: Index of the backend server.
      form: Key of `FAULTY_FORMS`.
      for_s: Duration of the fault.
    """

    index: int
    form: str
    for_s: float


@dataclasses.dataclass(frozen=True)
class Report:
    """Headers by which a backend server asks for less work for `for_s`.

    Attributes:
      index: Index of the backend server.
      form: One of `REPORT_FORMS`.
      for_s: Duration of the fault.
    """

    index: int
    form: str
    for_s: float


@dataclasses.dataclass(frozen=True)
class Drain:
    """Drain of a backend server, which a new server replaces."""

    index: int


@dataclasses.dataclass(frozen=True)
class DepartAndLoseAll:
    """Kill of all processes right after a server's leaving is acknowledged.

    Attributes:
      index: Index of the backend server, which a new server replaces.
      way: One of `DEPARTURE_WAYS`.
      kill_after_s: Time from the acknowledgement to the kill.
      down_s: Time from the kill to the restart.
    """

    index: int
    way: str
    kill_after_s: float
    down_s: float


@dataclasses.dataclass(frozen=True)
class SendCrashing:
    """A request that ends each server that runs it, sent again and again.

    Attributes:
      path: Path of the request.
      for_s: Duration of the fault.
      gap_s: Time between two sends, each to a random entry.
      seed: Seed of the choice of entries.
    """

    path: str
    for_s: float
    gap_s: float
    seed: int


@dataclasses.dataclass(frozen=True)
class Change:
    """Write of the next configuration version by the operator."""


Fault = (
    Kill
    | Freeze
    | Stop
    | Reload
    | LoseDisk
    | TearLog
    | LinkFault
    | Reject
    | SendFaulty
    | Report
    | Drain
    | DepartAndLoseAll
    | SendCrashing
    | Change
)


@dataclasses.dataclass(frozen=True)
class TimedFault:
    """A fault and its time, in seconds from the start of the run."""

    at_s: float
    fault: Fault


def make_plan(
    seed: int, duration_s: float, controls: int, entries: int, servers: int
) -> tuple[TimedFault, ...]:
    """Returns the faults of a run in time order.

    Args:
      seed: Seed of the run.
      duration_s: Length of the run; no fault begins in the last
        `FAULT_FREE_S` seconds.
      controls: Number of control instances.
      entries: Number of entries.
      servers: Number of backend servers.
    """
    rng = random.Random(seed)
    end_s = duration_s - FAULT_FREE_S
    faults = [
        *_changes(rng, end_s),
        *_control_faults(rng, end_s, controls),
        *_entry_faults(rng, end_s, entries),
        *_server_faults(rng, end_s, servers),
        *_faulty_replies(rng, end_s, servers),
        *_reports(rng, end_s, servers),
        *_losses_of_all(rng, end_s, servers),
        *_crashing_requests(rng, end_s),
    ]
    return tuple(sorted(faults, key=lambda timed_fault: timed_fault.at_s))


def _random_times(
    rng: random.Random, end_s: float, min_gap_s: float, max_gap_s: float
):
    at_s = rng.uniform(0.5, max_gap_s)
    while at_s < end_s:
        yield at_s
        at_s += rng.uniform(min_gap_s, max_gap_s)


def _changes(rng, end_s):
    return [
        TimedFault(at_s, Change())
        for at_s in _random_times(rng, end_s, 0.2, 2.0)
    ]


def _control_faults(rng, end_s, count):
    faults, next_fault_s = [], 0.5
    while next_fault_s < end_s:
        index = rng.randrange(count)
        outage_s = rng.uniform(0.2, 3.0)
        fault = rng.choice(
            (
                Kill("control", index, outage_s),
                Freeze("control", index, outage_s),
                Stop("control", index),
                LoseDisk(index),
                TearLog(index),
            )
        )
        faults.append(TimedFault(next_fault_s, fault))
        next_fault_s += outage_s + CATCH_UP_S + rng.uniform(0.0, 2.0)
    at_s = rng.uniform(0.5, end_s)
    faults.append(TimedFault(at_s, Reload("control", rng.randrange(count))))
    return faults


def _entry_faults(rng, end_s, count):
    faults = []
    for at_s in _random_times(rng, end_s, 0.5, 3.0):
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
        faults.append(TimedFault(at_s, fault))
    return faults


def _server_faults(rng, end_s, count):
    faults = []
    for at_s in _random_times(rng, end_s, 0.2, 2.0):
        index = rng.randrange(count)
        for_s = rng.uniform(0.2, 3.0)
        effect = rng.choice(("delay", "requests", "replies", "reset"))
        fault = rng.choice(
            (
                LinkFault(index, effect, for_s),
                Reject(index, for_s),
                Drain(index),
            )
        )
        faults.append(TimedFault(at_s, fault))
    return faults


def _faulty_replies(rng, end_s, count):
    return [
        TimedFault(
            at_s,
            SendFaulty(
                rng.randrange(count),
                rng.choice(FAULTY_FORMS),
                rng.uniform(0.2, 2.0),
            ),
        )
        for at_s in _random_times(rng, end_s, 0.5, 4.0)
    ]


def _reports(rng, end_s, count):
    return [
        TimedFault(
            at_s,
            Report(
                rng.randrange(count),
                rng.choice(REPORT_FORMS),
                rng.uniform(1.0, 9.0),
            ),
        )
        for at_s in _random_times(rng, end_s, 1.0, 6.0)
    ]


def _losses_of_all(rng, end_s, count):
    fault = DepartAndLoseAll(
        rng.randrange(count),
        rng.choice(DEPARTURE_WAYS),
        rng.choice((0.0, 0.02, 0.2)),
        rng.uniform(0.1, 1.0),
    )
    return [TimedFault(rng.uniform(0.5, end_s), fault)]


def _crashing_requests(rng, end_s):
    fault = SendCrashing(
        rng.choice(("/one/crash", "/unsafe/crash")),
        rng.uniform(6.0, 10.0),
        rng.uniform(0.2, 1.0),
        rng.randrange(1 << 30),
    )
    return [TimedFault(rng.uniform(0.5, end_s / 2), fault)]
