"""Cost of an entry per query, sub-request, backend server and connection."""

import contextlib
import http.client
import json
import multiprocessing
import socket
import threading
import time

import psutil

from auburnway.core import clock as clock_lib
from auburnway.core import membership
from auburnway.core import snapshot as snapshot_lib
from auburnway.demo import fleet as fleet_lib
from auburnway.demo import site as site_lib

SHARD_COUNTS = (5, 10, 20)
QUERY_PERIOD_S = 6.0
QUERIES_PER_S = 40.0
SENDERS = 4
ROW_COUNTS = (100, 1000, 4300)
# Number of shards of the application at the target size.
TARGET_SHARDS = 96
CONNECTION_COUNTS = (100, 500, 1500)
READY_TIMEOUT_MS = 40_000.0

NOTE_TEXT = """
number = 1
author = "capacity"
summary = "one kind"
[[add.rank]]
name = "urgent"
order = 0
floor_share = 0.5
latency_target_ms = 200.0
[[add.caller]]
name = "desk"
share = 1.0
[[add.application]]
name = "finder"
slots_per_server = 50
connections_per_server = 200
connect_ms = 1.0
[[add.kind]]
name = "search"
application = "finder"
rank = "urgent"
deadline_ms = 10000.0
"""


@contextlib.contextmanager
def run_single_entry(shards: int):
    """Runs one entry with one backend server per shard.

    Yields:
      The fleet, the entry and the entry's process.
    """
    application = site_lib.Application(
        name="finder",
        services=shards,
        backend_servers=1,
        slots=50,
        connections=200,
        catalogue="cloth",
        records=shards * 20,
        service_ms=2.0,
    )
    site = site_lib.Site(
        name="capacity",
        data_centers=("a",),
        note_file="",
        second_note_file="",
        applications=(application,),
        entries=1,
        control_instances=1,
    )
    with fleet_lib.Fleet(site) as fleet:
        fleet.start_all()
        note_path = fleet.folder / "note.toml"
        note_path.write_text(NOTE_TEXT)
        fleet.wait_for(
            lambda: (
                fleet.run_operator_command("apply", str(note_path)).returncode
                == 0
            ),
            "release note",
            READY_TIMEOUT_MS,
        )
        entry = fleet.entries[0]
        fleet.wait_for(
            lambda: fleet.is_entry_ready(entry, 1), "entry", READY_TIMEOUT_MS
        )
        yield fleet, entry, psutil.Process(entry.process.pid)


def _cpu_seconds(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


def measure_queries() -> list[dict]:
    """Measures the cost of a query for each number of shards."""
    return [_query_row(shards) for shards in SHARD_COUNTS]


def _query_row(shards: int) -> dict:
    body = json.dumps(
        {"caller": "desk", "kind": "search", "query": {"weave": "none"}}
    )
    with run_single_entry(shards) as (fleet, entry, process):
        _send_queries(entry.address, body, time.monotonic() + 1.0)
        time.sleep(1.0)
        cpu_before_s, start_s = _cpu_seconds(process), time.monotonic()
        time.sleep(QUERY_PERIOD_S / 2)
        idle_share = (_cpu_seconds(process) - cpu_before_s) / (
            time.monotonic() - start_s
        )
        sub_requests_before = fleet.status(entry)["sub_requests"]
        cpu_before_s, start_s = _cpu_seconds(process), time.monotonic()
        query_counts = []
        senders = [
            threading.Thread(
                target=lambda: query_counts.append(
                    _send_queries(entry.address, body, start_s + QUERY_PERIOD_S)
                )
            )
            for _ in range(SENDERS)
        ]
        for sender in senders:
            sender.start()
        for sender in senders:
            sender.join()
        elapsed_s = time.monotonic() - start_s
        cpu_s = _cpu_seconds(process) - cpu_before_s - idle_share * elapsed_s
        query_count = sum(query_counts)
        sub_requests = fleet.status(entry)["sub_requests"] - sub_requests_before
        return {
            "size": shards,
            "idle_core_percent": idle_share * 100.0,
            "query_ms": cpu_s * 1000.0 / query_count,
            "sub_requests_per_query": sub_requests / query_count,
            "queries_per_s": query_count / elapsed_s,
            "megabytes": process.memory_info().rss / 1e6,
        }


def _send_queries(address: str, body: str, end_s: float) -> int:
    """Sends queries at a constant rate on one connection.

    Args:
      address: `ip:port` of the entry.
      body: JSON body of each query.
      end_s: Time to stop, by the monotonic clock.

    Returns:
      The number of queries.

    Raises:
      fleet_lib.NotReady: The outcome of a query is not `done`.
    """
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=15.0)
    headers = {"Content-Type": "application/json"}
    query_count, next_send_s = 0, time.monotonic()
    with contextlib.closing(connection):
        while time.monotonic() < end_s:
            connection.request("POST", "/v1/requests", body, headers)
            answer = json.loads(connection.getresponse().read())
            if answer["outcome"] != "done":
                raise fleet_lib.NotReady(str(answer))
            query_count += 1
            next_send_s += SENDERS / QUERIES_PER_S
            time.sleep(max(next_send_s - time.monotonic(), 0.0))
    return query_count


