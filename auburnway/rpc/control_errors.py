"""Errors of calls to control, shared by its client and its service.

`NotExecuted` and its subclasses say that the call surely had no effect;
`OutcomeUncertain` says that it may have had one, now or later.
"""

import dataclasses
import typing

from auburnway.core import errors


class NotExecuted(errors.ControlUnavailable):
    """No control instance took the call; it had no effect."""

    code = "not_executed"


@dataclasses.dataclass(frozen=True)
class NotLeader(NotExecuted):
    """The control instance that was asked is not the leader.

    Attributes:
      leader_address: Address of the leader; empty when it is not known.
    """

    leader_address: str = ""

    code: typing.ClassVar[str] = "not_leader"
    remedy: typing.ClassVar[str] = "Ask the leader, or wait for an election."


class OutcomeUncertain(errors.ControlUnavailable):
    """The call was sent, and it is not known whether it has an effect."""

    code = "outcome_uncertain"
    remedy = "Read the state, or send the same call again."


class BadToken(errors.Error):
    """The fleet token is absent or wrong."""

    code = "bad_token"
    remedy = "Set token or token_file to the fleet's token."
    http_status = 401


class Refused(errors.Error):
    """Control refused the call; code and remedy come from its reply."""

    code = "refused"


class NoEntryMajority(errors.Error):
    """Too few registered entries hold a lease for a change."""

    code = "no_entry_majority"
    remedy = (
        "Wait until a majority of the registered entries hold leases; see"
        " `auburnway-operator status`."
    )
    http_status = 503


class Superseded(errors.Error):
    """A later incarnation of this entry is registered."""

    code = "superseded"
    remedy = "Stop this process; a newer one runs under its name."
    http_status = 409
