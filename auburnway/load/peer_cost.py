"""Measures the cost per entry of the peer protocol between entries.

Starts processes on loopback that run only a `Peers` component. Each run has an
idle phase and a phase in which one entry relays changed rows. Each process
samples its processor time and byte counters at the phase boundaries.

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
IDLE_PHASE_S = 8.0
RELAY_PHASE_S = 4.0
RELAYED_ROWS_PER_S = 25
# Time in which the entries start and discover each other. A small machine
# starts about ten interpreters at a time.
BASE_START_S = 3.0
START_S_PER_ENTRY = 0.2
TOKEN = "cost"


@dataclasses.dataclass(frozen=True)
class Sample:
    """Counters of one process, read at a phase boundary."""

    cpu_s: float
    sent_bytes: int
    received_bytes: int
    sent: int
    rows: int
    usable: int


@dataclasses.dataclass(frozen=True)
class Cost:
    """Costs of one run; rates are means over the entries in the idle phase.

    Attributes:
      entries: Number of entries.
      cpu_share: Processor seconds per second.
      sent_bytes_per_s: Payload bytes sent per second.
      received_bytes_per_s: Payload bytes received per second.
      datagrams_per_s: Datagrams sent per second.
      receiver_row_us: Processor time of a receiving entry per relayed row.
      sender_row_us: Processor time of the relaying entry per row.
      row_bytes: Bytes that the relaying entry sent per row.
      rows_missing: Rows that did not arrive, summed over all entries.
      min_usable: Least number of usable addresses that an entry returned.
    """

    entries: int
    cpu_share: float
    sent_bytes_per_s: float
    received_bytes_per_s: float
    datagrams_per_s: float
    receiver_row_us: float
    sender_row_us: float
    row_bytes: float
    rows_missing: int
    min_usable: int


def make_row(sequence: int) -> membership.Row:
    """Returns the row of a server with ten shards and two snapshots."""
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
    """Runs one entry; prints its peer address, and its samples at the end.

    Args:
      name: Name of the entry; the entry `e0` relays the rows.
      seeds: Peer addresses to contact first; empty for `e0`.
      start_ms: Start of the idle phase, milliseconds since the epoch. If
        negative, the start is read from standard input after the address is
        printed.
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

    def record_sample():
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

    def relay_row(sequence):
        table.put(make_row(sequence), loop.clock.now_ms())
        peers.relay_row(make_row(sequence))

    wait_ms = start_ms - loop.clock.wall_ms()
    loop.timers.after(wait_ms, record_sample)
    wait_ms += IDLE_PHASE_S * 1000.0
    loop.timers.after(wait_ms, record_sample)
    if name == "e0":
        for index in range(int(RELAY_PHASE_S * RELAYED_ROWS_PER_S)):
            delay_ms = wait_ms + 1000.0 * index / RELAYED_ROWS_PER_S
            loop.timers.after(
                delay_ms, lambda index=index: relay_row(index + 1)
            )
    wait_ms += RELAY_PHASE_S * 1000.0 + 500.0
    loop.timers.after(wait_ms, record_sample)
    loop.timers.after(wait_ms + 500.0, loop.stop)
    loop.run()
    peers.close()
    print(json.dumps([dataclasses.asdict(sample) for sample in samples]))


def measure(entries: int) -> Cost:
    """Runs the given number of entries and returns their cost.

    Raises:
      ValueError: There are more than `MAX_PROCESSES` entries.
    """
    if entries > MAX_PROCESSES:
        raise ValueError(f"at most {MAX_PROCESSES} processes")
    timeout_s = (
        BASE_START_S
        + START_S_PER_ENTRY * entries
        + IDLE_PHASE_S
        + RELAY_PHASE_S
        + 20.0
    )
    entry_processes: list[subprocess.Popen] = []
    try:
        entry_processes.append(_start_process("e0", "", -1))
        seed = entry_processes[0].stdout.readline().strip()
        start_s = time.time() + BASE_START_S + START_S_PER_ENTRY * entries
        start_ms = int(start_s * 1000.0)
        entry_processes[0].stdin.write(f"{start_ms}\n")
        entry_processes[0].stdin.flush()
        for index in range(1, entries):
            entry_processes.append(_start_process(f"e{index}", seed, start_ms))
        outputs = [
            entry_process.communicate(timeout=timeout_s)[0]
            for entry_process in entry_processes
        ]
    finally:
        for entry_process in entry_processes:
            entry_process.kill()
            entry_process.wait()
    return _summarize([_parse_samples(output) for output in outputs])


def _start_process(name: str, seed: str, start_ms: int) -> subprocess.Popen:
    command = [sys.executable, "-m", "auburnway.load.peer_cost"]
    command += ["--entry", name, "--seed", seed, f"--start-ms={start_ms}"]
    return subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )


def _parse_samples(output: str) -> list[Sample]:
    last = output.strip().splitlines()[-1]
    return [Sample(**sample) for sample in json.loads(last)]


def _summarize(runs: list[list[Sample]]) -> Cost:
    idle_samples = [(before, after) for before, after, _ in runs]
    # Processor time per row in the relay phase, minus the cost of an idle
    # period of the same length.
    phase_s = RELAY_PHASE_S + 0.5
    row_count = int(RELAY_PHASE_S * RELAYED_ROWS_PER_S)
    row_cost_us = [
        (end.cpu_s - middle.cpu_s - phase_s * (middle.cpu_s - start.cpu_s)
         / IDLE_PHASE_S) * 1e6 / row_count
        for start, middle, end in runs
    ]  # fmt: skip
    relaying_samples = runs[0]
    relay_sent_bytes = (
        relaying_samples[2].sent_bytes - relaying_samples[1].sent_bytes
    )
    idle_sent_bytes = (
        relaying_samples[1].sent_bytes - relaying_samples[0].sent_bytes
    )

    def mean(field):
        return statistics.mean(
            (getattr(after, field) - getattr(before, field)) / IDLE_PHASE_S
            for before, after in idle_samples
        )

    return Cost(
        len(runs),
        mean("cpu_s"),
        mean("sent_bytes"),
        mean("received_bytes"),
        mean("sent"),
        statistics.mean(row_cost_us[1:]) if row_cost_us[1:] else 0.0,
        row_cost_us[0],
        (relay_sent_bytes - phase_s * idle_sent_bytes / IDLE_PHASE_S)
        / row_count,
        sum(row_count - run[2].rows for run in runs[1:]),
        min(run[1].usable for run in runs),
    )


def main() -> None:
    """Measures each given number of entries and prints a table."""
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
            f"  {cost.datagrams_per_s:6.1f}  {cost.receiver_row_us:6.0f}"
            f"  {cost.sender_row_us:13.0f}  {cost.row_bytes:5.0f}"
            f"  {cost.rows_missing:7}  {cost.min_usable:6}",
            flush=True,
        )


if __name__ == "__main__":
    main()
