"""Claims: durable rights to run a request that must run at most once.

A claim on an idempotency key is granted to one entry at a time. The key is
granted again only after the owner of the claim settled it as `not_run`. When
an owner is removed or restarts, its open claims become `unknown`.
"""

import dataclasses
import heapq
import re
import typing

from auburnway.core import errors

DEFAULT_RETENTION_MS = 30 * 24 * 3_600_000
# Clocks of callers may run ahead by this much. The claim of a key with a later
# issue time would be kept for longer than the retention.
MAX_KEY_AHEAD_MS = 5 * 60_000
MAX_RESULT_BYTES = 4096
OUTCOMES = ("done", "not_run", "unknown")

_KEY_PATTERN = re.compile(r"([0-9]{1,15})-([!-~]{1,64})")


class ClaimNotFound(errors.Error):
    """There is no claim with this id; it may have been pruned."""

    code = "claim_not_found"
    remedy = "Treat the outcome as unknown; claims are pruned after a time."
    http_status = 410


class NotOwner(errors.Error):
    """An entry settles an attempt that belongs to another entry."""

    code = "not_owner"
    remedy = "Drop this result; the claim belongs to another attempt."
    http_status = 409


class SettledOtherwise(errors.Error):
    """The claim already has a different outcome."""

    code = "settled_otherwise"
    remedy = "Keep the recorded outcome."
    http_status = 409


@dataclasses.dataclass(frozen=True)
class Record:
    """One claimed idempotency key.

    Attributes:
      claim_id: Log index of the first grant.
      caller: Caller that issued the key; keys are unique per caller.
      key: Idempotency key `<issued_ms>-<nonce>`.
      digest: Digest of the request.
      entry_name: Name of the entry that owns the current attempt.
      entry_incarnation: Incarnation of that entry.
      attempt: Number of grants so far; 1 for the first.
      state: `open` or one of `OUTCOMES`.
      result: Recorded answer; empty unless the state is `done`.
      result_dropped: Whether the answer was too large to record.
    """

    claim_id: int
    caller: str
    key: str
    digest: str
    entry_name: str
    entry_incarnation: str
    attempt: int = 1
    state: str = "open"
    result: bytes = b""
    result_dropped: bool = False

    @property
    def owner(self) -> tuple[str, str]:
        """Name and incarnation of the entry that may settle the claim."""
        return (self.entry_name, self.entry_incarnation)


def issued_ms(key: str) -> int | None:
    """Returns the issue time in a key, ms since the Unix epoch.

    Returns None when the key is malformed.
    """
    match = _KEY_PATTERN.fullmatch(key)
    return int(match[1]) if match else None


def check_key(
    key: str, wall_ms: int
) -> tuple[int, None] | tuple[None, errors.Error]:
    """Returns the issue time of a key, or why the key is refused."""
    issued = issued_ms(key)
    if issued is None:
        detail = f"idempotency_key {key!r:.80} is malformed"
        return None, errors.BadKey(detail)
    if issued > wall_ms + MAX_KEY_AHEAD_MS:
        detail = (
            f"idempotency_key was issued {issued - wall_ms} ms in the future;"
            f" allowed are {MAX_KEY_AHEAD_MS} ms"
        )
        return None, errors.BadKey(detail)
    return issued, None


