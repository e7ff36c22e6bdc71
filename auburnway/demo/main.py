"""Command `auburnway-demo`: runs a scaled-down site on one machine.

The demonstration starts all processes, applies two release notes, and sends
queries and a non-repeatable request, which is sent again to another entry. Each
answer is checked against the generated records. Then one process of each role
is killed under load, and all processes are stopped.
"""

import argparse
import json
import pathlib
import subprocess
import sys
import time

import tomli_w

from auburnway.demo import fleet as fleet_lib
from auburnway.demo import site as site_lib
from auburnway.kernel import process
from auburnway.load import report as report_lib
from auburnway.standin import catalogue

SNAPSHOT = 1


def main() -> None:
    """Runs the demonstration; the exit code is 0 if all checks passed."""
    parser = argparse.ArgumentParser(
        prog="auburnway-demo",
        description="Runs a scaled-down site on one machine.",
    )
    parser.add_argument(
        "--settings", required=True, help="settings file of the site, TOML"
    )
    parser.add_argument(
        "--keep",
        metavar="FOLDER",
        help="folder in which settings, logs and data are kept",
    )
    arguments = parser.parse_args()
    site = process.load_settings(site_lib.Site, arguments.settings)
    folder = pathlib.Path(arguments.keep) if arguments.keep else None
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
    with fleet_lib.Fleet(site, folder) as fleet:
        demonstration = Demonstration(
            fleet, pathlib.Path(arguments.settings).parent
        )
        try:
            demonstration.run()
        except fleet_lib.NotReady as error:
            print(f"FAILED: {error}")
            sys.exit(1)
    print("stopped all processes")
    if demonstration.failures:
        print(f"FAILED: {len(demonstration.failures)} checks")
        sys.exit(1)
    print("all answers were complete, or partial with correct coverage")


