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

SHARDS = (5, 10, 20)
QUERY_S = 6.0
QUERIES_PER_S = 40.0
SENDERS = 4
ROWS = (100, 1000, 4300)
# Shards of the application at the target size.
TARGET_SHARDS = 96
CONNECTIONS = (100, 500, 1500)
READY_MS = 40_000.0

NOTE = """
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
def one_entry(shards: int):
    """Runs one entry with one backend server per shard."""
    finder = site_lib.Application(
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
        applications=(finder,),
        entries=1,
        control_instances=1,
    )
    with fleet_lib.Fleet(site) as fleet:
        fleet.start_all()
        path = fleet.folder / "note.toml"
        path.write_text(NOTE)
        fleet.wait_for(
            lambda: fleet.operator("apply", str(path)).returncode == 0,
            "release note",
            READY_MS,
        )
        entry = fleet.entries[0]
        fleet.wait_for(lambda: fleet.knows_fleet(entry, 1), "entry", READY_MS)
        yield fleet, entry, psutil.Process(entry.process.pid)


def _seconds(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


def query() -> list[dict]:
    """Returns the cost of a query by number of shards."""
    return [_query_row(shards) for shards in SHARDS]


def _query_row(shards: int) -> dict:
    body = json.dumps(
        {"caller": "desk", "kind": "search", "query": {"weave": "none"}}
    )
    with one_entry(shards) as (fleet, entry, process):
        _send(entry.address, body, time.monotonic() + 1.0)
        time.sleep(1.0)
        before_s, begin_s = _seconds(process), time.monotonic()
        time.sleep(QUERY_S / 2)
        idle_share = (_seconds(process) - before_s) / (
            time.monotonic() - begin_s
        )
        counted = fleet.status(entry)["sub_requests"]
        before_s, begin_s = _seconds(process), time.monotonic()
        counts = []
        senders = [
            threading.Thread(
                target=lambda: counts.append(
                    _send(entry.address, body, begin_s + QUERY_S)
                )
            )
            for _ in range(SENDERS)
        ]
        for sender in senders:
            sender.start()
        for sender in senders:
            sender.join()
        elapsed_s = time.monotonic() - begin_s
        used_s = _seconds(process) - before_s - idle_share * elapsed_s
        queries = sum(counts)
        sent = fleet.status(entry)["sub_requests"] - counted
        return {
            "size": shards,
            "idle_core_percent": idle_share * 100.0,
            "query_ms": used_s * 1000.0 / queries,
            "sub_requests_per_query": sent / queries,
            "queries_per_s": queries / elapsed_s,
            "megabytes": process.memory_info().rss / 1e6,
        }


def _send(address: str, body: str, end_s: float) -> int:
    """Sends queries at a steady pace on one connection; returns how many."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=15.0)
    headers = {"Content-Type": "application/json"}
    count, next_s = 0, time.monotonic()
    with contextlib.closing(connection):
        while time.monotonic() < end_s:
            connection.request("POST", "/v1/requests", body, headers)
            answer = json.loads(connection.getresponse().read())
            if answer["outcome"] != "done":
                raise fleet_lib.NotReady(str(answer))
            count += 1
            next_s += SENDERS / QUERIES_PER_S
            time.sleep(max(next_s - time.monotonic(), 0.0))
    return count


def table() -> list[dict]:
    """Returns memory and time of the table by number of rows."""
    # A process of its own, so that memory freed by one size is not reused.
    context = multiprocessing.get_context("spawn")
    rows = []
    for count in ROWS:
        with context.Pool(1) as pool:
            rows.append(pool.apply(_table_row, (count,)))
    return rows


def _table_row(count: int) -> dict:
    process = psutil.Process()
    clock = clock_lib.SystemClock()
    before = process.memory_info().rss
    held = membership.Table(5000.0)
    begin_s = time.monotonic()
    for number in range(count):
        held.put(_row(number, 1), clock.now_ms())
    fill_s = time.monotonic() - begin_s
    size = process.memory_info().rss - before
    changes = 20
    begin_s = time.process_time()
    for number in range(changes):
        held.put(_row(number, 2), clock.now_ms())
    change_ms = (time.process_time() - begin_s) * 1000.0 / changes
    return {
        "size": count,
        "megabytes": size / 1e6,
        "fill_s": fill_s,
        "change_ms": change_ms,
    }


def _row(number: int, sequence: int) -> membership.Row:
    """Returns a row as it is decoded from an announcement."""
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
    wire = json.dumps(membership.encode_row(row))
    return membership.decode_row(json.loads(wire)).unwrap()


def connections() -> list[dict]:
    """Returns memory and processor time by idle connections of callers."""
    rows = []
    with one_entry(1) as (_, entry, process), contextlib.ExitStack() as stack:
        host, port = entry.address.rsplit(":", 1)
        opened = 0
        for count in CONNECTIONS:
            for _ in range(count - opened):
                connection = socket.create_connection((host, int(port)))
                stack.enter_context(connection)
                # One whole request each, so that all buffers exist.
                connection.sendall(
                    b"GET /v1/addresses HTTP/1.1\r\nHost: e\r\n\r\n"
                )
                connection.recv(4096)
            opened = count
            time.sleep(0.5)
            before_s, begin_s = _seconds(process), time.monotonic()
            time.sleep(2.0)
            used_s = _seconds(process) - before_s
            rows.append(
                {
                    "size": count,
                    "megabytes": process.memory_info().rss / 1e6,
                    "idle_core_percent": used_s
                    / (time.monotonic() - begin_s)
                    * 100.0,
                }
            )
    return rows
