import pytest

from auburnway.load import capacity
from auburnway.load import capacity_control
from auburnway.load import capacity_entry


def test_summary_gives_median_spread_and_slope():
    runs = [
        [{"size": n, "cost": 1.0 + n * each} for n in (1, 2, 4)]
        for each in (2.0, 4.0, 3.0)
    ]
    found = capacity.summarize(runs)
    assert found["rows"][1]["cost"] == [7.0, 5.0, 9.0]
    assert found["slopes"]["cost"]["per_unit"] == [3.0, 2.0, 4.0]
    assert found["slopes"]["cost"]["base"] == [1.0, 1.0, 1.0]


def test_rows_of_the_table_part_are_taken():
    # Rows that are ignored would make the memory figure too small.
    assert capacity_entry._table_row(30)["megabytes"] >= 0.0
    assert capacity_entry._row(1, 2).version > capacity_entry._row(1, 1).version


@pytest.mark.processes
def test_leases_are_renewed_and_counted(monkeypatch):
    # Guards the path from the processes to the figures; none is judged.
    monkeypatch.setattr(capacity_control, "LEASE_S", 1.0)
    row = capacity_control._lease_row(2)
    assert row["renewals_per_s"] > 0 and row["in_bytes_per_s"] > 0
