"""Claims: durable rights to run a request that may not be repeated.

A key is granted to one entry at a time. It is granted again only after its
owner settled it as `not_run`; an owner that vanished leaves `unknown`.
"""

import dataclasses
import heapq
import re
import typing

from auburnway.core import errors

DEFAULT_RETENTION_MS = 30 * 24 * 3_600_000
# Clocks of callers may run ahead; a key from further in the future would
# outlive the retention of its claim.
MAX_KEY_AHEAD_MS = 5 * 60_000
MAX_RESULT_BYTES = 4096
OUTCOMES = ("done", "not_run", "unknown")

_KEY = re.compile(r"([0-9]{1,15})-([!-~]{1,128})")


class ClaimNotFound(errors.Error):
    """No claim of this id is kept."""

    code = "claim_not_found"
    remedy = "Treat the outcome as unknown; claims are pruned after a time."
    http_status = 410


class NotOwner(errors.Error):
    """Only the entry that holds the attempt may settle it."""

    code = "not_owner"
    remedy = "Drop this result; the claim belongs to another attempt."
    http_status = 409


class SettledOtherwise(errors.Error):
    """The claim has an outcome that this one contradicts."""

    code = "settled_otherwise"
    remedy = "Keep the recorded outcome."
    http_status = 409


@dataclasses.dataclass(frozen=True)
class Record:
    """One claimed key.

    Attributes:
      claim_id: Log index of the first grant.
      caller: Caller that the key is unique for.
      key: Idempotency key `<issued_ms>-<nonce>`.
      digest: Digest of the request.
      entry_name: Owner of the current attempt.
      entry_incarnation: Incarnation of that owner.
      attempt: 1 for the first grant.
      state: `open` or one of `OUTCOMES`.
      result: Recorded answer.
      result_dropped: Whether the answer was too large to keep.
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
        """Name and incarnation of the entry that may settle it."""
        return (self.entry_name, self.entry_incarnation)


def issued_ms(key: str) -> int | None:
    """Returns when a key was issued; None when it is malformed."""
    match = _KEY.fullmatch(key)
    return int(match[1]) if match else None


def check_key(
    key: str, wall_ms: int
) -> tuple[int, None] | tuple[None, errors.Error]:
    """Returns the instant of issue, or why the key is refused."""
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


class Book:
    """All claims that are kept, with indexes by key, owner and age.

    Changed in place; the indexes are derived from the records alone, so that
    two books with equal records behave equally.

    Args:
      records: Claims to start with, each with a well-formed key.
    """

    def __init__(self, records: typing.Iterable[Record] = ()):
        self._records: dict[int, Record] = {}
        self._ids: dict[tuple[str, str], int] = {}
        self._open: dict[tuple[str, str], set[int]] = {}
        self._ages: list[tuple[int, int]] = []
        for record in records:
            self._ids[record.caller, record.key] = record.claim_id
            self._ages.append((issued_ms(record.key), record.claim_id))
            self._put(record)
        heapq.heapify(self._ages)

    def __len__(self) -> int:
        return len(self._records)

    @property
    def open_count(self) -> int:
        """Number of claims without an outcome."""
        return sum(map(len, self._open.values()))

    def records(self) -> list[Record]:
        """Returns all records by id."""
        return [self._records[i] for i in sorted(self._records)]

    def find(self, caller: str, key: str) -> Record | None:
        """Returns the claim of a caller's key, or None."""
        claim_id = self._ids.get((caller, key))
        return None if claim_id is None else self._records[claim_id]

    def claim(self, wanted: Record) -> tuple[str, Record]:
        """Looks a key up and grants it when it may run.

        Args:
          wanted: Claim as it is stored when it is new. Its key is
            well-formed; see `check_key`.

        Returns:
          What was found, as in ClaimReply.state, and the record.
        """
        record = self.find(wanted.caller, wanted.key)
        if record is None:
            self._ids[wanted.caller, wanted.key] = wanted.claim_id
            age = (issued_ms(wanted.key), wanted.claim_id)
            heapq.heappush(self._ages, age)
            self._put(wanted)
            return "granted", wanted
        if record.digest != wanted.digest:
            return "conflict", record
        if record.state != "not_run":
            return record.state, record
        record = dataclasses.replace(
            wanted, claim_id=record.claim_id, attempt=record.attempt + 1
        )
        self._put(record)
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
          entry_incarnation: Incarnation of the entry that asks; only the
            owner of the attempt may settle it.
          outcome: One of `OUTCOMES`; the one recorded already is accepted
            again.
          result: Answer to keep with `done`, at most `MAX_RESULT_BYTES`; of
            a larger one only the outcome is kept.

        Returns:
          The state of the claim afterwards (empty when there is none) and why
          the outcome was refused.
        """
        record = self._records.get(claim_id)
        if record is None:
            return "", ClaimNotFound(f"claim {claim_id} is not kept")
        problem = _settle_problem(record, attempt, entry_incarnation, outcome)
        if problem is not None or outcome == record.state:
            return record.state, problem
        kept = outcome == "done" and len(result) <= MAX_RESULT_BYTES
        self._put(
            dataclasses.replace(
                record,
                state=outcome,
                result=result if kept else b"",
                result_dropped=outcome == "done" and not kept,
            )
        )
        return outcome, None

    def abandon(self, entry_name: str, entry_incarnation: str) -> int:
        """Turns the open claims of a vanished entry into `unknown`.

        Returns:
          How many there were.
        """
        # Closing a claim takes it out of the set.
        ids = sorted(self._open.get((entry_name, entry_incarnation), ()))
        for claim_id in ids:
            record = self._records[claim_id]
            self._put(dataclasses.replace(record, state="unknown"))
        return len(ids)

    def prune(self, floor_ms: int) -> int:
        """Forgets the claims whose keys were issued before the floor.

        Returns:
          How many were forgotten.
        """
        count = 0
        while self._ages and self._ages[0][0] < floor_ms:
            _, claim_id = heapq.heappop(self._ages)
            record = self._records.pop(claim_id)
            del self._ids[record.caller, record.key]
            self._close(record)
            count += 1
        return count

    def _put(self, record: Record) -> None:
        present = self._records.get(record.claim_id)
        if present is not None:
            self._close(present)
        self._records[record.claim_id] = record
        if record.state == "open":
            self._open.setdefault(record.owner, set()).add(record.claim_id)

    def _close(self, record: Record) -> None:
        ids = self._open.get(record.owner)
        if ids is None:
            return
        ids.discard(record.claim_id)
        if not ids:
            del self._open[record.owner]


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
    # The owner may still learn that an unknown attempt was done. It may not
    # declare it as not run: a resend was told `unknown` already.
    becomes_known = record.state == "unknown" and outcome == "done"
    if record.state not in ("open", outcome) and not becomes_known:
        detail = f"claim {record.claim_id} is {record.state}, not {outcome}"
        return SettledOtherwise(detail)
    return None
