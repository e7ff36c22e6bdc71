"""End-to-end tests of the real programs, called as the platform calls them."""

import json
import re
import shutil
import signal
import threading
import time

import pytest

from auburnway.platform import testing

CATCH_UP_WAIT_S = 4.0
# Time in which news reach an entry although one control instance is frozen: a
# digest each 0.25 s, 0.5 s of difference, and a check each 0.25 s.
NEWS_S = 1.5
# Third octet of the loopback addresses of the first pytest-xdist worker.
FIRST_SUBNET = 61

pytestmark = pytest.mark.processes


@pytest.fixture(name="platform", scope="module")
def _platform(tmp_path_factory):
    # Each worker of pytest-xdist that runs a test of this module has its own
    # platform, which needs addresses of its own.
    folder = tmp_path_factory.mktemp("platform")
    platform = testing.Platform(folder, testing.worker_subnet(FIRST_SUBNET))
    try:
        assert platform.put_configuration(testing.configuration(3)) == 200
        platform.add_backend("solo-1", "solo")
        platform.add_backend("sa-1", "sa", records=testing.RECORDS[:4])
        platform.add_backend("sb-1", "sb", records=testing.RECORDS[2:6])
        for entry in range(2):
            for path in ("/one/x", "/all/x"):
                platform.request_until_success(path, entry=entry)
        yield platform
    finally:
        platform.close()


def find_backend(platform, name):
    return next(b for b in platform.backends if b.server_id == name)


def test_request_is_passed_on_unchanged(platform):
    status, headers, body = platform.request(
        "/one/a%20b?c=d", method="POST", body=b"hello", X_Own="1"
    )
    assert (status, body) == (200, b"echo:hello")
    assert headers["Response-Stamp"] == "solo-1.r1"
    _, path, sent_headers = find_backend(platform, "solo-1").requests[-1]
    assert path == "/one/a%20b?c=d"
    assert sent_headers["request-id"] == "r1"
    assert sent_headers["x-own"] == "1"
    assert sent_headers["expect-instance"] == "solo-1"
    assert 0 < int(sent_headers["deadline-ms"]) <= 1500


def test_gathered_answer_merges_the_shards_records(platform):
    status, headers, body = platform.request("/all/x", Request_Id="g1")
    assert status == 200
    stamps = set(headers["part-stamps"].split(", "))
    assert stamps == {"sa-1.g1", "sb-1.g1"}
    assert headers["missing-parts"] == "0"
    # Both shards hold records 2 and 3; duplicates are not removed.
    assert body == b"".join(testing.RECORDS[i] for i in (5, 4, 3))


def test_partial_answer_states_what_is_missing(platform):
    slow = find_backend(platform, "sb-1")
    slow.delay_s = 1.0
    try:
        status, headers, body = platform.request("/all/x", Request_Id="g2")
    finally:
        slow.delay_s = 0.0
    assert (status, headers["missing-parts"]) == (200, "1")
    assert headers["part-stamps"] == "sa-1.g2"
    assert body == b"".join(testing.RECORDS[i] for i in (3, 2, 1))
    # The entry cancels the request at the shard that was left out.
    testing.wait_until(lambda: "g2" in slow.cancelled)


def test_unknown_routes_and_large_bodies_are_refused(platform):
    assert platform.request("/none/")[0] == 404
    assert platform.request("/one/x", Host="other.example")[0] == 404
    assert platform.request("/one/x", method="POST", body=b"x" * 300_000)[
        0
    ] in (413,)


def test_rejection_by_a_full_server_may_be_retried(platform):
    full = find_backend(platform, "solo-1")
    full.rejects = True
    before = len(full.requests)
    try:
        status, headers, _ = platform.request("/unsafe/x", method="POST")
    finally:
        full.rejects = False
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    assert len(full.requests) == before


