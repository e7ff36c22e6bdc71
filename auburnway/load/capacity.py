"""Measures what one process of each role costs, as slopes over its load.

Each part starts a few processes on loopback, repeats its measurement and
prints JSON with all runs, the median and the spread. docs/CAPACITY.md works
out the target size from the slopes.

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

PARTS: dict[str, abc.Callable[[], list[dict]]] = {
    "leases": capacity_control.leases,
    "log": capacity_control.log,
    "query": capacity_entry.query,
    "table": capacity_entry.table,
    "connections": capacity_entry.connections,
}


def slope(points: abc.Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Returns base and slope of the least-squares line through the points."""
    line = statistics.linear_regression(*zip(*points, strict=True))
    return line.intercept, line.slope


def summarize(runs: abc.Sequence[list[dict]]) -> dict:
    """Returns rows by size with median and spread, and the slopes.

    Args:
      runs: One list of rows per repeat. Each row holds `size` and figures.

    Returns:
      `rows`: per size and figure [median, least, greatest] over the repeats;
      `slopes`: per figure {base, per_unit: [median, least, greatest]}.
    """
    rows = []
    for same in zip(*runs, strict=True):
        row = {"size": same[0]["size"]}
        for key in same[0].keys() - {"size"}:
            row[key] = _spread([run[key] for run in same])
        rows.append(row)
    slopes = {}
    for key in sorted(runs[0][0].keys() - {"size"}):
        lines = [slope([(r["size"], r[key]) for r in run]) for run in runs]
        slopes[key] = {
            "base": _spread([base for base, _ in lines]),
            "per_unit": _spread([per_unit for _, per_unit in lines]),
        }
    return {"rows": rows, "slopes": slopes}


def _spread(values):
    return [
        float(f"{v:.4g}")
        for v in (statistics.median(values), min(values), max(values))
    ]


def main(arguments: abc.Sequence[str] | None = None) -> int:
    """Runs the parts named and prints one JSON document."""
    parser = argparse.ArgumentParser(
        prog="capacity", description="Cost of each role, as slopes."
    )
    parser.add_argument("parts", nargs="+", choices=PARTS)
    parser.add_argument("--repeats", type=int, default=3)
    options = parser.parse_args(arguments)
    report = {}
    for part in options.parts:
        begin_s = time.monotonic()
        runs = [PARTS[part]() for _ in range(options.repeats)]
        elapsed_s = round(time.monotonic() - begin_s, 1)
        report[part] = {"elapsed_s": elapsed_s, **summarize(runs)}
        print(f"{part}: {elapsed_s} s", file=sys.stderr, flush=True)
    print(json.dumps(report, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
