"""Commands of the replicated log and their replies.

The leader stamps each command with its wall clock (`wall_ms`, milliseconds
since the Unix epoch) when it proposes it, so that all replicas see the same
time. An entry or a backend server is named together with its incarnation, so
that a late command of an earlier life does not concern the present one.
"""

import dataclasses
import typing

import msgpack

from auburnway.core import claims
from auburnway.core import errors as errors_lib


@dataclasses.dataclass(frozen=True)
class AcceptNote:
    """A release note that is accepted when it wins its number.

    Attributes:
      text: Release note as TOML.
      author: Operator who sent it; empty to take the author in the text.
      wall_ms: The leader's stamp.
    """

    text: str
    author: str
    wall_ms: int


@dataclasses.dataclass(frozen=True)
class RefuseNote:
    """A release note that the leader refused before it was proposed.

    Attributes:
      author: Operator who sent it.
      number: Number of the note; 0 when the text has none.
      digest: Digest of the note; empty when the text is unreadable.
      reason: Why it was refused; a long one is cut in the audit trail.
      wall_ms: The leader's stamp.
    """

    author: str
    number: int
    digest: str
    reason: str
    wall_ms: int


@dataclasses.dataclass(frozen=True)
class Claim:
    """An entry asks for the right to run a request.

    Attributes:
      caller: Caller that the key is unique for.
      key: Idempotency key `<issued_ms>-<nonce>`.
      digest: Digest of kind and query; another one under the same key is a
        conflict.
      entry_name: Registered entry that asks.
      entry_incarnation: Its incarnation.
      wall_ms: The leader's stamp.
    """

    caller: str
    key: str
    digest: str
    entry_name: str
    entry_incarnation: str
    wall_ms: int


@dataclasses.dataclass(frozen=True)
class Settle:
    """The owner of a claim reports the outcome.

    Attributes:
      claim_id: Claim that was granted.
      attempt: Attempt that was granted.
      entry_incarnation: Incarnation of the owner.
      outcome: `done`, `not_run` or `unknown`.
      result: Answer to record with `done`; see `claims.MAX_RESULT_BYTES`.
      wall_ms: The leader's stamp.
    """

    claim_id: int
    attempt: int
    entry_incarnation: str
    outcome: str
    result: bytes
    wall_ms: int


@dataclasses.dataclass(frozen=True)
class Strike:
    """A backend server was lost while it ran a request.

    Attributes:
      fingerprint: Digest of caller, kind and query.
      backend_server: Name of the lost server.
      backend_incarnation: Its incarnation.
      entry_name: Entry that saw the loss.
      wall_ms: The leader's stamp.
    """

    fingerprint: str
    backend_server: str
    backend_incarnation: str
    entry_name: str
    wall_ms: int


@dataclasses.dataclass(frozen=True)
class GrantTrial:
    """An entry asks whether it may run a request, or run it as a trial."""

    fingerprint: str
    entry_name: str
    entry_incarnation: str
    wall_ms: int


@dataclasses.dataclass(frozen=True)
class EndTrial:
    """The holder of a trial reports its end.

    Attributes:
      fingerprint: Digest of caller, kind and query.
      entry_incarnation: Incarnation of the holder.
      outcome: `passed`, `lost` or `not_run`.
      backend_server: Server that was lost; empty for other outcomes.
      backend_incarnation: Its incarnation.
      wall_ms: The leader's stamp.
    """

    fingerprint: str
    entry_incarnation: str
    outcome: str
    backend_server: str
    backend_incarnation: str
    wall_ms: int


@dataclasses.dataclass(frozen=True)
class RegisterEntry:
    """An entry starts; it replaces an earlier incarnation of its name.

    Attributes:
      name: Unique name of the entry.
      incarnation: Identifies this life of its process.
      data_center: Data centre that it runs in.
      caller_address: Where callers connect, `ip:port`.
      peer_address: Where other entries send datagrams, `ip:port`.
      wall_ms: The leader's stamp.
    """

    name: str
    incarnation: str
    data_center: str
    caller_address: str
    peer_address: str
    wall_ms: int


@dataclasses.dataclass(frozen=True)
class RemoveEntry:
    """An entry has left or is lost."""

    name: str
    incarnation: str
    wall_ms: int


