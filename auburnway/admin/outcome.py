"""What an operator's command ends with: exit code, data and text.

Exit codes, for scripts:

  0  done
  1  unexpected failure
  2  the arguments, the settings or the release note are wrong
  3  the number of the release note is taken or not the next one
  4  control, or an entry that `status` asks, did not answer; a release note may
     be accepted or not, and the same command may be repeated
  5  accepted, but not yet in force everywhere
  6  the audit trail does not verify
"""

from collections import abc
import dataclasses
import typing

from auburnway.core import errors
from auburnway.core import note_errors  # noqa: F401  # Registers its codes.

DONE = 0
UNEXPECTED = 1
WRONG = 2
NUMBER_TAKEN = 3
UNAVAILABLE = 4
NOT_YET_IN_FORCE = 5
AUDIT_INVALID = 6


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Result of one command.

    Attributes:
      exit_code: One of the codes above.
      data: JSON form, without the errors.
      text: Form for people, without the errors.
      errors: Wire forms of errors: code, message, source and remedy.
    """

    exit_code: int
    data: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    text: str = ""
    errors: tuple[dict[str, str], ...] = ()


def wire(error) -> dict[str, str]:
    """Returns code, message, source and remedy of an error of any origin.

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


def refused(found: abc.Iterable, **data) -> Outcome:
    """Returns the outcome of a refusal, with its exit code."""
    wired = tuple(wire(error) for error in found)
    return Outcome(exit_code(wired), data, errors=wired)


def exit_code(wired: abc.Iterable[dict[str, str]]) -> int:
    """Returns the exit code of some errors.

    Control that is unavailable outweighs a wrong release note, and that
    outweighs a wrong number, because it must be mended first.
    """
    # A control instance that is no leader is a kind of its own branch.
    known = {"not_leader": UNAVAILABLE}
    pending = [errors.Error]
    while pending:
        kind = pending.pop()
        known.setdefault(kind.code, kind.exit_code)
        pending.extend(kind.__subclasses__())
    codes = {known.get(error["code"], UNEXPECTED) for error in wired}
    for code in (UNAVAILABLE, UNEXPECTED, WRONG, NUMBER_TAKEN):
        if code in codes:
            return code
    return UNEXPECTED
