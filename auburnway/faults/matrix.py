"""Fault matrix: each fault at each event of each protocol step.

A case builds a fleet of the production classes (`matrix_nodes`), starts one
protocol step, and injects a fault at one event of that step: a message or a
disk operation. The guarantees are checked whenever a process has run; then the
fault ends and the fleet must recover.

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
# Time between sending a note during a fault and the end of the fault.
NOTE_LEAD_MS = 500.0


@dataclasses.dataclass(frozen=True)
class Column:
    """One protocol step, which is a column of the matrix.

    Attributes:
      start: Starts the step.
      is_done: Returns whether the step is complete.
      event_kinds: Kinds of events at which faults are injected.
      finish: Runs between the end of the fault and the check of the recovery.
    """

    start: abc.Callable[[case_lib.Case], None]
    is_done: abc.Callable[[case_lib.Case], bool]
    event_kinds: frozenset[str]
    finish: abc.Callable[[case_lib.Case], None] = lambda case: None


_LOG_EVENTS = frozenset(("Append", "AppendReply", "append", "sync", "replace"))


def _start_note(case):
    case.apply_note(
        case_lib.note_text(2), on_done=lambda r: case.step_state.update(reply=r)
    )


def _start_distribution(case):
    # Entry e3 is cut off from control and learns of the notes from its peers
    # only. The second note follows immediately, so that replies with the first
    # note can arrive late.
    pairs = {(n, "e3") for n in CONTROLS} | {("e3", n) for n in CONTROLS}
    case.simulation.cut_links |= pairs
    case.simulation.run(2000.0)
    faults.schedule_end(
        case,
        faults.FAULT_MS,
        lambda: case.simulation.cut_links.difference_update(pairs),
    )
    case.apply_note(
        case_lib.note_text(2),
        on_done=lambda reply: case.apply_note(case_lib.note_text(3)),
    )


def _is_distributed(case):
    return all(
        case.process(n).is_alive
        and case.process(n).entry._lease.configuration.number >= 3
        for n in ENTRIES
    )


def _start_claim(case):
    key = f"{case.simulation.clock.wall_ms()}-k"
    case.step_state["key"] = key
    case.send_request("e1", "book", key)
    # The first resend overlaps with the first attempt, the second follows it.
    case.simulation.schedule(
        2.0, lambda: case.send_request("e2", "book", key, 2)
    )
    case.simulation.schedule(
        300.0, lambda: case.send_request("e3", "book", key, 3)
    )


def _is_claimed(case):
    return len(case.answers) >= 3


def _start_repair(case):
    victim = next(n for n in CONTROLS if n != case.leader())
    case.step_state["repaired"] = victim
    case.lost_disks.add(victim)
    case.process(victim).lose_disk()
    case.simulation.schedule(faults.RESTART_MS, case.process(victim).start)


def _is_repaired(case):
    process = case.process(case.step_state["repaired"])
    if not process.is_alive:
        return False
    incarnation = process.node.identity.incarnation
    return any(
        p.is_alive
        and p.node.is_leader
        and p.node.raft.commit >= p.node.raft.log.last_index
        and p.node.raft.is_voter(incarnation)
        for p in map(case.process, CONTROLS)
    )


def _lose_second_disk(case):
    """Erases the disk of another control instance right after the repair."""
    if len(case.lost_disks) > 1:
        return
    if not case.simulation.run(
        case_lib.RECOVERY_TIMEOUT_MS, lambda: _is_repaired(case)
    ):
        case.add_violation("the voter with a lost disk is not repaired")
        return
    victim = next(
        n
        for n in CONTROLS
        if n != case.step_state["repaired"] and n != case.leader()
    )
    case.process(victim).lose_disk()
    case.simulation.schedule(faults.RESTART_MS, case.process(victim).start)


def _start_query(case):
    # Servers of both shards load a second snapshot during the queries.
    for name in ("s0", "s1", "s2"):
        server = case.process(name)
        server.execute(lambda s=server: s.update_row(snapshots=(1, 2)))
    for name in ENTRIES:
        case.send_request(name, "find")


def _start_drain(case):
    server = case.process("s0")
    case.drained_ms = case.simulation.clock.now_ms()
    server.execute(lambda: server.update_row(state=membership.State.DRAINING))


def _is_drained(case):
    rows = [
        case.process(n).entry._table.get("s0")
        for n in ENTRIES
        if case.process(n).is_alive
    ]
    return len(rows) == 3 and all(
        row is not None and row.state is membership.State.DRAINING
        for row in rows
    )


def _query_after_drain(case):
    fault_left_ms = case.fault_end_ms - case.simulation.clock.now_ms()
    case.simulation.run(
        max(fault_left_ms, 0.0) + case_lib.DRAIN_TARGET_MS + 10.0
    )
    for _ in range(5):
        for name in ENTRIES:
            case.send_request(name, "find")
        case.simulation.run(100.0)


def _start_stop(case):
    process = case.process("e1")
    case.send_request("e1", "find")
    case.send_request("e1", "book", f"{case.simulation.clock.wall_ms()}-k")
    case.simulation.run(fleet.LATENCY_MS)
    case.step_state["life"] = process.start_count
    process.execute(process.entry.start_planned_stop)


def _is_stopped(case):
    return not case.process("e1").is_alive


def _restart_entry(case):
    fault_left_ms = case.fault_end_ms - case.simulation.clock.now_ms()
    case.simulation.run(max(fault_left_ms, 0.0) + 4000.0)
    process = case.process("e1")
    if not process.is_alive:
        process.start()
    case.simulation.run(1500.0)


COLUMNS: dict[str, Column] = {
    "note acceptance": Column(
        _start_note,
        lambda case: "reply" in case.step_state,
        _LOG_EVENTS | {"Apply", "reply"},
    ),
    "note distribution": Column(
        _start_distribution,
        _is_distributed,
        _LOG_EVENTS | {"Renew", "datagram", "reply"},
    ),
    "claim and dispatch": Column(
        _start_claim,
        _is_claimed,
        _LOG_EVENTS | {"Claim", "Settle", "run", "request", "reply"},
    ),
    "voter repair": Column(
        _start_repair,
        _is_repaired,
        frozenset(
            ("Append", "InstallSnapshot", "Join", "append", "sync", "replace")
        ),
        _lose_second_disk,
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
# Cells without a case, with the reason.
UNCOVERED_CELLS: dict[tuple[str, str], str] = {}
# Cases that this process ran with an injected fault, counted by (column, row).
CASE_COUNTS: dict[tuple[str, str], int] = {}


def row_names() -> tuple[str, ...]:
    """Returns the names of the rows, which are the faults."""
    return tuple(faults.ROWS)


@dataclasses.dataclass(frozen=True)
class CaseResult:
    """Result of one case.

    Attributes:
      is_injected: Whether the event occurred and the fault was applicable.
      is_past_last_event: Whether the step ended before the event.
      violations: Descriptions of the violated guarantees.
    """

    is_injected: bool
    is_past_last_event: bool
    violations: tuple[str, ...]


def _find_victim(case, fault, source, target, event_index, excluded=None):
    """Returns the process that a fault affects at an event, or None.

    The victim is the target of the event or else its source. If neither of
    them is a control instance, a disk fault affects another control instance.
    """
    names = (target, source)
    if fault in faults.DISK_FAULTS:
        names += (CONTROLS[event_index % 3], CONTROLS[(event_index + 1) % 3])
    for name in names:
        process = case.simulation.processes[name]
        if process is excluded or isinstance(process, nodes.Clients):
            continue
        if fault in faults.DISK_FAULTS and not isinstance(
            process, nodes.Control
        ):
            continue
        return process
    return None


def run_case(
    column_name: str,
    row_name: str,
    event_index: int,
    variant: int | None = None,
) -> CaseResult:
    """Injects a fault at one event of a protocol step.

    Args:
      column_name: Key of `COLUMNS`.
      row_name: Key of `matrix_faults.ROWS`.
      event_index: Index of the event among the events of the step, from 0.
      variant: Varies details of the fault, such as the order in which a
        resumed process handles queued messages; None means `event_index`.
    """
    column = COLUMNS[column_name]
    case_faults = (faults.ROWS[row_name],)
    if faults.ROWS[row_name] is None:
        case_faults = faults.FAULT_PAIRS[event_index % len(faults.FAULT_PAIRS)]
    loguru.logger.remove()
    case = case_lib.Case()
    with fleet.simulated_timers(case.simulation):
        case.simulation.run(case_lib.WARM_UP_MS)
        case.apply_note(case_lib.FIRST_NOTE)
        case.simulation.run(1000.0)
        if 1 not in case.accepted_digests:
            raise AssertionError("release note 1 was not accepted")
        event_counter, victims = [0], []

        def on_event(kind, source, target):
            if kind not in column.event_kinds or column.is_done(case):
                return
            event_counter[0] += 1
            if event_counter[0] <= event_index or len(victims) == len(
                case_faults
            ):
                return
            fault = case_faults[len(victims)]
            excluded = victims[0] if victims else None
            victim = _find_victim(
                case, fault, source, target, event_index, excluded
            )
            if victim is not None:
                victims.append(victim)
                fault(case, victim, event_index if variant is None else variant)
            elif not victims:
                # No process of this event can be a victim of the fault.
                victims.extend([None] * len(case_faults))

        def poll_in_force():
            case.poll_in_force()
            case.clients.timers.after(50.0, poll_in_force)

        case.clients.execute(poll_in_force)
        column.start(case)
        case.simulation.on_event = on_event
        case.simulation.run(
            faults.FAULT_MS + 1500.0, lambda: column.is_done(case)
        )
        case.simulation.on_event = lambda kind, source, target: None
        is_injected = len(victims) == len(case_faults) and None not in victims
        if not is_injected:
            return CaseResult(False, event_counter[0] <= event_index, ())
        # The current leader accepts a note, so that an instance which the fault
        # still affects has an outdated configuration to serve.
        fault_left_ms = case.fault_end_ms - case.simulation.clock.now_ms()
        case.simulation.run(max(fault_left_ms - NOTE_LEAD_MS, 0.0))
        number = max(case.applied_digests) + 1
        case.apply_note(
            case_lib.note_text(number, "mid"), case.leader_address()
        )
        case.simulation.run(min(max(fault_left_ms, 0.0), NOTE_LEAD_MS))
        column.finish(case)
        case.check_final_state(can_recover=_can_recover(case))
    return CaseResult(True, False, tuple(case.violations))


def _can_recover(case):
    # If a second disk is lost before the repair of the first, no majority
    # holds the log. Then only safety is checked.
    return len(case.lost_disks) < 2


def run_cell(
    column_name: str, row_name: str, limit: int | None = None
) -> tuple[int, list[str]]:
    """Runs the cases of one cell.

    Args:
      column_name: Key of `COLUMNS`.
      row_name: Key of `matrix_faults.ROWS`.
      limit: Largest number of cases, spread over the events; None for all.

    Returns:
      The number of cases whose fault was injected, and the violations.
    """
    count, violations = 0, []
    events = event_count(column_name)
    stride = 1 if limit is None else max(-(-events // limit), 1)
    # If all events are covered, a resumed process is run with each order of
    # its timers and queued messages.
    tries_resume_orders = (
        limit is None and faults.ROWS[row_name] is faults.freeze
    )
    for event_index in range(0, events, stride):
        for variant in range(3) if tries_resume_orders else (None,):
            result = run_case(column_name, row_name, event_index, variant)
            count += result.is_injected
            violations.extend(
                f"k={event_index}: {violation}"
                for violation in result.violations[:2]
            )
    CASE_COUNTS[column_name, row_name] = count
    return count, violations


_event_counts: dict[str, int] = {}


def event_count(column_name: str) -> int:
    """Returns the number of events of a step that runs without a fault."""
    if column_name not in _event_counts:
        column, case, event_counter = COLUMNS[column_name], case_lib.Case(), [0]
        with fleet.simulated_timers(case.simulation):
            case.simulation.run(case_lib.WARM_UP_MS)
            case.apply_note(case_lib.FIRST_NOTE)
            case.simulation.run(1000.0)

            def on_event(kind, source, target):
                event_counter[0] += (
                    kind in column.event_kinds and not column.is_done(case)
                )

            column.start(case)
            case.simulation.on_event = on_event
            case.simulation.run(10_000.0, lambda: column.is_done(case))
            if not column.is_done(case):
                raise AssertionError(
                    f"{column_name} does not complete without a fault"
                )
        _event_counts[column_name] = event_counter[0]
    return _event_counts[column_name]


def render_table(counts: dict[tuple[str, str], int]) -> str:
    """Returns the matrix in Markdown.

    Args:
      counts: Number of injected cases by (column, row).
    """
    lines = ["| fault | " + " | ".join(COLUMNS) + " |"]
    lines.append("|---" * (len(COLUMNS) + 1) + "|")
    for row in faults.ROWS:
        cells = [
            "not proved"
            if (column, row) in UNCOVERED_CELLS or not counts.get((column, row))
            else str(counts[column, row])
            for column in COLUMNS
        ]
        lines.append(f"| {row} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _run_cell_with_limit(cell_and_limit):
    (column, row), limit = cell_and_limit
    return (column, row), run_cell(column, row, limit)


def main(arguments: abc.Sequence[str] | None = None) -> int:
    """Runs the matrix; returns 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--table", action="store_true", help="print the table of case counts"
    )
    parser.add_argument(
        "--limit", type=int, help="cases per cell (default: all)"
    )
    parser.add_argument(
        "--column", choices=COLUMNS, help="run only this column"
    )
    parser.add_argument("--row", choices=faults.ROWS, help="run only this row")
    parser.add_argument("--jobs", type=int, default=1, help="worker processes")
    options = parser.parse_args(arguments)
    cells = [
        ((column, row), options.limit)
        for column in COLUMNS
        for row in faults.ROWS
        if options.column in (None, column) and options.row in (None, row)
    ]
    counts, violation_counts = {}, collections.Counter()
    with futures.ProcessPoolExecutor(options.jobs) as executor:
        for cell, (count, violations) in executor.map(
            _run_cell_with_limit, cells
        ):
            counts[cell] = count
            for line in violations:
                violation_counts[cell] += 1
                print(f"{cell[0]} / {cell[1]}: {line}", file=sys.stderr)
    if options.table:
        print(render_table(counts))
    print(
        f"{sum(counts.values())} cases, "
        f"{sum(violation_counts.values())} violations"
    )
    return 1 if violation_counts else 0


if __name__ == "__main__":
    sys.exit(main())
