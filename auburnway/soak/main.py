"""Runs the soak test.

`python -m auburnway.soak.main --seeds 1-50` prints a JSON line for each seed
and exits with 1 if a guarantee was violated.
"""

import argparse
from collections import abc
import dataclasses
import json
import pathlib
import sys
import tempfile
import threading
import time

from auburnway.platform import testing
from auburnway.soak import callers as callers_lib
from auburnway.soak import checks
from auburnway.soak import environment as environment_lib
from auburnway.soak import plan

CALLER_COUNT = 6
DURATION_S = 30.0
LOOPBACK_NETS = range(110, 250)
# Time limit after the last fault within which every entry must serve all kinds
# of requests again.
RECOVERY_S = 12.0


@dataclasses.dataclass(frozen=True)
class Result:
    """Result of a soak run.

    Attributes:
      seed: Seed of the run.
      calls: Number of requests.
      served: Number of requests with status 200.
      faults: Number of injected faults.
      violations: One line for each violated guarantee.
    """

    seed: int
    calls: int
    served: int
    faults: int
    violations: tuple[str, ...]


def run(seed: int, duration_s: float, folder: pathlib.Path, net: int) -> Result:
    """Runs the soak test with one seed and checks the observations.

    Args:
      seed: Seed of faults and requests.
      duration_s: Length of the run in seconds.
      folder: Folder for settings, data and logs.
      net: Third octet of the loopback addresses.
    """
    faults = plan.make_plan(
        seed,
        duration_s,
        environment_lib.CONTROL_COUNT,
        environment_lib.ENTRY_COUNT,
        len(environment_lib.SERVICES) * environment_lib.SERVERS_PER_SERVICE,
    )
    environment = environment_lib.Environment(folder, net, seed)
    try:
        environment.start()
        callers = [
            callers_lib.Caller(environment.platform, f"s{seed}c{i}", seed)
            for i in range(CALLER_COUNT)
        ]
        _run_faults(environment, faults, callers, duration_s)
        recovery_violations = _check_recovery(environment, seed, callers)
        calls = [call for caller in callers for call in caller.calls]
        served = [call for call in calls if call.status == 200]
        observations = environment.observations(calls)
        # `calls` does not contain the requests that `environment.start` sends,
        # whose hedges may run after their answers.
        runs = tuple(
            server_run
            for server_run in observations.runs
            if server_run.request_id != testing.DEFAULT_REQUEST_ID
        )
        observations = dataclasses.replace(observations, runs=runs)
        violations = (
            *checks.violations(observations),
            *environment.failures,
            *recovery_violations,
        )
        return Result(seed, len(calls), len(served), len(faults), violations)
    finally:
        environment.close()


def _run_faults(environment, faults, callers, duration_s: float) -> None:
    stop_event = threading.Event()
    loops = [
        environment.send_heartbeats_until,
        environment.operator.send_versions,
        environment.operator.read_versions,
        *(caller.run for caller in callers),
    ]
    threads = [
        threading.Thread(
            target=_report_exception,
            args=(environment, loop, stop_event),
            daemon=True,
        )
        for loop in loops
    ]
    for thread in threads:
        thread.start()
    start_s = time.monotonic()
    fault_threads = []
    for timed_fault in faults:
        _wait_until(environment, start_s + timed_fault.at_s)
        fault_thread = threading.Thread(
            target=environment.apply_fault, args=(timed_fault.fault,)
        )
        fault_thread.start()
        fault_threads.append(fault_thread)
    for fault_thread in fault_threads:
        fault_thread.join()
    _wait_until(environment, start_s + duration_s)
    stop_event.set()
    for thread in threads:
        thread.join(callers_lib.REQUEST_TIMEOUT_S + 2)


def _report_exception(environment, loop, stop_event: threading.Event) -> None:
    """Runs a loop of the test and reports its exception as a violation."""
    try:
        loop(stop_event)
    except Exception as error:
        environment.failures.append(f"{loop.__qualname__} raised {error!r}")


def _wait_until(environment, until_s: float) -> None:
    while time.monotonic() < until_s:
        environment.check_alive()
        time.sleep(max(min(0.2, until_s - time.monotonic()), 0.0))


def _check_recovery(environment, seed: int, callers) -> list[str]:
    """Returns a line for each service that has not recovered in time."""
    violations = []
    probe = callers_lib.Caller(environment.platform, f"s{seed}probe", seed)
    callers.append(probe)
    for entry in range(environment_lib.ENTRY_COUNT):
        end_s = time.monotonic() + RECOVERY_S
        unserved_kinds = set(callers_lib.PATH_BY_KIND)
        while unserved_kinds and time.monotonic() < end_s:
            environment.send_heartbeats()
            call = probe.send_request(len(probe.calls), entry)
            probe.calls.append(call)
            if call.status == 200:
                unserved_kinds.discard(call.kind)
        violations += [
            f"entry {entry} serves no {kind}" for kind in unserved_kinds
        ]
    end_s = time.monotonic() + RECOVERY_S
    while environment.operator.read_once() is None:
        if time.monotonic() > end_s:
            return [
                *violations,
                "no control instance answers a configuration read",
            ]
    return violations


def parse_seeds(text: str) -> abc.Sequence[int]:
    """Parses seeds of the form `7`, `1-50` or `3,9,12`."""
    if "-" in text:
        first, last = map(int, text.split("-"))
        return range(first, last + 1)
    return [int(part) for part in text.split(",")]


def main(arguments: abc.Sequence[str] | None = None) -> int:
    """Runs the command and returns the exit code."""
    parser = argparse.ArgumentParser(
        prog="auburnway-soak",
        description="Injects random faults into the pass-through programs.",
    )
    parser.add_argument("--seeds", type=parse_seeds, default=[1])
    parser.add_argument("--duration-s", type=float, default=DURATION_S)
    parser.add_argument(
        "--keep",
        type=pathlib.Path,
        help="folder for the logs of failed seeds",
    )
    parser.add_argument(
        "--net",
        type=int,
        help="third octet of the loopback addresses; the default depends on"
        " the seed",
    )
    options = parser.parse_args(arguments)
    has_failed = False
    for seed in options.seeds:
        net = options.net or LOOPBACK_NETS[seed % len(LOOPBACK_NETS)]
        with tempfile.TemporaryDirectory(prefix="soak-") as folder_name:
            folder = pathlib.Path(folder_name)
            result = run(seed, options.duration_s, folder, net)
            print(json.dumps(dataclasses.asdict(result)), flush=True)
            if result.violations:
                has_failed = True
                if options.keep:
                    _copy_logs(folder, options.keep / f"seed-{seed}")
    return 1 if has_failed else 0


def _copy_logs(folder: pathlib.Path, target_folder: pathlib.Path) -> None:
    target_folder.mkdir(parents=True, exist_ok=True)
    for log_path in folder.glob("*.log"):
        (target_folder / log_path.name).write_bytes(log_path.read_bytes())


if __name__ == "__main__":
    sys.exit(main())
