"""Errors of control calls, shared by the client and the service.

`NotExecuted` and its subclasses mean that the call certainly had no effect.
`OutcomeUncertain` means that the call may have had or may still have an effect.
"""

import dataclasses
import typing

from auburnway.core import errors


class NotExecuted(errors.ControlUnavailable):
    """No control instance executed the call, so it had no effect."""

    code = "not_executed"


@dataclasses.dataclass(frozen=True)
class NotLeader(NotExecuted):
    """The control instance that received the call is not the leader.

    Attributes:
      leader_address: `ip:port` of the leader; empty when unknown.
    """

    leader_address: str = ""

    code: typing.ClassVar[str] = "not_leader"
    remedy: typing.ClassVar[str] = "Ask the leader, or wait for an election."


class OutcomeUncertain(errors.ControlUnavailable):
    """The call was sent, but whether it has an effect is unknown."""

    code = "outcome_uncertain"
    remedy = "Read the state, or send the same call again."


class BadToken(errors.Error):
    """The fleet token of the call is absent or wrong."""

    code = "bad_token"
    remedy = "Set token or token_file to the fleet's token."
    http_status = 401


class Refused(errors.Error):
    """Control rejected the call; its reply holds the code and the remedy."""

    code = "refused"


class NoEntryMajority(errors.Error):
    """No change is accepted, as most registered entries hold no lease."""

    code = "no_entry_majority"
    remedy = (
        "Wait until a majority of the registered entries hold leases; see"
        " `auburnway-operator status`."
    )
    http_status = 503


class Superseded(errors.Error):
    """Another incarnation of this entry is registered, or none is."""

    code = "superseded"
    remedy = "Stop this process; a newer one runs under its name."
    http_status = 409