def measure_table() -> list[dict]:
    """Measures memory and time of the server table by number of rows."""
    # Each size runs in a new process, so that it does not reuse memory that
    # was freed by the previous size.
    context = multiprocessing.get_context("spawn")
    rows = []
    for count in ROW_COUNTS:
        with context.Pool(1) as pool:
            rows.append(pool.apply(_table_row, (count,)))
    return rows


def _table_row(count: int) -> dict:
    process = psutil.Process()
    clock = clock_lib.SystemClock()
    memory_before = process.memory_info().rss
    table = membership.Table(5000.0)
    start_s = time.monotonic()
    for index in range(count):
        table.put(_row(index, 1), clock.now_ms())
    fill_s = time.monotonic() - start_s
    memory_bytes = process.memory_info().rss - memory_before
    change_count = 20
    start_s = time.process_time()
    for index in range(change_count):
        table.put(_row(index, 2), clock.now_ms())
    change_ms = (time.process_time() - start_s) * 1000.0 / change_count
    return {
        "size": count,
        "megabytes": memory_bytes / 1e6,
        "fill_s": fill_s,
        "change_ms": change_ms,
    }


def _row(number: int, sequence: int) -> membership.Row:
    """Returns a row that was encoded and decoded, as in an announcement."""
    row = membership.Row(
        name=f"server-{number}",
        started_ms=1,
        sequence=sequence,
        application="finder",
        address=f"10.0.{number // 250}.{number % 250}:8000",
        data_center="a",
        state=membership.State.SERVING,
        slots=5,
        connection_limit=40,
        holdings=(snapshot_lib.Holding(1, number % TARGET_SHARDS),),
        manifests=(
            snapshot_lib.Manifest(
                1,
                tuple((shard, 1000 + shard) for shard in range(TARGET_SHARDS)),
            ),
        ),
    )
    encoded = json.dumps(membership.encode_row(row))
    return membership.decode_row(json.loads(encoded)).unwrap()


def measure_connections() -> list[dict]:
    """Measures memory and processor time by number of idle connections."""
    rows = []
    with (
        run_single_entry(1) as (_, entry, process),
        contextlib.ExitStack() as stack,
    ):
        host, port = entry.address.rsplit(":", 1)
        open_count = 0
        for count in CONNECTION_COUNTS:
            for _ in range(count - open_count):
                connection = socket.create_connection((host, int(port)))
                stack.enter_context(connection)
                # A complete request on each connection allocates all of its
                # buffers.
                connection.sendall(
                    b"GET /v1/addresses HTTP/1.1\r\nHost: e\r\n\r\n"
                )
                connection.recv(4096)
            open_count = count
            time.sleep(0.5)
            cpu_before_s, start_s = _cpu_seconds(process), time.monotonic()
            time.sleep(2.0)
            cpu_s = _cpu_seconds(process) - cpu_before_s
            rows.append(
                {
                    "size": count,
                    "megabytes": process.memory_info().rss / 1e6,
                    "idle_core_percent": cpu_s
                    / (time.monotonic() - start_s)
                    * 100.0,
                }
            )
    return rows
