"""Each cell of the fault matrix, at a few events spread over the step.

`python -m auburnway.faults.matrix --table` injects the fault at every event.
"""

import pytest

from auburnway.faults import matrix

# Keeps the run time of this file below one minute.
CASES_PER_CELL = 3
CELLS = [
    (column, row) for column in matrix.COLUMNS for row in matrix.row_names()
]


@pytest.mark.parametrize(("column", "row"), CELLS)
def test_guarantees_hold_under_the_fault(column, row):
    # Guards against lost or reverted notes, two notes accepted under one
    # number, a second dispatch of a key, a false `not_run` or coverage, and a
    # fleet that does not recover.
    count, violations = matrix.run_cell(column, row, CASES_PER_CELL)
    assert not violations
    assert bool(count) != ((column, row) in matrix.UNCOVERED_CELLS)


# Cases that failed once, as column, row and index of the event.
FAILED_CASES = [("planned stop", "full disk", 31)]


@pytest.mark.parametrize(("column", "row", "event_index"), FAILED_CASES)
def test_case_that_failed_once(column, row, event_index):
    # Guards against steps of a Raft node that a full disk had replaced.
    assert not matrix.run_case(column, row, event_index).violations


def test_the_matrix_is_printed():
    # Prints the number of cases per cell, and guards against uncovered cells
    # that are listed under a wrong name.
    print(matrix.render_table(matrix.CASE_COUNTS))
    for column, row in matrix.UNCOVERED_CELLS:
        assert column in matrix.COLUMNS
        assert row in matrix.row_names()
