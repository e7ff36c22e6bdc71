"""Benchmark: runs scenarios on a scaled fleet with each policy and baseline.

`python -m auburnway.load.bench settings/bench/calm.toml ...` starts a new
fleet for each scenario, policy and seed, so that no run starts with the
measurements of another run. The policies are interleaved, so that load from
other processes on the machine affects all of them.
"""

import argparse
import dataclasses
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import typing

import tomli_w

from auburnway.demo import fleet as fleet_lib
from auburnway.kernel import process
from auburnway.load import bench_fleet
from auburnway.load import bench_report
from auburnway.load import bench_settings
from auburnway.load import report as report_lib

# Delay between the start of the load tool's process and the first request;
# the imports of that process take 1 s.
LOAD_START_DELAY_MS = 2500.0
# Below the connection limit of an entry. With 400 connections, floods under
# the baselines, which have long queues, made requests fail in the load tool
# instead of at the entries.
CONNECTIONS_PER_ENTRY = 1900
# The load tool is killed if it still runs this long after the end of the
# scenario.
LOAD_EXTRA_TIMEOUT_S = 60.0


def main(arguments: list[str] | None = None) -> None:
    """Runs the benchmark; exits with 3 if an answer was incorrect."""
    parser = argparse.ArgumentParser(
        prog="auburnway.load.bench", description=__doc__.splitlines()[0]
    )
    parser.add_argument("scenarios", nargs="+", help="scenario files, TOML")
    parser.add_argument(
        "--fleet",
        default="settings/bench/fleet/fleet.toml",
        help="settings file of the fleet, TOML",
    )
    parser.add_argument("--seeds", type=int, default=3, help="number of seeds")
    parser.add_argument(
        "--policies",
        nargs="+",
        default=list(bench_settings.POLICIES),
        choices=list(bench_settings.POLICIES),
    )
    parser.add_argument(
        "--out", default="bench-results", help="folder for reports"
    )
    options = parser.parse_args(arguments)
    # Without this handler, SIGTERM would end the benchmark without stopping
    # the processes of its fleet.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(128 + signal.SIGTERM))
    fleet_settings = process.load_settings(
        bench_settings.FleetSettings, options.fleet
    )
    note_path = pathlib.Path(options.fleet).parent / fleet_settings.note_file
    scenarios = [
        process.load_settings(bench_settings.BenchScenario, path)
        for path in options.scenarios
    ]
    output_folder = pathlib.Path(options.out)
    output_folder.mkdir(parents=True, exist_ok=True)
    bench = Bench(fleet_settings, note_path.read_text("utf-8"), output_folder)
    fault_count = bench.run(scenarios, options.policies, options.seeds)
    if fault_count:
        raise SystemExit(3)


