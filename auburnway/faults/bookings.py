"""Non-repeatable requests that are resent until their outcome is final.

What the callers were told is compared with the files that the stand-ins sync
at each run, which outlive a killed process.
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

# Last words on a key: no resend can change them.
FINAL_CODES = frozenset(("quarantined", "key_expired", "key_conflict"))
FINAL_DETAIL = "an earlier attempt with this key ended unknown"
PAUSE_MS = 50.0
# One key in this many is given up when it is told "not run", so that a run
# after that answer shows.
GIVE_UP_PERIOD = 4


@dataclasses.dataclass
class Booking:
    """One key and what its caller was told.

    Attributes:
      key: Idempotency key.
      last: Last outcome told: `done`, `not_run`, `unknown` or empty.
      final: Whether no resend could change it, or the caller gave up on
        `not_run`.
      not_run_ids: Request ids of attempts that were told `not_run`.
      attempts: Attempts sent.
      codes: Error codes told, in order.
    """

    key: str
    last: str = ""
    final: bool = False
    not_run_ids: list[str] = dataclasses.field(default_factory=list)
    attempts: int = 0
    codes: list[str] = dataclasses.field(default_factory=list)


def new_key(rng: random.Random) -> str:
    """Returns a fresh idempotency key."""
    return f"{time.time_ns() // 1_000_000}-{rng.getrandbits(64):x}"


def send(
    booking: Booking,
    address: str,
    deadline_ms: float,
    caller: str = "desk",
    query: dict[str, typing.Any] | None = None,
) -> dict[str, typing.Any]:
    """Sends one attempt and notes the answer; empty without an answer."""
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
        _, answer = fleet_lib.call(
            address,
            "POST",
            "/v1/requests",
            body,
            timeout_ms=deadline_ms + 1000.0,
        )
    except (OSError, http.client.HTTPException, ValueError):
        booking.codes.append("no_answer")
        booking.last = "unknown"
        return {}
    booking.last = answer.get("outcome", "")
    error = answer.get("error", {})
    booking.codes.append(error.get("code", ""))
    if booking.last == "not_run" and "request_id" in answer:
        booking.not_run_ids.append(answer["request_id"])
    booking.final = (
        booking.last == "done"
        or error.get("code") in FINAL_CODES
        or error.get("message") == FINAL_DETAIL
    )
    return answer


def settle(
    number: int,
    addresses: list[str],
    rng: random.Random,
    deadline_ms: float,
    limit_s: float,
) -> Booking:
    """Sends one key to one entry after another until it is final."""
    booking = Booking(new_key(rng))
    end_s = time.monotonic() + limit_s
    order = rng.sample(addresses, len(addresses))
    while time.monotonic() < end_s:
        address = order[booking.attempts % len(order)]
        send(booking, address, deadline_ms)
        if booking.last == "not_run" and number % GIVE_UP_PERIOD == 0:
            booking.final = True
        if booking.final:
            break
        time.sleep(PAUSE_MS / 1000.0)
    return booking


def settle_many(
    addresses: list[str],
    count: int,
    *,
    workers: int = 12,
    deadline_ms: float = 1500.0,
    limit_s: float = 45.0,
    seed: int = 1,
    on_first: abc.Callable[[], None] | None = None,
) -> list[Booking]:
    """Settles many keys at once; calls `on_first` after some are final."""

    def one(number: int) -> Booking:
        if on_first is not None and number == count // 6:
            on_first()
        rng = random.Random(f"{seed}/{number}")
        return settle(number, addresses, rng, deadline_ms, limit_s)

    with futures.ThreadPoolExecutor(workers) as pool:
        return list(pool.map(one, range(count)))


def compare(bookings: list[Booking], runs: list[dict]) -> dict[str, int]:
    """Compares what callers were told with what ran.

    Args:
      bookings: All keys sent.
      runs: Runs of the stand-ins: claim id, key and sub-request id.

    Returns:
      Counts by name; the promises hold when the first four are 0.
    """
    count = collections.Counter(run["key"] for run in runs)
    ran_ids = {run["request_id"].rsplit(".", 2)[0] for run in runs}
    told = collections.Counter(b.last for b in bookings)
    return {
        "ran_twice": sum(1 for b in bookings if count[b.key] > 1),
        "not_run_but_ran": sum(
            1
            for b in bookings
            if (b.last == "not_run" and count[b.key])
            or ran_ids.intersection(b.not_run_ids)
        ),
        "done_without_run": sum(
            1 for b in bookings if b.last == "done" and not count[b.key]
        ),
        "not_final": sum(1 for b in bookings if not b.final),
        "requests": len(bookings),
        "attempts": sum(b.attempts for b in bookings),
        "done": told["done"],
        "not_run": told["not_run"],
        "unknown": told["unknown"],
        "not_run_answers": sum(len(b.not_run_ids) for b in bookings),
        "lost_answers": sum(b.codes.count("no_answer") for b in bookings),
    }
