"""Non-repeatable requests under kills and freezes, for longer.

`python -m auburnway.faults.soak --requests 10000` prints the counts as JSON;
the exit code is 0 when no promise was broken.
"""

import argparse
import json
import sys
import threading

from auburnway.faults import bookings as bookings_lib
from auburnway.faults import chaos as chaos_lib
from auburnway.faults import rig as rig_lib

# Faults that a run must have met, one of each kind.
LEAST_FAULTS = 6


def soak(
    rig: rig_lib.Rig, requests: int, workers: int, seed: int
) -> dict[str, int]:
    """Sends requests while processes are killed and frozen.

    Requests go on in batches until all kinds of faults have happened.

    Returns:
      Counts of `bookings.compare` and the number of `faults`.
    """
    chaos = chaos_lib.Chaos(rig, seed)
    thread = threading.Thread(target=chaos.run)
    thread.start()
    addresses = [m.address for m in rig.fleet.entries]
    found: list[bookings_lib.Booking] = []
    try:
        while len(found) < requests or len(chaos.done) < LEAST_FAULTS:
            if not thread.is_alive():
                raise RuntimeError("the thread of faults has ended")
            found += bookings_lib.settle_many(
                addresses,
                min(requests, 100),
                workers=workers,
                seed=seed * 1_000_000 + len(found),
            )
    finally:
        chaos.stop()
        thread.join()
    counts = bookings_lib.compare(found, rig.runs())
    return {**counts, "faults": len(chaos.done)}


def broken(counts: dict[str, int]) -> int:
    """Returns how often a promise was broken or no final answer came."""
    names = ("ran_twice", "not_run_but_ran", "done_without_run", "not_final")
    return sum(counts[name] for name in names)


def main() -> None:
    """Runs the command."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--requests", type=int, default=10_000)
    parser.add_argument("--workers", type=int, default=16)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    with rig_lib.running() as rig:
        counts = soak(
            rig, arguments.requests, arguments.workers, arguments.seed
        )
    print(json.dumps(counts, indent=2))
    sys.exit(1 if broken(counts) else 0)


if __name__ == "__main__":
    main()