class Demonstration:
    """Runs the steps of the demonstration and collects failed checks."""

    def __init__(self, fleet: fleet_lib.Fleet, settings_folder: pathlib.Path):
        self._fleet = fleet
        self._site = fleet.site
        self._settings_folder = settings_folder
        self._start_s = time.monotonic()
        self.failures: list[str] = []

    def run(self) -> None:
        """Runs all steps in order."""
        fleet, site = self._fleet, self._site
        fleet.start_all()
        self._print_step(
            f"{site.name}: {len(fleet.entries)} entries,"
            f" {len(fleet.control)} control processes,"
            f" {len(fleet.backend_servers)} backend servers started"
        )
        self._apply_note(site.note_file)
        for entry in fleet.entries:
            fleet.wait_for(
                lambda entry=entry: fleet.is_entry_ready(entry, 1),
                f"{entry.name} is ready",
            )
        self._print_step(
            "all entries serve release note 1 and list all backend servers"
        )
        for query in site.queries:
            self._run_query(query)
        self._apply_note(site.second_note_file)
        self._load_with_kills()

    def _print_step(self, text: str) -> None:
        elapsed_s = time.monotonic() - self._start_s
        print(f"[{elapsed_s:5.1f} s] {text}", flush=True)

    def _check(self, condition: bool, description: str) -> None:
        if not condition:
            self.failures.append(description)
            self._print_step(f"CHECK FAILED: {description}")

    def _apply_note(self, note_file: str) -> None:
        path = self._settings_folder / note_file

        def attempt():
            completed = self._fleet.run_operator_command("apply", str(path))
            self._operator_output = completed.stdout + completed.stderr
            return completed.returncode == 0

        try:
            self._fleet.wait_for(
                attempt, f"release note {note_file} is in force"
            )
        except fleet_lib.NotReady:
            print(self._operator_output)
            raise
        self._print_step(f"applied {note_file}:")
        print(_indent(self._operator_output))

    def _run_query(self, query: site_lib.Query) -> None:
        first_entry, second_entry = self._fleet.entries[:2]
        fields = dict(field.split("=", 1) for field in query.fields)
        body = {"caller": query.caller, "kind": query.kind, "query": fields}
        if not query.repeatable:
            body["idempotency_key"] = f"{time.time_ns() // 1_000_000}-demo"
        begin_s = time.monotonic()
        status, answer = fleet_lib.call_http(
            first_entry.address, "POST", "/v1/requests", body
        )
        elapsed_ms = (time.monotonic() - begin_s) * 1000.0
        self._check(
            status == 200 and answer["outcome"] == "done",
            f"{query.kind} is answered: {answer}",
        )
        if status != 200:
            return
        coverage = answer["coverage"]
        self._print_step(
            f"{query.kind} for {query.caller}: {len(answer['records'])}"
            f" records of snapshot {answer['snapshot']}, coverage"
            f" {coverage['covered_weight']}/{coverage['total_weight']}, rank"
            f" {answer['rank']}, release note"
            f" {answer['configuration_number']}, {elapsed_ms:.1f} ms"
        )
        if query.repeatable:
            self._check(
                answer["records"] == self._expected_records(query, fields),
                f"{query.kind} returns the expected records",
            )
            return
        retry_status, retry_answer = fleet_lib.call_http(
            second_entry.address, "POST", "/v1/requests", body
        )
        self._check(
            retry_status == 200
            and retry_answer["request_id"] == answer["request_id"],
            f"retry at {second_entry.name} returns the recorded answer:"
            f" {retry_answer}",
        )
        self._print_step(
            f"{query.kind} retried at {second_entry.name}: recorded answer of"
            f" {retry_answer.get('request_id')}, not run again"
        )

    def _expected_records(
        self, query: site_lib.Query, fields: dict
    ) -> list[dict]:
        application = next(
            candidate
            for candidate in self._site.applications
            if candidate.name == query.application
        )
        record_catalogue = catalogue.shared_catalogue(
            application.catalogue, self._site.seed, application.records
        )
        return [
            record
            for shard in range(application.services)
            for record in record_catalogue.matching_records(
                fields, SNAPSHOT, application.services, (shard,)
            )
        ]

    def _load_with_kills(self) -> None:
        """Sends load and kills one process of each role during the load."""
        fleet = self._fleet
        members_to_kill = [
            fleet.backend_servers[0],
            fleet.entries[-1],
            self._leader(),
        ]
        report_path = fleet.folder / "report.json"
        load_process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "auburnway.load.main",
                str(self._write_scenario()),
                "--json",
                str(report_path),
            ],
            stdout=subprocess.DEVNULL,
        )
        for member in members_to_kill:
            time.sleep(self._site.load_ms / 1000.0 / (len(members_to_kill) + 1))
            fleet.kill(member)
            self._print_step(f"killed {member.name} under load")
        load_process.wait()
        report = json.loads(report_path.read_text())
        self._print_step("load report:")
        print(_indent(report_lib.as_text(report)))
        faults = report_lib.fault_count(report)
        self._check(faults == 0, f"{faults} incorrect answers")

    def _write_scenario(self) -> pathlib.Path:
        site, fleet = self._site, self._fleet
        streams = [
            {
                "caller": query.caller,
                "kind": query.kind,
                "rank": query.rank,
                "rate": query.rate,
                "query": {field.split("=")[0]: "*" for field in query.fields},
                "repeatable": query.repeatable,
                "fan_out": query.repeatable,
            }
            for query in site.queries
        ]
        truth = [
            {
                "kinds": [
                    candidate.kind
                    for candidate in site.queries
                    if candidate.application == application.name
                ],
                "catalogue": application.catalogue,
                "records": application.records,
                "seed": site.seed,
                "partitions": [
                    {"snapshot": SNAPSHOT, "shard_count": application.services}
                ],
            }
            for application in site.applications
        ]
        scenario = {
            "name": f"{site.name} with kills",
            "entries": [member.address for member in fleet.entries],
            "standin_controls": [
                member.control_address for member in fleet.backend_servers
            ],
            "duration_ms": site.load_ms,
            "seed": site.seed,
            "streams": streams,
            "truth": truth,
        }
        path = fleet.folder / "scenario.toml"
        path.write_text(tomli_w.dumps(scenario))
        return path

    def _leader(self) -> fleet_lib.Member:
        completed = self._fleet.run_operator_command("--json", "status")
        for member in self._fleet.control:
            if f'"leader_address": "{member.address}"' in completed.stdout:
                return member
        return self._fleet.control[0]


def _indent(text: str) -> str:
    return "\n".join(f"    {line}" for line in text.strip().splitlines())


if __name__ == "__main__":
    main()
