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
MAX_WAIT_MS = 400.0
# Retry period of a registration that cannot be proposed yet.
RETRY_MS = 25.0
MAINTENANCE_PERIOD_MS = 1000.0
# Longest time for which an operator's call waits until entries acknowledge a
# number. It exceeds the sum of a lease period and a delayed renewal.
ACKNOWLEDGE_WAIT_MS = 2000.0
ACKNOWLEDGE_LOOK_MS = 10.0
# Number of replies sent without delay to an entry whose lease is not confirmed
# yet. Its lease is then confirmed after two round trips instead of two full
# long polls.
QUICK_ANSWERS = 3

_SET_ACTIONS = ("register_entry", "remove_entry")

OnRenewed = abc.Callable[[pb.RenewReply], None]


@dataclasses.dataclass
class _Poll:
    """Renewal whose reply is delayed until there is a change (long poll)."""

    request: pb.RenewRequest
    lease: leases_lib.Lease
    sent_after_ms: float
    set_revision: int
    done: OnRenewed
    timer: timers_lib.Timer | None = None


class Entries:
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
        self._polls: list[_Poll] = []
        self._is_changing = False
        # Number of audit rows searched so far, and the entry set revision
        # found in them.
        self._set_revision = (0, 0)
        # Greatest configuration number applied by this instance, and when.
        self._number = 0
        self._accepted_ms = float("-inf")
        timers.every(MAINTENANCE_PERIOD_MS, self._maintain)

    def on_role(self) -> None:
        """Resets all leases when leadership is won or lost."""
        self._leases = None
        self._is_changing = False
        self._set_revision = (0, 0)
        if self._node.is_leader:
            first_id = self._node.raft.term << 32
            self._leases = leases_lib.Leases(self._clock, first_id)
        polls, self._polls = self._polls, []
        for poll in polls:
            poll.timer.cancel()
            poll.done(self._failed(self._node.not_leader()))

    def on_applied(self) -> None:
        """Replies to the delayed renewals that the new state concerns."""
        number = self._node.state.configuration.number
        if number > self._number:
            self._number = number
            self._accepted_ms = self._clock.now_ms()
        for poll in tuple(self._polls):
            if self._has_news(poll):
                self._answer_poll(poll)

    def renew(self, request: pb.RenewRequest, done: OnRenewed) -> None:
        """Renews the lease of an entry, or releases it if `leaving` is set."""
        if self._leases is None:
            done(self._failed(self._node.not_leader()))
            return
        lease = self._leases.find(request.entry_name, request.entry_incarnation)
        # A linearizable read proves that this instance still led after the
        # request was sent. A long poll can wait for the next periodic
        # heartbeat round to confirm the read.
        can_wait = lease is not None and lease.answers >= QUICK_ANSWERS
        at_once = not can_wait or not request.wait_ms or request.leaving
        deadline_ms = self._clock.now_ms() + min(request.wait_ms, MAX_WAIT_MS)

        def on_read(outcome: result.Result):
            if not pipeline.is_successful(outcome) or self._leases is None:
                done(self._failed(self._node.not_leader()))
            elif request.leaving:
                self._leave(request, done)
            else:
                self._admit(request, deadline_ms, done)

        self._node.read(on_read, at_once)

    def has_majority(self) -> bool:
        """Whether a majority of entries certainly hold leases.

        Changes that entries must receive are allowed only then. True when no
        entry is registered.
        """
        entries = self._node.state.entries.values()
        if self._leases is None:
            return False
        revision = self.set_revision()
        held = sum(
            self._leases.is_held(e.name, e.incarnation, revision)
            for e in entries
        )
        return not entries or held * 2 > len(entries)

    def await_majority(
        self, number: int, on_end: abc.Callable[[bool], None]
    ) -> None:
        """Waits until a majority of the entries has acknowledged a number.

        Args:
          number: Number of an accepted release note.
          on_end: Called with True once a majority has acknowledged the number,
            with False after `ACKNOWLEDGE_WAIT_MS` or when leadership is lost.
        """
        deadline_ms = self._clock.now_ms() + ACKNOWLEDGE_WAIT_MS

        def look():
            if self._leases is None or self._clock.now_ms() > deadline_ms:
                on_end(False)
            elif self._acknowledged_by_majority(number):
                on_end(True)
            else:
                self._timers.after(ACKNOWLEDGE_LOOK_MS, look)

        look()

    def _acknowledged_by_majority(self, number: int) -> bool:
        entries = self._node.state.entries.values()
        leases = [self._leases.find(e.name, e.incarnation) for e in entries]
        count = sum(
            lease is not None and lease.number >= number for lease in leases
        )
        return not entries or count * 2 > len(entries)

    def set_revision(self) -> int:
        """Returns the audit revision of the last change of the entry set."""
        audit = self._node.state.audit
        seen, revision = self._set_revision
        for row in reversed(audit[seen:]):
            if row.action in _SET_ACTIONS and row.result == "accepted":
                revision = row.revision
                break
        self._set_revision = (len(audit), revision)
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
        lent_ms = self._accepted_ms + leases_lib.LEASE_MS
        may_be_lent = self._clock.now_ms() < lent_ms
        rows, acknowledged, behind = [], 0, 0
        for entry in state.entries.values():
            lease = self._leases.find(entry.name, entry.incarnation)
            left_ms = self._leases.left_ms(entry.name)
            entry_number = lease.number if lease is not None else 0
            acknowledged += entry_number >= number
            behind += entry_number < number and (left_ms > 0 or may_be_lent)
            rows.append(
                pb.EntryState(
                    name=entry.name,
                    incarnation=entry.incarnation,
                    data_center=entry.data_center,
                    caller_address=entry.caller_address,
                    peer_address=entry.peer_address,
                    number=entry_number,
                    lease_left_ms=int(left_ms) if left_ms > 0 else -1,
                    leaving=lease is not None and lease.leaving,
                )
            )
        now_ms = self._clock.now_ms()
        is_settled = now_ms >= self._leases.settled_ms
        has_majority = not rows or acknowledged * 2 > len(rows)
        everywhere = has_majority and not behind
        if not rows:
            everywhere = is_settled
        return pb.InForceReply(
            number=number, everywhere=everywhere, entries=rows
        )

    def _admit(self, request, deadline_ms, done) -> None:
        """Registers the entry if needed, then grants a lease."""
        if self._leases is None:
            done(self._failed(self._node.not_leader()))
            return
        present = self._node.state.entries.get(request.entry_name)
        wanted = state_lib.Entry(
            request.entry_name,
            request.entry_incarnation,
            request.data_center,
            request.caller_address,
            request.peer_address,
        )
        if present == wanted:
            self._grant(request, deadline_ms, done)
            return
        if present is not None and _is_older(wanted, present):
            detail = f"incarnation {present.incarnation} is registered"
            done(
                self._failed(
                    control_errors.Superseded(detail, request.entry_name)
                )
            )
            return
        # A new incarnation of a registered name does not change the set of
        # names, so it needs no majority. If it did, entries that all restart
        # at the same time could never get a lease again.
        is_allowed = present is not None or self.has_majority()
        if is_allowed and not self._is_changing:
            command = state_lib.RegisterEntry(
                *dataclasses.astuple(wanted), wall_ms=self._clock.wall_ms()
            )
            self._change(
                command,
                lambda reply: self._after_change(
                    reply, request, deadline_ms, done
                ),
            )
        elif self._clock.now_ms() < deadline_ms:
            self._timers.after(
                RETRY_MS, lambda: self._admit(request, deadline_ms, done)
            )
        else:
            done(self._failed(self._no_majority(request.entry_name)))

    def _after_change(self, reply, request, deadline_ms, done):
        if pipeline.is_successful(reply):
            self._admit(request, deadline_ms, done)
        else:
            done(self._failed(reply.failure()))

    def _change(self, command, on_reply) -> None:
        self._is_changing = True

        def on_done(reply):
            self._is_changing = False
            on_reply(reply)

        self._node.propose(command, on_done)

    def _grant(self, request, deadline_ms, done) -> None:
        lease, sent_after_ms = self._leases.request(
            request.entry_name,
            request.entry_incarnation,
            request.number,
            request.held_lease_id,
        )
        revision = self.set_revision()
        poll = _Poll(request, lease, sent_after_ms, revision, done)
        is_unsure = lease.answers < QUICK_ANSWERS and not self._leases.is_held(
            request.entry_name, request.entry_incarnation, revision
        )
        left_ms = deadline_ms - self._clock.now_ms()
        if self._has_news(poll) or is_unsure or left_ms <= 0:
            self._answer(poll)
            return
        self._polls.append(poll)
        poll.timer = self._timers.after(
            left_ms, lambda: self._answer_poll(poll)
        )

    def _has_news(self, poll: _Poll) -> bool:
        number = self._node.state.configuration.number
        return (
            number > poll.request.number
            or self.set_revision() != poll.set_revision
        )

    def _answer_poll(self, poll: _Poll) -> None:
        self._polls.remove(poll)
        poll.timer.cancel()
        self._answer(poll)

    def _answer(self, poll: _Poll) -> None:
        request, state = poll.request, self._node.state
        present = state.entries.get(request.entry_name)
        if (
            present is None
            or present.incarnation != request.entry_incarnation
            or poll.lease.leaving
        ):
            detail = "the entry was removed or replaced while it waited"
            poll.done(
                self._failed(
                    control_errors.Superseded(detail, request.entry_name)
                )
            )
            return
        revision = self.set_revision()
        lease_id = self._leases.answer(poll.lease, poll.sent_after_ms, revision)
        number, data = state.configuration.number, b""
        if number > request.number:
            data = configuration_lib.encode(state.configuration)
        # Sending the names of 880 entries with each renewal would take
        # 22.7 KB/s.
        knows_set = request.entry_set_revision == revision
        names = () if knows_set else sorted(state.entries)
        poll.done(
            pb.RenewReply(
                number=number,
                configuration=data,
                lease_ms=int(leases_lib.LEASE_MS),
                entry_names=names,
                lease_id=lease_id,
                entry_set_revision=revision,
            )
        )

    def _leave(self, request, done) -> None:
        name, incarnation = request.entry_name, request.entry_incarnation
        present = self._node.state.entries.get(name)
        if present is not None and present.incarnation == incarnation:
            lease, _ = self._leases.request(
                name, incarnation, request.number, request.held_lease_id
            )
            self._leases.release(lease)
            # If removal is not allowed yet, the periodic maintenance retries.
            self._remove_if_allowed(present)
        done(pb.RenewReply(number=self._node.state.configuration.number))

    def _maintain(self) -> None:
        """Removes one entry that is leaving or lost its lease long ago."""
        if self._leases is None:
            return
        for entry in self._node.state.entries.values():
            lease = self._leases.find(entry.name, entry.incarnation)
            is_leaving = lease is not None and lease.leaving
            silent_ms = self._leases.silent_ms(entry.name)
            if (
                is_leaving or silent_ms > self._removal_ms
            ) and self._remove_if_allowed(entry):
                return

    def _remove_if_allowed(self, entry: state_lib.Entry) -> bool:
        if self._is_changing or not self.has_majority():
            return False
        loguru.logger.bind(entry=entry.name).info("removing an entry")
        command = state_lib.RemoveEntry(
            entry.name, entry.incarnation, self._clock.wall_ms()
        )
        self._change(command, lambda reply: None)
        return True

    def _no_majority(self, source: str) -> control_errors.NoEntryMajority:
        entries = self._node.state.entries.values()
        revision = self.set_revision()
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

    def no_majority(self) -> errors.Error:
        """Returns the error that lists the entries without a lease."""
        if self._leases is None:
            return self._node.not_leader()
        return self._no_majority("")

    def _failed(self, error: errors.Error) -> pb.RenewReply:
        return pb.RenewReply(error=wire.encode_error(error))


def _is_older(wanted: state_lib.Entry, present: state_lib.Entry) -> bool:
    """Whether the incarnation of a request precedes the registered one.

    A delayed request must not register an old incarnation again. Numeric
    incarnations are start instants and can be ordered; others cannot.
    """
    both = (wanted.incarnation, present.incarnation)
    return all(i.isdigit() for i in both) and int(both[0]) < int(both[1])
