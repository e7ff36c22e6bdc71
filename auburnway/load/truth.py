"""Checks answers against the records that the stand-ins generate."""

import collections
import typing

from auburnway.load import arrivals
from auburnway.load import scenario as scenario_lib
from auburnway.standin import catalogue as catalogue_lib

MAX_EXAMPLES = 10


class AnswerChecker:
    """Checks answers and counts their faults.

    Attributes:
      checked: Number of checked answers.
      faults: Number of faults by name of the fault.
      examples: The first faults, each with the request id of the answer.
    """

    def __init__(self, truths: tuple[scenario_lib.Truth, ...]):
        self._truth_by_kind = {
            kind: truth for truth in truths for kind in truth.kinds
        }
        self._request_ids: set[str] = set()
        self.checked = 0
        self.faults: collections.Counter[str] = collections.Counter()
        self.examples: list[str] = []

    def check(
        self, arrival: arrivals.Arrival, key: str, body: dict[str, typing.Any]
    ) -> int:
        """Checks an answer whose outcome is `done`.

        Args:
          arrival: Request that was sent.
          key: Idempotency key of the request; empty for repeatable kinds.
          body: Decoded body of the answer.

        Returns:
          The number of sub-requests that the answer needed.
        """
        self.checked += 1
        try:
            return self._check(arrival, key, body)
        except (KeyError, TypeError, ValueError, IndexError) as error:
            self._add_fault("malformed", body, repr(error))
            return 1

    def _check(self, arrival, key, body) -> int:
        stream = arrival.stream
        for name in ("caller", "kind", "rank"):
            if body[name] != getattr(stream, name):
                self._add_fault(f"other_{name}", body, str(body[name]))
        # An answer to a resent request with an idempotency key repeats the
        # request id of the first attempt.
        if not key and body["request_id"] in self._request_ids:
            self._add_fault("answer_given_twice", body, "")
        self._request_ids.add(body["request_id"])
        if not stream.repeatable:
            if body["records"] != [{"id": f"receipt-{key}"}]:
                self._add_fault(
                    "other_receipt", body, str(body["records"])[:200]
                )
            return 1
        truth = self._truth_by_kind.get(stream.kind)
        if truth is None:
            return 1
        return self._check_records(truth, arrival, body)

    def _check_records(self, truth, arrival, body) -> int:
        snapshot = body["snapshot"]
        record_snapshots = {record["snapshot"] for record in body["records"]}
        if record_snapshots - {snapshot}:
            self._add_fault(
                "mixed_snapshots", body, f"{snapshot} and {record_snapshots}"
            )
        shard_counts = {
            partition.snapshot: partition.shard_count
            for partition in truth.partitions
        }
        if snapshot not in shard_counts:
            self._add_fault("unknown_snapshot", body, str(snapshot))
            return 1
        shard_count = shard_counts[snapshot]
        records = catalogue_lib.shared_catalogue(
            truth.catalogue, truth.seed, truth.records
        )
        coverage = body["coverage"]
        missing_shards = set(coverage["missing_shards"])
        if not arrival.stream.fan_out:
            missing_shards = set(range(1, shard_count))
        covered_shards = [
            shard_number
            for shard_number in range(shard_count)
            if shard_number not in missing_shards
        ]
        manifest = records.manifest(snapshot, shard_count)
        weights = dict(manifest.weights)
        covered_weight = sum(weights[shard] for shard in covered_shards)
        total_weight = manifest.total_weight
        stated_weights = (coverage["covered_weight"], coverage["total_weight"])
        share_error = abs(coverage["share"] - covered_weight / total_weight)
        if (
            stated_weights != (covered_weight, total_weight)
            or share_error > 1e-6
        ):
            self._add_fault("untrue_coverage", body, str(coverage))
        expected_records = records.matching_records(
            arrival.query, snapshot, shard_count, covered_shards
        )
        answer_records = sorted(
            body["records"], key=lambda record: record["id"]
        )
        if answer_records != expected_records:
            detail = (
                f"{len(answer_records)} records instead of"
                f" {len(expected_records)}"
            )
            self._add_fault("other_records", body, detail)
        return shard_count if arrival.stream.fan_out else 1

    def _add_fault(self, fault: str, body: dict, detail: str) -> None:
        self.faults[fault] += 1
        if len(self.examples) < MAX_EXAMPLES:
            request_id = body.get("request_id", "?")
            self.examples.append(f"{fault}: {request_id}: {detail}")


def check_runs(
    records: dict[str, dict],
    outcome_by_key: dict[str, str],
    not_run_ids: set[str],
) -> dict[str, int]:
    """Compares the outcomes that callers got with the runs of the stand-ins.

    Args:
      records: Record of each backend server by name, with started ids.
      outcome_by_key: Final outcome by idempotency key: `done`, `not_run` if no
        attempt can have been dispatched, any other text otherwise.
      not_run_ids: Ids of the requests whose answer had the outcome `not_run`.

    Returns:
      Number of recorded `runs`, and of the violations `ran_twice`,
      `done_without_run` and `not_run_but_ran` (by key or by request id).
    """
    run_counts: collections.Counter[str] = collections.Counter()
    started_request_ids: set[str] = set()
    for record in records.values():
        run_counts.update(key for _, key, _ in record["runs"])
        # A sub-request id consists of request id, shard and attempt,
        # separated by dots.
        started_request_ids.update(
            sub_request_id.rsplit(".", 2)[0]
            for sub_request_id in record["started_ids"]
        )
    return {
        "runs": sum(run_counts.values()),
        "ran_twice": sum(1 for count in run_counts.values() if count > 1),
        "done_without_run": sum(
            1
            for key, outcome in outcome_by_key.items()
            if outcome == "done" and not run_counts[key]
        ),
        "not_run_but_ran": len(not_run_ids & started_request_ids)
        + sum(
            1
            for key, outcome in outcome_by_key.items()
            if outcome == "not_run" and run_counts[key]
        ),
    }
