"""Formats the report of a load run as text and as a plot."""

import typing

Report = dict[str, typing.Any]


def as_text(report: Report) -> str:
    """Returns the figures of a report as text for a terminal."""
    lines = [
        f"scenario {report['scenario']}, seed {report['seed']}, "
        f"{report['requests']} requests, "
        f"{report['measured_ms'] / 1000:g} s measured",
        f"{'rank':12} {'offered/s':>9} {'good':>7} {'p50 ms':>8} "
        f"{'p90 ms':>8} {'p99 ms':>8} {'max ms':>8}  outcomes",
    ]
    for rank, row in report["ranks"].items():
        latency = row["latency_ms"]
        quantiles = " ".join(
            f"{latency[name]:8.1f}" if latency else f"{'-':>8}"
            for name in ("p50", "p90", "p99", "max")
        )
        outcomes = ", ".join(
            f"{outcome} {count}" for outcome, count in row["outcomes"].items()
        )
        lines.append(
            f"{rank:12} {row['offered_per_s']:9.1f} "
            f"{row['good_share']:7.2%} {quantiles}  {outcomes}"
        )
    backend = report["backend"]
    extra = backend["extra_share"]
    lines += [
        f"backend: {backend['started']} sub-requests started, "
        f"{backend['needed']} needed, extra "
        f"{'-' if extra is None else format(extra, '.2%')}, "
        f"{backend['shed']} shed, {backend['cancelled']} cancelled, "
        f"{backend['crashes']} crashes, "
        f"{backend['slot_use_share']:.1%} of slot time used",
        f"truth: {report['truth']['checked']} answers checked, "
        f"faults {report['truth']['faults'] or 'none'}; "
        f"non-repeatable: {report['runs']}",
        f"failures of attempts: {report['attempt_failures'] or 'none'}; "
        f"generator lag p99 "
        f"{report['generator_lag_ms'].get('p99', 0.0):.1f} ms",
    ]
    lines += [f"  {example}" for example in report["truth"]["examples"]]
    lines += [
        f"event not applied: {event}" for event in report["unmatched_events"]
    ]
    return "\n".join(lines)


def fault_count(report: Report) -> int:
    """Returns the number of violated guarantees in a report."""
    runs = report["runs"]
    return (
        sum(report["truth"]["faults"].values())
        + runs["ran_twice"]
        + runs["done_without_run"]
        + runs["not_run_but_ran"]
    )


def plot(report: Report, path: str) -> None:
    """Writes latency and goodput over time for each rank to a PNG file.

    Args:
      report: Report of one run.
      path: File to write.
    """
    # The import takes half a second, and matplotlib is only a development
    # dependency.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (top, bottom) = pyplot.subplots(2, 1, figsize=(9, 7), sharex=True)
    for rank, row in report["ranks"].items():
        series = row["series"]
        at_s = [point["at_ms"] / 1000 for point in series]
        period_s = at_s[1] - at_s[0] if len(at_s) > 1 else 1.0
        (line,) = top.plot(
            at_s,
            [series_point["p99_ms"] for series_point in series],
            label=rank,
        )
        top.plot(
            at_s,
            [series_point["p50_ms"] for series_point in series],
            linestyle=":",
            color=line.get_color(),
        )
        bottom.plot(
            at_s,
            [series_point["good"] / period_s for series_point in series],
            color=line.get_color(),
        )
        bottom.plot(
            at_s,
            [series_point["offered"] / period_s for series_point in series],
            linestyle=":",
            color=line.get_color(),
        )
    top.set_ylabel("latency, ms (p99; dotted p50)")
    top.set_yscale("log")
    top.legend()
    bottom.set_ylabel("good answers/s (dotted: offered)")
    bottom.set_xlabel("seconds from the start")
    top.set_title(f"{report['scenario']}, seed {report['seed']}")
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
