"""Tests of the real programs with faulty backend servers and planned stops."""

import concurrent.futures
import http.client
import pathlib
import re
import socket
import time

import pytest

from auburnway.platform import testing

# Third octet of the loopback addresses of the first pytest-xdist worker.
FIRST_SUBNET = 91
SERVERS = 8
# Most memory that faulty servers may take from an entry, in KiB.
MAX_GROWTH_KB = 40 * 1024
# The entries' grace time is 3 s, of which 0.9 are used.
STOP_S = 2.7
ADDRESS_TTL_S = 1.0

pytestmark = pytest.mark.processes


@pytest.fixture(name="platform", scope="module")
def _platform(tmp_path_factory):
    folder = tmp_path_factory.mktemp("trouble")
    subnet = testing.worker_subnet(FIRST_SUBNET)
    platform = testing.Platform(folder, subnet, controls=1, entries=3)
    try:
        configuration = testing.configuration(3, timeout_ms=6000)
        assert platform.put_configuration(configuration) == 200
        backends = [("sa-1", "sa"), ("sb-1", "sb")]
        backends += [(f"solo-{n}", "solo") for n in range(SERVERS)]
        for name, service in backends:
            platform.add_backend(name, service, records=testing.RECORDS[:4])
        for entry in range(3):
            for path in ("/one/x", "/all/x"):
                platform.request_until_success(path, entry=entry)
        yield platform
    finally:
        platform.close()


@pytest.fixture(name="set_fault")
def _set_fault(platform):
    def set_fault(faulty_reply, service="solo"):
        for backend in platform.backends:
            if backend.service == service:
                backend.faulty_reply = faulty_reply

    yield set_fault
    for service in ("solo", "sa", "sb"):
        set_fault(None, service)


def memory_kb(machine, field):
    status = pathlib.Path(f"/proc/{machine.process.pid}/status").read_text()
    return int(re.search(rf"^{field}:\s+(\d+)", status, re.M)[1])


def reset_peak_memory(machine):
    pathlib.Path(f"/proc/{machine.process.pid}/clear_refs").write_text("5")


HEAD = testing.REPLY_HEAD
ENDLESS = {
    "header": testing.FaultyReply(HEAD + b"A: ", b"a" * 65536),
    "headers": testing.FaultyReply(HEAD, b"A: b\r\n" * 8192),
    "body": testing.FaultyReply(HEAD + b"\r\n", b"a" * 65536),
    "chunks": testing.FaultyReply(
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"8000\r\n" + b"a" * 0x8000 + b"\r\n",
    ),
}


@pytest.mark.parametrize("name", ENDLESS)
def test_replies_without_end_take_little_memory(platform, set_fault, name):
    # Guards against an entry that is killed because a faulty server fills its
    # memory.
    set_fault(ENDLESS[name])
    entry = platform.entries[0]
    before_kb = memory_kb(entry, "VmRSS")
    reset_peak_memory(entry)
    with concurrent.futures.ThreadPoolExecutor(SERVERS) as executor:
        futures = [
            executor.submit(platform.request, "/one/x", Request_Id=f"{name}{n}")
            for n in range(SERVERS)
        ]
        statuses = {future.result()[0] for future in futures}
    assert statuses <= {502, 503, 504}
    assert memory_kb(entry, "VmHWM") - before_kb < MAX_GROWTH_KB
    log = entry.log_path.read_text()
    assert "closed a connection whose reply exceeds a limit" in log


def test_part_without_end_is_left_out(platform, set_fault):
    # Guards against a gathered answer with a part that was cut.
    set_fault(ENDLESS["body"], "sb")
    status, headers, _ = platform.request("/all/x", Request_Id="g1")
    assert (status, headers["missing-parts"]) == (200, "1")
    assert headers["part-stamps"] == "sa-1.g1"


def test_slow_bytes_without_end_end_at_the_deadline(platform, set_fault):
    set_fault(testing.FaultyReply(HEAD + b"\r\n", b"a", gap_s=0.1))
    started_s = time.monotonic()
    status, _, _ = platform.request(
        "/unsafe/x", method="POST", Deadline_Ms="800"
    )
    assert status == 504
    assert 0.7 < time.monotonic() - started_s < 1.3


CUT_HEADS = [
    HEAD[:-6],
    HEAD,
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nab",
    HEAD + b"Content-Length: 9\r\n\r\nshort",
    b"HTTP/1.1 103 Early Hints\r\nLink: %s\r\n\r\nHTTP/1.1 200 OK\r\n",
]


