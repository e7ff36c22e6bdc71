"""Commands of the replicated log and their replies.

The leader stamps each command with its wall clock (`wall_ms`, milliseconds
since the Unix epoch) when it proposes the command, so that all replicas see
the same time. A command identifies an entry or a backend server by name and
incarnation, so that a late command about an earlier incarnation does not
affect the current one.
"""

import dataclasses
import typing

import msgpack

from auburnway.core import claims
from auburnway.core import errors as errors_lib


@dataclasses.dataclass(frozen=True)
class AcceptNote:
    """Submits a release note.

    The note is accepted if it is valid and no other note has been accepted
    under its number.

    Attributes:
      text: Release note as TOML.
      author: Operator who sent the note; empty to use the author in the text.
      wall_ms: Timestamp of the leader.
    """

    text: str
    author: str
    wall_ms: int


@dataclasses.dataclass(frozen=True)
class RefuseNote:
    """Records a release note that the leader refused without proposing it.

    Attributes:
      author: Operator who sent the note.
      number: Number of the note; 0 when the text has none.
      digest: Digest of the note; empty when the text cannot be parsed.
      reason: Why the note was refused; the audit trail truncates a long one.
      wall_ms: Timestamp of the leader.
    """

    author: str
    number: int
    digest: str
    reason: str
    wall_ms: int


@dataclasses.dataclass(frozen=True)
class Claim:
    """Requests the right to run a non-repeatable request.

    Attributes:
      caller: Caller that issued the key; keys are unique per caller.
      key: Idempotency key `<issued_ms>-<nonce>`.
      digest: Digest of kind and query; a different digest under the same key
        is a conflict.
      entry_name: Name of the registered entry that wants to run the request.
      entry_incarnation: Incarnation of that entry.
      wall_ms: Timestamp of the leader.
    """

    caller: str
    key: str
    digest: str
    entry_name: str
    entry_incarnation: str
    wall_ms: int


@dataclasses.dataclass(frozen=True)
class Settle:
    """Reports the outcome of a claim; sent by its owner.

    Attributes:
      claim_id: Claim that was granted.
      attempt: Attempt that was granted.
      entry_incarnation: Incarnation of the owner.
      outcome: `done`, `not_run` or `unknown`.
      result: Answer to record with `done`; see `claims.MAX_RESULT_BYTES`.
      wall_ms: Timestamp of the leader.
    """

    claim_id: int
    attempt: int
    entry_incarnation: str
    outcome: str
    result: bytes
    wall_ms: int


@dataclasses.dataclass(frozen=True)
class Strike:
    """Reports that a backend server was lost while it ran a request.

    Attributes:
      fingerprint: Digest of caller, kind and query.
      backend_server: Name of the lost server.
      backend_incarnation: Incarnation of the lost server.
      entry_name: Name of the entry that observed the loss.
      wall_ms: Timestamp of the leader.
    """

    fingerprint: str
    backend_server: str
    backend_incarnation: str
    entry_name: str
    wall_ms: int


@dataclasses.dataclass(frozen=True)
class GrantTrial:
    """Asks whether an entry may run a request; grants a trial if needed."""

    fingerprint: str
    entry_name: str
    entry_incarnation: str
    wall_ms: int


@dataclasses.dataclass(frozen=True)
class EndTrial:
    """Reports the outcome of a trial; sent by the entry that holds it.

    Attributes:
      fingerprint: Digest of caller, kind and query.
      entry_incarnation: Incarnation of the holder.
      outcome: `passed`, `lost` or `not_run`.
      backend_server: Name of the lost server; empty for other outcomes.
      backend_incarnation: Incarnation of the lost server; empty likewise.
      wall_ms: Timestamp of the leader.
    """

    fingerprint: str
    entry_incarnation: str
    outcome: str
    backend_server: str
    backend_incarnation: str
    wall_ms: int


@dataclasses.dataclass(frozen=True)
class RegisterEntry:
    """Registers an entry; replaces an earlier incarnation of its name.

    Attributes:
      name: Unique name of the entry.
      incarnation: Identifies one run of the entry's process.
      data_center: Data centre that the entry runs in.
      caller_address: Address that callers connect to, `ip:port`.
      peer_address: Address that other entries send datagrams to, `ip:port`.
      wall_ms: Timestamp of the leader.
    """

    name: str
    incarnation: str
    data_center: str
    caller_address: str
    peer_address: str
    wall_ms: int


@dataclasses.dataclass(frozen=True)
class RemoveEntry:
    """Removes an entry that has stopped or is lost."""

    name: str
    incarnation: str
    wall_ms: int


@dataclasses.dataclass(frozen=True)
class Tick:
    """Advances the replicated time.

    Attributes:
      wall_ms: Timestamp of the leader.
      claim_retention_ms: Value of the setting at the leader. The command
        carries it because replicas with different settings would otherwise
        prune different claims.
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

_COMMAND_TYPES = {cls.__name__: cls for cls in typing.get_args(Command)}


@dataclasses.dataclass(frozen=True)
class NoteReply:
    """Answer to AcceptNote and RefuseNote.

    Attributes:
      errors: Why the note was refused; empty when it is accepted.
      number: Number of the note; 0 when the text has none.
      digest: Digest of the note; empty when the text cannot be parsed.
      revision: Revision of the note's row in the audit trail.
      accepted_wall_ms: Wall-clock time of acceptance; 0 when refused.
      repeated_submission: Whether the same note had been accepted before.
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
      error: Why the command was refused; set only when `state` is empty.
      state: `granted`, `open`, `done`, `unknown`, `conflict` or `expired`.
      claim_id: Claim that was found or granted; 0 without one.
      attempt: Current attempt of that claim.
      result: Recorded answer when the state is `done`.
      result_dropped: Whether the answer was too large to record.
      entry_incarnation: Incarnation of the requesting entry if that entry
        owns the attempt; empty when another entry does.
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
      state: State of the claim afterwards; empty when there is no such claim.
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
      strikes: Number of backend server incarnations that were lost while they
        ran the request.
      refused_until_wall_ms: Time until which the request is refused; 0 when
        it was never refused.
    """

    error: errors_lib.Error | None = None
    state: str = ""
    strikes: int = 0
    refused_until_wall_ms: int = 0


@dataclasses.dataclass(frozen=True)
class EntryReply:
    """Answer to RegisterEntry and RemoveEntry.

    Attributes:
      changed: Whether the set of registered entries changed.
      abandoned_claims: Number of open claims that became `unknown`.
      lost_trials: Number of running trials that were counted as lost.
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
    """Returns the msgpack form of a command: type name, then the fields."""
    fields = [
        getattr(command, field.name) for field in dataclasses.fields(command)
    ]
    return msgpack.packb([type(command).__name__, *fields])


def decode(data: bytes) -> Command:
    """Decodes a command from its msgpack form.

    Raises:
      ValueError, TypeError, KeyError: The bytes are not a command.
    """
    name, *fields = msgpack.unpackb(data)
    return _COMMAND_TYPES[name](*fields)
