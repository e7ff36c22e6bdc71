"""Rows of the fault matrix: faults of processes, the network and the disk.

Each fault function gets the case, the victim process and the event index,
which varies details such as the bytes that a failing disk still writes.
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
SLOW_DELAY_MS = 150.0


def schedule_end(case, delay_ms, call) -> None:
    """Schedules the call that ends a fault, and records the time of the end."""
    case.fault_end_ms = max(
        case.fault_end_ms, case.simulation.clock.now_ms() + delay_ms
    )
    case.simulation.schedule(delay_ms, call)


def _restart(case, victim, delay_ms=RESTART_MS):
    def start():
        if isinstance(victim, nodes.Control):
            victim.disk.capacity_bytes = 1 << 40
            victim.disk.syncs_before_failure = None
        if not victim.is_alive:
            victim.start()

    schedule_end(case, delay_ms, start)


def kill(case, victim, event_index) -> None:
    """Kills a process and restarts it later."""
    victim.kill(closes_connections=event_index % 2 == 0)
    _restart(case, victim)


def lose_disk(case, victim, event_index) -> None:
    """Kills a control instance, erases its disk and restarts it later."""
    case.lost_disks.add(victim.name)
    victim.lose_disk()
    _restart(case, victim)


def fail_sync(case, victim, event_index) -> None:
    """Makes the next sync fail after a part of the bytes was written."""
    victim.disk.syncs_before_failure = 0
    victim.disk.torn_bytes = 11 * event_index % 80
    _restart(case, victim, FAULT_MS)


def fill_disk(case, victim, event_index) -> None:
    """Leaves only a few free bytes on the disk."""
    victim.disk.capacity_bytes = (
        victim.disk._used_bytes() + 11 * event_index % 80
    )
    _restart(case, victim, FAULT_MS)


def _cut(case, pairs):
    case.simulation.cut_links |= pairs
    schedule_end(
        case,
        FAULT_MS,
        lambda: case.simulation.cut_links.difference_update(pairs),
    )


def _other_names(victim):
    return [n for n in (*CONTROLS, *ENTRIES) if n != victim.name]


def cut_one_way(case, victim, event_index) -> None:
    """Drops all messages from a process to control instances and entries."""
    _cut(case, {(victim.name, n) for n in _other_names(victim)})


def cut_two_ways(case, victim, event_index) -> None:
    """Drops all messages between a process, control instances and entries."""
    pairs = {(victim.name, n) for n in _other_names(victim)}
    _cut(case, pairs | {(b, a) for a, b in pairs})


def freeze(case, victim, event_index) -> None:
    """Freezes a process for longer than a lease."""
    victim.freeze()
    schedule_end(case, FAULT_MS, lambda: victim.resume(order=event_index % 3))


def slow_down(case, victim, event_index) -> None:
    """Delays all messages from and to a process."""
    case.simulation.added_delay_ms[victim.name] = SLOW_DELAY_MS
    schedule_end(
        case,
        FAULT_MS,
        lambda: case.simulation.added_delay_ms.pop(victim.name, None),
    )


def race_operators(case, victim, event_index) -> None:
    """Submits two notes with the same number, each to two control instances."""
    number = max(case.applied_digests) + 1
    for author in ("kim", "lee"):
        for name in (
            CONTROLS[event_index % 3],
            CONTROLS[(event_index + 1) % 3],
        ):
            case.apply_note(
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
    "operator race": race_operators,
    "two faults": None,
}
# Faults of the row `two faults`. The second fault affects another process, at
# the next event.
FAULT_PAIRS = (
    (kill, cut_one_way),
    (freeze, kill),
    (cut_two_ways, freeze),
    (race_operators, kill),
    (slow_down, freeze),
    (cut_one_way, fail_sync),
    (kill, kill),
    (freeze, race_operators),
)
