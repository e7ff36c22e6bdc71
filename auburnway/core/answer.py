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
    """Answer with the result of a request that ran.

    Attributes:
      request: The request answered.
      configuration_number: Number of the release note that was in force when
        the request was served.
      snapshot: Version of the index that all records come from.
      coverage: Share of the shards of that snapshot that replied.
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
      request_id: Identifier of the request that is answered now.
      body: Body of the first answer; empty when it was too large to record.
    """

    request_id: str
    body: bytes

    outcome: typing.ClassVar[str] = "done"


@dataclasses.dataclass(frozen=True)
class NotRun:
    """Answer to a request that did not run and will not run.

    Attributes:
      request_id: Identifier of the request.
      error: Why the request did not run, with the remedy.
      retry_after_ms: Delay after which the caller should send the request
        again; None for no advice.
    """

    request_id: str
    error: errors.Error
    retry_after_ms: float | None = None

    outcome: typing.ClassVar[str] = "not_run"


@dataclasses.dataclass(frozen=True)
class Unknown:
    """Answer to a request of which this entry cannot tell whether it ran.

    The caller may send the same idempotency key again: a key never runs twice.

    Attributes:
      request_id: Identifier of the request.
      error: Why the outcome is unknown, with the remedy.
      retry_after_ms: Delay after which the caller should send the request
        again; None for no advice.
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
    """Returns the refusal of a request whose key was not looked up.

    Args:
      request_id: Identifier of the request.
      error: Why the request is refused.
      may_be_resend: Whether an earlier request with the same key may exist.
        The outcome of that request is not known here, so the refusal is then
        `Unknown` instead of `NotRun`.
      retry_after_ms: Delay after which the caller should send the request
        again; None for no advice.
    """
    kind = Unknown if may_be_resend else NotRun
    return kind(request_id, error, retry_after_ms)


@dataclasses.dataclass(frozen=True)
class RenderedAnswer:
    """HTTP form of an answer.

    Attributes:
      status: HTTP status.
      body: Body of the response.
      retry_after_ms: Delay after which the caller should send the request
        again; None for no advice.
      content_type: Value of the header `content-type`.
    """

    status: int
    body: bytes
    retry_after_ms: float | None = None
    content_type: str = "application/json"


@functools.singledispatch
def render(answer: Answer) -> RenderedAnswer:
    """Returns the HTTP form of an answer.

    Raises:
      TypeError: The object is not an answer.
    """
    raise TypeError(f"{type(answer).__name__} is not an answer")


@render.register
def _(answer: Done) -> RenderedAnswer:
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
    return RenderedAnswer(200, orjson.dumps(body))


@render.register
def _(answer: Recorded) -> RenderedAnswer:
    if answer.body:
        return RenderedAnswer(200, answer.body)
    body = {
        "outcome": answer.outcome,
        "request_id": answer.request_id,
        "note": "the recorded answer was too large to keep",
    }
    return RenderedAnswer(200, orjson.dumps(body))


@render.register(NotRun)
@render.register(Unknown)
def _(answer: NotRun | Unknown) -> RenderedAnswer:
    body = {
        "outcome": answer.outcome,
        "request_id": answer.request_id,
        "error": answer.error.as_dict(),
    }
    if answer.retry_after_ms is not None:
        body["retry_after_ms"] = answer.retry_after_ms
    return RenderedAnswer(
        answer.error.http_status,
        orjson.dumps(body),
        answer.retry_after_ms,
    )
