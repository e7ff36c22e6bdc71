"""Registered entries and their leases, as served by the leader.

All functions run on the consensus loop. The set of registered entries changes
by one entry at a time, and only while a majority of the registered entries
certainly hold leases and have received the current set.
"""

from collections import abc
import dataclasses

import loguru
from returns import pipeline
from returns import result

from auburnway.control import leases as leases_lib
from auburnway.control import node as node_lib
from auburnway.control import wire
from auburnway.core import clock as clock_lib
from auburnway.core import configuration as configuration_lib
from auburnway.core import errors
from auburnway.core import replicated_state as state_lib
from auburnway.kernel import timers as timers_lib
from auburnway.rpc import control_errors
from auburnway.rpc import control_pb2 as pb

# Longest time for which the reply to a renewal is delayed (long poll).
MAX_DELAY_MS = 400.0
# Retry period of a registration that cannot be proposed yet.
REGISTRATION_RETRY_MS = 25.0
MAINTENANCE_PERIOD_MS = 1000.0
# Longest time for which an operator's call waits until entries acknowledge a
# number. It exceeds the sum of a lease period and a delayed renewal.
ACKNOWLEDGEMENT_TIMEOUT_MS = 2000.0
ACKNOWLEDGEMENT_CHECK_MS = 10.0
# Number of replies sent without delay to an entry whose lease is not confirmed
# yet. Its lease is then confirmed after two round trips instead of two full
# long polls.
IMMEDIATE_REPLIES = 3

_ENTRY_SET_ACTIONS = ("register_entry", "remove_entry")

Respond = abc.Callable[[pb.RenewReply], None]


@dataclasses.dataclass
class _DelayedRenewal:
    """Renewal that waits for its reply until there is a change (long poll)."""

    request: pb.RenewRequest
    lease: leases_lib.Lease
    earliest_sent_ms: float
    entry_set_revision: int
    respond: Respond
    timer: timers_lib.Timer | None = None


