"""Requests of callers, checked against the configuration in force."""

import dataclasses
import json
import typing

from returns import result

from auburnway.core import claims
from auburnway.core import configuration as configuration_lib
from auburnway.core import errors

MAX_NAME_BYTES = 128


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A valid request, ready for admission.

    Attributes:
      request_id: Identifier on this entry, also sent to backend servers.
      caller: Caller that sent the request.
      kind: Kind of the request.
      rank: Rank under which the request is admitted.
      deadline_at_ms: Deadline on the entry's monotonic clock.
      query_json: The query as canonical JSON.
      idempotency_key: Idempotency key; empty for repeatable kinds.
      may_be_resend: Whether the request has a key that the caller does not
        mark as a first attempt.
    """

    request_id: str
    caller: configuration_lib.Caller
    kind: configuration_lib.Kind
    rank: configuration_lib.Rank
    deadline_at_ms: float
    query_json: bytes
    idempotency_key: str
    may_be_resend: bool = False


def may_be_resend(body: bytes) -> bool:
    """Whether an unchecked body may resend a non-repeatable request."""
    try:
        data = json.loads(body)
    except (ValueError, RecursionError):
        return False
    return isinstance(data, dict) and _may_be_resend(data)


def _may_be_resend(data: dict[str, typing.Any]) -> bool:
    return bool(data.get("idempotency_key")) and data.get("attempt") != 1


def parse(
    body: bytes,
    configuration: configuration_lib.Configuration,
    request_id: str,
    now_ms: float,
    wall_ms: int,
) -> result.Result[Request, errors.Error]:
    """Parses and checks the request of a caller.

    Args:
      body: JSON as described in section 4.1 of docs/design.md.
      configuration: Configuration in force.
      request_id: Identifier that this entry assigned.
      now_ms: Monotonic instant from which the deadline is counted.
      wall_ms: Wall-clock instant against which the key is checked.

    Returns:
      The request, or the first error found: `BadRequest`, `UnknownCaller`,
      `UnknownKind` or `BadKey`.
    """
    data, problem = _read_body(body)
    if problem:
        return _bad_request(problem, request_id)
    caller = configuration.find("caller", data["caller"])
    if caller is None:
        return result.Failure(errors.UnknownCaller(data["caller"], request_id))
    kind = configuration.find("kind", data["kind"])
    if kind is None:
        return result.Failure(errors.UnknownKind(data["kind"], request_id))
    time_left_ms = data.get("deadline_ms", kind.deadline_ms)
    if isinstance(time_left_ms, bool) or not isinstance(
        time_left_ms, int | float
    ):
        return _bad_request("deadline_ms is not a number", request_id)
    if not time_left_ms > 0:
        detail = f"deadline_ms {time_left_ms} is in the past"
        return _bad_request(detail, request_id)
    key_error = _check_key(kind, data.get("idempotency_key"), wall_ms)
    if key_error:
        return result.Failure(errors.BadKey(key_error, request_id))
    return result.Success(
        Request(
            request_id=request_id,
            caller=caller,
            kind=kind,
            rank=configuration.find("rank", kind.rank),
            deadline_at_ms=now_ms + min(time_left_ms, kind.deadline_ms),
            query_json=json.dumps(
                data["query"], sort_keys=True, separators=(",", ":")
            ).encode(),
            idempotency_key=data.get("idempotency_key") or "",
            may_be_resend=_may_be_resend(data),
        )
    )


def _read_body(body: bytes) -> tuple[dict[str, typing.Any], str]:
    """Returns the content of a body and its first error; empty if none."""
    try:
        data = json.loads(body)
    except (ValueError, RecursionError) as error:
        return {}, f"the body is not JSON: {error}"
    if not isinstance(data, dict):
        return {}, "the body is not a JSON object"
    for name in ("caller", "kind"):
        if not _is_name(data.get(name)):
            return data, f"{name} is missing or not a name"
    if not isinstance(data.get("query"), dict):
        return data, "query is missing or not an object"
    return data, ""


def _check_key(
    kind: configuration_lib.Kind, key: typing.Any, wall_ms: int
) -> str:
    if kind.repeatable:
        return "" if key in (None, "") else f"kind {kind.name} takes no key"
    issued_ms = claims.issued_ms(key) if isinstance(key, str) else None
    if issued_ms is None:
        return f"{key!r} is not <issued_ms>-<nonce>"
    if issued_ms > wall_ms + claims.MAX_KEY_AHEAD_MS:
        return f"{key!r} was issued in the future"
    return ""


def _is_name(value: typing.Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_NAME_BYTES


def _bad_request(
    detail: str, source: str
) -> result.Result[Request, errors.Error]:
    return result.Failure(errors.BadRequest(detail, source))
