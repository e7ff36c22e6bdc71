"""Tests of the real programs with servers that ask for less work."""

import bisect
import concurrent.futures
import time

import pytest

from auburnway.platform import testing

# Third octet of the loopback addresses of the first pytest-xdist worker.
FIRST_SUBNET = 151
ENTRIES = 3
CALLERS = 6
# Time after a first report in which servers bear more than they ask for.
NOTICE_S = 4.0
# Time from an answer with a report until the entry goes by it.
REPORT_S = 0.5

pytestmark = pytest.mark.processes


@pytest.fixture(name="platform", scope="module")
def _platform(tmp_path_factory):
    folder = tmp_path_factory.mktemp("reports")
    subnet = testing.worker_subnet(FIRST_SUBNET)
    platform = testing.Platform(folder, subnet, controls=1, entries=ENTRIES)
    try:
        assert platform.put_configuration(testing.configuration(3)) == 200
        for name, service in (
            ("solo-1", "solo"),
            ("solo-2", "solo"),
            ("sa-1", "sa"),
            ("sa-2", "sa"),
            ("sb-1", "sb"),
        ):
            platform.add_backend(name, service, records=testing.RECORDS[:4])
        for entry in range(ENTRIES):
            for path in ("/one/x", "/all/x"):
                platform.request_until_success(path, entry=entry)
        yield platform
    finally:
        platform.close()


@pytest.fixture(name="backend")
def _backend(platform):
    """Returns a function that finds a server; ends its reports afterwards."""

    def find(name):
        return next(b for b in platform.backends if b.server_id == name)

    yield find
    for backend in platform.backends:
        backend.advice = {}
        backend.rejects = False


def _send_for(platform, path, duration_s, gap_s=0.01):
    """Sends requests from several callers to all entries.

    Returns:
      The status of each reply, 0 without one.
    """
    end_s = time.monotonic() + duration_s

    def send(caller):
        statuses = []
        while time.monotonic() < end_s:
            request_id = f"{path[1]}{caller}-{time.monotonic_ns()}"
            try:
                reply = platform.request(
                    path, entry=caller % ENTRIES, Request_Id=request_id
                )
                statuses.append(reply[0])
            except OSError:
                statuses.append(0)
            time.sleep(gap_s)
        return statuses

    with concurrent.futures.ThreadPoolExecutor(CALLERS) as executor:
        results = executor.map(send, range(CALLERS))
    return [status for statuses in results for status in statuses]


def _most_in_a_span(times_s, span_s):
    """Returns the greatest number of times within a span."""
    return max(
        (
            bisect.bisect_right(times_s, start_s + span_s) - i
            for i, start_s in enumerate(times_s)
        ),
        default=0,
    )


@pytest.mark.parametrize("limit_per_s", [12.0, 4.5, 0.5])
def test_all_entries_together_keep_the_limit_of_a_server(
    platform, backend, limit_per_s
):
    # Guards against a server that named a rate limit and gets more requests
    # from all entries together.
    server = backend("solo-1")
    server.advice = {"Server-Limit": str(limit_per_s)}
    started_s = time.monotonic()
    statuses = _send_for(platform, "/one/x", 12.0)
    assert statuses.count(200) > 0.95 * len(statuses)
    arrivals_s = [t for t in server.arrivals_s if t > started_s + NOTICE_S]
    assert _most_in_a_span(arrivals_s, 4.0) <= 1.5 * 4.0 * limit_per_s + 5


@pytest.mark.parametrize("hears_first", [True, False])
def test_server_that_leaves_gets_no_request(platform, backend, hears_first):
    # Guards against requests to a server that said in its replies that it
    # leaves, at entries that heard it and at those that did not.
    server = backend("solo-1")
    server.started_ms += 1
    platform.send_heartbeat(server)
    server.advice = {"Server-Leaving": "1"}
    since_s = time.monotonic()

    def has_said_so():
        return server.arrivals_s[-1] > since_s

    if hears_first:
        # The entries may prefer the other server for a while.
        testing.wait_until(
            lambda: _send_for(platform, "/one/x", 1.0) and has_said_so()
        )
    else:
        testing.wait_until(
            lambda: (
                platform.request("/one/x", Request_Id=f"l{time.time_ns()}")
                and has_said_so()
            )
        )
        time.sleep(REPORT_S)
    said_s = time.monotonic()
    # A heartbeat that still says that it is ready must not undo it.
    platform.send_heartbeat(server)
    statuses = _send_for(platform, "/one/x", 3.0)
    assert statuses.count(200) == len(statuses)
    assert [t for t in server.arrivals_s if t > said_s] == []
    server.advice = {}
    server.started_ms += 1
    platform.send_heartbeat(server)
    _send_for(platform, "/one/x", 1.0)
    assert server.arrivals_s[-1] > said_s


def test_last_server_of_a_shard_serves_until_it_stops(platform, backend):
    # Guards against a shard without any server while its last one still takes
    # requests, and against requests to it later than that.
    server = backend("sb-1")
    server.advice = {"Server-Leaving": "1"}
    platform.request("/all/x", Request_Id="la1")
    said_s = time.monotonic()
    _, headers, _ = platform.request("/all/x", Request_Id="la2")
    assert headers["missing-parts"] == "0"
    _send_for(platform, "/all/x", 5.0)
    assert server.arrivals_s[-1] < said_s + 3.0
    server.advice = {}
    server.started_ms += 1
    platform.send_heartbeat(server)
    platform.request_until_success("/all/x")


def test_server_that_asks_for_a_pause_gets_none_until_then(platform, backend):
    # Guards against requests within the time for which a server wants nothing
    # from an entry that it has told, and against all entries at once after it.
    server = backend("solo-2")
    server.rejects = True
    server.advice = {"Retry-After": "3"}
    before = len(server.arrivals_s)
    _send_for(platform, "/one/x", 1.0)
    refused_s = server.arrivals_s[before]
    count = len(server.arrivals_s)
    assert 0 < count - before <= 3 * ENTRIES
    server.rejects = False
    server.advice = {}
    statuses = _send_for(platform, "/one/x", 5.0)
    assert statuses.count(200) == len(statuses)
    returns_s = server.arrivals_s[count:]
    assert [t for t in returns_s if t < refused_s + 3.0] == []
