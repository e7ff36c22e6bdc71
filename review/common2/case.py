"""Frame of a case: record, exit code, time limit and clean-up."""

import asyncio
import os
import pathlib
import sys
import time

from common2 import fleet as fleet_lib

HOLDS, BROKEN, CANNOT_RUN = 0, 1, 2
LIMIT_S = 110.0


class Record:
    """Lines of `record.txt`, with seconds since the start of the case."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w")
        self._started_s = time.monotonic()

    def __call__(self, text):
        """Writes a line for something that happens now."""
        self.at(time.monotonic(), text)

    def at(self, time_s, text):
        """Writes a line for something that happened at a monotonic time."""
        self._file.write(f"{time_s - self._started_s:8.3f} {text}\n")
        self._file.flush()

    def verdict(self, text):
        """Writes a line that is also printed."""
        self(text)
        print(text)

    def close(self):
        """Closes the file."""
        self._file.close()


def has_trouble():
    """Whether the case is to play its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def check(is_broken, what, record):
    """Records the verdict; returns the exit code."""
    word = "BROKEN" if is_broken else "held"
    record.verdict(f"{word}: {what}")
    return BROKEN if is_broken else HOLDS


def run(folder, play, controls, entries):
    """Plays a case in a new fleet and ends the process with its exit code.

    Args:
      folder: Folder of the case.
      play: Coroutine function of a fleet and a record; returns the exit code.
      controls: Number of control machines.
      entries: Number of entry machines.
    """
    record = Record(folder)
    code = CANNOT_RUN
    fleet = None
    try:
        fleet = fleet_lib.Fleet(controls, entries, record)
        code = asyncio.run(asyncio.wait_for(play(fleet, record), LIMIT_S))
    except Exception as error:  # noqa: BLE001 (any failure: case cannot run)
        record.verdict(f"cannot run: {error!r}")
    finally:
        if fleet is not None:
            fleet.close()
        record.close()
    sys.exit(code)
