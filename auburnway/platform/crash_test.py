"""Tests that a crashing request costs few servers over all entries."""

import time

import pytest

from auburnway.platform import testing

# Third octet of the loopback addresses of the first pytest-xdist worker.
FIRST_SUBNET = 211
ENTRIES = 3
SERVERS = 12
CRASHING = b"crash"
# Servers that a crashing request may cost.
ALLOWED_CRASHES = 2

pytestmark = pytest.mark.processes


@pytest.fixture(name="platform")
def _platform(tmp_path):
    platform = testing.Platform(
        tmp_path, testing.worker_subnet(FIRST_SUBNET), entries=ENTRIES
    )
    try:
        assert platform.put_configuration(testing.configuration(1)) == 200
        for number in range(SERVERS):
            server = platform.add_backend(f"solo-{number}", "solo")
            server.crashes_on = CRASHING
        for entry in range(ENTRIES):
            platform.request_until_success("/one/x", entry=entry)
        yield platform
    finally:
        platform.close()


def _crash_count(platform):
    return sum(server.has_crashed for server in platform.backends)


@pytest.mark.parametrize("path", ["/one/pit-7", "/unsafe/pit-7"])
def test_crashing_request_costs_two_servers_over_all_entries(platform, path):
    # Guards against a request that is run and retried by each entry that it
    # comes to, and against refusing others because of it.
    for number in range(3 * ENTRIES):
        entry = number % ENTRIES
        status, _, _ = platform.request(
            path, entry, "POST", CRASHING, Request_Id=f"crash-{number}"
        )
        assert status in (502, 503)
        time.sleep(0.2)
        reply = platform.request(path, entry, "POST", b"other")
        assert reply[0] == 200
    assert _crash_count(platform) <= ALLOWED_CRASHES
    status, headers, _ = platform.request(path, 0, "POST", CRASHING)
    assert status == 503
    assert float(headers["Retry-After"]) > 1.0
