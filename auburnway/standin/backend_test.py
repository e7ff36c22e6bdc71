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
    """Entry that records announcements, on a thread with blocking sockets."""

    def __init__(self):
        entry = self
        self.rows = []
        self.tokens = set()
        self.entries = []

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):
                length = int(self.headers["content-length"])
                entry.rows.append(json.loads(self.rfile.read(length)))
                entry.tokens.add(self.headers["x-fleet-token"])
                reply = {"heartbeat_ms": 50, "entries": entry.entries}
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
def run_standin(entries=(), **changes):
    held_snapshot = settings.SnapshotSettings(1, 2, (0,))
    server_settings = settings.ServerSettings(
        "a", "cloths", "127.0.0.1:0", snapshots=(held_snapshot,), **changes
    )
    with embedded.Embedded(
        settings.Settings(
            tuple(entries), "secret", (server_settings,), drain_min_ms=50.0
        )
    ) as embedded_server:
        yield embedded_server


def send_run(
    embedded_server, request_id="r1", query=None, snapshot=1, shard=0, **headers
):
    return blocking_call.call(
        embedded_server.address("a"),
        "POST",
        "/v1/run",
        {
            "kind": "search",
            "snapshot": snapshot,
            "shard": shard,
            "query": query or {"weave": "twill"},
        },
        {"x-request-id": request_id}
        | {key.replace("_", "-"): value for key, value in headers.items()},
    )


def wait_for(condition, seconds=5.0):
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, "condition not met in time"
        time.sleep(0.005)


def test_answer_holds_the_records_of_the_shard_and_snapshot():
    # Incorrect answers of the stand-in would hide faults of entries.
    with run_standin(service_ms=1.0) as embedded_server:
        status, headers, body = send_run(embedded_server)
    cloths = catalogue.shared_catalogue("cloth", 1, 2000)
    assert status == 200
    assert body["records"] == cloths.matching_records(
        {"weave": "twill"}, 1, 2, (0,)
    )
    assert body["weight"] == cloths.manifest(1, 2).weights[0][1]
    assert (body["request_id"], body["snapshot"], body["shard"]) == ("r1", 1, 0)
    assert headers["x-state"] == "serving"


@pytest.mark.parametrize("changed_location", [{"snapshot": 9}, {"shard": 1}])
def test_request_for_a_shard_that_is_not_held_does_not_run(changed_location):
    # An answer from another snapshot would violate guarantee P1.
    with run_standin(service_ms=1.0) as embedded_server:
        status, headers, _ = send_run(embedded_server, **changed_location)
        assert (status, headers["x-not-started"]) == (410, "1")
        assert embedded_server.record("a")["started"] == 0


def test_requests_are_shed_before_start_if_all_slots_are_busy():
    # If a shed request had started, the outcome `not_run` would be false.
    with (
        run_standin(
            slots=1, service_ms=200.0, service_sigma=0.0
        ) as embedded_server,
        concurrent.futures.ThreadPoolExecutor() as pool,
    ):
        replies = list(
            pool.map(
                lambda i: send_run(embedded_server, f"r{i}", x_claim_id="c"),
                range(3),
            )
        )
        statuses = sorted(status for status, _, _ in replies)
        assert statuses == [200, 503, 503]
        for status, headers, _ in replies:
            assert ("x-not-started" in headers) == (status == 503)
        record = embedded_server.record("a")
        assert record["run_counts"] == {"c": 1}
        assert (record["started"], record["shed"]) == (1, 2)


def test_cancel_frees_the_slot():
    with (
        run_standin(slots=1, service_ms=5000.0) as embedded_server,
        concurrent.futures.ThreadPoolExecutor() as pool,
    ):
        first = pool.submit(send_run, embedded_server, "r1")
        wait_for(lambda: embedded_server.record("a")["started"] == 1)
        _, _, reply = blocking_call.call(
            embedded_server.address("a"),
            "POST",
            "/v1/cancel",
            {"request_id": "r1"},
        )
        assert reply == {"cancelled": True}
        assert first.result()[0] == 499
        embedded_server.send_control("a", {"set": {"service_ms": 1.0}})
        assert send_run(embedded_server, "r2")[0] == 200


def test_deadline_ends_a_run():
    with run_standin(service_ms=5000.0) as embedded_server:
        assert send_run(embedded_server, x_time_left_ms="20")[0] == 504
        status, headers, _ = send_run(embedded_server, x_time_left_ms="0")
        assert (status, headers["x-not-started"]) == (504, "1")


def test_excess_connections_are_closed():
    with run_standin(connection_limit=1) as embedded_server:
        host, _, port = embedded_server.address("a").rpartition(":")
        with (
            socket.create_connection((host, int(port))) as first,
            socket.create_connection((host, int(port))) as second,
        ):
            second.settimeout(5)
            assert second.recv(1) == b""
            first.sendall(b"GET /v1/ping HTTP/1.1\r\n\r\n")
            assert first.recv(100).startswith(b"HTTP/1.1 200")


