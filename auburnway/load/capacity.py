"""Measures the cost of one process of each role as slopes over its load.

Each part starts a few processes on loopback and repeats its measurement. The
JSON output holds the median and the range over the repeats. docs/CAPACITY.md
derives the cost at the target size from the slopes.

    python -m auburnway.load.capacity leases log query table connections
"""

import argparse
from collections import abc
import json
import statistics
import sys
import time

from auburnway.load import capacity_control
from auburnway.load import capacity_entry

MEASUREMENTS: dict[str, abc.Callable[[], list[dict]]] = {
    "leases": capacity_control.measure_leases,
    "log": capacity_control.measure_log,
    "query": capacity_entry.measure_queries,
    "table": capacity_entry.measure_table,
    "connections": capacity_entry.measure_connections,
}


def fit_line(points: abc.Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Returns intercept and slope of a least-squares line."""
    line = statistics.linear_regression(*zip(*points, strict=True))
    return line.intercept, line.slope


def summarize(runs: abc.Sequence[list[dict]]) -> dict:
    """Summarizes the repeats of a measurement by size, with fitted slopes.

    Args:
      runs: A list of rows for each repeat. Each row holds `size` and figures.

    Returns:
      `rows`: for each size and figure [median, least, greatest] over the
      repeats; `slopes`: for each figure the intercept `base` and the slope
      `per_unit` as [median, least, greatest].
    """
    rows = []
    for rows_of_size in zip(*runs, strict=True):
        row = {"size": rows_of_size[0]["size"]}
        for figure in rows_of_size[0].keys() - {"size"}:
            row[figure] = _median_and_range(
                [run[figure] for run in rows_of_size]
            )
        rows.append(row)
    slopes = {}
    for figure in sorted(runs[0][0].keys() - {"size"}):
        fits = [
            fit_line([(size_row["size"], size_row[figure]) for size_row in run])
            for run in runs
        ]
        slopes[figure] = {
            "base": _median_and_range([intercept for intercept, _ in fits]),
            "per_unit": _median_and_range([per_unit for _, per_unit in fits]),
        }
    return {"rows": rows, "slopes": slopes}


def _median_and_range(values):
    return [
        float(f"{value:.4g}")
        for value in (statistics.median(values), min(values), max(values))
    ]


def main(arguments: abc.Sequence[str] | None = None) -> int:
    """Runs the selected measurements and prints one JSON document."""
    parser = argparse.ArgumentParser(
        prog="capacity",
        description="Cost of each role as slopes over its load.",
    )
    parser.add_argument("parts", nargs="+", choices=MEASUREMENTS)
    parser.add_argument("--repeats", type=int, default=3)
    options = parser.parse_args(arguments)
    report = {}
    for part in options.parts:
        start_s = time.monotonic()
        runs = [MEASUREMENTS[part]() for _ in range(options.repeats)]
        elapsed_s = round(time.monotonic() - start_s, 1)
        report[part] = {"elapsed_s": elapsed_s, **summarize(runs)}
        print(f"{part}: {elapsed_s} s", file=sys.stderr, flush=True)
    print(json.dumps(report, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
