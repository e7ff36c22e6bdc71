"""Median and range of the benchmark figures, as Markdown and as a plot."""

import statistics
import typing

from auburnway.load import report as report_lib
from auburnway.load import tally

Row = dict[str, float | None]

# Column titles of the table by name of the figure.
COLUMNS = {
    "urgent_p50_ms": "urgent p50 ms",
    "urgent_p99_ms": "urgent p99 ms",
    "urgent_good_share": "urgent good",
    "standard_good_share": "standard good",
    "background_good_per_s": "background good/s",
    "good_per_s": "all good/s",
    "partial_share": "partial",
    "extra_share": "extra load",
    "slot_use_share": "slots used",
    "cut_off": "cut off",
    "faults": "untrue",
    "recovery_ms": "recovery ms",
}
# A period counts as slow if its p99 is above this multiple of the median p99
# of the last quarter of the run after the flood.
RECOVERED_RATIO = 1.5


def run_figures(report: report_lib.Report, flood_end_ms: float) -> Row:
    """Returns the figures of one run that the table compares.

    Args:
      report: Report of the load tool.
      flood_end_ms: End of the flood, from the start of the run; 0 without a
        flood.
    """
    ranks = report["ranks"]
    outcomes: dict[str, int] = {}
    for row in ranks.values():
        for name, count in row["outcomes"].items():
            outcomes[name] = outcomes.get(name, 0) + count
    offered = sum(row["offered"] for row in ranks.values())
    urgent = ranks.get("urgent", {})
    latency = urgent.get("latency_ms", {})
    failures = report["attempt_failures"]
    return {
        "urgent_p50_ms": latency.get("p50"),
        "urgent_p99_ms": latency.get("p99"),
        "urgent_good_share": urgent.get("good_share"),
        "standard_good_share": ranks.get("standard", {}).get("good_share"),
        "background_good_per_s": ranks.get("background", {}).get("good_per_s"),
        "good_per_s": sum(row["good_per_s"] for row in ranks.values()),
        "partial_share": outcomes.get("partial", 0) / max(offered, 1),
        "extra_share": report["backend"]["extra_share"],
        "slot_use_share": report["backend"]["slot_use_share"],
        "cut_off": failures.get("cut_off", 0) + failures.get("no_answer", 0),
        "faults": report_lib.fault_count(report),
        "recovery_ms": _recovery_ms(urgent, flood_end_ms),
    }


def _recovery_ms(urgent: dict, flood_end_ms: float) -> float | None:
    """Returns the time from a flood's end to the end of the last slow period.

    A period without `done` or `partial` answers counts as slow as well.

    Args:
      urgent: Row of the rank `urgent` in the report.
      flood_end_ms: End of the flood, from the start of the run; 0 without a
        flood.

    Returns:
      Milliseconds, or None without a flood or without measured periods.
    """
    series = urgent.get("series", [])
    if not flood_end_ms or not series:
        return None
    later_periods = [
        period for period in series if period["at_ms"] >= flood_end_ms
    ]
    # No flood follows, so the last quarter of the remaining run gives the
    # baseline p99 of the same run.
    last_quarter_p99 = [
        period["p99_ms"]
        for period in later_periods[-max(len(later_periods) // 4, 1) :]
    ]
    baseline_p99 = [value for value in last_quarter_p99 if value is not None]
    if not baseline_p99:
        return None
    threshold_ms = statistics.median(baseline_p99) * RECOVERED_RATIO
    slow_period_ends = [
        point["at_ms"] + tally.SERIES_PERIOD_MS
        for point in later_periods
        if point["p99_ms"] is None or point["p99_ms"] > threshold_ms
    ]
    return max(slow_period_ends, default=flood_end_ms) - flood_end_ms


def summarize_runs(rows: list[Row]) -> dict[str, typing.Any]:
    """Returns the median, least and greatest value of each figure."""
    summary = {}
    for name in COLUMNS:
        values = [row[name] for row in rows if row[name] is not None]
        if values:
            summary[name] = {
                "median": statistics.median(values),
                "least": min(values),
                "greatest": max(values),
            }
    return summary


def as_markdown(results: dict[str, dict[str, dict]]) -> str:
    """Returns a table with a row for each scenario and policy.

    A cell shows the median, and the least and the greatest value if they
    differ.

    Args:
      results: Summaries by scenario and policy.
    """
    titles = ["scenario", "policy", *COLUMNS.values()]
    lines = [
        "| " + " | ".join(titles) + " |",
        "|" + "---|" * len(titles),
    ]
    for scenario, by_policy in results.items():
        for policy, summary in by_policy.items():
            cells = [_cell(name, summary.get(name)) for name in COLUMNS]
            lines.append(
                f"| {scenario} | {policy} | " + " | ".join(cells) + " |"
            )
    return "\n".join(lines)


def _cell(name: str, summary: dict[str, float] | None) -> str:
    if summary is None:
        return "-"
    number_format = "{:.1%}" if name.endswith("_share") else "{:.1f}"
    if name in ("cut_off", "faults", "recovery_ms"):
        number_format = "{:.0f}"
    median, least, greatest = (
        number_format.format(summary[key])
        for key in ("median", "least", "greatest")
    )
    if least == greatest:
        return median
    return f"{median} ({least} to {greatest})"


def plot(results: dict[str, dict[str, dict]], path: str) -> None:
    """Writes urgent p99 and goodput by scenario and policy to a PNG file."""
    # The import takes half a second, and matplotlib is only a development
    # dependency.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    scenarios = list(results)
    policies = list(
        dict.fromkeys(
            policy_name
            for by_policy in results.values()
            for policy_name in by_policy
        )
    )
    figure, axes = pyplot.subplots(3, 1, figsize=(11, 11), sharex=True)
    names = ("urgent_p99_ms", "urgent_good_share", "good_per_s")
    width = 0.8 / max(len(policies), 1)
    for axis, name in zip(axes, names, strict=True):
        for index, policy in enumerate(policies):
            summaries = [
                results[scenario].get(policy, {}).get(name)
                for scenario in scenarios
            ]
            medians = [
                summary["median"] if summary else 0.0 for summary in summaries
            ]
            low = [
                summary["median"] - summary["least"] if summary else 0.0
                for summary in summaries
            ]
            high = [
                summary["greatest"] - summary["median"] if summary else 0.0
                for summary in summaries
            ]
            axis.bar(
                [
                    x + (index - (len(policies) - 1) / 2) * width
                    for x in range(len(scenarios))
                ],
                medians,
                width,
                yerr=[low, high],
                capsize=2,
                label=policy,
            )
        axis.set_ylabel(COLUMNS[name])
    axes[0].set_yscale("log")
    axes[0].legend()
    axes[-1].set_xticks(range(len(scenarios)), scenarios, rotation=30)
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
