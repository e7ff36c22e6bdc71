"""Tests of the entries that the directory returns at different loads."""

import pytest

from auburnway.policy import entry_selection


def entries(per_data_center, data_centers="abc"):
    return [
        entry_selection.Entry(f"10.0.{i}.{n}:80", data_center)
        for i, data_center in enumerate(data_centers)
        for n in range(per_data_center)
    ]


def test_low_load_selects_few_entries_of_each_data_centre():
    chosen = entry_selection.select_entries(entries(23), 0.4)
    data_centers = [entry.data_center for entry in chosen]
    assert data_centers == ["a"] * 3 + ["b"] * 3 + ["c"] * 3


def test_small_deployment_uses_all_entries():
    assert len(entry_selection.select_entries(entries(3), 0.0)) == 9


def test_high_load_uses_all_entries():
    # At 205 queries/s with 96 sub-requests each, all entries are needed.
    load = entry_selection.load(205 * 96, 1.0)
    assert len(entry_selection.select_entries(entries(100), 300 * load)) == 300


def test_no_entry_is_loaded_beyond_its_target():
    for total in (1.0, 2.2, 3.0):
        chosen = entry_selection.select_entries(entries(20), total)
        assert total / len(chosen) <= entry_selection.TARGET_LOAD


def test_order_of_the_list_does_not_matter():
    # Guards against directories that return different entries.
    listed = entries(23)
    chosen = entry_selection.select_entries(listed, 1.0)
    assert entry_selection.select_entries(reversed(listed), 1.0) == chosen


def test_lost_entry_is_replaced_and_the_others_stay():
    listed = entries(23)
    before = entry_selection.select_entries(listed, 0.4)
    listed.remove(before[0])
    after = entry_selection.select_entries(listed, 0.4)
    assert len(after) == len(before)
    assert len(set(before) - set(after)) == 1


@pytest.mark.parametrize(
    ("last_reported", "measured", "expected"),
    [
        (0.0, 1.0, 1.3),
        (1.3, 1.2, 1.3),
        (1.3, 0.7, 1.3),
        (1.3, 0.5, 0.65),
        (0.1, 1e-3, 0.0),
    ],
)
def test_reported_load_rises_at_once_and_falls_late(
    last_reported, measured, expected
):
    found = entry_selection.load_to_report(last_reported, measured)
    assert found == pytest.approx(expected)


def test_no_entries():
    assert entry_selection.select_entries([], 1.0) == ()
