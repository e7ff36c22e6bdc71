"""The state that all control instances replicate.

The result of `apply` depends only on the state, the log index and the command,
so that all replicas that apply the same log hold the same state. `apply`
changes the state in place, because a copy per claim would take time in
proportion to the number of claims. `state_codec` is canonical: equal states
have equal bytes, whatever the insertion order of their dictionaries.
"""

import dataclasses
import functools
import json

from returns import pipeline

from auburnway.core import audit as audit_lib
from auburnway.core import claims as claims_lib
from auburnway.core import commands
from auburnway.core import configuration as configuration_lib
from auburnway.core import errors
from auburnway.core import note as note_lib
from auburnway.core import note_errors
from auburnway.core import trials as trials_lib

AcceptNote = commands.AcceptNote
RefuseNote = commands.RefuseNote
Claim = commands.Claim
Settle = commands.Settle
Strike = commands.Strike
GrantTrial = commands.GrantTrial
EndTrial = commands.EndTrial
RegisterEntry = commands.RegisterEntry
RemoveEntry = commands.RemoveEntry
Tick = commands.Tick

NoteReply = commands.NoteReply
ClaimReply = commands.ClaimReply
SettleReply = commands.SettleReply
TrialReply = commands.TrialReply
EntryReply = commands.EntryReply
TickReply = commands.TickReply

encode_command = commands.encode
decode_command = commands.decode

# Limits the characters that a refused attempt adds to the audit trail.
_MAX_REASON_LENGTH = 1000


class EntryNotRegistered(errors.Error):
    """The incarnation of the entry is not registered."""

    code = "entry_not_registered"
    remedy = "Renew the lease, which registers the entry, then ask again."
    http_status = 503


@dataclasses.dataclass(frozen=True)
class Receipt:
    """Receipt for an accepted note; fields as in `commands.NoteReply`."""

    number: int
    digest: str
    author: str
    revision: int
    accepted_wall_ms: int


@dataclasses.dataclass(frozen=True)
class Entry:
    """A registered entry; fields as in `commands.RegisterEntry`."""

    name: str
    incarnation: str
    data_center: str
    caller_address: str
    peer_address: str


@dataclasses.dataclass
class State:
    """State after applying a prefix of the log; owned by one consensus task.

    Attributes:
      index: Index of the last applied command.
      wall_ms: Greatest timestamp of an applied command.
      retention_ms: Retention of claims, from the last `Tick`.
      floor_ms: Wall-clock instant; keys issued before it are refused. It never
        decreases.
      configuration: Configuration in force.
      receipts: Receipts of the accepted release notes, by number.
      claims: Claims whose keys were issued at or after `floor_ms`.
      trials: Fingerprints with strikes.
      entries: Registered entries by name.
      audit: Whole audit trail.
    """

    index: int = 0
    wall_ms: int = 0
    retention_ms: int = claims_lib.DEFAULT_RETENTION_MS
    floor_ms: int = 0
    configuration: configuration_lib.Configuration = configuration_lib.EMPTY
    receipts: dict[int, Receipt] = dataclasses.field(default_factory=dict)
    claims: claims_lib.ClaimTable = dataclasses.field(
        default_factory=claims_lib.ClaimTable
    )
    trials: trials_lib.TrialTable = dataclasses.field(
        default_factory=trials_lib.TrialTable
    )
    entries: dict[str, Entry] = dataclasses.field(default_factory=dict)
    audit: list[audit_lib.Row] = dataclasses.field(default_factory=list)

    @property
    def revision(self) -> int:
        """Revision of the last row of the audit trail."""
        return len(self.audit)


# State before the first command. `apply` creates a new `State` in its place,
# so that this object stays empty.
EMPTY_STATE = State()


def apply(
    state: State, index: int, command: commands.Command
) -> tuple[State, commands.Reply]:
    """Applies one command of the log.

    Args:
      state: State after all earlier commands; changed in place, so it must not
        be used afterwards.
      index: Log index of the command.
      command: The command.

    Returns:
      The state after the command, and the reply to the proposer.

    Raises:
      ValueError: The index was applied before.
      TypeError: The object is not a command.
    """
    if state is EMPTY_STATE:
        state = State()
    if index <= state.index:
        raise ValueError(f"index {index} follows applied index {state.index}")
    state.index = index
    # Timestamps of a new leader may be earlier than those of the old leader.
    state.wall_ms = max(state.wall_ms, command.wall_ms)
    if isinstance(command, commands.Tick):
        state.retention_ms = command.claim_retention_ms
    state.floor_ms = max(state.floor_ms, state.wall_ms - state.retention_ms)
    state.claims.prune(state.floor_ms)
    return state, _apply(command, state)


@functools.singledispatch
def _apply(command, state: State) -> commands.Reply:
    raise TypeError(f"unknown command {type(command).__name__}")


