"""Fault matrix: each fault at each message and disk step of each protocol.

A case builds a fleet of the product's own classes (`matrix_nodes`), starts one
protocol step, and injects one fault at the k-th event of that step. Checks run
after each step of a process; then the fault ends and the fleet must recover.

    python -m auburnway.faults.matrix --table
"""

import argparse
import collections
from collections import abc
from concurrent import futures
import dataclasses
import sys

import loguru

from auburnway.core import membership
from auburnway.faults import matrix_case as case_lib
from auburnway.faults import matrix_faults as faults
from auburnway.faults import matrix_fleet as fleet
from auburnway.faults import matrix_nodes as nodes

CONTROLS, ENTRIES = fleet.CONTROLS, fleet.ENTRIES
# Time from a note that is sent during a fault to the end of the fault.
NOTE_LEAD_MS = 500.0


@dataclasses.dataclass(frozen=True)
class Column:
    """One protocol step.

    Attributes:
      start: Starts it.
      is_done: Whether it is complete.
      kinds: Kinds of events at which faults are injected.
      finish: What follows the fault before the fleet must recover.
    """

    start: abc.Callable[[case_lib.Case], None]
    is_done: abc.Callable[[case_lib.Case], bool]
    kinds: frozenset[str]
    finish: abc.Callable[[case_lib.Case], None] = lambda case: None


_LOG = frozenset(("Append", "AppendReply", "append", "sync", "replace"))


def _start_note(case):
    case.apply(
        case_lib.note_text(2), on_done=lambda r: case.state.update(reply=r)
    )


def _start_distribution(case):
    # One entry hears of the notes through its peers only. The second note
    # follows at once, so that replies with the first one can be late.
    pairs = {(n, "e3") for n in CONTROLS} | {("e3", n) for n in CONTROLS}
    case.world.cuts |= pairs
    case.world.run(2000.0)
    faults.end(
        case,
        faults.FAULT_MS,
        lambda: case.world.cuts.difference_update(pairs),
    )
    case.apply(
        case_lib.note_text(2),
        on_done=lambda reply: case.apply(case_lib.note_text(3)),
    )


def _is_distributed(case):
    return all(
        case.process(n).alive
        and case.process(n).entry._lease.configuration.number >= 3
        for n in ENTRIES
    )


def _start_claim(case):
    key = f"{case.world.clock.wall_ms()}-k"
    case.state["key"] = key
    case.post("e1", "book", key)
    # One resend races with the first attempt, one follows it.
    case.world.later(2.0, lambda: case.post("e2", "book", key, 2))
    case.world.later(300.0, lambda: case.post("e3", "book", key, 3))


def _is_claimed(case):
    return len(case.answers) >= 3


def _start_repair(case):
    victim = next(n for n in CONTROLS if n != case.leader())
    case.state["repaired"] = victim
    case.lost_disks.add(victim)
    case.process(victim).lose_disk()
    case.world.later(faults.RESTART_MS, case.process(victim).start)


def _is_repaired(case):
    process = case.process(case.state["repaired"])
    if not process.alive:
        return False
    me = process.node.identity.incarnation
    return any(
        p.alive
        and p.node.is_leader
        and p.node.raft.commit >= p.node.raft.log.last_index
        and p.node.raft.is_voter(me)
        for p in map(case.process, CONTROLS)
    )


def _lose_second(case):
    """Loses a second disk right after the repair."""
    if len(case.lost_disks) > 1:
        return
    if not case.world.run(case_lib.RECOVERY_MS, lambda: _is_repaired(case)):
        case.fail("the lost voter is not repaired")
        return
    victim = next(
        n
        for n in CONTROLS
        if n != case.state["repaired"] and n != case.leader()
    )
    case.process(victim).lose_disk()
    case.world.later(faults.RESTART_MS, case.process(victim).start)


def _start_query(case):
    # Servers of one shard get a new snapshot while the queries run.
    for name in ("s0", "s1", "s2"):
        server = case.process(name)
        server.take(lambda s=server: s.change(snapshots=(1, 2)))
    for name in ENTRIES:
        case.post(name, "find")


def _start_drain(case):
    server = case.process("s0")
    case.drained_ms = case.world.clock.now_ms()
    server.take(lambda: server.change(state=membership.State.DRAINING))


def _is_drained(case):
    rows = [
        case.process(n).entry._table.get("s0")
        for n in ENTRIES
        if case.process(n).alive
    ]
    return len(rows) == 3 and all(
        row is not None and row.state is membership.State.DRAINING
        for row in rows
    )


def _query_after_drain(case):
    left_ms = case.fault_end_ms - case.world.clock.now_ms()
    case.world.run(max(left_ms, 0.0) + case_lib.DRAIN_MS + 10.0)
    for _ in range(5):
        for name in ENTRIES:
            case.post(name, "find")
        case.world.run(100.0)