class Bench:
    """Runs the scenarios and writes their reports to a folder."""

    def __init__(
        self,
        fleet_settings: bench_settings.FleetSettings,
        note_text: str,
        output_folder: pathlib.Path,
    ):
        self._fleet_settings = fleet_settings
        self._note_text = note_text
        self._output_folder = output_folder
        self._rows_by_scenario: dict[
            str, dict[str, list[bench_report.Row]]
        ] = {}
        self._failures: list[str] = []

    def run(self, scenarios, policies: list[str], seeds: int) -> int:
        """Runs every combination and writes the table, the JSON and the plot.

        Args:
          scenarios: Settings of the scenarios.
          policies: Names of policy sets, keys of `bench_settings.POLICIES`.
          seeds: Number of seeds; the seeds count from 1.

        Returns:
          The number of faults found in the answers of all runs.
        """
        for scenario in scenarios:
            rows = self._rows_by_scenario.setdefault(scenario.name, {})
            for seed in range(1, seeds + 1):
                for policy in policies:
                    report = self._run_once(scenario, policy, seed)
                    if report is None:
                        continue
                    row = bench_report.run_figures(
                        report, scenario.flood_end_ms
                    )
                    rows.setdefault(policy, []).append(row)
            # The results are written after each scenario, so that an
            # interrupted benchmark keeps the completed measurements.
            self._write_results()
        results = self._summarize()
        print(bench_report.as_markdown(results))
        for failure in self._failures:
            print(f"not measured: {failure}")
        if results:
            bench_report.plot(results, str(self._output_folder / "bench.png"))
        return sum(
            int(row["faults"])
            for by_policy in self._rows_by_scenario.values()
            for rows in by_policy.values()
            for row in rows
        )

    def _summarize(self) -> dict[str, dict[str, dict]]:
        return {
            scenario: {
                policy: bench_report.summarize_runs(rows)
                for policy, rows in by_policy.items()
            }
            for scenario, by_policy in self._rows_by_scenario.items()
        }

    def _write_results(self) -> None:
        results = self._summarize()
        data = {
            "rows": self._rows_by_scenario,
            "results": results,
            "not_measured": self._failures,
        }
        (self._output_folder / "bench.json").write_text(
            json.dumps(data, indent=1)
        )
        table = bench_report.as_markdown(results)
        (self._output_folder / "bench.md").write_text(table + "\n")

    def _run_once(
        self, scenario: bench_settings.BenchScenario, policy: str, seed: int
    ) -> report_lib.Report | None:
        """Returns the report of one run, or None if the run failed."""
        run_name = f"{scenario.name}/{policy}/{seed}"
        start_s = time.monotonic()
        note_text = self._note_text + policy_note_lines(policy)
        with tempfile.TemporaryDirectory(
            prefix="auburnway-bench-"
        ) as folder_name:
            folder = pathlib.Path(folder_name)
            try:
                with bench_fleet.BenchFleet(
                    self._fleet_settings, note_text, folder
                ) as fleet:
                    report = self._run_load_tool(scenario, seed, fleet, folder)
            except (fleet_lib.NotReady, subprocess.SubprocessError) as error:
                self._failures.append(f"{run_name}: {error}")
                print(f"{run_name} failed: {error}", flush=True)
                return None
        report_path = self._output_folder / f"{run_name.replace('/', '-')}.json"
        report_path.write_text(json.dumps(report, indent=1))
        elapsed_s = time.monotonic() - start_s
        print(f"{run_name} ({elapsed_s:.0f} s)", flush=True)
        print(report_lib.as_text(report), flush=True)
        return report

    def _run_load_tool(
        self,
        scenario: bench_settings.BenchScenario,
        seed: int,
        fleet: bench_fleet.BenchFleet,
        folder: pathlib.Path,
    ) -> report_lib.Report:
        """Runs the load tool against a fleet and returns the tool's report.

        Raises:
          fleet_lib.NotReady: The load tool wrote no report.
          subprocess.TimeoutExpired: The load tool did not exit in time.
        """
        scenario_path = folder / "scenario.toml"
        report_path = folder / "report.json"
        scenario_path.write_text(
            tomli_w.dumps(self._load_scenario_data(scenario, seed, fleet))
        )
        start_wall_ms = time.time() * 1000.0 + LOAD_START_DELAY_MS
        kill_thread = fleet.schedule_kills(scenario.kills, start_wall_ms)
        subprocess.run(
            [
                sys.executable,
                "-m",
                "auburnway.load.main",
                str(scenario_path),
                "--json",
                str(report_path),
                "--start-wall-ms",
                str(int(start_wall_ms)),
            ],
            stdout=subprocess.DEVNULL,
            timeout=scenario.duration_ms / 1000.0 + LOAD_EXTRA_TIMEOUT_S,
        )
        kill_thread.join()
        if not report_path.exists():
            raise fleet_lib.NotReady("the load tool wrote no report")
        return json.loads(report_path.read_text())

    def _load_scenario_data(
        self,
        scenario: bench_settings.BenchScenario,
        seed: int,
        fleet: bench_fleet.BenchFleet,
    ) -> dict[str, typing.Any]:
        kinds_by_application: dict[str, list[str]] = {}
        for kind, application in applications_by_kind(self._note_text).items():
            kinds_by_application.setdefault(application, []).append(kind)
        truth = []
        for index, application in enumerate(self._fleet_settings.applications):
            partitions = [
                {
                    "snapshot": bench_fleet.FIRST_SNAPSHOT,
                    "shard_count": application.services,
                }
            ]
            if index == 0:
                partitions += [
                    _as_toml(partition) for partition in scenario.partitions
                ]
            truth.append(
                {
                    "kinds": kinds_by_application.get(application.name, []),
                    "catalogue": application.catalogue,
                    "records": application.records,
                    "seed": self._fleet_settings.seed,
                    "partitions": partitions,
                }
            )
        return {
            "name": scenario.name,
            "duration_ms": scenario.duration_ms,
            "warm_up_ms": scenario.warm_up_ms,
            "seed": seed,
            "entries": fleet.entry_addresses,
            "standin_controls": fleet.standin_controls,
            "connections_per_entry": CONNECTIONS_PER_ENTRY,
            "streams": [_as_toml(stream) for stream in scenario.streams],
            "events": [_as_toml(event) for event in scenario.events],
            "truth": truth,
        }


def policy_note_lines(policy: str) -> str:
    """Returns the lines of a release note that select a set of policies."""
    return "".join(
        f'\n[[add.policy]]\nname = "{name}"\nvalue = "{value}"\n'
        for name, value in bench_settings.POLICIES[policy].items()
    )


def applications_by_kind(text: str) -> dict[str, str]:
    """Maps each request kind that a release note adds to its application."""
    kinds = tomllib.loads(text).get("add", {}).get("kind", [])
    return {kind["name"]: kind["application"] for kind in kinds}


def _as_toml(record: typing.Any) -> dict[str, typing.Any]:
    """Converts a settings record to TOML data.

    Fields that are None are left out, because TOML has no null.
    """
    return {
        name: list(value) if isinstance(value, tuple) else value
        for name, value in dataclasses.asdict(record).items()
        if value is not None
    }


if __name__ == "__main__":
    main()
