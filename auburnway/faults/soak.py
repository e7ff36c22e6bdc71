"""Sends many non-repeatable requests while processes are killed and frozen.

`python -m auburnway.faults.soak --requests 10000` prints the counts as JSON;
the exit code is 0 if no guarantee was violated.
"""

import argparse
import json
import sys
import threading

from auburnway.faults import bookings as bookings_lib
from auburnway.faults import chaos as chaos_lib
from auburnway.faults import rig as rig_lib

# Faults injected in a run, at least: a kill and a freeze of each of the three
# kinds of processes.
MIN_FAULTS = 6


def soak(
    rig: rig_lib.Rig, requests: int, workers: int, seed: int
) -> dict[str, int]:
    """Sends requests while processes are killed and frozen.

    Requests are sent in batches until the requested number is reached and each
    kind of fault has been injected.

    Returns:
      Counts of `bookings.compare_with_runs`, and the number of `faults`.
    """
    injector = chaos_lib.FaultInjector(rig, seed)
    thread = threading.Thread(target=injector.run)
    thread.start()
    addresses = [m.address for m in rig.fleet.entries]
    sent_bookings: list[bookings_lib.Booking] = []
    try:
        while (
            len(sent_bookings) < requests
            or len(injector.injected_faults) < MIN_FAULTS
        ):
            if not thread.is_alive():
                raise RuntimeError(
                    "the fault injector thread ended unexpectedly"
                )
            sent_bookings += bookings_lib.resend_many_until_final(
                addresses,
                min(requests, 100),
                workers=workers,
                seed=seed * 1_000_000 + len(sent_bookings),
            )
    finally:
        injector.stop()
        thread.join()
    counts = bookings_lib.compare_with_runs(sent_bookings, rig.runs())
    return {**counts, "faults": len(injector.injected_faults)}


def count_violations(counts: dict[str, int]) -> int:
    """Returns the number of violations, with bookings that are not final."""
    names = ("ran_twice", "not_run_but_ran", "done_without_run", "not_final")
    return sum(counts[name] for name in names)


def main() -> None:
    """Runs the requests and prints the counts; exits with 1 on a violation."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--requests", type=int, default=10_000)
    parser.add_argument("--workers", type=int, default=16)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    with rig_lib.running_rig() as rig:
        counts = soak(
            rig, arguments.requests, arguments.workers, arguments.seed
        )
    print(json.dumps(counts, indent=2))
    sys.exit(1 if count_violations(counts) else 0)


if __name__ == "__main__":
    main()
