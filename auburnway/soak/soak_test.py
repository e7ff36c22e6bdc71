"""Short soak run with a fixed seed."""

import os

import pytest

from auburnway.soak import main

pytestmark = pytest.mark.processes

# Third octet of the loopback addresses of the first pytest worker.
FIRST_NET = 80
DURATION_S = 20.0


def run(seed, folder):
    worker = os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")
    return main.run(seed, DURATION_S, folder, FIRST_NET + int(worker))


def test_short_run_violates_no_guarantee(tmp_path):
    result = run(101, tmp_path)
    assert result.violations == ()
    assert result.served > 0
    assert result.faults > 0
