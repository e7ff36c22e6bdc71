"""Answers to callers: done, not run or unknown."""

import dataclasses
import functools
import typing

import orjson

from auburnway.core import errors
from auburnway.core import request as request_lib
from auburnway.core import snapshot as snapshot_lib


@dataclasses.dataclass(frozen=True)
class Done:
    """The request ran and this is its result.

    Attributes:
      request: The request answered.
      configuration_number: Release note in force when it was served.
      snapshot: Version of the index that all records come from.
      coverage: How much of that snapshot is covered.
      records: The records found.
    """

    request: request_lib.Request
    configuration_number: int
    snapshot: int
    coverage: snapshot_lib.Coverage
    records: tuple[typing.Any, ...]

    outcome: typing.ClassVar[str] = "done"


@dataclasses.dataclass(frozen=True)
class Recorded:
    """The recorded answer of an earlier attempt with the same key.

    Attributes:
      request_id: The request answered now.
      body: The answer as it was sent first; empty when it was too large.
    """

    request_id: str
    body: bytes

    outcome: typing.ClassVar[str] = "done"


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The request did not run and will not.

    Attributes:
      request_id: The request answered.
      error: Why, with the remedy.
      retry_after_ms: When to send it again; None for no advice.
    """

    request_id: str
    error: errors.Error
    retry_after_ms: float | None = None

    outcome: typing.ClassVar[str] = "not_run"


@dataclasses.dataclass(frozen=True)
class Unknown:
    """It is not known here whether the request ran.

    The same idempotency key may be sent again: it never runs twice.

    Attributes:
      request_id: The request answered.
      error: Why it is not known, with the remedy.
      retry_after_ms: When to send it again; None for no advice.
    """

    request_id: str
    error: errors.Error
    retry_after_ms: float | None = None

    outcome: typing.ClassVar[str] = "unknown"


Answer = Done | Recorded | NotRun | Unknown


def refuse(
    request_id: str,
    error: errors.Error,
    may_be_resend: bool,
    retry_after_ms: float | None = None,
) -> NotRun | Unknown:
    """Returns the truthful refusal of a request that was not looked up.

    Args:
      request_id: The request.
      error: Why it is refused.
      may_be_resend: Whether an earlier request with the same key may exist.
        What became of that one is not known, so this is not "not run".
      retry_after_ms: When to send again.
    """
    kind = Unknown if may_be_resend else NotRun
    return kind(request_id, error, retry_after_ms)


@dataclasses.dataclass(frozen=True)
class Rendered:
    """An answer as HTTP.

    Attributes:
      status: HTTP status.
      body: Body of the response.
      retry_after_ms: When the caller should send again; None for no advice.
      content_type: Value of the header `content-type`.
    """

    status: int
    body: bytes
    retry_after_ms: float | None = None
    content_type: str = "application/json"


@functools.singledispatch
def render(answer: Answer) -> Rendered:
    """Returns the HTTP form of an answer.

    Raises:
      TypeError: The object is no answer.
    """
    raise TypeError(f"{type(answer).__name__} is no answer")


@render.register
def _(answer: Done) -> Rendered:
    request = answer.request
    coverage = answer.coverage
    body = {
        "outcome": answer.outcome,
        "request_id": request.request_id,
        "caller": request.caller.name,
        "kind": request.kind.name,
        "rank": request.rank.name,
        "configuration_number": answer.configuration_number,
        "snapshot": answer.snapshot,
        "coverage": {
            "covered_weight": coverage.covered_weight,
            "total_weight": coverage.total_weight,
            "share": coverage.share,
            "missing_shards": coverage.missing_shards,
        },
        "records": answer.records,
    }
    return Rendered(200, orjson.dumps(body))


@render.register
def _(answer: Recorded) -> Rendered:
    if answer.body:
        return Rendered(200, answer.body)
    body = {
        "outcome": answer.outcome,
        "request_id": answer.request_id,
        "note": "the recorded answer was too large to keep",
    }
    return Rendered(200, orjson.dumps(body))


@render.register(NotRun)
@render.register(Unknown)
def _(answer: NotRun | Unknown) -> Rendered:
    body = {
        "outcome": answer.outcome,
        "request_id": answer.request_id,
        "error": answer.error.as_dict(),
    }
    if answer.retry_after_ms is not None:
        body["retry_after_ms"] = answer.retry_after_ms
    return Rendered(
        answer.error.http_status,
        orjson.dumps(body),
        answer.retry_after_ms,
    )