class EntryRegistry:
    """Registry of entries, and their leases while this instance leads.

    Args:
      node: Consensus component.
      clock: Source of time.
      timers: Timer queue of the loop.
      removal_ms: Time without a lease after which an entry is removed.
    """

    def __init__(
        self,
        node: node_lib.Node,
        clock: clock_lib.Clock,
        timers: timers_lib.TimerQueue,
        removal_ms: float,
    ):
        self._node = node
        self._clock = clock
        self._timers = timers
        self._removal_ms = removal_ms
        self._leases: leases_lib.Leases | None = None
        self._delayed_renewals: list[_DelayedRenewal] = []
        self._is_change_pending = False
        # Number of audit rows searched so far, and the entry set revision
        # found in them.
        self._searched_revision = (0, 0)
        # Greatest configuration number applied by this instance, and when.
        self._applied_number = 0
        self._applied_ms = float("-inf")
        timers.every(MAINTENANCE_PERIOD_MS, self._maintain)

    def on_role_change(self) -> None:
        """Resets all leases when leadership is won or lost."""
        self._leases = None
        self._is_change_pending = False
        self._searched_revision = (0, 0)
        if self._node.is_leader:
            lease_id_base = self._node.raft.term << 32
            self._leases = leases_lib.Leases(self._clock, lease_id_base)
        renewals, self._delayed_renewals = self._delayed_renewals, []
        for renewal in renewals:
            renewal.timer.cancel()
            renewal.respond(self._error_reply(self._node.not_leader_error()))

    def on_applied(self) -> None:
        """Replies to the delayed renewals that the new state concerns."""
        number = self._node.state.configuration.number
        if number > self._applied_number:
            self._applied_number = number
            self._applied_ms = self._clock.now_ms()
        for renewal in tuple(self._delayed_renewals):
            if self._has_update(renewal):
                self._end_delay(renewal)

    def renew(self, request: pb.RenewRequest, respond: Respond) -> None:
        """Renews the lease of an entry, or releases it if `leaving` is set."""
        if self._leases is None:
            respond(self._error_reply(self._node.not_leader_error()))
            return
        lease = self._leases.find(request.entry_name, request.entry_incarnation)
        # A linearizable read proves that this instance still led after the
        # request was sent. A long poll can wait for the next periodic
        # heartbeat round to confirm the read.
        can_wait = lease is not None and lease.reply_count >= IMMEDIATE_REPLIES
        at_once = not can_wait or not request.wait_ms or request.leaving
        deadline_ms = self._clock.now_ms() + min(request.wait_ms, MAX_DELAY_MS)

        def on_read(outcome: result.Result):
            if not pipeline.is_successful(outcome) or self._leases is None:
                respond(self._error_reply(self._node.not_leader_error()))
            elif request.leaving:
                self._release(request, respond)
            else:
                self._register_and_grant(request, deadline_ms, respond)

        self._node.linearizable_read(on_read, at_once)

    def has_lease_majority(self) -> bool:
        """Whether a majority of entries certainly hold leases.

        Changes that entries must receive are allowed only then. True when no
        entry is registered.
        """
        entries = self._node.state.entries.values()
        if self._leases is None:
            return False
        revision = self.entry_set_revision()
        held_count = sum(
            self._leases.is_held(e.name, e.incarnation, revision)
            for e in entries
        )
        return not entries or held_count * 2 > len(entries)

    def await_acknowledgement(
        self, number: int, on_end: abc.Callable[[bool], None]
    ) -> None:
        """Waits until a majority of the entries has acknowledged a number.

        Args:
          number: Number of an accepted release note.
          on_end: Called with True once a majority has acknowledged the number,
            with False after `ACKNOWLEDGEMENT_TIMEOUT_MS` or loss of leadership.
        """
        deadline_ms = self._clock.now_ms() + ACKNOWLEDGEMENT_TIMEOUT_MS

        def check():
            if self._leases is None or self._clock.now_ms() > deadline_ms:
                on_end(False)
            elif self._has_majority_acknowledged(number):
                on_end(True)
            else:
                self._timers.after(ACKNOWLEDGEMENT_CHECK_MS, check)

        check()

    def _has_majority_acknowledged(self, number: int) -> bool:
        entries = self._node.state.entries.values()
        leases = [self._leases.find(e.name, e.incarnation) for e in entries]
        acknowledged_count = sum(
            lease is not None and lease.number >= number for lease in leases
        )
        return not entries or acknowledged_count * 2 > len(entries)

    def entry_set_revision(self) -> int:
        """Returns the audit revision of the last change of the entry set."""
        audit = self._node.state.audit
        searched_rows, revision = self._searched_revision
        for row in reversed(audit[searched_rows:]):
            if row.action in _ENTRY_SET_ACTIONS and row.result == "accepted":
                revision = row.revision
                break
        self._searched_revision = (len(audit), revision)
        return revision

    def in_force(self) -> pb.InForceReply:
        """Returns on which entries the configuration is in force.

        `everywhere` needs a majority that has acknowledged the number, in
        addition to expired leases: entries without leases may serve while they
        are in contact with a majority of entries none of which has a higher
        number (section 8.1 of docs/design.md).
        """
        state, number = self._node.state, self._node.state.configuration.number
        # An entry without a lease of its own may serve under a lease that a
        # peer lent to it before the peer received this number.
        lent_until_ms = self._applied_ms + leases_lib.LEASE_MS
        may_be_lent = self._clock.now_ms() < lent_until_ms
        rows, acknowledged_count, behind_count = [], 0, 0
        for entry in state.entries.values():
            lease = self._leases.find(entry.name, entry.incarnation)
            remaining_ms = self._leases.max_remaining_ms(entry.name)
            entry_number = lease.number if lease is not None else 0
            acknowledged_count += entry_number >= number
            behind_count += entry_number < number and (
                remaining_ms > 0 or may_be_lent
            )
            rows.append(
                pb.EntryState(
                    name=entry.name,
                    incarnation=entry.incarnation,
                    data_center=entry.data_center,
                    caller_address=entry.caller_address,
                    peer_address=entry.peer_address,
                    number=entry_number,
                    lease_left_ms=int(remaining_ms) if remaining_ms > 0 else -1,
                    leaving=lease is not None and lease.leaving,
                )
            )
        now_ms = self._clock.now_ms()
        previous_leases_ended = now_ms >= self._leases.previous_leases_end_ms
        majority_acknowledged = not rows or acknowledged_count * 2 > len(rows)
        everywhere = majority_acknowledged and not behind_count
        if not rows:
            everywhere = previous_leases_ended
        return pb.InForceReply(
            number=number, everywhere=everywhere, entries=rows
        )

    def _register_and_grant(self, request, deadline_ms, respond) -> None:
        """Registers the entry if needed, then grants a lease."""
        if self._leases is None:
            respond(self._error_reply(self._node.not_leader_error()))
            return
        registered = self._node.state.entries.get(request.entry_name)
        requested = state_lib.Entry(
            request.entry_name,
            request.entry_incarnation,
            request.data_center,
            request.caller_address,
            request.peer_address,
        )
        if registered == requested:
            self._grant(request, deadline_ms, respond)
            return
        if registered is not None and _is_older(requested, registered):
            detail = f"incarnation {registered.incarnation} is registered"
            respond(
                self._error_reply(
                    control_errors.Superseded(detail, request.entry_name)
                )
            )
            return
        # A new incarnation of a registered name does not change the set of
        # names, so it needs no majority. If it did, entries that all restart
        # at the same time could never get a lease again.
        is_allowed = registered is not None or self.has_lease_majority()
        if is_allowed and not self._is_change_pending:
            command = state_lib.RegisterEntry(
                *dataclasses.astuple(requested), wall_ms=self._clock.wall_ms()
            )
            self._propose_change(
                command,
                lambda reply: self._grant_after_change(
                    reply, request, deadline_ms, respond
                ),
            )
        elif self._clock.now_ms() < deadline_ms:
            self._timers.after(
                REGISTRATION_RETRY_MS,
                lambda: self._register_and_grant(request, deadline_ms, respond),
            )
        else:
            respond(
                self._error_reply(
                    self._lease_majority_error(request.entry_name)
                )
            )

    def _grant_after_change(self, reply, request, deadline_ms, respond):
        if pipeline.is_successful(reply):
            self._register_and_grant(request, deadline_ms, respond)
        else:
            respond(self._error_reply(reply.failure()))

    def _propose_change(self, command, on_reply) -> None:
        self._is_change_pending = True

        def on_change_reply(reply):
            self._is_change_pending = False
            on_reply(reply)

        self._node.propose(command, on_change_reply)

    def _grant(self, request, deadline_ms, respond) -> None:
        lease, earliest_sent_ms = self._leases.record_request(
            request.entry_name,
            request.entry_incarnation,
            request.number,
            request.held_lease_id,
        )
        revision = self.entry_set_revision()
        renewal = _DelayedRenewal(
            request, lease, earliest_sent_ms, revision, respond
        )
        needs_confirmation = (
            lease.reply_count < IMMEDIATE_REPLIES
            and not self._leases.is_held(
                request.entry_name, request.entry_incarnation, revision
            )
        )
        remaining_ms = deadline_ms - self._clock.now_ms()
        if self._has_update(renewal) or needs_confirmation or remaining_ms <= 0:
            self._send_reply(renewal)
            return
        self._delayed_renewals.append(renewal)
        renewal.timer = self._timers.after(
            remaining_ms, lambda: self._end_delay(renewal)
        )

    def _has_update(self, renewal: _DelayedRenewal) -> bool:
        number = self._node.state.configuration.number
        return (
            number > renewal.request.number
            or self.entry_set_revision() != renewal.entry_set_revision
        )

    def _end_delay(self, renewal: _DelayedRenewal) -> None:
        self._delayed_renewals.remove(renewal)
        renewal.timer.cancel()
        self._send_reply(renewal)

    def _send_reply(self, renewal: _DelayedRenewal) -> None:
        request, state = renewal.request, self._node.state
        registered = state.entries.get(request.entry_name)
        if (
            registered is None
            or registered.incarnation != request.entry_incarnation
            or renewal.lease.leaving
        ):
            detail = "the entry was removed or replaced while it waited"
            renewal.respond(
                self._error_reply(
                    control_errors.Superseded(detail, request.entry_name)
                )
            )
            return
        revision = self.entry_set_revision()
        lease_id = self._leases.record_grant(
            renewal.lease, renewal.earliest_sent_ms, revision
        )
        number, data = state.configuration.number, b""
        if number > request.number:
            data = configuration_lib.encode(state.configuration)
        # Sending the names of 880 entries with each renewal would take
        # 22.7 KB/s.
        has_current_names = request.entry_set_revision == revision
        names = () if has_current_names else sorted(state.entries)
        renewal.respond(
            pb.RenewReply(
                number=number,
                configuration=data,
                lease_ms=int(leases_lib.LEASE_MS),
                entry_names=names,
                lease_id=lease_id,
                entry_set_revision=revision,
            )
        )

    def _release(self, request, respond) -> None:
        name, incarnation = request.entry_name, request.entry_incarnation
        registered = self._node.state.entries.get(name)
        if registered is not None and registered.incarnation == incarnation:
            lease, _ = self._leases.record_request(
                name, incarnation, request.number, request.held_lease_id
            )
            self._leases.record_release(lease)
            # If removal is not allowed yet, the periodic maintenance retries.
            self._remove_if_allowed(registered)
        respond(pb.RenewReply(number=self._node.state.configuration.number))

    def _maintain(self) -> None:
        """Removes one entry that is leaving or lost its lease long ago."""
        if self._leases is None:
            return
        for entry in self._node.state.entries.values():
            lease = self._leases.find(entry.name, entry.incarnation)
            is_leaving = lease is not None and lease.leaving
            time_without_lease_ms = self._leases.time_without_lease_ms(
                entry.name
            )
            if (
                is_leaving or time_without_lease_ms > self._removal_ms
            ) and self._remove_if_allowed(entry):
                return

    def _remove_if_allowed(self, entry: state_lib.Entry) -> bool:
        if self._is_change_pending or not self.has_lease_majority():
            return False
        loguru.logger.bind(entry=entry.name).info("removing an entry")
        command = state_lib.RemoveEntry(
            entry.name, entry.incarnation, self._clock.wall_ms()
        )
        self._propose_change(command, lambda reply: None)
        return True

    def _lease_majority_error(
        self, source: str
    ) -> control_errors.NoEntryMajority:
        entries = self._node.state.entries.values()
        revision = self.entry_set_revision()
        missing = [
            e.name
            for e in entries
            if not self._leases.is_held(e.name, e.incarnation, revision)
        ]
        detail = (
            f"{len(missing)} of {len(entries)} registered entries hold no"
            f" acknowledged lease: {', '.join(sorted(missing))}"
        )
        return control_errors.NoEntryMajority(detail, source)

    def lease_majority_error(self) -> errors.Error:
        """Returns the error that lists the entries without a lease."""
        if self._leases is None:
            return self._node.not_leader_error()
        return self._lease_majority_error("")

    def _error_reply(self, error: errors.Error) -> pb.RenewReply:
        return pb.RenewReply(error=wire.encode_error(error))


def _is_older(requested: state_lib.Entry, registered: state_lib.Entry) -> bool:
    """Whether the incarnation of a request precedes the registered one.

    A delayed request must not register an old incarnation again. Numeric
    incarnations are start instants and can be ordered; others cannot.
    """
    incarnations = (requested.incarnation, registered.incarnation)
    return all(i.isdigit() for i in incarnations) and int(
        incarnations[0]
    ) < int(incarnations[1])
