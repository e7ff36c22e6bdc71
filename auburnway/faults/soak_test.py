"""Non-repeatable requests under kills and freezes."""

import pytest

from auburnway.faults import soak

pytestmark = pytest.mark.processes


def test_bookings_run_at_most_once_under_kills_and_freezes(rig):
    # Guards against a claim that is granted twice, a frozen entry that
    # dispatches on waking, and answers that the records contradict.
    counts = soak.soak(rig, requests=300, workers=12, seed=3)
    print(counts)
    assert soak.broken(counts) == 0, counts
    assert counts["done"] > 0
    assert counts["faults"] >= soak.LEAST_FAULTS
