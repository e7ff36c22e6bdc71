"""The processes of one bench run: control, entries and stand-ins.

Several backend servers share a stand-in process, so that the machine's cores
go to the entries, which are under test.
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
    """Context manager that starts a fleet and ends it.

    Attributes:
      entry_addresses: `ip:port` of the entries.
      standin_controls: Control addresses of the stand-in processes.
    """

    def __init__(
        self,
        shape: bench_settings.Shape,
        note_text: str,
        folder: pathlib.Path,
    ):
        self._shape = shape
        self._note_text = note_text
        site = site_lib.Site(
            "bench",
            shape.data_centers,
            shape.note_file,
            shape.note_file,
            (),
            entries=shape.entries,
            control_instances=shape.control_instances,
            seed=shape.seed,
        )
        self._fleet = fleet_lib.Fleet(site, folder)
        self.entry_addresses = [m.address for m in self._fleet.entries]
        self.standin_controls: list[str] = []
        self._server_names: list[str] = []
        self._refusal = ""
        self._lay_out_servers(folder)

    def __enter__(self) -> "BenchFleet":
        try:
            self._start()
        except BaseException:
            self._fleet.__exit__()
            raise
        return self

    def __exit__(self, *_) -> None:
        self._fleet.__exit__()

    def _lay_out_servers(self, folder: pathlib.Path) -> None:
        shape = self._shape
        places = [
            (application, shard, replica)
            for application in shape.applications
            for shard in range(application.services)
            for replica in range(application.backend_servers)
        ]
        ports = iter(
            fleet_lib.free_ports(len(places) + shape.standin_processes)
        )
        for number in range(shape.standin_processes):
            control = f"127.0.0.1:{next(ports)}"
            data = {
                "entries": self.entry_addresses,
                "fleet_token": fleet_lib.TOKEN,
                "control_address": control,
                "seed": shape.seed,
                "servers": [
                    self._server(*place, f"127.0.0.1:{next(ports)}")
                    for place in places[number :: shape.standin_processes]
                ],
            }
            name = f"standin-{number + 1}"
            path = folder / f"{name}.toml"
            path.write_text(tomli_w.dumps(data))
            command = [sys.executable, "-m", "auburnway.standin.main"]
            command += ["--settings", str(path)]
            self.standin_controls.append(control)
            self._fleet.backend_servers.append(
                fleet_lib.Member(name, command, control)
            )

    def _server(self, application, shard, replica, address) -> dict:
        centers = self._shape.data_centers
        name = f"{application.name}-{shard + 1}-{replica + 1}"
        self._server_names.append(name)
        return {
            "name": name,
            "application": application.name,
            "address": address,
            "data_center": centers[replica % len(centers)],
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
                raise fleet_lib.NotReady(f"{error}: {self._refusal}") from None
        for entry in fleet.entries:
            try:
                fleet.wait_for(
                    lambda entry=entry: not self._missing(entry),
                    f"{entry.name} with the whole fleet",
                    READY_TIMEOUT_MS,
                )
            except fleet_lib.NotReady as error:
                missing = self._missing(entry) or "ready just after"
                raise fleet_lib.NotReady(f"{error}: {missing}") from None

    def _initialize_control(self) -> None:
        """Prepares all control disks at once; each takes 3 s by itself."""
        started = []
        for member in self._fleet.control:
            path = self._fleet.folder / f"{member.name}.toml"
            command = [sys.executable, "-m", "auburnway.control.main", "init"]
            command += ["--settings", str(path), "--log-level", "WARNING"]
            started.append(subprocess.Popen(command))
        codes = [process.wait(READY_TIMEOUT_MS / 1000.0) for process in started]
        if any(codes):
            raise fleet_lib.NotReady(f"init of control ended with {codes}")

    def _apply(self, client: control_client.ControlClient) -> bool:
        replied = client.call(
            "Apply",
            control_pb2.NoteRequest(text=self._note_text, author="bench"),
            APPLY_TIMEOUT_MS,
        )
        if not pipeline.is_successful(replied):
            self._refusal = replied.failure().message
            return False
        self._refusal = "; ".join(
            f"{error.source}: {error.message}"
            for error in replied.unwrap().errors
        )
        return not self._refusal

    def _missing(self, entry: fleet_lib.Member) -> str:
        """Returns what an entry lacks to serve; empty when it is ready."""
        ended = [
            f"{member.name} ended with {member.process.returncode}"
            for member in self._fleet.members
            if member.process.poll() is not None
        ]
        if ended:
            # Its port may have been taken after it was found free.
            return "; ".join(ended)
        status = self._fleet.status(entry)
        if not status:
            return "no status"
        serving = {
            row["name"]
            for row in status["backend_servers"]
            if row["state"] == "serving"
        }
        lacking = [name for name in self._server_names if name not in serving]
        if not status["leased"] or not status["configuration_number"]:
            return "no lease or no release note"
        return f"not serving there: {', '.join(lacking)}" if lacking else ""

    def schedule(
        self, kills: tuple[bench_settings.Kill, ...], start_wall_ms: float
    ) -> threading.Thread:
        """Sends signals at their instants, on a thread of its own.

        Args:
          kills: Signals; their instants count from the start.
          start_wall_ms: Start of the run, milliseconds since the epoch.
        """

        def run():
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

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        return thread
