"""Result of an operator's command: exit code, data and text.

Exit codes, for scripts:

  0  done
  1  unexpected failure
  2  the arguments, the settings or the release note are invalid
  3  the number of the release note is used already or not the next one
  4  control, or an entry that `status` queries, did not answer; a release note
     may have been accepted or not, and the same command may be repeated
  5  accepted, but not yet in force everywhere
  6  the hash chain of the audit trail is broken
"""

from collections import abc
import dataclasses
import typing

from auburnway.core import errors
from auburnway.core import note_errors  # noqa: F401  # Defines error classes.

DONE = 0
UNEXPECTED_FAILURE = 1
INVALID_INPUT = 2
NUMBER_TAKEN = 3
UNAVAILABLE = 4
NOT_YET_IN_FORCE = 5
AUDIT_INVALID = 6


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Result of one command.

    Attributes:
      exit_code: One of the exit codes of this module.
      data: Fields of the JSON output, without the errors.
      text: Text output, without the errors.
      errors: Errors as dicts with code, message, source and remedy.
    """

    exit_code: int
    data: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    text: str = ""
    errors: tuple[dict[str, str], ...] = ()


def error_dict(error) -> dict[str, str]:
    """Returns an error as a dict of code, message, source and remedy.

    Args:
      error: `core.errors.Error` or the Error message of control.proto.
    """
    if isinstance(error, errors.Error):
        return error.as_dict()
    return {
        "code": error.code,
        "message": error.message,
        "source": error.source,
        "remedy": error.remedy or errors.Error.remedy,
    }


def from_errors(failures: abc.Iterable, **data) -> Outcome:
    """Returns the outcome of a command that failed with these errors.

    Args:
      failures: Errors, as for `error_dict`.
      **data: Fields of the JSON output.
    """
    error_dicts = tuple(error_dict(error) for error in failures)
    return Outcome(exit_code(error_dicts), data, errors=error_dicts)


def exit_code(error_dicts: abc.Iterable[dict[str, str]]) -> int:
    """Returns the exit code for a list of errors.

    When several apply, unavailability of control takes precedence over an
    invalid release note, and that over a wrong number, because this is the
    order in which an operator has to resolve them.
    """
    # No subclass of `errors.Error` has the code `not_leader`.
    exit_codes = {"not_leader": UNAVAILABLE}
    pending = [errors.Error]
    while pending:
        error_class = pending.pop()
        exit_codes.setdefault(error_class.code, error_class.exit_code)
        pending.extend(error_class.__subclasses__())
    candidates = {
        exit_codes.get(error["code"], UNEXPECTED_FAILURE)
        for error in error_dicts
    }
    for code in (UNAVAILABLE, UNEXPECTED_FAILURE, INVALID_INPUT, NUMBER_TAKEN):
        if code in candidates:
            return code
    return UNEXPECTED_FAILURE