@dataclasses.dataclass(frozen=True)
class Tick:
    """Moves the replicated time.

    Attributes:
      wall_ms: The leader's wall clock.
      claim_retention_ms: The leader's setting. It is stamped here because
        replicas with different settings would otherwise prune differently.
    """

    wall_ms: int
    claim_retention_ms: int = claims.DEFAULT_RETENTION_MS


Command = (
    AcceptNote
    | RefuseNote
    | Claim
    | Settle
    | Strike
    | GrantTrial
    | EndTrial
    | RegisterEntry
    | RemoveEntry
    | Tick
)

_TYPES = {cls.__name__: cls for cls in typing.get_args(Command)}


@dataclasses.dataclass(frozen=True)
class NoteReply:
    """Answer to AcceptNote and RefuseNote.

    Attributes:
      errors: Why the note was refused; empty when it is accepted.
      number: Number of the note; 0 when the text has none.
      digest: Digest of the note; empty when the text is unreadable.
      revision: Revision of its row in the audit trail.
      accepted_wall_ms: When it was accepted; 0 when refused.
      repeated_submission: Whether it had been accepted before.
    """

    errors: tuple[errors_lib.Error, ...] = ()
    number: int = 0
    digest: str = ""
    revision: int = 0
    accepted_wall_ms: int = 0
    repeated_submission: bool = False


@dataclasses.dataclass(frozen=True)
class ClaimReply:
    """Answer to Claim.

    Attributes:
      error: Set only when `state` is empty: nothing was looked up or granted.
      state: `granted`, `open`, `done`, `unknown`, `conflict` or `expired`.
      claim_id: Claim that was found or granted; 0 without one.
      attempt: Its current attempt.
      result: Recorded answer when `done`.
      result_dropped: Whether the answer was too large to keep.
      entry_incarnation: Incarnation of the entry that asks, when it holds the
        attempt; empty when another entry does.
    """

    error: errors_lib.Error | None = None
    state: str = ""
    claim_id: int = 0
    attempt: int = 0
    result: bytes = b""
    result_dropped: bool = False
    entry_incarnation: str = ""


@dataclasses.dataclass(frozen=True)
class SettleReply:
    """Answer to Settle.

    Attributes:
      error: Why the outcome was refused; None when it is recorded.
      state: State of the claim afterwards; empty when none is kept.
    """

    error: errors_lib.Error | None = None
    state: str = ""


@dataclasses.dataclass(frozen=True)
class TrialReply:
    """Answer to Strike, GrantTrial and EndTrial.

    Attributes:
      error: Set when the command was refused.
      state: `clear`, `granted`, `busy`, `refused`, or `trial_required` after
        a strike or an ended trial.
      strikes: Number of lost backend server incarnations.
      refused_until_wall_ms: End of the refusal; 0 when never refused.
    """

    error: errors_lib.Error | None = None
    state: str = ""
    strikes: int = 0
    refused_until_wall_ms: int = 0


@dataclasses.dataclass(frozen=True)
class EntryReply:
    """Answer to RegisterEntry and RemoveEntry.

    Attributes:
      changed: Whether the entry set changed.
      abandoned_claims: Open claims that became `unknown`.
      lost_trials: Trials that counted as lost.
    """

    changed: bool = False
    abandoned_claims: int = 0
    lost_trials: int = 0


@dataclasses.dataclass(frozen=True)
class TickReply:
    """Answer to Tick.

    Attributes:
      floor_ms: Keys issued before this wall-clock instant are refused.
    """

    floor_ms: int = 0


Reply = (
    NoteReply | ClaimReply | SettleReply | TrialReply | EntryReply | TickReply
)


def encode(command: Command) -> bytes:
    """Returns the msgpack form of a command: its type and fields in order."""
    fields = [
        getattr(command, field.name) for field in dataclasses.fields(command)
    ]
    return msgpack.packb([type(command).__name__, *fields])


def decode(data: bytes) -> Command:
    """Returns the command of its msgpack form.

    Raises:
      ValueError, TypeError, KeyError: The bytes are no command.
    """
    name, *fields = msgpack.unpackb(data)
    return _TYPES[name](*fields)
