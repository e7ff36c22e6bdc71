"""Bench: scenarios on a scaled fleet, with the policies and the baselines.

`python -m auburnway.load.bench settings/bench/calm.toml ...` starts a fresh
fleet for each scenario, policy and seed, so that no run inherits measurements
of another, and interleaves the policies, so that noise of the machine falls on
all of them.
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

# Start of the load after its process was started, which imports for 1 s.
LOAD_LEAD_MS = 2500.0
# Below the limit of an entry. With 400, floods under the baselines, whose queue
# is long, ended requests in the load tool instead of at the entries.
CONNECTIONS_PER_ENTRY = 1900
# A load run ends by itself; this much later it is taken as stuck.
LOAD_SLACK_S = 60.0


def main(arguments: list[str] | None = None) -> None:
    """Runs the bench; exits with 3 when an answer was untrue."""
    parser = argparse.ArgumentParser(
        prog="auburnway.load.bench", description=__doc__.splitlines()[0]
    )
    parser.add_argument("scenarios", nargs="+", help="scenario files, TOML")
    parser.add_argument(
        "--fleet", default="settings/bench/fleet/fleet.toml", help="fleet, TOML"
    )
    parser.add_argument("--seeds", type=int, default=3, help="runs of each")
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
    # Without this a terminated bench would leave its fleet running.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(128 + signal.SIGTERM))
    shape = process.load_settings(bench_settings.Shape, options.fleet)
    note = pathlib.Path(options.fleet).parent / shape.note_file
    scenarios = [
        process.load_settings(bench_settings.BenchScenario, path)
        for path in options.scenarios
    ]
    out = pathlib.Path(options.out)
    out.mkdir(parents=True, exist_ok=True)
    bench = Bench(shape, note.read_text("utf-8"), out)
    faults = bench.run(scenarios, options.policies, options.seeds)
    if faults:
        raise SystemExit(3)


class Bench:
    """Runs scenarios and writes their reports."""

    def __init__(
        self, shape: bench_settings.Shape, note_text: str, out: pathlib.Path
    ):
        self._shape = shape
        self._note_text = note_text
        self._out = out
        self._rows: dict[str, dict[str, list[bench_report.Row]]] = {}
        self._failed: list[str] = []

    def run(self, scenarios, policies: list[str], seeds: int) -> int:
        """Runs everything and writes table, JSON and plot.

        Returns:
          The number of untrue answers of all runs.
        """
        for scenario in scenarios:
            rows = self._rows.setdefault(scenario.name, {})
            for seed in range(1, seeds + 1):
                for policy in policies:
                    report = self._run_once(scenario, policy, seed)
                    if report is None:
                        continue
                    row = bench_report.figures(report, scenario.flood_end_ms)
                    rows.setdefault(policy, []).append(row)
            # Written after each scenario, so that a bench that is ended
            # early keeps what it has measured.
            self._write()
        results = self._results()
        print(bench_report.as_markdown(results))
        for failure in self._failed:
            print(f"not measured: {failure}")
        if results:
            bench_report.plot(results, str(self._out / "bench.png"))
        return sum(
            int(row["faults"])
            for by_policy in self._rows.values()
            for rows in by_policy.values()
            for row in rows
        )

    def _results(self) -> dict[str, dict[str, dict]]:
        return {
            scenario: {
                policy: bench_report.summarize(rows)
                for policy, rows in by_policy.items()
            }
            for scenario, by_policy in self._rows.items()
        }

    def _write(self) -> None:
        results = self._results()
        data = {
            "rows": self._rows,
            "results": results,
            "not_measured": self._failed,
        }
        (self._out / "bench.json").write_text(json.dumps(data, indent=1))
        table = bench_report.as_markdown(results)
        (self._out / "bench.md").write_text(table + "\n")

    def _run_once(
        self, scenario: bench_settings.BenchScenario, policy: str, seed: int
    ) -> report_lib.Report | None:
        """Returns the report of one run, or None when it failed."""
        title = f"{scenario.name}/{policy}/{seed}"
        begin_s = time.monotonic()
        note_text = self._note_text + policy_items(policy)
        with tempfile.TemporaryDirectory(prefix="auburnway-bench-") as name:
            folder = pathlib.Path(name)
            try:
                with bench_fleet.BenchFleet(
                    self._shape, note_text, folder
                ) as fleet:
                    report = self._load(scenario, seed, fleet, folder)
            except (fleet_lib.NotReady, subprocess.SubprocessError) as error:
                self._failed.append(f"{title}: {error}")
                print(f"{title} failed: {error}", flush=True)
                return None
        path = self._out / f"{title.replace('/', '-')}.json"
        path.write_text(json.dumps(report, indent=1))
        elapsed_s = time.monotonic() - begin_s
        print(f"{title} ({elapsed_s:.0f} s)", flush=True)
        print(report_lib.as_text(report), flush=True)
        return report

    def _load(
        self,
        scenario: bench_settings.BenchScenario,
        seed: int,
        fleet: bench_fleet.BenchFleet,
        folder: pathlib.Path,
    ) -> report_lib.Report:
        """Runs the load tool against a fleet and returns its report."""
        scenario_path = folder / "scenario.toml"
        report_path = folder / "report.json"
        scenario_path.write_text(
            tomli_w.dumps(self._load_scenario(scenario, seed, fleet))
        )
        start_wall_ms = time.time() * 1000.0 + LOAD_LEAD_MS
        kills = fleet.schedule(scenario.kills, start_wall_ms)
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
            timeout=scenario.duration_ms / 1000.0 + LOAD_SLACK_S,
        )
        kills.join()
        if not report_path.exists():
            raise fleet_lib.NotReady("the load tool wrote no report")
        return json.loads(report_path.read_text())

    def _load_scenario(
        self,
        scenario: bench_settings.BenchScenario,
        seed: int,
        fleet: bench_fleet.BenchFleet,
    ) -> dict[str, typing.Any]:
        kinds: dict[str, list[str]] = {}
        for kind, application in kinds_of_note(self._note_text).items():
            kinds.setdefault(application, []).append(kind)
        truth = []
        for number, application in enumerate(self._shape.applications):
            partitions = [
                {
                    "snapshot": bench_fleet.FIRST_SNAPSHOT,
                    "shard_count": application.services,
                }
            ]
            if number == 0:
                partitions += [_as_toml(p) for p in scenario.partitions]
            truth.append(
                {
                    "kinds": kinds.get(application.name, []),
                    "catalogue": application.catalogue,
                    "records": application.records,
                    "seed": self._shape.seed,
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


def policy_items(policy: str) -> str:
    """Returns the lines of a release note that choose the policies."""
    return "".join(
        f'\n[[add.policy]]\nname = "{name}"\nvalue = "{value}"\n'
        for name, value in bench_settings.POLICIES[policy].items()
    )


def kinds_of_note(text: str) -> dict[str, str]:
    """Returns the application of each kind that a release note adds."""
    kinds = tomllib.loads(text).get("add", {}).get("kind", [])
    return {kind["name"]: kind["application"] for kind in kinds}


def _as_toml(record: typing.Any) -> dict[str, typing.Any]:
    """Returns a settings record as TOML data, which has no null."""
    return {
        name: list(value) if isinstance(value, tuple) else value
        for name, value in dataclasses.asdict(record).items()
        if value is not None
    }


if __name__ == "__main__":
    main()
