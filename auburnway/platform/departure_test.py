"""Tests that an acknowledged stop or drain survives a loss of all processes."""

import concurrent.futures
import shutil
import time

import pytest

from auburnway.platform import testing

# Third octet of the loopback addresses of the first pytest-xdist worker.
FIRST_SUBNET = 221
# Time in which the processes save what they save from time to time.
SETTLE_S = 1.5
REQUESTS = 12
# The server that stays is slow, so that entries prefer the one that leaves.
STAYING_DELAY_S = 0.2

pytestmark = pytest.mark.processes


@pytest.fixture(name="platform")
def _platform(tmp_path):
    platform = testing.Platform(
        tmp_path, testing.worker_subnet(FIRST_SUBNET), entries=1
    )
    try:
        assert platform.put_configuration(testing.configuration(1)) == 200
        platform.add_backend("solo-1", "solo")
        platform.add_backend("solo-2", "solo").delay_s = STAYING_DELAY_S
        platform.request_until_success("/one/x")
        time.sleep(SETTLE_S)
        yield platform
    finally:
        platform.close()


def _leave(platform, way):
    """Tells control that the first server leaves, until it is acknowledged."""
    leaver = platform.backends[0]
    control = f"{platform.controls[0].ip}:{platform.CONTROL_PORT}"
    if way == "deregister":
        testing.wait_until(lambda: leaver.send_stop(control) == 200)
    else:
        platform.send_heartbeat(leaver, State="draining")
    return leaver


def _requests_to(platform, leaver):
    """Returns how many of some requests reach a server."""
    platform.request_until_success("/one/after")
    before = len(leaver.runs)
    for number in range(REQUESTS):
        assert platform.request(f"/one/{number}")[0] == 200
    return len(leaver.runs) - before


@pytest.mark.parametrize("way", ["deregister", "draining"])
def test_acknowledged_departure_survives_a_kill_of_all(platform, way):
    # Guards against requests to a server that left, because its departure was
    # acknowledged when it was in memory only.
    leaver = _leave(platform, way)
    platform.kill_and_start_all()
    assert _requests_to(platform, leaver) == 0


def test_acknowledged_departure_survives_a_lost_disk(platform, tmp_path):
    # Guards against a departure that only the disk of the instance holds that
    # acknowledged it.
    leaver = _leave(platform, "deregister")
    for machine in (*platform.controls, *platform.entries):
        machine.kill()
    first = platform.controls[0]
    shutil.rmtree(tmp_path / f"data-{first.ip}")
    platform.controls[0] = platform.add_control(first.ip, False)
    for machine in (*platform.controls[1:], *platform.entries):
        machine.start()
    assert _requests_to(platform, leaver) == 0


def test_departure_is_not_acknowledged_while_no_other_disk_holds_it(platform):
    # Guards against an acknowledgement that the loss of one disk takes back.
    for machine in platform.controls[1:]:
        machine.kill()
    control = f"{platform.controls[0].ip}:{platform.CONTROL_PORT}"
    assert platform.backends[0].send_stop(control) == 503
    # Entries respect it all the same.
    assert _requests_to(platform, platform.backends[0]) == 0


def test_servers_of_a_release_are_all_acknowledged(platform):
    # Guards against drains that are refused while another one is saved.
    control = f"{platform.controls[0].ip}:{platform.CONTROL_PORT}"
    servers = [
        platform.add_backend(f"extra-{number}", "solo") for number in range(24)
    ]
    with concurrent.futures.ThreadPoolExecutor(4) as executor:
        statuses = list(
            executor.map(lambda server: server.send_stop(control), servers)
        )
    assert statuses == [200] * len(servers)