@pytest.mark.parametrize("head", CUT_HEADS)
def test_reply_that_is_cut_is_never_a_success(platform, set_fault, head):
    # Guards against framing an answer that was cut as a whole one.
    set_fault(testing.FaultyReply(head))
    for path, method in (("/one/x", "GET"), ("/unsafe/x", "POST")):
        status, headers, _ = platform.request(path, method=method)
        assert status in (502, 503, 504)
        assert "Response-Stamp" not in headers
    set_fault(None)
    set_fault(testing.FaultyReply(head), "sb")
    status, headers, _ = platform.request("/all/x", Request_Id="g2")
    assert (status, headers["missing-parts"]) == (200, "1")


def slow_post(platform, entry, request_id, deadline_ms):
    return platform.request(
        "/unsafe/x",
        entry=entry,
        method="POST",
        Request_Id=request_id,
        Deadline_Ms=str(deadline_ms),
    )


def test_request_waits_for_an_entry_that_restarts_with_control(platform):
    # Guards against refusals after a loss of all processes: entries are up
    # before the control instance that has their configuration.
    control, entry = platform.controls[0], platform.entries[0]
    control.kill()
    entry.kill()
    entry.start()
    testing.wait_until(entry.has_started)
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        future = executor.submit(
            platform.request, "/all/x", Deadline_Ms="3600000"
        )
        control.start()
        status, _, _ = future.result()
    assert status == 200


def test_clients_wait_while_an_entry_starts(platform):
    # Guards against clients that fail because the entry needs most of a second
    # to import its modules.
    entry = platform.entries[2]
    entry.kill()
    entry.start()
    address = (entry.ip, testing.Platform.CLIENT_PORT)

    def connect():
        try:
            return socket.create_connection(address, 5.0)
        except OSError:
            return None

    with testing.wait_until(connect) as client:
        assert not entry.has_started()
        client.sendall(
            b"GET /one/x HTTP/1.1\r\nHost: h.example\r\n"
            b"Request-Id: w1\r\nDeadline-Ms: 4000\r\n\r\n"
        )
        assert client.recv(100).startswith(b"HTTP/1.1 200 ")
    testing.wait_until(entry.has_started)


def test_stopping_entry_takes_only_what_it_can_finish(platform):
    # Guards against a request that is taken late in the grace time and cut:
    # it may have run, and may not be sent again.
    for backend in platform.backends:
        backend.delay_s = 2.0
    runs = [backend.runs for backend in platform.backends]
    with concurrent.futures.ThreadPoolExecutor(4) as executor:
        platform.entries[1].send_signal()
        time.sleep(0.1)
        early = executor.submit(slow_post, platform, 1, "early", 2500)
        futures = {}
        for wait_s in (0.9, 0.25, 0.15):
            time.sleep(wait_s)
            name = f"late{len(futures)}"
            futures[name] = executor.submit(slow_post, platform, 1, name, 2500)
        assert early.result()[0] == 200
        for name, future in futures.items():
            status, headers, _ = future.result()
            assert status == 503
            # The client's list of entries still names this one before.
            assert float(headers["Retry-After"]) >= ADDRESS_TTL_S
            assert name not in {request_id for r in runs for request_id, _ in r}
    for backend in platform.backends:
        backend.delay_s = 0.0
    assert platform.entries[1].process.wait(5) == 0


def test_open_request_is_answered_before_the_process_ends(platform):
    # Guards against a connection that is closed without an answer at the end
    # of the grace time.
    for backend in platform.backends:
        backend.delay_s = 4.0
    address = f"{platform.entries[2].ip}:{platform.CLIENT_PORT}"
    connection = http.client.HTTPConnection(address, timeout=5.0)
    headers = {
        "Host": "h.example",
        "Request-Id": "open",
        "Deadline-Ms": "5000",
    }
    connection.request("POST", "/unsafe/x", b"", headers)
    testing.wait_until(
        lambda: any(
            request_id == "open"
            for backend in platform.backends
            for request_id, _ in backend.runs
        )
    )
    started_s = time.monotonic()
    platform.entries[2].send_signal()
    response = connection.getresponse()
    assert response.status == 504
    assert response.read() == b"stopping\n"
    assert STOP_S - 0.2 < time.monotonic() - started_s < 3.0
    connection.close()
    for backend in platform.backends:
        backend.delay_s = 0.0
    assert platform.entries[2].process.wait(5) == 0
