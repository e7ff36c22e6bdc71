"""Record of the actual runs of a stand-in, separate from its replies.

Tests compare the record with the answers that callers received. The record
survives the crash of an embedded backend server, and the file survives the end
of the process.
"""

import dataclasses
import json
import os
import typing


@dataclasses.dataclass
class Record:
    """Actual counts and runs of one backend server.

    Attributes:
      path: File to which each non-repeatable run is appended and synced; empty
        for no file.
      received: Run requests received.
      started: Runs that occupied a slot.
      finished: Runs that ended with HTTP status 200.
      shed: Requests refused with HTTP status 503, because all slots and queue
        places were taken or the server was not in state serving.
      cancelled: Runs that were cancelled.
      expired: Runs that exceeded their deadline.
      failed: Requests answered with an error because of `fail_fast`.
      crashes: Crashes of the server.
      busy_ms: Busy time in ms, summed over all slots.
      most_busy: Maximum number of slots in use at the same time.
      runs: Non-repeatable runs as [claim id, key, request id], in order.
      started_ids: Request ids of all runs that occupied a slot.
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
        """Records a non-repeatable run; the file is synced before the run."""
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
        """Returns the record as a dict for JSON.

        Args:
          with_ids: Whether to include the request ids of all started runs.
        """
        data = dataclasses.asdict(self)
        if not with_ids:
            del data["started_ids"]
        run_counts: dict[str, int] = {}
        for claim_id, _, _ in self.runs:
            run_counts[claim_id] = run_counts.get(claim_id, 0) + 1
        data["run_counts"] = run_counts
        return data
