"""Error types of release notes: why a note is refused, and the remedy."""

from auburnway.core import errors


class BadNote(errors.Error):
    """The text cannot be parsed as a release note."""

    code = "bad_note"
    remedy = "Correct the text as shown in docs/RELEASE-NOTES.md."
    http_status = 400
    exit_code = 2


class BadValue(errors.Error):
    """A key is absent or unknown, or its value is not allowed."""

    code = "bad_value"
    remedy = "Use the keys and ranges listed in docs/RELEASE-NOTES.md."
    http_status = 400
    exit_code = 2


class WrongNumber(errors.Error):
    """The number does not follow the number in force."""

    code = "wrong_number"
    remedy = (
        "Set `number` to the expected one and run `auburnway-operator plan`"
        " again."
    )
    http_status = 409
    exit_code = 3


class NoteConflict(errors.Error):
    """A different release note was accepted under this number."""

    code = "note_conflict"
    remedy = (
        "Look at the winner with `auburnway-operator diff NUMBER`, give this"
        " release note the next number and run `auburnway-operator plan`."
    )
    http_status = 409
    exit_code = 3


class DuplicateName(errors.Error):
    """A release note contains the same item twice."""

    code = "duplicate_name"
    remedy = "Keep one entry per item and name; one `change` can set all keys."
    http_status = 400
    exit_code = 2


class AlreadyPresent(errors.Error):
    """A release note adds an item that is already in force."""

    code = "already_present"
    remedy = "Use `change`, or another name."
    http_status = 409
    exit_code = 2


class NotPresent(errors.Error):
    """A release note changes or withdraws an item that is not in force."""

    code = "not_present"
    remedy = "Use a name listed by `auburnway-operator show`, or `add` it."
    http_status = 409
    exit_code = 2


class UnknownReference(errors.Error):
    """A value refers to an item that would not be in force."""

    code = "unknown_reference"
    remedy = "Add the item in the same release note or use a name in force."
    http_status = 409
    exit_code = 2


class InUse(errors.Error):
    """A release note withdraws an item that other items refer to."""

    code = "in_use"
    remedy = "Change or withdraw its users in the same release note."
    http_status = 409
    exit_code = 2


class FloorsExceeded(errors.Error):
    """The floor shares of all ranks sum to more than 1."""

    code = "floors_exceeded"
    remedy = "Lower floor_share of some ranks until the sum is at most 1."
    http_status = 409
    exit_code = 2


class SameOrder(errors.Error):
    """Two ranks have the same order, so their priority is undefined."""

    code = "same_order"
    remedy = "Give each rank its own order."
    http_status = 409
    exit_code = 2


class UnknownPolicy(errors.Error):
    """A policy refers to an unknown decision or an unknown plug-in."""

    code = "unknown_policy"
    remedy = "Use one of the listed names."
    http_status = 409
    exit_code = 2