@pytest.mark.parametrize("deadline_ms", ["300", "300.5"])
def test_unrepeatable_request_runs_once_when_its_answer_is_late(
    platform, deadline_ms
):
    slow = find_backend(platform, "solo-1")
    slow.delay_s = 0.6
    before = len(slow.requests)
    try:
        status, _, _ = platform.request(
            "/unsafe/x", method="POST", Deadline_Ms=deadline_ms
        )
    finally:
        slow.delay_s = 0.0
    assert status == 504
    assert len(slow.requests) == before + 1


def test_configuration_calls_of_operators(platform):
    bad = testing.configuration(4)
    bad["Routes"][0]["TimeoutMs"] = 0
    assert platform.put_configuration(bad) == 400
    assert (
        platform.call_control("POST", "/auburnway/config/put", b"{")[0] == 400
    )
    other = testing.configuration(3, timeout_ms=999)
    assert platform.put_configuration(other) == 409
    assert platform.put_configuration(testing.configuration(3)) == 200
    assert (
        platform.put_configuration(testing.configuration(1, timeout_ms=5))
        == 200
    )
    status, _, body = platform.call_control("GET", "/auburnway/config/get")
    assert status == 200
    assert json.loads(body) == testing.configuration(3)


def test_invalid_heartbeat_is_refused(platform):
    solo = find_backend(platform, "solo-1")
    assert platform.send_heartbeat(solo, Slots="many") == 400
    assert platform.send_heartbeat(solo, State="strange") == 400
    assert platform.send_heartbeat(solo, Address=7) == 400
    assert platform.request("/one/x")[0] == 200


def test_drained_server_gets_no_request(platform):
    old = platform.add_backend("solo-2", "solo")
    new = find_backend(platform, "solo-1")
    testing.wait_until(lambda: platform.request("/one/x")[0] and old.requests)
    old.state = "draining"
    assert platform.send_heartbeat(old) == 200
    testing.wait_until(lambda: _receives_no_request(platform, old))
    before = len(new.requests)
    assert platform.request("/one/x")[0] == 200
    assert len(new.requests) == before + 1


def _receives_no_request(platform, old):
    before = len(old.requests)
    for _ in range(10):
        platform.request("/one/x")
    return len(old.requests) == before


@pytest.mark.parametrize("frozen", range(3))
def test_news_arrive_while_their_source_stands_still(platform, frozen):
    # Guards against an entry that goes on using a server for seconds after its
    # drain, as the one control instance that sends it news is frozen.
    name = f"gone-{frozen}"
    backend = testing.Backend(name, "unused")
    other = platform.controls[(frozen + 1) % 3]
    platform.controls[frozen].send_signal(signal.SIGSTOP)
    try:
        address = f"{other.ip}:{platform.CONTROL_PORT}"
        assert backend.send_heartbeat(address) == 200
        accepted_s = time.monotonic()
        for entry in platform.entries:
            testing.wait_until(lambda e=entry: name in e.log_path.read_text())
        assert time.monotonic() - accepted_s < NEWS_S
    finally:
        platform.controls[frozen].send_signal(signal.SIGCONT)
        backend.close()


def test_directory_lists_all_entries(platform):
    address = f"{platform.entries[0].ip}:{platform.DIRECTORY_PORT}"

    def resolved_addresses():
        path = "/auburnway/resolve?Name=h&Region=r&Zone=z"
        status, _, body = testing.call(address, "GET", path)
        return json.loads(body)["addrs"] if status == 200 else []

    testing.wait_until(lambda: len(resolved_addresses()) == 2)


def test_metrics_are_served(platform):
    platform.request("/one/x")
    entry, control = platform.entries[0].ip, platform.controls[0].ip
    for ip, pattern in (
        (entry, "auburnway_answers_total"),
        (entry, r"auburnway_request_duration_seconds_bucket"),
        (entry, r"auburnway_configuration_revision{.*} 3\.0"),
        (entry, r"auburnway_table_requests{.*} \d"),
        (control, r"auburnway_consensus_voters{.*} 3\.0"),
        (control, r"auburnway_log_dropped_lines{.*} 0\.0"),
    ):
        address = f"{ip}:{platform.METRICS_PORT}"
        status, _, body = testing.call(address, "GET", "/metrics")
        assert status == 200
        assert re.search(pattern, body.decode())