def _start_stop(case):
    process = case.process("e1")
    case.post("e1", "find")
    case.post("e1", "book", f"{case.world.clock.wall_ms()}-k")
    case.world.run(fleet.LATENCY_MS)
    case.state["life"] = process.life
    process.take(process.entry.start_planned_stop)


def _is_stopped(case):
    return not case.process("e1").alive


def _restart_entry(case):
    left_ms = case.fault_end_ms - case.world.clock.now_ms()
    case.world.run(max(left_ms, 0.0) + 4000.0)
    process = case.process("e1")
    if not process.alive:
        process.start()
    case.world.run(1500.0)


COLUMNS: dict[str, Column] = {
    "note acceptance": Column(
        _start_note,
        lambda case: "reply" in case.state,
        _LOG | {"Apply", "reply"},
    ),
    "note distribution": Column(
        _start_distribution,
        _is_distributed,
        _LOG | {"Renew", "datagram", "reply"},
    ),
    "claim and dispatch": Column(
        _start_claim,
        _is_claimed,
        _LOG | {"Claim", "Settle", "run", "request", "reply"},
    ),
    "voter repair": Column(
        _start_repair,
        _is_repaired,
        frozenset(
            ("Append", "InstallSnapshot", "Join", "append", "sync", "replace")
        ),
        _lose_second,
    ),
    "query fan-out": Column(
        _start_query,
        lambda case: len(case.answers) >= 3,
        frozenset(("request", "run", "reply", "announce", "datagram")),
    ),
    "announce and drain": Column(
        _start_drain,
        _is_drained,
        frozenset(("announce", "datagram")),
        _query_after_drain,
    ),
    "planned stop": Column(
        _start_stop,
        _is_stopped,
        frozenset(("run", "reply", "Renew", "Settle", "Claim", "datagram")),
        _restart_entry,
    ),
}
# Cells that no case covers, with the reason.
NOT_PROVED: dict[tuple[str, str], str] = {}
# Injected cases by (column, row) in this process.
COUNTS: dict[tuple[str, str], int] = {}


def rows() -> tuple[str, ...]:
    """Returns the names of the faults."""
    return tuple(faults.ROWS)


@dataclasses.dataclass(frozen=True)
class Outcome:
    """End of one case.

    Attributes:
      is_injected: Whether the k-th event came and the fault fits it.
      is_over: Whether the step has fewer events.
      violations: Broken promises.
    """

    is_injected: bool
    is_over: bool
    violations: tuple[str, ...]


def _victim(case, fault, source, target, k, spare=None):
    """Returns the process that a fault hits at an event, or None.

    It is the target or else the source of the event. A step between other
    processes meets the faults of disks at any control instance.
    """
    names = (target, source)
    if fault in faults.DISK_FAULTS:
        names += (CONTROLS[k % 3], CONTROLS[(k + 1) % 3])
    for name in names:
        process = case.world.processes[name]
        if process is spare or isinstance(process, nodes.Outside):
            continue
        if fault in faults.DISK_FAULTS and not isinstance(
            process, nodes.Control
        ):
            continue
        return process
    return None


def run_case(
    column_name: str, row_name: str, k: int, variant: int | None = None
) -> Outcome:
    """Injects a fault at the k-th event of a protocol step.

    Args:
      column_name: Key of `COLUMNS`.
      row_name: Key of `matrix_faults.ROWS`.
      k: Event number from 0.
      variant: Varies details of the fault, such as the order in which a
        process that wakes handles what waited; None takes `k`.
    """
    column = COLUMNS[column_name]
    chosen = (faults.ROWS[row_name],)
    if faults.ROWS[row_name] is None:
        chosen = faults.PAIRS[k % len(faults.PAIRS)]
    loguru.logger.remove()
    case = case_lib.Case()
    with fleet.manual_pauses(case.world):
        case.world.run(case_lib.WARM_UP_MS)
        case.apply(case_lib.NOTE_1)
        case.world.run(1000.0)
        if 1 not in case.accepted:
            raise AssertionError("the first note was not accepted")
        seen, victims = [0], []

        def on_event(kind, source, target):
            if kind not in column.kinds or column.is_done(case):
                return
            seen[0] += 1
            if seen[0] <= k or len(victims) == len(chosen):
                return
            fault = chosen[len(victims)]
            spare = victims[0] if victims else None
            victim = _victim(case, fault, source, target, k, spare)
            if victim is not None:
                victims.append(victim)
                fault(case, victim, k if variant is None else variant)
            elif not victims:
                # This event offers no victim; the case is not counted.
                victims.extend([None] * len(chosen))

        def watch():
            case.watch()
            case.outside.timers.after(50.0, watch)

        case.outside.take(watch)
        column.start(case)
        case.world.on_event = on_event
        case.world.run(faults.FAULT_MS + 1500.0, lambda: column.is_done(case))
        case.world.on_event = lambda kind, source, target: None
        is_injected = len(victims) == len(chosen) and None not in victims
        if not is_injected:
            return Outcome(False, seen[0] <= k, ())
        # A note is accepted by whoever leads now, so that an instance that
        # the fault holds back has something old to tell.
        left_ms = case.fault_end_ms - case.world.clock.now_ms()
        case.world.run(max(left_ms - NOTE_LEAD_MS, 0.0))
        number = max(case.winners) + 1
        case.apply(case_lib.note_text(number, "mid"), case.leader_address())
        case.world.run(min(max(left_ms, 0.0), NOTE_LEAD_MS))
        column.finish(case)
        case.check_end(can_recover=_can_recover(case))
    return Outcome(True, False, tuple(case.violations))


