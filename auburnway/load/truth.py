"""Checks answers against the generator of the records."""

import collections
import typing

from auburnway.load import arrivals
from auburnway.load import scenario as scenario_lib
from auburnway.standin import catalogue as catalogue_lib

MAX_EXAMPLES = 10


class Checker:
    """Counts what is untrue in answers.

    Attributes:
      checked: Answers that were checked.
      faults: Count by name of the fault.
      examples: The first few faults, with the answer's request id.
    """

    def __init__(self, truths: tuple[scenario_lib.Truth, ...]):
        self._truths = {kind: truth for truth in truths for kind in truth.kinds}
        self._request_ids: set[str] = set()
        self.checked = 0
        self.faults: collections.Counter[str] = collections.Counter()
        self.examples: list[str] = []

    def check(
        self, arrival: arrivals.Arrival, key: str, body: dict[str, typing.Any]
    ) -> int:
        """Checks a `done` answer.

        Args:
          arrival: The request that was sent.
          key: Its idempotency key; empty for repeatable kinds.
          body: The answer.

        Returns:
          The number of sub-requests that the answer needed.
        """
        self.checked += 1
        try:
            return self._check(arrival, key, body)
        except (KeyError, TypeError, ValueError, IndexError) as error:
            self._add("malformed", body, repr(error))
            return 1

    def _check(self, arrival, key, body) -> int:
        stream = arrival.stream
        for name in ("caller", "kind", "rank"):
            if body[name] != getattr(stream, name):
                self._add(f"other_{name}", body, str(body[name]))
        # Answers to resends repeat the request id of the first attempt.
        if not key and body["request_id"] in self._request_ids:
            self._add("answer_given_twice", body, "")
        self._request_ids.add(body["request_id"])
        if not stream.repeatable:
            if body["records"] != [{"id": f"receipt-{key}"}]:
                self._add("other_receipt", body, str(body["records"])[:200])
            return 1
        truth = self._truths.get(stream.kind)
        if truth is None:
            return 1
        return self._check_records(truth, arrival, body)

    def _check_records(self, truth, arrival, body) -> int:
        snapshot = body["snapshot"]
        found = {record["snapshot"] for record in body["records"]}
        if found - {snapshot}:
            self._add("mixed_snapshots", body, f"{snapshot} and {found}")
        shard_counts = {p.snapshot: p.shard_count for p in truth.partitions}
        if snapshot not in shard_counts:
            self._add("unknown_snapshot", body, str(snapshot))
            return 1
        shard_count = shard_counts[snapshot]
        records = catalogue_lib.shared(
            truth.catalogue, truth.seed, truth.records
        )
        coverage = body["coverage"]
        missing = set(coverage["missing_shards"])
        if not arrival.stream.fan_out:
            missing = set(range(1, shard_count))
        covered = [s for s in range(shard_count) if s not in missing]
        manifest = records.manifest(snapshot, shard_count)
        weights = dict(manifest.weights)
        covered_weight = sum(weights[shard] for shard in covered)
        total_weight = manifest.total_weight
        stated = (coverage["covered_weight"], coverage["total_weight"])
        share_error = abs(coverage["share"] - covered_weight / total_weight)
        if stated != (covered_weight, total_weight) or share_error > 1e-6:
            self._add("untrue_coverage", body, str(coverage))
        expected = records.expected(
            arrival.query, snapshot, shard_count, covered
        )
        given = sorted(body["records"], key=lambda record: record["id"])
        if given != expected:
            detail = f"{len(given)} records instead of {len(expected)}"
            self._add("other_records", body, detail)
        return shard_count if arrival.stream.fan_out else 1

    def _add(self, fault: str, body: dict, detail: str) -> None:
        self.faults[fault] += 1
        if len(self.examples) < MAX_EXAMPLES:
            request_id = body.get("request_id", "?")
            self.examples.append(f"{fault}: {request_id}: {detail}")


def check_runs(
    records: dict[str, dict],
    keys: dict[str, str],
    not_run_ids: set[str],
) -> dict[str, int]:
    """Compares what callers were told with what the stand-ins ran.

    Args:
      records: Record of each backend server by name, with started ids.
      keys: Final outcome by idempotency key: `done`, `not_run` when no
        attempt may have been dispatched, anything else otherwise.
      not_run_ids: Request ids that callers were told did not run.

    Returns:
      Counts: `runs` seen, `ran_twice`, `done_without_run`,
      `not_run_but_ran` (by key or by request id).
    """
    runs: collections.Counter[str] = collections.Counter()
    started: set[str] = set()
    for record in records.values():
        runs.update(key for _, key, _ in record["runs"])
        # A sub-request id is request id, shard and attempt, by dots.
        started.update(i.rsplit(".", 2)[0] for i in record["started_ids"])
    return {
        "runs": sum(runs.values()),
        "ran_twice": sum(1 for count in runs.values() if count > 1),
        "done_without_run": sum(
            1 for key, o in keys.items() if o == "done" and not runs[key]
        ),
        "not_run_but_ran": len(not_run_ids & started)
        + sum(1 for key, o in keys.items() if o == "not_run" and runs[key]),
    }