@_apply.register
def _accept_note(command: commands.AcceptNote, state: State):
    parsed = note_lib.parse(command.text, "release note")
    if not pipeline.is_successful(parsed):
        return _refuse(state, command, 0, "", parsed.failure())
    note = parsed.unwrap()
    digest = note_lib.digest(note)
    problems = check_note(state, note)
    if problems:
        return _refuse(state, command, note.number, digest, problems)
    receipt = state.receipts.get(note.number)
    is_resend = receipt is not None
    if not is_resend:
        author = command.author or note.author
        receipt = _apply_note(state, note, digest, author)
    return commands.NoteReply(
        number=receipt.number,
        digest=receipt.digest,
        revision=receipt.revision,
        accepted_wall_ms=receipt.accepted_wall_ms,
        repeated_submission=is_resend,
    )


def _apply_note(
    state: State, note: note_lib.Note, digest: str, author: str
) -> Receipt:
    """Applies an accepted note and records it in the audit trail."""
    old = state.configuration
    state.configuration = note_lib.apply(old, note)
    changes = note_lib.diff(old, state.configuration)
    detail = json.dumps(
        {
            "summary": note.summary,
            "changes": [dataclasses.asdict(change) for change in changes],
        }
    )
    row = _append_audit_row(
        state, author, "note", "accepted", detail, note.number, digest
    )
    receipt = Receipt(note.number, digest, author, row.revision, state.wall_ms)
    state.receipts[note.number] = receipt
    return receipt


def check_note(
    state: State,
    note: note_lib.Note,
    policy_values=None,
) -> tuple[errors.Error, ...]:
    """Returns why a note would be refused; empty for a resent accepted note.

    Args:
      state: State to check against; not changed.
      note: Parsed release note.
      policy_values: Plug-in names by decision, as in `core.note.check`.
    """
    receipt = state.receipts.get(note.number)
    if receipt is None:
        return note_lib.check(state.configuration, note, policy_values)
    if note.problems:
        # The digest covers only valid keys and values, so a text with errors
        # may have the same digest as the accepted note.
        return note.problems
    if receipt.digest == note_lib.digest(note):
        return ()
    detail = (
        f"number {receipt.number} was accepted from {receipt.author} with"
        f" digest {receipt.digest}"
    )
    return (note_errors.NoteConflict(detail, "number"),)


def _refuse(state, command, number, digest, problems):
    # Messages of the TOML parser may differ between Python versions. The audit
    # trail must be equal on all replicas, so it gets only codes and sources.
    reason = "; ".join(f"{error.code} ({error.source})" for error in problems)
    row = _append_audit_row(
        state, command.author, "note", "refused", reason, number, digest
    )
    return commands.NoteReply(
        errors=problems, number=number, digest=digest, revision=row.revision
    )


@_apply.register
def _refuse_note(command: commands.RefuseNote, state: State):
    row = _append_audit_row(
        state,
        command.author,
        "note",
        "refused",
        command.reason,
        command.number,
        command.digest,
    )
    return commands.NoteReply(
        number=command.number, digest=command.digest, revision=row.revision
    )


@_apply.register
def _claim(command: commands.Claim, state: State):
    issued_ms, problem = claims_lib.check_key(command.key, state.wall_ms)
    if problem is not None:
        return commands.ClaimReply(error=problem)
    if issued_ms < state.floor_ms:
        return commands.ClaimReply(state="expired")
    owner = (command.entry_name, command.entry_incarnation)
    existing = state.claims.find(command.caller, command.key)
    may_be_granted = existing is None or existing.state == "not_run"
    if may_be_granted and not _is_registered(state, owner):
        # The removal of an unregistered owner would not be detected, so its
        # claim could stay open for ever.
        return commands.ClaimReply(error=_not_registered(owner))
    claim_state, record = state.claims.claim(
        claims_lib.Record(
            claim_id=state.index,
            caller=command.caller,
            key=command.key,
            digest=command.digest,
            entry_name=command.entry_name,
            entry_incarnation=command.entry_incarnation,
        )
    )
    is_done = claim_state == "done"
    # Entries that start in the same millisecond have the same incarnation, so
    # the name is compared too. Otherwise an entry could mistake the open claim
    # of another entry for its own.
    is_owner = record.owner == owner
    return commands.ClaimReply(
        state=claim_state,
        claim_id=record.claim_id,
        attempt=record.attempt,
        result=record.result if is_done else b"",
        result_dropped=is_done and record.result_dropped,
        entry_incarnation=record.entry_incarnation if is_owner else "",
    )


@_apply.register
def _settle(command: commands.Settle, state: State):
    claim_state, problem = state.claims.settle(
        command.claim_id,
        command.attempt,
        command.entry_incarnation,
        command.outcome,
        command.result,
    )
    return commands.SettleReply(error=problem, state=claim_state)


