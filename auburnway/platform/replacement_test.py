"""Tests that real control processes survive losses one after another."""

import shutil
import time

import pytest

from auburnway.platform import testing

# Third octet of the loopback addresses of the first pytest-xdist worker.
FIRST_SUBNET = 171
# Time after its start at which a control instance no longer counts as lost.
CATCH_UP_S = 4.0

pytestmark = pytest.mark.processes


@pytest.fixture(name="platform")
def _platform(tmp_path):
    platform = testing.Platform(
        tmp_path, testing.worker_subnet(FIRST_SUBNET), entries=1
    )
    try:
        assert platform.put_configuration(testing.configuration(1)) == 200
        platform.add_backend("solo-1", "solo")
        platform.request_until_success("/one/x")
        yield platform
    finally:
        platform.close()


def _replace(platform, index, ip):
    """Ends a control instance for good and starts an empty one elsewhere."""
    platform.controls.pop(index).kill()
    time.sleep(1.0)
    platform.controls.append(platform.add_control(ip, False))


def _lose_disk(platform, index, folder):
    machine = platform.controls[index]
    machine.kill()
    shutil.rmtree(folder / f"data-{machine.ip}")
    platform.controls[index] = platform.add_control(machine.ip, False)


def test_changes_are_accepted_after_a_replacement_and_a_lost_disk(
    platform, tmp_path
):
    # Guards against control that is lost for good because a lost instance
    # stays a voter beside its replacement.
    net = platform.controls[0].ip.rpartition(".")[0]
    for number in range(2):
        _replace(platform, 2, f"{net}.{11 + number}")
        time.sleep(CATCH_UP_S)
        assert platform.put_configuration(testing.configuration(2 + number))
        _lose_disk(platform, 1, tmp_path)
        time.sleep(CATCH_UP_S)
    assert platform.put_configuration(testing.configuration(9)) == 200
    _, _, body = platform.call_control("GET", "/auburnway/config/get")
    assert b'"Version": 9' in body
    assert platform.request("/one/x", Request_Id="after")[0] == 200
