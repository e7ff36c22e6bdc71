"""Rows of the fault matrix: faults of the clock, the transport and the disk.

Each takes the case, the process that it hits and the event number, which
varies details such as the bytes that a failing disk still writes.
"""

from collections import abc

from auburnway.faults import matrix_case as case_lib
from auburnway.faults import matrix_fleet as fleet
from auburnway.faults import matrix_nodes as nodes

CONTROLS, ENTRIES = fleet.CONTROLS, fleet.ENTRIES
RESTART_MS = 300.0
# Longer than the lease of 1.5 s and the election timeout of 1 s.
FAULT_MS = 2000.0
# Longer than a heartbeat period of control, shorter than an election timeout.
SLOW_MS = 150.0


def end(case, delay_ms, call) -> None:
    """Ends a fault after a time."""
    case.fault_end_ms = max(
        case.fault_end_ms, case.world.clock.now_ms() + delay_ms
    )
    case.world.later(delay_ms, call)


def _restart(case, victim, delay_ms=RESTART_MS):
    def start():
        if isinstance(victim, nodes.Control):
            victim.disk.capacity_bytes = 1 << 40
            victim.disk.syncs_before_failure = None
        if not victim.alive:
            victim.start()

    end(case, delay_ms, start)


def kill(case, victim, k) -> None:
    """Kills a process and starts it again."""
    victim.kill(resets=k % 2 == 0)
    _restart(case, victim)


def lose_disk(case, victim, k) -> None:
    """Loses the disk of a control instance for good."""
    case.lost_disks.add(victim.name)
    victim.lose_disk()
    _restart(case, victim)


def fail_sync(case, victim, k) -> None:
    """Lets the next sync fail, with part of the bytes written."""
    victim.disk.syncs_before_failure = 0
    victim.disk.torn_bytes = 11 * k % 80
    _restart(case, victim, FAULT_MS)


def fill_disk(case, victim, k) -> None:
    """Leaves a few bytes on the disk."""
    victim.disk.capacity_bytes = victim.disk._used_bytes() + 11 * k % 80
    _restart(case, victim, FAULT_MS)


def _cut(case, pairs):
    case.world.cuts |= pairs
    end(case, FAULT_MS, lambda: case.world.cuts.difference_update(pairs))


def _others(victim):
    return [n for n in (*CONTROLS, *ENTRIES) if n != victim.name]


def cut_one_way(case, victim, k) -> None:
    """Drops what a process sends to control and entries."""
    _cut(case, {(victim.name, n) for n in _others(victim)})


def cut_two_ways(case, victim, k) -> None:
    """Cuts a process off from control and entries."""
    pairs = {(victim.name, n) for n in _others(victim)}
    _cut(case, pairs | {(b, a) for a, b in pairs})


def freeze(case, victim, k) -> None:
    """Stops a process for longer than a lease."""
    victim.freeze()
    end(case, FAULT_MS, lambda: victim.wake(order=k % 3))


def slow_down(case, victim, k) -> None:
    """Delays all messages from and to a process."""
    case.world.slow_ms[victim.name] = SLOW_MS
    end(case, FAULT_MS, lambda: case.world.slow_ms.pop(victim.name, None))


def race(case, victim, k) -> None:
    """Sends two notes under one number, each twice."""
    number = max(case.winners) + 1
    for author in ("kim", "lee"):
        for name in (CONTROLS[k % 3], CONTROLS[(k + 1) % 3]):
            case.apply(
                case_lib.note_text(number, author), fleet.control_address(name)
            )


DISK_FAULTS = (lose_disk, fail_sync, fill_disk)
ROWS: dict[str, abc.Callable] = {
    "kill and restart": kill,
    "lost disk": lose_disk,
    "failing sync": fail_sync,
    "full disk": fill_disk,
    "one-way cut": cut_one_way,
    "two-way cut": cut_two_ways,
    "freeze past the lease": freeze,
    "slow peer": slow_down,
    "operator race": race,
    "two faults": None,
}
# The second fault hits another node at the next event.
PAIRS = (
    (kill, cut_one_way),
    (freeze, kill),
    (cut_two_ways, freeze),
    (race, kill),
    (slow_down, freeze),
    (cut_one_way, fail_sync),
    (kill, kill),
    (freeze, race),
)
