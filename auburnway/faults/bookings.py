"""Non-repeatable requests that are resent until their outcome is final.

The outcomes that the callers received are compared with the run files of the
stand-in backend servers. A stand-in syncs its file at each run, so the file
survives a killed process.
"""

import collections
from collections import abc
from concurrent import futures
import dataclasses
import http.client
import random
import time
import typing

from auburnway.demo import fleet as fleet_lib

# Error codes that are final for a key: no resend can change the outcome.
FINAL_CODES = frozenset(("quarantined", "key_expired", "key_conflict"))
FINAL_MESSAGE = "an earlier attempt with this key ended unknown"
RESEND_PAUSE_MS = 50.0
# One key in this many is not resent after the outcome `not_run`, so that a run
# of the key after that answer is detected.
ABANDON_PERIOD = 4


@dataclasses.dataclass
class Booking:
    """A non-repeatable request and the answers that its caller received.

    Attributes:
      key: Idempotency key.
      last_outcome: Latest outcome received: `done`, `not_run`, `unknown` or
        empty.
      is_final: Whether no resend can change the outcome, or the caller stops
        resending after `not_run`.
      not_run_ids: Request ids of the attempts that were answered `not_run`.
      attempts: Number of attempts sent.
      codes: Error codes received, in the order of the attempts.
    """

    key: str
    last_outcome: str = ""
    is_final: bool = False
    not_run_ids: list[str] = dataclasses.field(default_factory=list)
    attempts: int = 0
    codes: list[str] = dataclasses.field(default_factory=list)


def new_key(rng: random.Random) -> str:
    """Returns a unique idempotency key that starts with the wall time in ms."""
    return f"{time.time_ns() // 1_000_000}-{rng.getrandbits(64):x}"


def send_attempt(
    booking: Booking,
    address: str,
    deadline_ms: float,
    caller: str = "desk",
    query: dict[str, typing.Any] | None = None,
) -> dict[str, typing.Any]:
    """Sends one attempt and records its answer in the booking.

    Returns:
      The answer, or an empty dictionary if no answer was received.
    """
    booking.attempts += 1
    body = {
        "caller": caller,
        "kind": "booking",
        "deadline_ms": deadline_ms,
        "idempotency_key": booking.key,
        "query": {"marker": booking.key, **(query or {})},
    }
    if booking.attempts == 1:
        body["attempt"] = 1
    try:
        _, answer = fleet_lib.call_http(
            address,
            "POST",
            "/v1/requests",
            body,
            timeout_ms=deadline_ms + 1000.0,
        )
    except (OSError, http.client.HTTPException, ValueError):
        booking.codes.append("no_answer")
        booking.last_outcome = "unknown"
        return {}
    booking.last_outcome = answer.get("outcome", "")
    error = answer.get("error", {})
    booking.codes.append(error.get("code", ""))
    if booking.last_outcome == "not_run" and "request_id" in answer:
        booking.not_run_ids.append(answer["request_id"])
    booking.is_final = (
        booking.last_outcome == "done"
        or error.get("code") in FINAL_CODES
        or error.get("message") == FINAL_MESSAGE
    )
    return answer


def resend_until_final(
    index: int,
    addresses: list[str],
    rng: random.Random,
    deadline_ms: float,
    timeout_s: float,
) -> Booking:
    """Sends one key to the entries in turn until its outcome is final.

    Args:
      index: Index of the key, which decides whether it is resent after
        `not_run`.
      addresses: Addresses of the entries.
      rng: Source of the key and of the order of the entries.
      deadline_ms: Deadline of each attempt.
      timeout_s: Time after which no further attempt is sent.
    """
    booking = Booking(new_key(rng))
    end_s = time.monotonic() + timeout_s
    address_order = rng.sample(addresses, len(addresses))
    while time.monotonic() < end_s:
        address = address_order[booking.attempts % len(address_order)]
        send_attempt(booking, address, deadline_ms)
        if booking.last_outcome == "not_run" and index % ABANDON_PERIOD == 0:
            booking.is_final = True
        if booking.is_final:
            break
        time.sleep(RESEND_PAUSE_MS / 1000.0)
    return booking


def resend_many_until_final(
    addresses: list[str],
    count: int,
    *,
    workers: int = 12,
    deadline_ms: float = 1500.0,
    timeout_s: float = 45.0,
    seed: int = 1,
    on_load_started: abc.Callable[[], None] | None = None,
) -> list[Booking]:
    """Resends many keys concurrently until their outcomes are final.

    `on_load_started` is called once, when about a sixth of the keys are sent.
    """

    def resend_one(index: int) -> Booking:
        if on_load_started is not None and index == count // 6:
            on_load_started()
        rng = random.Random(f"{seed}/{index}")
        return resend_until_final(index, addresses, rng, deadline_ms, timeout_s)

    with futures.ThreadPoolExecutor(workers) as pool:
        return list(pool.map(resend_one, range(count)))


def compare_with_runs(
    bookings: list[Booking], runs: list[dict]
) -> dict[str, int]:
    """Compares the outcomes that callers received with the recorded runs.

    Args:
      bookings: All bookings sent.
      runs: Runs that the stand-ins recorded: claim id, key and sub-request id.

    Returns:
      Counts by name; the guarantees hold if the first four are 0.
    """
    runs_by_key = collections.Counter(run["key"] for run in runs)
    ran_ids = {run["request_id"].rsplit(".", 2)[0] for run in runs}
    outcome_counts = collections.Counter(b.last_outcome for b in bookings)
    return {
        "ran_twice": sum(1 for b in bookings if runs_by_key[b.key] > 1),
        "not_run_but_ran": sum(
            1
            for b in bookings
            if (b.last_outcome == "not_run" and runs_by_key[b.key])
            or ran_ids.intersection(b.not_run_ids)
        ),
        "done_without_run": sum(
            1
            for b in bookings
            if b.last_outcome == "done" and not runs_by_key[b.key]
        ),
        "not_final": sum(1 for b in bookings if not b.is_final),
        "requests": len(bookings),
        "attempts": sum(b.attempts for b in bookings),
        "done": outcome_counts["done"],
        "not_run": outcome_counts["not_run"],
        "unknown": outcome_counts["unknown"],
        "not_run_answers": sum(len(b.not_run_ids) for b in bookings),
        "lost_answers": sum(b.codes.count("no_answer") for b in bookings),
    }
