"""Non-repeatable requests under kills and freezes."""

import pytest

from auburnway.faults import soak

pytestmark = pytest.mark.processes


def test_bookings_run_at_most_once_under_kills_and_freezes(rig):
    # Guards against a claim that is granted twice, a frozen entry that
    # dispatches requests when it resumes, and answers that contradict the
    # recorded runs.
    counts = soak.soak(rig, requests=300, workers=12, seed=3)
    print(counts)
    assert soak.count_violations(counts) == 0, counts
    assert counts["done"] > 0
    assert counts["faults"] >= soak.MIN_FAULTS
