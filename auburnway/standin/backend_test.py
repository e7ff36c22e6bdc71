import concurrent.futures
import contextlib
import http.client
import http.server
import json
import socket
import threading
import time

import pytest

from auburnway.core import membership
from auburnway.net import blocking_call
from auburnway.standin import catalogue
from auburnway.standin import embedded
from auburnway.standin import settings


class FakeEntry:
    """Takes announcements on a blocking socket thread."""

    def __init__(self):
        outer = self
        self.rows = []
        self.tokens = set()
        self.entries = []

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):
                length = int(self.headers["content-length"])
                outer.rows.append(json.loads(self.rfile.read(length)))
                outer.tokens.add(self.headers["x-fleet-token"])
                reply = {"heartbeat_ms": 50, "entries": outer.entries}
                body = json.dumps(reply).encode()
                self.send_response(200)
                self.send_header("content-length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_):
                pass

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.address = f"127.0.0.1:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()


@contextlib.contextmanager
def fleet(entries=(), **changes):
    held = settings.SnapshotSettings(1, 2, (0,))
    server = settings.ServerSettings(
        "a", "cloths", "127.0.0.1:0", snapshots=(held,), **changes
    )
    with embedded.Embedded(
        settings.Settings(
            tuple(entries), "secret", (server,), drain_min_ms=50.0
        )
    ) as running:
        yield running


def run(running, request_id="r1", query=None, snapshot=1, shard=0, **headers):
    return blocking_call.call(
        running.address("a"),
        "POST",
        "/v1/run",
        {
            "kind": "search",
            "snapshot": snapshot,
            "shard": shard,
            "query": query or {"weave": "twill"},
        },
        {"x-request-id": request_id}
        | {k.replace("_", "-"): v for k, v in headers.items()},
    )


def wait_for(condition, seconds=5.0):
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, "condition not reached in time"
        time.sleep(0.005)


def test_answer_is_the_shard_of_the_snapshot():
    # A stand-in that answers wrongly would hide faults of the entry.
    with fleet(service_ms=1.0) as running:
        status, headers, body = run(running)
    cloths = catalogue.shared("cloth", 1, 2000)
    assert status == 200
    assert body["records"] == cloths.expected({"weave": "twill"}, 1, 2, (0,))
    assert body["weight"] == cloths.manifest(1, 2).weights[0][1]
    assert (body["request_id"], body["snapshot"], body["shard"]) == ("r1", 1, 0)
    assert headers["x-state"] == "serving"


@pytest.mark.parametrize("place", [{"snapshot": 9}, {"shard": 1}])
def test_what_is_not_held_is_not_run(place):
    # An answer from another snapshot would break P1.
    with fleet(service_ms=1.0) as running:
        status, headers, _ = run(running, **place)
        assert (status, headers["x-not-started"]) == (410, "1")
        assert running.record("a")["started"] == 0


def test_busy_slots_shed_without_running():
    # A shed request that had started would make `not_run` untrue.
    with (
        fleet(slots=1, service_ms=200.0, service_sigma=0.0) as running,
        concurrent.futures.ThreadPoolExecutor() as pool,
    ):
        replies = list(
            pool.map(lambda i: run(running, f"r{i}", x_claim_id="c"), range(3))
        )
        statuses = sorted(status for status, _, _ in replies)
        assert statuses == [200, 503, 503]
        for status, headers, _ in replies:
            assert ("x-not-started" in headers) == (status == 503)
        record = running.record("a")
        assert record["run_counts"] == {"c": 1}
        assert (record["started"], record["shed"]) == (1, 2)


def test_cancel_frees_the_slot():
    with (
        fleet(slots=1, service_ms=5000.0) as running,
        concurrent.futures.ThreadPoolExecutor() as pool,
    ):
        first = pool.submit(run, running, "r1")
        wait_for(lambda: running.record("a")["started"] == 1)
        _, _, reply = blocking_call.call(
            running.address("a"), "POST", "/v1/cancel", {"request_id": "r1"}
        )
        assert reply == {"cancelled": True}
        assert first.result()[0] == 499
        running.control("a", {"set": {"service_ms": 1.0}})
        assert run(running, "r2")[0] == 200


def test_deadline_ends_a_run():
    with fleet(service_ms=5000.0) as running:
        assert run(running, x_time_left_ms="20")[0] == 504
        status, headers, _ = run(running, x_time_left_ms="0")
        assert (status, headers["x-not-started"]) == (504, "1")


def test_excess_connections_are_closed():
    with fleet(connection_limit=1) as running:
        host, _, port = running.address("a").rpartition(":")
        with (
            socket.create_connection((host, int(port))) as first,
            socket.create_connection((host, int(port))) as second,
        ):
            second.settimeout(5)
            assert second.recv(1) == b""
            first.sendall(b"GET /v1/ping HTTP/1.1\r\n\r\n")
            assert first.recv(100).startswith(b"HTTP/1.1 200")


def test_silence_stops_open_connections_only():
    with fleet() as running:
        host, _, port = running.address("a").rpartition(":")
        with socket.create_connection((host, int(port))) as old:
            wait_for(
                lambda: running.host.backends["a"].server.connection_count == 1
            )
            running.control("a", {"action": "silence"})
            status, _, _ = blocking_call.call(
                running.address("a"), "GET", "/v1/ping"
            )
            assert status == 200
            old.settimeout(0.1)
            old.sendall(b"GET /v1/ping HTTP/1.1\r\n\r\n")
            with pytest.raises(TimeoutError):
                old.recv(1)


def test_poison_crashes_and_the_restart_is_a_later_incarnation():
    with fleet(poison="bad") as running:
        backend = running.host.backends["a"]
        before = backend.row()
        with pytest.raises((OSError, http.client.HTTPException)):
            run(running, query={"weave": "bad"}, x_claim_id="c1")
        with pytest.raises(OSError):
            run(running)
        assert backend.record.crashes == 1
        assert backend.record.as_dict(False)["run_counts"] == {"c1": 1}
        running.start("a")
        wait_for(lambda: backend.state is membership.State.SERVING)
        assert run(running)[0] == 200
        assert backend.row().version > before.version


def test_announces_to_two_entries_and_follows_their_list():
    # An announcement that decode_row refuses never joins the fleet.
    first, second = FakeEntry(), FakeEntry()
    first.entries = second.entries = [first.address, second.address]
    with fleet(entries=(first.address,)) as running:
        wait_for(lambda: first.rows and second.rows)
        row = membership.decode_row(second.rows[0]).unwrap()
        assert row == running.host.backends["a"].row()
        assert second.tokens == {"secret"}
        running.control("a", {"action": "drain"})
        wait_for(lambda: second.rows[-1]["state"] == "draining")
        wait_for(lambda: first.rows[-1]["state"] == "draining")


def test_a_lost_entry_is_replaced():
    # With one entry lost, the drain must still reach another (P6).
    live = FakeEntry()
    with socket.create_server(("127.0.0.1", 0)) as probe:
        lost = [f"127.0.0.1:{probe.getsockname()[1]}", "127.0.0.1:1"]
    with fleet(entries=(*lost, live.address)) as running:
        wait_for(lambda: live.rows)
        wait_for(
            lambda: live.address in running.host.backends["a"].announcer.targets
        )


def test_drain_finishes_work_and_refuses_more():
    # A planned stop must cut nothing off (P7).
    with (
        fleet(service_ms=300.0, service_sigma=0.0) as running,
        concurrent.futures.ThreadPoolExecutor() as pool,
    ):
        first = pool.submit(run, running, "r1")
        wait_for(lambda: running.record("a")["started"] == 1)
        running.control("a", {"action": "drain"})
        status, headers, _ = run(running, "r2")
        assert (status, headers["x-state"]) == (503, "draining")
        assert first.result()[0] == 200
        backend = running.host.backends["a"]
        wait_for(lambda: backend.state is membership.State.GONE)


def test_false_load_is_reported():
    with fleet(service_ms=1.0, reported_load=0.0) as running:
        _, headers, _ = run(running)
        assert (headers["x-load"], headers["x-busy-slots"]) == ("0.0", "0")


def test_repartition_at_run_time():
    with fleet(service_ms=1.0) as running:
        new = {"snapshot": 2, "shard_count": 3, "shards": [2]}
        running.control("a", {"set": {"snapshots": [new]}})
        assert run(running, snapshot=2, shard=2)[0] == 200
        assert run(running)[0] == 410
        with pytest.raises(ValueError, match="name"):
            running.control("a", {"set": {"name": "b"}})


def test_runs_are_kept_on_disk(tmp_path):
    path = tmp_path / "runs"
    with fleet(service_ms=1.0, record_path=str(path)) as running:
        run(running, query={"marker": "k1"}, x_claim_id="c1")
    assert json.loads(path.read_text()) == {
        "claim_id": "c1",
        "key": "k1",
        "request_id": "r1",
    }
