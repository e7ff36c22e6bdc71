"""Runs the soak.

`python -m auburnway.soak.main --seeds 1-50` prints a line for each seed and
ends with 1 if a promise was broken.
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

from auburnway.soak import callers as callers_lib
from auburnway.soak import checks
from auburnway.soak import plan
from auburnway.soak import world as world_lib

CALLERS = 6
DURATION_S = 30.0
NETS = range(110, 250)
# All kinds of requests must be served this long after the last fault.
RECOVERY_S = 12.0


@dataclasses.dataclass(frozen=True)
class Result:
    """What a run showed.

    Attributes:
      seed: Seed of the run.
      calls: Number of requests.
      served: Number of successes.
      faults: Number of faults.
      violations: A line for each broken promise.
    """

    seed: int
    calls: int
    served: int
    faults: int
    violations: tuple[str, ...]


def run(seed: int, duration_s: float, folder: pathlib.Path, net: int) -> Result:
    """Runs one seed.

    Args:
      seed: Seed of faults and requests.
      duration_s: Length of the run.
      folder: Folder for settings, data and logs.
      net: Third number of the loopback addresses.
    """
    faults = plan.plan(
        seed,
        duration_s,
        world_lib.CONTROLS,
        world_lib.ENTRIES,
        len(world_lib.SERVICES) * world_lib.SERVERS_EACH,
    )
    world = world_lib.World(folder, net, seed)
    try:
        world.start()
        started_s = time.monotonic()
        callers = [
            callers_lib.Caller(world.platform, f"s{seed}c{i}", seed)
            for i in range(CALLERS)
        ]
        _play(world, faults, callers, duration_s)
        broken = _recovery(world, seed, callers)
        calls = [call for caller in callers for call in caller.calls]
        served = [call for call in calls if call.status == 200]
        seen = world.seen(calls)
        # Requests of the start are not among the calls.
        runs = tuple(r for r in seen.runs if r.at_s >= started_s)
        seen = dataclasses.replace(seen, runs=runs)
        found = (*checks.violations(seen), *world.deaths, *broken)
        return Result(seed, len(calls), len(served), len(faults), found)
    finally:
        world.close()


def _play(world, faults, callers, duration_s: float) -> None:
    stopped = threading.Event()
    works = [
        world.beat,
        world.operator.send,
        world.operator.read,
        *(caller.run for caller in callers),
    ]
    threads = [
        threading.Thread(
            target=_guarded, args=(world, work, stopped), daemon=True
        )
        for work in works
    ]
    for thread in threads:
        thread.start()
    start_s = time.monotonic()
    acting = []
    for timed in faults:
        _wait_until(world, start_s + timed.at_s)
        actor = threading.Thread(target=world.apply, args=(timed.fault,))
        actor.start()
        acting.append(actor)
    for actor in acting:
        actor.join()
    _wait_until(world, start_s + duration_s)
    stopped.set()
    for thread in threads:
        thread.join(callers_lib.TIMEOUT_S + 2)


def _guarded(world, work, stopped: threading.Event) -> None:
    """Runs a part of the run; its end by an exception is a finding."""
    try:
        work(stopped)
    except Exception as error:
        world.deaths.append(f"{work.__qualname__} ended: {error!r}")


def _wait_until(world, until_s: float) -> None:
    while time.monotonic() < until_s:
        world.check_alive()
        time.sleep(max(min(0.2, until_s - time.monotonic()), 0.0))


def _recovery(world, seed: int, callers) -> list[str]:
    """Returns what is not served again after the last fault."""
    found = []
    probe = callers_lib.Caller(world.platform, f"s{seed}probe", seed)
    callers.append(probe)
    for entry in range(world_lib.ENTRIES):
        end_s = time.monotonic() + RECOVERY_S
        missing = set(callers_lib.PATHS)
        while missing and time.monotonic() < end_s:
            world.beat_all()
            call = probe.call(len(probe.calls), entry)
            probe.calls.append(call)
            if call.status == 200:
                missing.discard(call.kind)
        found += [f"entry {entry} serves no {kind}" for kind in missing]
    end_s = time.monotonic() + RECOVERY_S
    while world.operator.read_once() is None:
        if time.monotonic() > end_s:
            return [*found, "no control instance answers a read"]
    return found


def parse_seeds(text: str) -> abc.Sequence[int]:
    """Returns the seeds of `7`, `1-50` or `3,9,12`."""
    if "-" in text:
        first, last = map(int, text.split("-"))
        return range(first, last + 1)
    return [int(part) for part in text.split(",")]


def main(arguments: abc.Sequence[str] | None = None) -> int:
    """Runs the command; returns the exit code."""
    parser = argparse.ArgumentParser(
        prog="auburnway-soak",
        description="Random faults against the real pass-through programs.",
    )
    parser.add_argument("--seeds", type=parse_seeds, default=[1])
    parser.add_argument("--duration-s", type=float, default=DURATION_S)
    parser.add_argument(
        "--keep", type=pathlib.Path, help="folder for logs of failed seeds"
    )
    parser.add_argument(
        "--net",
        type=int,
        help="third number of the loopback addresses; by default by seed",
    )
    options = parser.parse_args(arguments)
    failed = False
    for seed in options.seeds:
        net = options.net or NETS[seed % len(NETS)]
        with tempfile.TemporaryDirectory(prefix="soak-") as name:
            folder = pathlib.Path(name)
            result = run(seed, options.duration_s, folder, net)
            print(json.dumps(dataclasses.asdict(result)), flush=True)
            if result.violations:
                failed = True
                if options.keep:
                    _keep(folder, options.keep / f"seed-{seed}")
    return 1 if failed else 0


def _keep(folder: pathlib.Path, target: pathlib.Path) -> None:
    target.mkdir(parents=True, exist_ok=True)
    for log in folder.glob("*.log"):
        (target / log.name).write_bytes(log.read_bytes())


if __name__ == "__main__":
    sys.exit(main())
