"""The processes of one benchmark run: control, entries and stand-ins.

Each stand-in process simulates several backend servers, which leaves more
processor cores to the entries under test.
"""

import pathlib
import subprocess
import sys
import threading
import time

from returns import pipeline
import tomli_w

from auburnway.core import clock as clock_lib
from auburnway.demo import fleet as fleet_lib
from auburnway.demo import site as site_lib
from auburnway.load import bench_settings
from auburnway.rpc import control_client
from auburnway.rpc import control_pb2

FIRST_SNAPSHOT = 1
APPLY_TIMEOUT_MS = 2000.0
READY_TIMEOUT_MS = 30_000.0


class BenchFleet:
    """Context manager that starts a fleet and stops its processes on exit.

    Attributes:
      entry_addresses: `ip:port` of each entry.
      standin_controls: `ip:port` of the control interface of each stand-in
        process.
    """

    def __init__(
        self,
        settings: bench_settings.FleetSettings,
        note_text: str,
        folder: pathlib.Path,
    ):
        self._settings = settings
        self._note_text = note_text
        site = site_lib.Site(
            "bench",
            settings.data_centers,
            settings.note_file,
            settings.note_file,
            (),
            entries=settings.entries,
            control_instances=settings.control_instances,
            seed=settings.seed,
        )
        self._fleet = fleet_lib.Fleet(site, folder)
        self.entry_addresses = [m.address for m in self._fleet.entries]
        self.standin_controls: list[str] = []
        self._server_names: list[str] = []
        self._apply_error = ""
        self._configure_servers(folder)

    def __enter__(self) -> "BenchFleet":
        try:
            self._start()
        except BaseException:
            self._fleet.__exit__()
            raise
        return self

    def __exit__(self, *_) -> None:
        self._fleet.__exit__()

    def _configure_servers(self, folder: pathlib.Path) -> None:
        settings = self._settings
        replicas = [
            (application, shard, replica)
            for application in settings.applications
            for shard in range(application.services)
            for replica in range(application.backend_servers)
        ]
        ports = iter(
            fleet_lib.free_ports(len(replicas) + settings.standin_processes)
        )
        for standin_index in range(settings.standin_processes):
            control_address = f"127.0.0.1:{next(ports)}"
            server_settings = {
                "entries": self.entry_addresses,
                "fleet_token": fleet_lib.TOKEN,
                "control_address": control_address,
                "seed": settings.seed,
                "servers": [
                    self._server_data(*replica_key, f"127.0.0.1:{next(ports)}")
                    for replica_key in replicas[
                        standin_index :: settings.standin_processes
                    ]
                ],
            }
            name = f"standin-{standin_index + 1}"
            settings_path = folder / f"{name}.toml"
            settings_path.write_text(tomli_w.dumps(server_settings))
            command = [sys.executable, "-m", "auburnway.standin.main"]
            command += ["--settings", str(settings_path)]
            self.standin_controls.append(control_address)
            self._fleet.backend_servers.append(
                fleet_lib.Member(name, command, control_address)
            )

    def _server_data(self, application, shard, replica, address) -> dict:
        data_centers = self._settings.data_centers
        name = f"{application.name}-{shard + 1}-{replica + 1}"
        self._server_names.append(name)
        return {
            "name": name,
            "application": application.name,
            "address": address,
            "data_center": data_centers[replica % len(data_centers)],
            "slots": application.slots,
            "connection_limit": application.connections,
            "catalogue": application.catalogue,
            "records": application.records,
            "service_ms": application.service_ms,
            "service_sigma": application.service_sigma,
            "snapshots": [
                {
                    "snapshot": FIRST_SNAPSHOT,
                    "shard_count": application.services,
                    "shards": [shard],
                }
            ],
        }

    def _start(self) -> None:
        fleet = self._fleet
        self._initialize_control()
        for member in fleet.members:
            fleet.start(member)
        with control_client.ControlClient(
            tuple(m.address for m in fleet.control),
            fleet_lib.TOKEN,
            clock_lib.SystemClock(),
        ) as client:
            try:
                fleet.wait_for(
                    lambda: self._apply(client),
                    "acceptance of the release note",
                    READY_TIMEOUT_MS,
                )
            except fleet_lib.NotReady as error:
                raise fleet_lib.NotReady(
                    f"{error}: {self._apply_error}"
                ) from None
        for entry in fleet.entries:
            try:
                fleet.wait_for(
                    lambda entry=entry: not self._not_ready_reason(entry),
                    f"{entry.name} with all backend servers",
                    READY_TIMEOUT_MS,
                )
            except fleet_lib.NotReady as error:
                reason = self._not_ready_reason(entry) or "became ready later"
                raise fleet_lib.NotReady(f"{error}: {reason}") from None

    def _initialize_control(self) -> None:
        """Initializes the disks of all control instances in parallel.

        The initialization of one disk takes 3 s.
        """
        init_processes = []
        for member in self._fleet.control:
            settings_path = self._fleet.folder / f"{member.name}.toml"
            command = [sys.executable, "-m", "auburnway.control.main", "init"]
            command += [
                "--settings",
                str(settings_path),
                "--log-level",
                "WARNING",
            ]
            init_processes.append(subprocess.Popen(command))
        exit_codes = [
            process.wait(READY_TIMEOUT_MS / 1000.0)
            for process in init_processes
        ]
        if any(exit_codes):
            raise fleet_lib.NotReady(
                f"init of control exited with {exit_codes}"
            )

    def _apply(self, client: control_client.ControlClient) -> bool:
        outcome = client.call(
            "Apply",
            control_pb2.NoteRequest(text=self._note_text, author="bench"),
            APPLY_TIMEOUT_MS,
        )
        if not pipeline.is_successful(outcome):
            self._apply_error = outcome.failure().message
            return False
        self._apply_error = "; ".join(
            f"{error.source}: {error.message}"
            for error in outcome.unwrap().errors
        )
        return not self._apply_error

    def _not_ready_reason(self, entry: fleet_lib.Member) -> str:
        """Returns why an entry is not ready; empty if the entry is ready."""
        exits = [
            f"{member.name} exited with {member.process.returncode}"
            for member in self._fleet.members
            if member.process.poll() is not None
        ]
        if exits:
            # A member can fail to start because another process has bound its
            # port since the check that the port was free.
            return "; ".join(exits)
        status = self._fleet.status(entry)
        if not status:
            return "no status"
        serving = {
            row["name"]
            for row in status["backend_servers"]
            if row["state"] == "serving"
        }
        not_serving = [
            name for name in self._server_names if name not in serving
        ]
        if not status["leased"] or not status["configuration_number"]:
            return "no lease or no release note"
        return (
            f"servers not in state serving: {', '.join(not_serving)}"
            if not_serving
            else ""
        )

    def schedule_kills(
        self, kills: tuple[bench_settings.Kill, ...], start_wall_ms: float
    ) -> threading.Thread:
        """Starts a thread that sends each signal at its scheduled time.

        Args:
          kills: Signals, with times relative to the start of the run.
          start_wall_ms: Start of the run, milliseconds since the epoch.

        Returns:
          The thread, which ends after the last signal.
        """

        def send_signals():
            for kill in sorted(kills, key=lambda kill: kill.at_ms):
                due_ms = start_wall_ms + kill.at_ms
                time.sleep(max(due_ms / 1000.0 - time.time(), 0.0))
                for member in self._fleet.members:
                    if member.name != kill.process:
                        continue
                    if kill.signal == "KILL":
                        self._fleet.kill(member)
                    else:
                        member.process.terminate()

        thread = threading.Thread(target=send_signals, daemon=True)
        thread.start()
        return thread