@_apply.register
def _strike(command: commands.Strike, state: State):
    server = (command.backend_server, command.backend_incarnation)
    state.trials.strike(command.fingerprint, server, state.wall_ms)
    return _trial_reply(state, command.fingerprint)


@_apply.register
def _grant_trial(command: commands.GrantTrial, state: State):
    owner = (command.entry_name, command.entry_incarnation)
    trial_state = state.trials.state(command.fingerprint, state.wall_ms)
    if trial_state == "trial_required" and not _is_registered(state, owner):
        return commands.TrialReply(error=_not_registered(owner))
    trial_state = state.trials.grant(command.fingerprint, owner, state.wall_ms)
    return _trial_reply(state, command.fingerprint, trial_state)


@_apply.register
def _end_trial(command: commands.EndTrial, state: State):
    if command.outcome not in trials_lib.OUTCOMES:
        detail = (
            f"outcome {command.outcome!r:.50} is none of {trials_lib.OUTCOMES}"
        )
        return commands.TrialReply(error=errors.BadRequest(detail))
    is_refused = state.trials.end(
        command.fingerprint,
        command.entry_incarnation,
        command.outcome,
        (command.backend_server, command.backend_incarnation),
        state.wall_ms,
    )
    if is_refused:
        _audit_quarantine(state, command.fingerprint)
    return _trial_reply(state, command.fingerprint)


def _trial_reply(state, fingerprint, trial_state=""):
    record = state.trials.find(fingerprint)
    return commands.TrialReply(
        state=trial_state or state.trials.state(fingerprint, state.wall_ms),
        strikes=len(record.lost_servers),
        refused_until_wall_ms=record.refused_until_wall_ms,
    )


@_apply.register
def _register_entry(command: commands.RegisterEntry, state: State):
    entry = Entry(
        name=command.name,
        incarnation=command.incarnation,
        data_center=command.data_center,
        caller_address=command.caller_address,
        peer_address=command.peer_address,
    )
    current = state.entries.get(entry.name)
    if current == entry:
        return commands.EntryReply()
    state.entries[entry.name] = entry
    detail = f"incarnation {entry.incarnation} at {entry.caller_address}"
    _append_audit_row(state, entry.name, "register_entry", "accepted", detail)
    if current is None or current.incarnation == entry.incarnation:
        return commands.EntryReply(changed=True)
    return _abandon(state, current)


@_apply.register
def _remove_entry(command: commands.RemoveEntry, state: State):
    current = state.entries.get(command.name)
    if current is None or current.incarnation != command.incarnation:
        # A delayed removal must not remove a later incarnation.
        return commands.EntryReply()
    del state.entries[command.name]
    detail = f"incarnation {command.incarnation}"
    _append_audit_row(state, command.name, "remove_entry", "accepted", detail)
    return _abandon(state, current)


def _abandon(state: State, entry: Entry):
    owner = (entry.name, entry.incarnation)
    count = state.claims.abandon(*owner)
    lost = state.trials.abandon(owner, state.wall_ms)
    for fingerprint in lost:
        _audit_quarantine(state, fingerprint)
    return commands.EntryReply(True, count, len(lost))


@_apply.register
def _tick(command: commands.Tick, state: State):
    state.trials.prune(state.wall_ms)
    return commands.TickReply(floor_ms=state.floor_ms)


def _is_registered(state: State, owner: tuple[str, str]) -> bool:
    entry = state.entries.get(owner[0])
    return entry is not None and entry.incarnation == owner[1]


def _not_registered(owner: tuple[str, str]) -> EntryNotRegistered:
    return EntryNotRegistered(f"entry {owner[0]} with incarnation {owner[1]}")


def _audit_quarantine(state: State, fingerprint: str) -> None:
    record = state.trials.find(fingerprint)
    servers = ", ".join(name for name, _ in record.lost_servers)
    detail = f"until {record.refused_until_wall_ms}; lost: {servers}"
    _append_audit_row(
        state,
        "control",
        "quarantine",
        "accepted",
        detail,
        digest=fingerprint,
    )


def _append_audit_row(
    state: State,
    author: str,
    action: str,
    result: str,
    detail: str,
    number: int = 0,
    digest: str = "",
) -> audit_lib.Row:
    if result == "refused" and len(detail) > _MAX_REASON_LENGTH:
        detail = detail[:_MAX_REASON_LENGTH] + "..."
    return audit_lib.append(
        state.audit,
        audit_lib.Row(
            revision=0,
            wall_ms=state.wall_ms,
            author=author,
            action=action,
            number=number,
            digest=digest,
            result=result,
            detail=detail,
        ),
    )
