"""Silent connections and changes of snapshots and shards under load."""

import socket
import time

import pytest

from auburnway.demo import fleet as fleet_lib
from auburnway.faults import rig as rig_lib
from auburnway.load import report as report_lib

pytestmark = pytest.mark.processes


def _outcomes(report):
    return report["ranks"]["urgent"]["outcomes"]


def test_silent_connections_leave_no_request_without_an_answer(rig):
    # Guards against a request that waits on a silent connection past its
    # deadline, or is retried although it may have run.
    with rig.load(8000.0, deadline_ms=2000.0) as report:
        servers = rig.servers_of("finder")[::3] + rig.servers_of("ledger")
        for _ in range(2):
            time.sleep(2.0)
            for server in servers:
                rig.start_action(server, "silence")
    print(_outcomes(report), report["attempt_failures"], report["runs"])
    # The load tool counts "no_answer" if no answer arrived by the deadline.
    assert not report["attempt_failures"].get("no_answer")
    assert report_lib.fault_count(report) == 0, report["truth"]


def test_silent_caller_is_closed_by_the_entry(rig):
    # Guards against idle caller connections that hold resources forever.
    entry = rig.fleet.entries[0]
    rig.restart_with_settings(
        entry, idle_connection_ms=1500.0, request_read_timeout_ms=1000.0
    )
    rig.wait_until_in_force(1)
    host, port = entry.address.split(":")
    try:
        with (
            socket.create_connection((host, int(port)), 20.0) as idle,
            socket.create_connection((host, int(port)), 20.0) as partial,
        ):
            partial.sendall(b"POST /v1/requests HTTP/1.1\r\nhost: a\r\n")
            assert b" 408 " in partial.recv(4096)
            assert idle.recv(1) == b""
    finally:
        rig.restart_with_settings(
            entry, idle_connection_ms=30_000.0, request_read_timeout_ms=5000.0
        )


def _snapshot_setting(snapshot, shard_count, shard):
    return {
        "snapshot": snapshot,
        "shard_count": shard_count,
        "shards": [shard % shard_count],
    }


def test_snapshot_change_and_repartition_mix_nothing(rig):
    # Guards against answers that mix two snapshots, and against coverage
    # computed from the shard map of another snapshot.
    snapshot_steps = [(1, rig_lib.SHARDS), (2, rig_lib.SHARDS), (3, 2), (4, 3)]
    servers = rig.servers_of("finder")
    try:
        with rig.load(
            12_000.0, bookings=False, partitions=snapshot_steps
        ) as report:
            time.sleep(1.0)
            for old, new in zip(
                snapshot_steps, snapshot_steps[1:], strict=False
            ):
                for held_steps in ([old, new], [new]):
                    for i, server in enumerate(servers):
                        snapshots = [
                            _snapshot_setting(*step, i // 3)
                            for step in held_steps
                        ]
                        rig.set_server_settings(server, snapshots=snapshots)
                    time.sleep(0.7)
            _, answer = fleet_lib.call_http(
                rig.fleet.entries[0].address,
                "POST",
                "/v1/requests",
                {
                    "caller": "desk",
                    "kind": "search",
                    "deadline_ms": 2000.0,
                    "query": {"weave": "twill"},
                },
            )
    finally:
        for server in servers:
            rig.fleet.kill(server)
    print(_outcomes(report), report["truth"])
    assert answer["snapshot"] == snapshot_steps[-1][0]
    assert report["truth"]["checked"] > 0
    assert report_lib.fault_count(report) == 0, report["truth"]