class ClaimTable:
    """All retained claims, indexed by key, owner and issue time.

    The table is changed in place. Its indexes are derived from the records
    alone, so that two tables with equal records behave equally.

    Args:
      records: Initial claims, each with a well-formed key.
    """

    def __init__(self, records: typing.Iterable[Record] = ()):
        self._records: dict[int, Record] = {}
        self._ids_by_key: dict[tuple[str, str], int] = {}
        self._open_ids_by_owner: dict[tuple[str, str], set[int]] = {}
        self._ids_by_issue_time: list[tuple[int, int]] = []
        for record in records:
            self._ids_by_key[record.caller, record.key] = record.claim_id
            self._ids_by_issue_time.append(
                (issued_ms(record.key), record.claim_id)
            )
            self._store(record)
        heapq.heapify(self._ids_by_issue_time)

    def __len__(self) -> int:
        return len(self._records)

    @property
    def open_count(self) -> int:
        """Number of claims without an outcome."""
        return sum(map(len, self._open_ids_by_owner.values()))

    def records(self) -> list[Record]:
        """Returns all records, sorted by claim id."""
        return [self._records[i] for i in sorted(self._records)]

    def find(self, caller: str, key: str) -> Record | None:
        """Returns the claim of a caller's key, or None."""
        claim_id = self._ids_by_key.get((caller, key))
        return None if claim_id is None else self._records[claim_id]

    def claim(self, candidate: Record) -> tuple[str, Record]:
        """Looks up a key and grants it if the request may run.

        Args:
          candidate: Claim that is stored when the key is new. Its key is
            well-formed; see `check_key`.

        Returns:
          The state, as in `ClaimReply.state`, and the stored record.
        """
        record = self.find(candidate.caller, candidate.key)
        if record is None:
            self._ids_by_key[candidate.caller, candidate.key] = (
                candidate.claim_id
            )
            heap_item = (issued_ms(candidate.key), candidate.claim_id)
            heapq.heappush(self._ids_by_issue_time, heap_item)
            self._store(candidate)
            return "granted", candidate
        if record.digest != candidate.digest:
            return "conflict", record
        if record.state != "not_run":
            return record.state, record
        record = dataclasses.replace(
            candidate, claim_id=record.claim_id, attempt=record.attempt + 1
        )
        self._store(record)
        return "granted", record

    def settle(
        self,
        claim_id: int,
        attempt: int,
        entry_incarnation: str,
        outcome: str,
        result: bytes,
    ) -> tuple[str, errors.Error | None]:
        """Records the outcome of an attempt.

        Args:
          claim_id: Claim that was granted.
          attempt: Attempt that was granted.
          entry_incarnation: Incarnation of the entry that reports the outcome;
            only the owner of the attempt may settle it.
          outcome: One of `OUTCOMES`. Repeating the recorded outcome is
            accepted.
          result: Answer to record with `done`. Above `MAX_RESULT_BYTES` only
            the outcome is recorded.

        Returns:
          The state of the claim afterwards (empty when the claim does not
          exist), and why the outcome was refused (None when it was not).
        """
        record = self._records.get(claim_id)
        if record is None:
            return "", ClaimNotFound(f"claim {claim_id} is not kept")
        problem = _settle_problem(record, attempt, entry_incarnation, outcome)
        if problem is not None or outcome == record.state:
            return record.state, problem
        keep_result = outcome == "done" and len(result) <= MAX_RESULT_BYTES
        self._store(
            dataclasses.replace(
                record,
                state=outcome,
                result=result if keep_result else b"",
                result_dropped=outcome == "done" and not keep_result,
            )
        )
        return outcome, None

    def abandon(self, entry_name: str, entry_incarnation: str) -> int:
        """Marks the open claims of a removed entry as `unknown`.

        Returns:
          The number of claims that were open.
        """
        # `_store` removes each closed claim from this set, so the loop runs
        # over a copy.
        ids = sorted(
            self._open_ids_by_owner.get((entry_name, entry_incarnation), ())
        )
        for claim_id in ids:
            record = self._records[claim_id]
            self._store(dataclasses.replace(record, state="unknown"))
        return len(ids)

    def prune(self, floor_ms: int) -> int:
        """Removes the claims whose keys were issued before `floor_ms`.

        Returns:
          The number of removed claims.
        """
        count = 0
        while (
            self._ids_by_issue_time and self._ids_by_issue_time[0][0] < floor_ms
        ):
            _, claim_id = heapq.heappop(self._ids_by_issue_time)
            record = self._records.pop(claim_id)
            del self._ids_by_key[record.caller, record.key]
            self._remove_from_open(record)
            count += 1
        return count

    def _store(self, record: Record) -> None:
        existing = self._records.get(record.claim_id)
        if existing is not None:
            self._remove_from_open(existing)
        self._records[record.claim_id] = record
        if record.state == "open":
            self._open_ids_by_owner.setdefault(record.owner, set()).add(
                record.claim_id
            )

    def _remove_from_open(self, record: Record) -> None:
        ids = self._open_ids_by_owner.get(record.owner)
        if ids is None:
            return
        ids.discard(record.claim_id)
        if not ids:
            del self._open_ids_by_owner[record.owner]


def _settle_problem(
    record: Record, attempt: int, entry_incarnation: str, outcome: str
) -> errors.Error | None:
    """Returns why an outcome is refused; None when it may be recorded."""
    if (record.attempt, record.entry_incarnation) != (
        attempt,
        entry_incarnation,
    ):
        detail = (
            f"claim {record.claim_id} is at attempt {record.attempt} of entry"
            f" {record.entry_name}"
        )
        return NotOwner(detail)
    if outcome not in OUTCOMES:
        detail = f"outcome {outcome!r:.50} is none of {OUTCOMES}"
        return errors.BadRequest(detail)
    # The owner may still report that an unknown attempt was done. It may not
    # report it as not run, because a resend may already have been answered
    # with `unknown`.
    resolves_unknown = record.state == "unknown" and outcome == "done"
    if record.state not in ("open", outcome) and not resolves_unknown:
        detail = f"claim {record.claim_id} is {record.state}, not {outcome}"
        return SettledOtherwise(detail)
    return None
