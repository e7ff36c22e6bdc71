"""Implementation of the control calls; runs on the consensus loop."""

from collections import abc
import typing

from returns import pipeline
from returns import result

from auburnway.control import entries as entries_lib
from auburnway.control import node as node_lib
from auburnway.control import wire
from auburnway.core import audit as audit_lib
from auburnway.core import clock as clock_lib
from auburnway.core import commands
from auburnway.core import configuration as configuration_lib
from auburnway.core import errors
from auburnway.core import note as note_lib
from auburnway.core import raft_records as records
from auburnway.core import replicated_state as state_lib
from auburnway.kernel import timers as timers_lib
from auburnway.rpc import control_errors
from auburnway.rpc import control_pb2 as pb

# Period of `Tick` commands. They advance the retention floor of claims when no
# other command puts a timestamp into the log.
TICK_COMMAND_PERIOD_MS = 60_000.0
MAX_AUDIT_ROWS = 1000

Respond = abc.Callable[[typing.Any], None]


class Operations:
    """One method per call of the gRPC services.

    Each method handles a request and calls `respond` once with the reply
    message, possibly later.

    Args:
      node: Consensus component.
      entries: Registry of entries.
      clock: Source of time.
      timers: Timer queue of the loop.
      retention_ms: Retention period of claims.
      policy_values: Allowed plug-in names by decision; None to accept any
        name.
    """

    def __init__(
        self,
        node: node_lib.Node,
        entries: entries_lib.EntryRegistry,
        clock: clock_lib.Clock,
        timers: timers_lib.TimerQueue,
        retention_ms: int,
        policy_values: dict[str, tuple[str, ...]] | None,
    ):
        self._node = node
        self._entries = entries
        self._clock = clock
        self._retention_ms = retention_ms
        self._policy_values = policy_values
        node.on_role_change = self._on_role_change
        node.on_applied = entries.on_applied
        timers.every(TICK_COMMAND_PERIOD_MS, self._propose_tick)

    def renew(self, request: pb.RenewRequest, respond: Respond) -> None:
        """Renews or releases the lease of an entry."""
        self._entries.renew(request, respond)

    def read(self, request: pb.ReadRequest, respond: Respond) -> None:
        """Returns the configuration by a linearizable read."""

        def make_reply():
            state = self._node.state
            return pb.ReadReply(
                number=state.configuration.number,
                configuration=configuration_lib.encode(state.configuration),
                revision=state.revision,
                entry_names=sorted(state.entries),
            )

        self._respond_after_read(make_reply, pb.ReadReply, respond)

    def in_force(self, request: pb.ReadRequest, respond: Respond) -> None:
        """Returns on which entries the configuration is in force."""
        self._respond_after_read(
            self._entries.in_force, pb.InForceReply, respond
        )

    def audit(self, request: pb.AuditRequest, respond: Respond) -> None:
        """Returns rows of the audit trail and verifies their hash chain."""

        def make_reply():
            audit_rows, after = self._node.state.audit, request.after_revision
            limit = min(request.limit or MAX_AUDIT_ROWS, MAX_AUDIT_ROWS)
            rows = audit_rows[after : after + limit]
            previous = audit_rows[after - 1].hash if rows and after else ""
            first_invalid_revision = audit_lib.verify(rows, previous, after + 1)
            return pb.AuditReply(
                rows=[
                    pb.AuditRow(
                        revision=row.revision,
                        wall_ms=row.wall_ms,
                        author=row.author,
                        action=row.action,
                        number=row.number,
                        digest=row.digest,
                        result=row.result,
                        detail=row.detail,
                        hash=row.hash,
                    )
                    for row in rows
                ],
                chain_valid=first_invalid_revision is None,
            )

        self._respond_after_read(make_reply, pb.AuditReply, respond)

    def plan(self, request: pb.NoteRequest, respond: Respond) -> None:
        """Checks a release note and returns the changes that it would make."""

        def on_read(outcome: result.Result):
            if not pipeline.is_successful(outcome):
                respond(
                    pb.PlanReply(errors=_encode_errors((outcome.failure(),)))
                )
                return
            state = self._node.state
            number = state.configuration.number
            note, note_errors = self._check_note(request.text)
            if note_errors or note.number <= number:
                respond(
                    pb.PlanReply(
                        errors=_encode_errors(note_errors),
                        number_in_force=number,
                    )
                )
                return
            after = note_lib.apply(state.configuration, note)
            changes = note_lib.diff(state.configuration, after)
            respond(
                pb.PlanReply(
                    changes=[
                        pb.Change(
                            action=change.action,
                            item=change.item,
                            name=change.name,
                            before=change.before,
                            after=change.after,
                        )
                        for change in changes
                    ],
                    number_in_force=number,
                )
            )

        self._node.linearizable_read(on_read)

    def apply(self, request: pb.NoteRequest, respond: Respond) -> None:
        """Accepts a release note, or refuses it with all errors."""

        def on_read(outcome: result.Result):
            if not pipeline.is_successful(outcome):
                respond(
                    pb.ApplyReply(errors=_encode_errors((outcome.failure(),)))
                )
                return
            note, note_errors = self._check_note(request.text)
            receipts = self._node.state.receipts
            is_resubmission = note is not None and note.number in receipts
            if (
                not note_errors
                and not is_resubmission
                and not self._entries.has_lease_majority()
            ):
                note_errors = (self._entries.lease_majority_error(),)
            if note_errors:
                self._refuse_note(request, note, note_errors, respond)
                return
            command = state_lib.AcceptNote(
                request.text, request.author, self._clock.wall_ms()
            )
            self._node.propose(
                command,
                lambda reply: self._respond_when_acknowledged(
                    _encode_note_reply(reply), respond
                ),
            )

        self._node.linearizable_read(on_read)

    def _respond_when_acknowledged(
        self, reply: pb.ApplyReply, respond: Respond
    ) -> None:
        """Sends the receipt once a majority of entries acknowledged the note.

        Without this wait, entries that lose all leases right after the commit
        could serve the old number as a majority without leases (section 8.1 of
        docs/design.md), although an operator holds a receipt for the new one.
        """
        if reply.errors:
            respond(reply)
            return

        def on_end(is_acknowledged: bool) -> None:
            if is_acknowledged:
                respond(reply)
                return
            detail = f"no majority of entries has acknowledged {reply.number}"
            error = control_errors.OutcomeUncertain(detail, "Apply")
            respond(pb.ApplyReply(errors=_encode_errors((error,))))

        self._entries.await_acknowledgement(reply.number, on_end)

    def claim(self, request: pb.ClaimRequest, respond: Respond) -> None:
        """Grants an entry the exclusive right to run a request."""
        command = state_lib.Claim(
            request.caller,
            request.key,
            request.digest,
            request.entry_name,
            request.entry_incarnation,
            self._clock.wall_ms(),
        )
        self._propose(command, pb.ClaimReply, respond)

    def settle(self, request: pb.SettleRequest, respond: Respond) -> None:
        """Records the outcome of a claim."""
        command = state_lib.Settle(
            request.claim_id,
            request.attempt,
            request.entry_incarnation,
            request.outcome,
            request.result,
            self._clock.wall_ms(),
        )
        self._propose(command, pb.SettleReply, respond)

    def strike(self, request: pb.StrikeRequest, respond: Respond) -> None:
        """Records that a backend server was lost while it ran a request."""
        command = state_lib.Strike(
            request.fingerprint,
            request.backend_server,
            request.backend_incarnation,
            request.entry_name,
            self._clock.wall_ms(),
        )
        self._propose(command, pb.TrialReply, respond)

    def grant_trial(self, request: pb.TrialRequest, respond: Respond) -> None:
        """Grants one trial run of a request that has strikes."""
        command = state_lib.GrantTrial(
            request.fingerprint,
            request.entry_name,
            request.entry_incarnation,
            self._clock.wall_ms(),
        )
        self._propose(command, pb.TrialReply, respond)

    def end_trial(self, request: pb.EndTrialRequest, respond: Respond) -> None:
        """Records the outcome of a trial."""
        command = state_lib.EndTrial(
            request.fingerprint,
            request.entry_incarnation,
            request.outcome,
            request.backend_server,
            request.backend_incarnation,
            self._clock.wall_ms(),
        )
        self._propose(command, pb.TrialReply, respond)

    def status(self, request: pb.StatusRequest, respond: Respond) -> None:
        """Returns the local state of this instance, without a quorum."""
        node, raft, now_ms = self._node, self._node.raft, self._clock.now_ms()
        voters = []
        for member in raft.members:
            progress = None
            if raft.leader_state is not None:
                progress = raft.leader_state.progress(member.incarnation)
            is_self = member.incarnation == node.identity.incarnation
            match_index = raft.log.last_index if is_self else 0
            last_heard_ms = 0 if is_self else -1
            if progress is not None:
                match_index = progress.match_index
                last_heard_ms = int(now_ms - progress.last_reply_ms)
            voters.append(
                pb.VoterState(
                    name=member.name,
                    incarnation=member.incarnation,
                    address=member.address,
                    role="voter" if member.voter else "learner",
                    match_index=match_index,
                    last_heard_ms=last_heard_ms,
                )
            )
        respond(
            pb.StatusReply(
                name=node.identity.name,
                incarnation=node.identity.incarnation,
                role=raft.role.value,
                term=raft.term,
                commit_index=raft.commit,
                applied_index=node.applied_index,
                leader_address=node.leader_address,
                has_quorum=raft.has_leader_contact(),
                voters=voters,
                number=node.state.configuration.number,
                log_bytes=node.log_bytes,
                open_claims=node.state.claims.open_count,
                claims=len(node.state.claims),
            )
        )

    def join(self, request: pb.JoinRequest, respond: Respond) -> None:
        """Adds an instance with an empty disk as a learner."""
        if not self._node.is_leader:
            error = wire.encode_error(self._node.not_leader_error())
            respond(pb.JoinReply(error=error))
            return
        self._node.add_learner(
            records.Member(
                request.name, request.incarnation, request.address, voter=False
            )
        )
        respond(pb.JoinReply())

    def _on_role_change(self) -> None:
        self._entries.on_role_change()
        if self._node.is_leader:
            self._propose_tick()

    def _propose_tick(self) -> None:
        if self._node.is_leader:
            command = state_lib.Tick(self._clock.wall_ms(), self._retention_ms)
            self._node.propose(command, lambda reply: None)

    def _check_note(
        self, text: str
    ) -> tuple[note_lib.Note | None, tuple[errors.Error, ...]]:
        parsed = note_lib.parse(text, "release note")
        if not pipeline.is_successful(parsed):
            return None, parsed.failure()
        note = parsed.unwrap()
        state = self._node.state
        return note, state_lib.check_note(state, note, self._policy_values)

    def _refuse_note(self, request, note, note_errors, respond) -> None:
        """Replies with all errors once the refusal is in the audit trail."""
        command = state_lib.RefuseNote(
            request.author,
            note.number if note is not None else 0,
            note_lib.digest(note) if note is not None else "",
            "; ".join(
                f"{error.code} ({error.source})" for error in note_errors
            ),
            self._clock.wall_ms(),
        )

        def on_reply(reply: result.Result):
            if not pipeline.is_successful(reply):
                respond(_encode_note_reply(reply))
                return
            row = reply.unwrap()
            respond(
                pb.ApplyReply(
                    errors=_encode_errors(note_errors),
                    number=row.number,
                    digest=row.digest,
                    revision=row.revision,
                )
            )

        self._node.propose(command, on_reply)

    def _respond_after_read(self, make_reply, reply_type, respond) -> None:
        def on_read(outcome: result.Result):
            if pipeline.is_successful(outcome):
                respond(make_reply())
            else:
                error = wire.encode_error(outcome.failure())
                respond(reply_type(error=error))

        self._node.linearizable_read(on_read)

    def _propose(self, command, reply_type, respond) -> None:
        def on_reply(reply: result.Result):
            if pipeline.is_successful(reply):
                respond(_encode_reply(reply.unwrap(), reply_type))
            else:
                error = wire.encode_error(reply.failure())
                respond(reply_type(error=error))

        self._node.propose(command, on_reply)


def _encode_reply(reply: commands.Reply, reply_type):
    fields = dict(vars(reply))
    fields["error"] = wire.encode_error(fields["error"])
    return reply_type(**fields)


def _encode_note_reply(reply: result.Result) -> pb.ApplyReply:
    if not pipeline.is_successful(reply):
        return pb.ApplyReply(errors=_encode_errors((reply.failure(),)))
    fields = dict(vars(reply.unwrap()))
    fields["errors"] = _encode_errors(fields["errors"])
    return pb.ApplyReply(**fields)


def _encode_errors(error_values: abc.Iterable[errors.Error]) -> list[pb.Error]:
    return [wire.encode_error(error) for error in error_values]
