"""Measures what the exchange between entries costs per entry.

Starts processes on loopback that hold a `Peers` component and nothing else.
Each run has a quiet phase and a phase in which one entry relays changed rows.
Processor time and bytes are read by each process at the ends of the phases.

    python -m auburnway.load.peer_cost --sizes 1 7 14 28 56
"""

import argparse
from collections import abc
import dataclasses
import json
import statistics
import subprocess
import sys
import time

from auburnway.core import clock as clock_lib
from auburnway.core import membership
from auburnway.core import snapshot
from auburnway.entry import peers as peers_lib
from auburnway.kernel import process

MAX_PROCESSES = 56
QUIET_S = 8.0
ROWS_S = 4.0
ROWS_PER_S = 25
# Time for entries to start and to find each other; interpreters start about
# ten at a time on a small machine.
START_S = 3.0
START_S_PER_ENTRY = 0.2
TOKEN = "cost"


@dataclasses.dataclass(frozen=True)
class Sample:
    """Counters of one process at one instant."""

    cpu_s: float
    sent_bytes: int
    received_bytes: int
    sent: int
    rows: int
    usable: int


@dataclasses.dataclass(frozen=True)
class Cost:
    """Means per entry of one run.

    Attributes:
      entries: Number of entries.
      cpu_share: Processor time per second of the quiet phase.
      sent_bytes_per_s: Payload bytes sent in the quiet phase.
      received_bytes_per_s: Payload bytes received, likewise.
      datagrams_per_s: Datagrams sent, likewise.
      row_us: Processor time of a receiving entry per relayed row.
      sender_row_us: Processor time of the relaying entry per row.
      row_bytes: Bytes that the relaying entry sent per row.
      rows_missing: Rows that did not arrive, over all entries.
      least_usable: Fewest addresses that an entry answered with.
    """

    entries: int
    cpu_share: float
    sent_bytes_per_s: float
    received_bytes_per_s: float
    datagrams_per_s: float
    row_us: float
    sender_row_us: float
    row_bytes: float
    rows_missing: int
    least_usable: int


def make_row(sequence: int) -> membership.Row:
    """Returns a row like that of a server of ten shards and two snapshots."""
    return membership.Row(
        "cloth-finder-03-2",
        1_700_000_000_000,
        sequence,
        "cloth-finder",
        "10.1.2.3:8080",
        "cardiff",
        membership.State.SERVING,
        5,
        40,
        (snapshot.Holding(41, 3), snapshot.Holding(42, 3)),
        tuple(
            snapshot.Manifest(n, tuple((i, 12_000 + i) for i in range(10)))
            for n in (41, 42)
        ),
    )


def run_entry(name: str, seeds: abc.Sequence[str], start_ms: int) -> None:
    """Runs one entry; prints its address and at the end its samples.

    Args:
      name: Name of the entry; the first, `e0`, relays the rows.
      seeds: Peer addresses; none for the first.
      start_ms: Wall-clock instant of the quiet phase; negative to read it
        from standard input after the address was printed.
    """
    loop = process.Loop(clock_lib.SystemClock())
    table = membership.Table(5000.0)
    rows: list[membership.Row] = []
    peers = peers_lib.Peers(
        loop.poller,
        loop.timers,
        loop.clock,
        name,
        f"127.0.0.1:{name}",
        "127.0.0.1:0",
        "cardiff",
        seeds,
        TOKEN,
        table,
        rows.append,
        lambda data, number: None,
        lambda strikes: None,
    ).register(loop.root)
    demand = {
        application: {"urgent": 3, "normal": 14, "bulk": 159}
        for application in ("cloth-finder", "chapel-portal", "ledger", "rota")
    }
    peers.set_own_state(7, "d" * 64, loop.clock.now_ms() + 1e9, False, demand)
    print(peers.address, flush=True)
    if start_ms < 0:
        start_ms = int(sys.stdin.readline())
    samples: list[Sample] = []

    def take():
        status = peers.status()
        samples.append(
            Sample(
                time.process_time(),
                status["sent_bytes"],
                status["received_bytes"],
                status["sent"],
                len(rows),
                len(peers.addresses()),
            )
        )

    def announce(sequence):
        table.put(make_row(sequence), loop.clock.now_ms())
        peers.relay_row(make_row(sequence))

    wait_ms = start_ms - loop.clock.wall_ms()
    loop.timers.after(wait_ms, take)
    wait_ms += QUIET_S * 1000.0
    loop.timers.after(wait_ms, take)
    if name == "e0":
        for i in range(int(ROWS_S * ROWS_PER_S)):
            delay_ms = wait_ms + 1000.0 * i / ROWS_PER_S
            loop.timers.after(delay_ms, lambda i=i: announce(i + 1))
    wait_ms += ROWS_S * 1000.0 + 500.0
    loop.timers.after(wait_ms, take)
    loop.timers.after(wait_ms + 500.0, loop.stop)
    loop.run()
    peers.close()
    print(json.dumps([dataclasses.asdict(sample) for sample in samples]))


