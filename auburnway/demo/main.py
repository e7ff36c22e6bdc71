"""Command `auburnway-demo`: one site's shape on one machine.

Starts every process, applies two release notes, sends real queries and a
non-repeatable request, resends it at another entry, checks each answer
against the generator of the records, ends one process of each role under
load, and stops everything.
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
    """Runs the demonstration; the exit code is 0 when all held."""
    parser = argparse.ArgumentParser(
        prog="auburnway-demo", description="One site's shape on one machine."
    )
    parser.add_argument("--settings", required=True, help="site file, TOML")
    parser.add_argument(
        "--keep", metavar="FOLDER", help="keep settings, logs and disks here"
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
    print("all answers were whole or truly partial")


class Demonstration:
    """The steps of the demonstration."""

    def __init__(self, fleet: fleet_lib.Fleet, settings_folder: pathlib.Path):
        self._fleet = fleet
        self._site = fleet.site
        self._settings_folder = settings_folder
        self._begin_s = time.monotonic()
        self.failures: list[str] = []

    def run(self) -> None:
        """Runs all steps in order."""
        fleet, site = self._fleet, self._site
        fleet.start_all()
        self._say(
            f"{site.name}: {len(fleet.entries)} entries,"
            f" {len(fleet.control)} control processes,"
            f" {len(fleet.backend_servers)} backend servers started"
        )
        self._apply(site.note_file)
        for entry in fleet.entries:
            fleet.wait_for(
                lambda entry=entry: fleet.knows_fleet(entry, 1),
                f"{entry.name} serving",
            )
        self._say("all entries serve release note 1 with the whole table")
        for query in site.queries:
            self._query(query)
        self._apply(site.second_note_file)
        self._load_with_kills()

    def _say(self, text: str) -> None:
        elapsed_s = time.monotonic() - self._begin_s
        print(f"[{elapsed_s:5.1f} s] {text}", flush=True)

    def _check(self, condition: bool, what: str) -> None:
        if not condition:
            self.failures.append(what)
            self._say(f"CHECK FAILED: {what}")

    def _apply(self, note_file: str) -> None:
        path = self._settings_folder / note_file

        def attempt():
            done = self._fleet.operator("apply", str(path))
            self._last_output = done.stdout + done.stderr
            return done.returncode == 0

        try:
            self._fleet.wait_for(attempt, f"release note {note_file} in force")
        except fleet_lib.NotReady:
            print(self._last_output)
            raise
        self._say(f"applied {note_file}:")
        print(_indent(self._last_output))

    def _query(self, query: site_lib.Query) -> None:
        first, second = self._fleet.entries[:2]
        fields = dict(field.split("=", 1) for field in query.fields)
        body = {"caller": query.caller, "kind": query.kind, "query": fields}
        if not query.repeatable:
            body["idempotency_key"] = f"{time.time_ns() // 1_000_000}-demo"
        begin_s = time.monotonic()
        status, answer = fleet_lib.call(
            first.address, "POST", "/v1/requests", body
        )
        elapsed_ms = (time.monotonic() - begin_s) * 1000.0
        self._check(
            status == 200 and answer["outcome"] == "done",
            f"{query.kind} answered: {answer}",
        )
        if status != 200:
            return
        coverage = answer["coverage"]
        self._say(
            f"{query.kind} for {query.caller}: {len(answer['records'])}"
            f" records of snapshot {answer['snapshot']}, coverage"
            f" {coverage['covered_weight']}/{coverage['total_weight']}, rank"
            f" {answer['rank']}, release note"
            f" {answer['configuration_number']}, {elapsed_ms:.1f} ms"
        )
        if query.repeatable:
            self._check(
                answer["records"] == self._expected(query, fields),
                f"{query.kind} gives the true records",
            )
            return
        again, resent = fleet_lib.call(
            second.address, "POST", "/v1/requests", body
        )
        self._check(
            again == 200 and resent["request_id"] == answer["request_id"],
            f"resend at {second.name} gives the recorded answer: {resent}",
        )
        self._say(
            f"{query.kind} resent at {second.name}: recorded answer of"
            f" {resent.get('request_id')}, not run again"
        )

    def _expected(self, query: site_lib.Query, fields: dict) -> list[dict]:
        application = next(
            a for a in self._site.applications if a.name == query.application
        )
        records = catalogue.shared(
            application.catalogue, self._site.seed, application.records
        )
        return [
            record
            for shard in range(application.services)
            for record in records.expected(
                fields, SNAPSHOT, application.services, (shard,)
            )
        ]

    def _load_with_kills(self) -> None:
        """Sends load and ends one process of each role meanwhile."""
        fleet = self._fleet
        victims = [
            fleet.backend_servers[0],
            fleet.entries[-1],
            self._leader(),
        ]
        report_path = fleet.folder / "report.json"
        load = subprocess.Popen(
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
        for victim in victims:
            time.sleep(self._site.load_ms / 1000.0 / (len(victims) + 1))
            fleet.kill(victim)
            self._say(f"killed {victim.name} under load")
        load.wait()
        report = json.loads(report_path.read_text())
        self._say("load report:")
        print(_indent(report_lib.as_text(report)))
        faults = report_lib.fault_count(report)
        self._check(faults == 0, f"{faults} untrue answers")

    def _write_scenario(self) -> pathlib.Path:
        site, fleet = self._site, self._fleet
        streams = [
            {
                "caller": query.caller,
                "kind": query.kind,
                "rank": query.rank,
                "rate": query.rate,
                "query": {f.split("=")[0]: "*" for f in query.fields},
                "repeatable": query.repeatable,
                "fan_out": query.repeatable,
            }
            for query in site.queries
        ]
        truth = [
            {
                "kinds": [
                    q.kind
                    for q in site.queries
                    if q.application == application.name
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
        done = self._fleet.operator("--json", "status")
        for member in self._fleet.control:
            if f'"leader_address": "{member.address}"' in done.stdout:
                return member
        return self._fleet.control[0]


def _indent(text: str) -> str:
    return "\n".join(f"    {line}" for line in text.strip().splitlines())


if __name__ == "__main__":
    main()
