"""One fleet for all tests of a pytest process, repaired before each test."""

import pytest

from auburnway.faults import rig as rig_lib


@pytest.fixture(scope="session")
def shared_rig():
    """Starts the fleet once."""
    with rig_lib.running() as rig:
        yield rig


@pytest.fixture
def rig(shared_rig):
    """Gives the fleet with all processes running and up to date."""
    shared_rig.repair()
    return shared_rig