def measure(entries: int) -> Cost:
    """Runs one fleet of processes and returns its cost per entry."""
    if entries > MAX_PROCESSES:
        raise ValueError(f"at most {MAX_PROCESSES} processes")
    limit_s = START_S + START_S_PER_ENTRY * entries + QUIET_S + ROWS_S + 20.0
    children: list[subprocess.Popen] = []
    try:
        children.append(_start("e0", "", -1))
        seed = children[0].stdout.readline().strip()
        start_s = time.time() + START_S + START_S_PER_ENTRY * entries
        start_ms = int(start_s * 1000.0)
        children[0].stdin.write(f"{start_ms}\n")
        children[0].stdin.flush()
        for i in range(1, entries):
            children.append(_start(f"e{i}", seed, start_ms))
        outputs = [child.communicate(timeout=limit_s)[0] for child in children]
    finally:
        for child in children:
            child.kill()
            child.wait()
    return _summarize([_samples(output) for output in outputs])


def _start(name: str, seed: str, start_ms: int) -> subprocess.Popen:
    command = [sys.executable, "-m", "auburnway.load.peer_cost"]
    command += ["--entry", name, "--seed", seed, f"--start-ms={start_ms}"]
    return subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )


def _samples(output: str) -> list[Sample]:
    last = output.strip().splitlines()[-1]
    return [Sample(**sample) for sample in json.loads(last)]


def _summarize(runs: list[list[Sample]]) -> Cost:
    quiet = [(before, after) for before, after, _ in runs]
    # Processor time of the second phase beyond that of the quiet one.
    phase_s = ROWS_S + 0.5
    row_count = int(ROWS_S * ROWS_PER_S)
    extra_us = [
        (end.cpu_s - middle.cpu_s - phase_s * (middle.cpu_s - start.cpu_s)
         / QUIET_S) * 1e6 / row_count
        for start, middle, end in runs
    ]  # fmt: skip
    first = runs[0]
    sent = first[2].sent_bytes - first[1].sent_bytes
    quiet_bytes = first[1].sent_bytes - first[0].sent_bytes

    def mean(field):
        return statistics.mean(
            (getattr(after, field) - getattr(before, field)) / QUIET_S
            for before, after in quiet
        )

    return Cost(
        len(runs),
        mean("cpu_s"),
        mean("sent_bytes"),
        mean("received_bytes"),
        mean("sent"),
        statistics.mean(extra_us[1:]) if extra_us[1:] else 0.0,
        extra_us[0],
        (sent - phase_s * quiet_bytes / QUIET_S) / row_count,
        sum(row_count - run[2].rows for run in runs[1:]),
        min(run[1].usable for run in runs),
    )


def main() -> None:
    """Measures fleets of the given sizes and prints a table."""
    parser = argparse.ArgumentParser(prog="peer_cost", description=__doc__)
    parser.add_argument("--sizes", nargs="+", type=int, default=[1, 7, 14])
    parser.add_argument("--entry", help="internal: run one entry")
    parser.add_argument("--seed", default="", help="internal")
    parser.add_argument("--start-ms", type=int, default=-1, help="internal")
    arguments = parser.parse_args()
    if arguments.entry:
        seeds = [arguments.seed] if arguments.seed else []
        run_entry(arguments.entry, seeds, arguments.start_ms)
        return
    print(
        "entries  cpu_%  sent_B/s  recv_B/s  sent/s  row_us  sender_row_us"
        "  row_B  missing  usable"
    )
    for size in arguments.sizes:
        cost = measure(size)
        print(
            f"{cost.entries:7}  {cost.cpu_share * 100:5.2f}"
            f"  {cost.sent_bytes_per_s:8.0f}  {cost.received_bytes_per_s:8.0f}"
            f"  {cost.datagrams_per_s:6.1f}  {cost.row_us:6.0f}"
            f"  {cost.sender_row_us:13.0f}  {cost.row_bytes:5.0f}"
            f"  {cost.rows_missing:7}  {cost.least_usable:6}",
            flush=True,
        )


if __name__ == "__main__":
    main()