def _can_recover(case):
    # Two disks lost before the repair of the first leave no majority that
    # holds the log; then only safety is checked.
    return len(case.lost_disks) < 2


def run_cell(
    column_name: str, row_name: str, limit: int | None = None
) -> tuple[int, list[str]]:
    """Runs the cases of one cell.

    Args:
      column_name: Key of `COLUMNS`.
      row_name: Key of `matrix_faults.ROWS`.
      limit: Greatest number of cases, spread over the events; None for all.

    Returns:
      The number of injected cases and the violations found.
    """
    count, found = 0, []
    events = event_count(column_name)
    step = 1 if limit is None else max(-(-events // limit), 1)
    # With all events, a process that wakes is tried in each order.
    is_whole = limit is None and faults.ROWS[row_name] is faults.freeze
    for k in range(0, events, step):
        for variant in range(3) if is_whole else (None,):
            outcome = run_case(column_name, row_name, k, variant)
            count += outcome.is_injected
            found.extend(f"k={k}: {each}" for each in outcome.violations[:2])
    COUNTS[column_name, row_name] = count
    return count, found


_event_counts: dict[str, int] = {}


def event_count(column_name: str) -> int:
    """Returns how many events a step has without a fault."""
    if column_name not in _event_counts:
        column, case, count = COLUMNS[column_name], case_lib.Case(), [0]
        with fleet.manual_pauses(case.world):
            case.world.run(case_lib.WARM_UP_MS)
            case.apply(case_lib.NOTE_1)
            case.world.run(1000.0)

            def on_event(kind, source, target):
                count[0] += kind in column.kinds and not column.is_done(case)

            column.start(case)
            case.world.on_event = on_event
            case.world.run(10_000.0, lambda: column.is_done(case))
            if not column.is_done(case):
                raise AssertionError(f"{column_name} does not end")
        _event_counts[column_name] = count[0]
    return _event_counts[column_name]


def table(counts: dict[tuple[str, str], int]) -> str:
    """Returns the matrix in Markdown.

    Args:
      counts: Injected cases by (column, row).
    """
    lines = ["| fault | " + " | ".join(COLUMNS) + " |"]
    lines.append("|---" * (len(COLUMNS) + 1) + "|")
    for row in faults.ROWS:
        cells = [
            "not proved"
            if (column, row) in NOT_PROVED or not counts.get((column, row))
            else str(counts[column, row])
            for column in COLUMNS
        ]
        lines.append(f"| {row} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _run_pair(cell_and_limit):
    (column, row), limit = cell_and_limit
    return (column, row), run_cell(column, row, limit)


def main(arguments: abc.Sequence[str] | None = None) -> int:
    """Runs the matrix; returns 1 when a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--table", action="store_true", help="print the matrix")
    parser.add_argument(
        "--limit", type=int, help="cases per cell; all if absent"
    )
    parser.add_argument("--column", choices=COLUMNS, help="only this column")
    parser.add_argument("--row", choices=faults.ROWS, help="only this row")
    parser.add_argument("--jobs", type=int, default=1, help="worker processes")
    given = parser.parse_args(arguments)
    cells = [
        ((column, row), given.limit)
        for column in COLUMNS
        for row in faults.ROWS
        if given.column in (None, column) and given.row in (None, row)
    ]
    counts, failed = {}, collections.Counter()
    with futures.ProcessPoolExecutor(given.jobs) as executor:
        for cell, (count, found) in executor.map(_run_pair, cells):
            counts[cell] = count
            for line in found:
                failed[cell] += 1
                print(f"{cell[0]} / {cell[1]}: {line}", file=sys.stderr)
    if given.table:
        print(table(counts))
    print(f"{sum(counts.values())} cases, {sum(failed.values())} violations")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
