"""Fixtures for a fleet that all tests of a pytest process share."""

import pytest

from auburnway.faults import rig as rig_lib


@pytest.fixture(scope="session")
def shared_rig():
    """Starts the fleet once per pytest process."""
    with rig_lib.running_rig() as rig:
        yield rig


@pytest.fixture
def rig(shared_rig):
    """Returns the fleet with all processes running and up to date."""
    shared_rig.repair()
    return shared_rig
