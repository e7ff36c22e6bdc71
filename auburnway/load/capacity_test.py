import pytest

from auburnway.load import capacity
from auburnway.load import capacity_control
from auburnway.load import capacity_entry


def test_summary_gives_median_spread_and_slope():
    runs = [
        [{"size": size, "cost": 1.0 + size * per_unit} for size in (1, 2, 4)]
        for per_unit in (2.0, 4.0, 3.0)
    ]
    summary = capacity.summarize(runs)
    assert summary["rows"][1]["cost"] == [7.0, 5.0, 9.0]
    assert summary["slopes"]["cost"]["per_unit"] == [3.0, 2.0, 4.0]
    assert summary["slopes"]["cost"]["base"] == [1.0, 1.0, 1.0]


def test_table_accepts_the_generated_rows():
    # If the table rejected the rows, the memory figure would be too small.
    assert capacity_entry._table_row(30)["megabytes"] >= 0.0
    assert capacity_entry._row(1, 2).version > capacity_entry._row(1, 1).version


@pytest.mark.processes
def test_leases_are_renewed_and_counted(monkeypatch):
    # Checks that the processes yield figures; the size of the figures is not
    # checked.
    monkeypatch.setattr(capacity_control, "LEASE_PERIOD_S", 1.0)
    row = capacity_control._lease_row(2)
    assert row["renewals_per_s"] > 0 and row["in_bytes_per_s"] > 0