def test_every_unserved_request_is_logged(platform):
    platform.request("/none/", Request_Id="logged-1")

    def logged_lines():
        # The entry writes the log line after sending the answer.
        text = platform.entries[0].log_path.read_text()
        lines = [json.loads(line) for line in text.splitlines()]
        return [line for line in lines if line.get("request") == "logged-1"]

    (found,) = testing.wait_until(logged_lines)
    assert (found["status"], found["reason"]) == (404, "no_route")


def test_client_that_leaves_is_logged(platform):
    # Guards against a request without a trace: most clients that are not served
    # close their connection at their own deadline.
    backend = find_backend(platform, "solo-1")
    backend.delay_s = 1.0
    headers = {"Request-Id": "left-1", "Deadline-Ms": "1500"}
    with pytest.raises(TimeoutError):
        testing.call(
            f"{platform.entries[0].ip}:{platform.CLIENT_PORT}",
            "GET",
            "/one/x",
            headers={"Host": "h.example", **headers},
            timeout_s=0.2,
        )

    def logged_lines():
        text = platform.entries[0].log_path.read_text()
        lines = [json.loads(line) for line in text.splitlines()]
        return [line for line in lines if line.get("request") == "left-1"]

    (found,) = testing.wait_until(logged_lines)
    backend.delay_s = 0.0
    assert found["message"] == "client left before its answer"
    assert found["missing"][0].startswith("solo: solo-1 for ")


def test_reload_does_not_end_a_process(platform):
    # Guards against the default action of SIGHUP, which ends a process.
    entry = platform.entries[0]
    entry.send_signal(signal.SIGHUP)
    testing.wait_until(lambda: "settings changed" in entry.log_path.read_text())
    assert platform.request("/one/x")[0] == 200


def test_control_instance_rejoins_after_losing_its_disk(platform):
    # A voter that lost its disk must not vote before it has caught up.
    lost = platform.controls[0]
    lost.kill()
    data = platform._folder / f"data-{lost.ip}"
    shutil.rmtree(data)
    platform.controls[0] = platform.add_control(lost.ip, False)
    # The platform treats the instance as lost for this time after its start.
    time.sleep(CATCH_UP_WAIT_S)
    platform.controls[1].kill()
    try:
        status, _, body = platform.call_control("GET", "/auburnway/config/get")
        assert json.loads(body)["Version"] == 3
    finally:
        platform.controls[1].start()


def test_graceful_stop_finishes_running_requests(platform):
    slow = find_backend(platform, "solo-1")
    slow.delay_s = 0.7
    results = []
    thread = threading.Thread(
        target=lambda: results.append(platform.request("/one/x", entry=1))
    )
    thread.start()
    testing.wait_until(lambda: slow.requests[-1][0] == "r1")
    platform.entries[1].send_signal()
    thread.join()
    slow.delay_s = 0.0
    assert results[0][0] == 200
    assert platform.entries[1].process.wait(10) == 0


@pytest.mark.parametrize(
    "changes",
    [
        {"Address": "127.0.0.1:99999"},
        {"Address": "127.0.0.\x001:80"},
        {"Address": "127.0.0.1:80\r\nX: y"},
        {"Sequence": 2**64 - 1},
        {"Slots": {"a": [[[[]]]]}},
    ],
)
def test_odd_server_of_another_writer_gets_no_request(platform, changes):
    # Guards against an entry that tries a server at an unusable address and
    # leaves the request without an answer.
    odd = testing.Backend("solo-odd", "solo")
    platform.backends.append(odd)
    try:
        assert platform.send_heartbeat(odd, **changes) == 400
        for n in range(10):
            status = platform.request("/one/x", Request_Id=f"o{n}")[0]
            assert status == 200
    finally:
        odd.close()
        platform.backends.remove(odd)
