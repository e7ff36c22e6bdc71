"""What a stand-in truly ran, kept apart from what it says of itself.

Tests compare it with what callers were told. It survives an in-process crash
of the backend server, and the file survives the process.
"""

import dataclasses
import json
import os
import typing


@dataclasses.dataclass
class Record:
    """Truthful counts of one backend server.

    Attributes:
      path: File that non-repeatable runs are appended and synced to, or "".
      received: Run requests received.
      started: Runs that took a slot.
      finished: Runs that ended with a 200.
      shed: Requests refused before starting.
      cancelled: Runs that ended by a cancel.
      expired: Runs that ended by their deadline.
      failed: Requests answered by the fail-fast mode.
      crashes: Crashes by a poisonous request.
      busy_ms: Time in use summed over all slots.
      most_busy: Greatest number of slots in use at once.
      runs: Non-repeatable runs as [claim id, key, request id], in order.
      started_ids: Request ids of all runs that took a slot.
    """

    path: str = ""
    received: int = 0
    started: int = 0
    finished: int = 0
    shed: int = 0
    cancelled: int = 0
    expired: int = 0
    failed: int = 0
    crashes: int = 0
    busy_ms: float = 0.0
    most_busy: int = 0
    runs: list[list[str]] = dataclasses.field(default_factory=list)
    started_ids: list[str] = dataclasses.field(default_factory=list)

    def add_run(self, claim_id: str, key: str, request_id: str) -> None:
        """Records the start of a non-repeatable run, synced before it."""
        self.runs.append([claim_id, key, request_id])
        if not self.path:
            return
        line = json.dumps(
            {"claim_id": claim_id, "key": key, "request_id": request_id}
        )
        with open(self.path, "a", encoding="utf-8") as file:
            file.write(line + "\n")
            file.flush()
            os.fsync(file.fileno())

    def as_dict(self, with_ids: bool) -> dict[str, typing.Any]:
        """Returns the wire form.

        Args:
          with_ids: Include the ids of all started runs.
        """
        data = dataclasses.asdict(self)
        if not with_ids:
            del data["started_ids"]
        counts: dict[str, int] = {}
        for claim_id, _, _ in self.runs:
            counts[claim_id] = counts.get(claim_id, 0) + 1
        data["run_counts"] = counts
        return data
