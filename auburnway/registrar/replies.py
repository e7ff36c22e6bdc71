"""Errors that a control instance returns to operators and backend servers."""

from auburnway.core import errors


class NotAvailable(errors.Error):
    """This instance cannot answer now; another instance may."""

    code = "not_available"
    remedy = "Send the call again, to another control instance first."
    http_status = 503


class RevisionConflict(errors.Error):
    """The revision is in force with different content."""

    code = "revision_conflict"
    remedy = "Read the configuration in force, and send a higher revision."
    http_status = 409


class SeeLeader(errors.Error):
    """Another instance is the leader; `detail` is its IP address."""

    code = "see_leader"
    remedy = "Send the call to the instance that is named."
    http_status = 307
