"""Error types; each message contains the remedy.

Expected errors are values: functions return them inside a
`returns.result.Failure` or in a tuple next to their results. Each type is a
subclass of `Error` with class-level `code`, `remedy`, `http_status` and
`exit_code`.
"""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class Error:
    """Base class of all error types.

    Attributes:
      detail: What is wrong, with the offending value.
      source: Where the error was found, such as `file:key` or a request id.
    """

    detail: str = ""
    source: str = ""

    code: typing.ClassVar[str] = "internal"
    remedy: typing.ClassVar[str] = "Report this with the log of the process."
    http_status: typing.ClassVar[int] = 500
    exit_code: typing.ClassVar[int] = 1

    @property
    def message(self) -> str:
        """Readable message: source, detail and remedy."""
        prefix = f"{self.source}: " if self.source else ""
        return f"{prefix}{self.detail or self.code}. {self.remedy}"

    def as_dict(self) -> dict[str, typing.Any]:
        """Returns the wire form: code, detail, source and remedy."""
        return {
            "code": self.code,
            "message": self.detail or self.code,
            "source": self.source,
            "remedy": self.remedy,
        }


class BadRequest(Error):
    """The caller's request is malformed."""

    code = "bad_request"
    remedy = "Correct the request as described in docs/API.md."
    http_status = 400


class BodyTooLarge(Error):
    """The request body exceeds the limit."""

    code = "body_too_large"
    remedy = "Send a smaller body."
    http_status = 413


class UnknownCaller(Error):
    """The configuration in force has no caller of that name."""

    code = "unknown_caller"
    remedy = "Add the caller in a release note."
    http_status = 403


class UnknownKind(Error):
    """The configuration in force has no request kind of that name."""

    code = "unknown_kind"
    remedy = "Use a kind listed by GET /v1/status or add it in a release note."
    http_status = 404


class BadKey(Error):
    """The idempotency key is missing or malformed."""

    code = "bad_key"
    remedy = "Send idempotency_key as <issued_ms>-<nonce>."
    http_status = 400


class KeyExpired(Error):
    """The idempotency key was issued before the retention of claims."""

    code = "key_expired"
    remedy = (
        "Check the outcome of the first attempt, then issue a new key if it"
        " must run."
    )
    http_status = 410


class KeyConflict(Error):
    """The key was used before with another request body."""

    code = "key_conflict"
    remedy = "Use a new key for a different request."
    http_status = 409


class Overloaded(Error):
    """Admission control refused the request before running any of it."""

    code = "overloaded"
    remedy = "Send it again after retry_after_ms."
    http_status = 503


class DeadlineExceeded(Error):
    """The deadline passed before the request could be served."""

    code = "deadline_exceeded"
    remedy = "Send it again with a longer deadline."
    http_status = 504


class NoBackendServer(Error):
    """No backend server can serve the request."""

    code = "no_backend_server"
    remedy = "Check `auburnway-operator status`; start or undrain servers."
    http_status = 503


class Quarantined(Error):
    """The request is refused because it crashed backend servers."""

    code = "quarantined"
    remedy = (
        "Do not send this request again; report it to the operators of the"
        " backend servers."
    )
    http_status = 422


class Isolated(Error):
    """This entry may not serve, as it holds no valid configuration lease."""

    code = "isolated"
    remedy = "Use another address from GET /v1/addresses."
    http_status = 503


class OutcomeUnknown(Error):
    """It is not known whether the request ran."""

    code = "outcome_unknown"
    remedy = (
        "Check with the backend system before issuing a new idempotency key;"
        " the same key never runs a second time."
    )
    http_status = 504


class ControlUnavailable(Error):
    """No control instance that is backed by a quorum answered in time."""

    code = "control_unavailable"
    remedy = "Check `auburnway-operator status`; restore a majority of control."
    http_status = 503
    exit_code = 4
