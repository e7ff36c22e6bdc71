"""Command `auburnway-load`: runs an open-loop load scenario from a file."""

import argparse
import json
import pathlib

from auburnway.kernel import logs
from auburnway.kernel import process
from auburnway.load import report as report_lib
from auburnway.load import runner
from auburnway.load import scenario as scenario_lib

EXIT_FAULTS = 3


def main(arguments: list[str] | None = None) -> None:
    """Runs a scenario; exits with 3 if an answer was incorrect."""
    parser = argparse.ArgumentParser(
        prog="auburnway-load",
        description="Open-loop load test that checks the answers.",
    )
    parser.add_argument("scenario", help="scenario file, TOML")
    parser.add_argument("--json", help="write the report to this file")
    parser.add_argument("--plot", help="write a plot to this PNG file")
    parser.add_argument(
        "--start-wall-ms",
        type=float,
        help="start the run at this instant, milliseconds since the epoch",
    )
    parser.add_argument("--log-level", default="INFO", choices=logs.LEVELS)
    options = parser.parse_args(arguments)
    logs.set_up("load", options.log_level)
    scenario = process.load_settings(scenario_lib.Scenario, options.scenario)
    report = runner.Runner(scenario, options.start_wall_ms).run()
    print(report_lib.as_text(report))
    if options.json:
        pathlib.Path(options.json).write_text(json.dumps(report, indent=1))
    if options.plot:
        report_lib.plot(report, options.plot)
    if report_lib.fault_count(report):
        raise SystemExit(EXIT_FAULTS)


if __name__ == "__main__":
    main()