def test_silence_affects_only_open_connections():
    with run_standin() as embedded_server:
        host, _, port = embedded_server.address("a").rpartition(":")
        with socket.create_connection((host, int(port))) as old:
            wait_for(
                lambda: (
                    embedded_server.host.backends["a"].server.connection_count
                    == 1
                )
            )
            embedded_server.send_control("a", {"action": "silence"})
            status, _, _ = blocking_call.call(
                embedded_server.address("a"), "GET", "/v1/ping"
            )
            assert status == 200
            old.settimeout(0.1)
            old.sendall(b"GET /v1/ping HTTP/1.1\r\n\r\n")
            with pytest.raises(TimeoutError):
                old.recv(1)


def test_poison_crashes_the_server_and_restart_is_a_new_incarnation():
    with run_standin(poison="bad") as embedded_server:
        backend = embedded_server.host.backends["a"]
        before = backend.row()
        with pytest.raises((OSError, http.client.HTTPException)):
            send_run(embedded_server, query={"weave": "bad"}, x_claim_id="c1")
        with pytest.raises(OSError):
            send_run(embedded_server)
        assert backend.record.crashes == 1
        assert backend.record.as_dict(False)["run_counts"] == {"c1": 1}
        embedded_server.start("a")
        wait_for(lambda: backend.state is membership.State.SERVING)
        assert send_run(embedded_server)[0] == 200
        assert backend.row().version > before.version


def test_announces_to_two_entries_from_the_list_in_replies():
    # Entries ignore a server whose announcement decode_row rejects.
    first, second = FakeEntry(), FakeEntry()
    first.entries = second.entries = [first.address, second.address]
    with run_standin(entries=(first.address,)) as embedded_server:
        wait_for(lambda: first.rows and second.rows)
        row = membership.decode_row(second.rows[0]).unwrap()
        assert row == embedded_server.host.backends["a"].row()
        assert second.tokens == {"secret"}
        embedded_server.send_control("a", {"action": "drain"})
        wait_for(lambda: second.rows[-1]["state"] == "draining")
        wait_for(lambda: first.rows[-1]["state"] == "draining")


def test_a_lost_entry_is_replaced():
    # After the loss of one entry, announcements of a drain must still reach
    # another entry (guarantee P6).
    live = FakeEntry()
    with socket.create_server(("127.0.0.1", 0)) as probe:
        lost = [f"127.0.0.1:{probe.getsockname()[1]}", "127.0.0.1:1"]
    with run_standin(entries=(*lost, live.address)) as embedded_server:
        wait_for(lambda: live.rows)
        wait_for(
            lambda: (
                live.address
                in embedded_server.host.backends["a"].announcer.targets
            )
        )


def test_drain_finishes_running_work_and_rejects_new_work():
    # A planned stop must not interrupt running requests (guarantee P7).
    with (
        run_standin(service_ms=300.0, service_sigma=0.0) as embedded_server,
        concurrent.futures.ThreadPoolExecutor() as pool,
    ):
        first = pool.submit(send_run, embedded_server, "r1")
        wait_for(lambda: embedded_server.record("a")["started"] == 1)
        embedded_server.send_control("a", {"action": "drain"})
        status, headers, _ = send_run(embedded_server, "r2")
        assert (status, headers["x-state"]) == (503, "draining")
        assert first.result()[0] == 200
        backend = embedded_server.host.backends["a"]
        wait_for(lambda: backend.state is membership.State.GONE)


def test_false_load_is_reported():
    with run_standin(service_ms=1.0, reported_load=0.0) as embedded_server:
        _, headers, _ = send_run(embedded_server)
        assert (headers["x-load"], headers["x-busy-slots"]) == ("0.0", "0")


def test_repartition_at_run_time():
    with run_standin(service_ms=1.0) as embedded_server:
        new_snapshot = {"snapshot": 2, "shard_count": 3, "shards": [2]}
        embedded_server.send_control(
            "a", {"set": {"snapshots": [new_snapshot]}}
        )
        assert send_run(embedded_server, snapshot=2, shard=2)[0] == 200
        assert send_run(embedded_server)[0] == 410
        with pytest.raises(ValueError, match="name"):
            embedded_server.send_control("a", {"set": {"name": "b"}})


def test_non_repeatable_runs_are_written_to_the_record_file(tmp_path):
    path = tmp_path / "runs"
    with run_standin(service_ms=1.0, record_path=str(path)) as embedded_server:
        send_run(embedded_server, query={"marker": "k1"}, x_claim_id="c1")
    assert json.loads(path.read_text()) == {
        "claim_id": "c1",
        "key": "k1",
        "request_id": "r1",
    }
