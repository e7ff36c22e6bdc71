"""Raft leader: replication, linearizable reads and member changes."""

from __future__ import annotations

from collections import abc
import dataclasses
import typing

from auburnway.core import clock as clock_lib
from auburnway.core import member_set
from auburnway.core import raft_records as records

if typing.TYPE_CHECKING:
    from auburnway.core import raft

# Limit on the bytes of log entries in one message; gRPC's limit is 4 MB.
MAX_MESSAGE_BYTES = 1 << 20
# Time without a reply after which the leader sends a snapshot again.
SNAPSHOT_RETRY_MS = 2000.0


@dataclasses.dataclass
class Progress:
    """Replication state of one other member.

    Attributes:
      next_index: Index of the next entry to send.
      match_index: Index of the last entry known to be synced to the member's
        disk.
      round: Last heartbeat round that the member answered.
      last_reply_ms: Instant of the member's last reply.
      snapshot_sent_ms: Instant at which the unanswered snapshot was sent; None
        when no snapshot is unanswered.
    """

    next_index: int
    last_reply_ms: float
    match_index: int = 0
    round: int = 0
    snapshot_sent_ms: float | None = None


class LeaderState:
    """State of a leader during one term.

    Args:
      node: Node that is the leader.
      clock: Source of time.
    """

    def __init__(self, node: raft.Raft, clock: clock_lib.Clock):
        self._node = node
        self._clock = clock
        self._incarnation = node.config.incarnation
        self._progress: dict[str, Progress] = {}
        self._round = 0
        self._heartbeat_due_ms = 0.0
        # Reads in order of arrival: (context, heartbeat round that confirms
        # the read, commit index on arrival).
        self._reads: list[tuple[int, int, int]] = []
        # Reads that arrived before an entry of this term was committed.
        self._deferred_reads: list[int] = []
        self._term_start_index = 0
        self._pending_learners: dict[str, records.Member] = {}
        self._transfer_due_ms: float | None = None
        self._transfer_target = ""

    @property
    def transferring(self) -> bool:
        """Whether a leadership transfer is in progress."""
        return self._transfer_due_ms is not None

    @property
    def is_established(self) -> bool:
        """Whether an entry of this term is committed."""
        return self._node.commit >= self._term_start_index

    def progress(self, incarnation: str) -> Progress | None:
        """Returns the replication state of another member, or None."""
        return self._progress.get(incarnation)

    def member_states(self) -> tuple[member_set.MemberState, ...]:
        """Returns the state of all members, the leader among them."""
        return tuple(map(self._member_state, self._node.members))

    def _member_state(self, member: records.Member) -> member_set.MemberState:
        progress = self._progress.get(member.incarnation)
        if progress is None:
            return member_set.MemberState(member, 0.0, True, is_leader=True)
        return member_set.MemberState(
            member,
            self._clock.now_ms() - progress.last_reply_ms,
            progress.match_index >= self._node.commit,
        )

    def survivable_losses(self) -> int:
        """Returns how many further voters may be lost."""
        return member_set.survivable_losses(
            self.member_states(), self._node.config.election_max_ms
        )

    def has_quorum(self) -> bool:
        """Whether a majority answered within one election timeout."""
        since_ms = self._clock.now_ms() - self._node.config.election_min_ms
        return self._majority_satisfies(
            lambda i: (
                i == self._incarnation
                or self._progress[i].last_reply_ms >= since_ms
            )
        )

    def start(self) -> None:
        """Appends the no-op entry that starts the term."""
        self._term_start_index = self._node.log.last_index + 1
        self._sync_progress()
        self.append(records.Kind.NOOP, (b"",))

    def close(self) -> tuple[int, ...]:
        """Ends leadership; returns the contexts of the pending reads."""
        contexts = (*(read[0] for read in self._reads), *self._deferred_reads)
        self._reads, self._deferred_reads = [], []
        return contexts

    def tick(self) -> None:
        """Sends due heartbeats; steps down without replies of a majority."""
        now_ms = self._clock.now_ms()
        due_ms = self._transfer_due_ms
        if not self.has_quorum():
            self._node.step_down()
            return
        if due_ms is not None and now_ms >= due_ms:
            self._transfer_due_ms = None
        if now_ms >= self._heartbeat_due_ms:
            self.broadcast()
        self._change_members()

    def append(self, kind: records.Kind, payloads: abc.Sequence[bytes]) -> None:
        """Appends entries and sends them to all members."""
        first = self._node.log.last_index + 1
        term = self._node.term
        self._node.put_entries(
            [
                records.LogEntry(first + i, term, kind, data)
                for i, data in enumerate(payloads)
            ]
        )
        if kind is records.Kind.VOTERS:
            self._sync_progress()
        self.broadcast()
        self._advance_commit()

    def read(self, contexts: abc.Sequence[int], at_once: bool) -> None:
        """Queues reads until a later heartbeat round confirms leadership."""
        if not self.is_established:
            self._deferred_reads.extend(contexts)
            return
        number, index = self._round + 1, self._node.commit
        self._reads.extend((context, number, index) for context in contexts)
        if at_once:
            self.broadcast()

    def broadcast(self) -> None:
        """Starts a heartbeat round, which also sends new entries."""
        self._round += 1
        period_ms = self._node.config.heartbeat_ms
        self._heartbeat_due_ms = self._clock.now_ms() + period_ms
        for incarnation in self._progress:
            self._send(incarnation)
        self._confirm_reads()

    def on_reply(self, reply: records.AppendReply) -> None:
        """Handles a member's reply in the current term."""
        progress = self._progress.get(reply.source)
        if progress is None:
            return
        progress.last_reply_ms = self._clock.now_ms()
        progress.round = max(progress.round, reply.round)
        if reply.accepted:
            if reply.index > progress.match_index:
                progress.match_index = reply.index
                progress.snapshot_sent_ms = None
            floor = progress.match_index + 1
            progress.next_index = max(progress.next_index, floor)
            self._advance_commit()
            if progress.next_index <= self._node.log.last_index:
                self._send(reply.source)
        elif progress.snapshot_sent_ms is None:
            next_index = max(progress.match_index, reply.index) + 1
            if next_index < progress.next_index:
                progress.next_index = next_index
                self._send(reply.source)
        self._confirm_reads()
        self._request_election()
        self._change_members()

    def join(self, member: records.Member) -> None:
        """Adds a learner, which replaces older learners of the same name."""
        if self._node.member(member.incarnation) is None:
            self._pending_learners[member.name] = member
            self._change_members()

    def successor(self) -> str | None:
        """Returns the most advanced other voter, or None if there is none."""
        others = [
            (progress.match_index, progress.last_reply_ms, incarnation)
            for incarnation, progress in self._progress.items()
            if self._node.is_voter(incarnation)
        ]
        return max(others)[2] if others else None

    def transfer(self) -> None:
        """Starts a leadership transfer, limited to one election timeout."""
        successor = self.successor()
        if successor is not None:
            self._transfer_target = successor
            timeout_ms = self._node.config.election_max_ms
            self._transfer_due_ms = self._clock.now_ms() + timeout_ms
            self._request_election()

    def _majority_satisfies(self, condition: abc.Callable[[str], bool]) -> bool:
        voters = [m.incarnation for m in self._node.members if m.voter]
        return sum(map(condition, voters)) * 2 > len(voters)

    def _majority_value(
        self, own: int, value: abc.Callable[[Progress], int]
    ) -> int:
        """Returns the greatest value that a majority of voters has reached.

        Args:
          own: Value of this node; counts only if this node is a voter.
          value: Function that returns the value of another member.
        """
        values = sorted(
            own
            if member.incarnation == self._incarnation
            else value(self._progress[member.incarnation])
            for member in self._node.members
            if member.voter
        )
        return values[(len(values) - 1) // 2]

    def _sync_progress(self) -> None:
        """Aligns `_progress` with the members.

        A new member counts as having replied now.
        """
        now_ms = self._clock.now_ms()
        previous = self._progress
        self._progress = {
            m.incarnation: previous.get(m.incarnation)
            or Progress(self._node.log.last_index + 1, now_ms)
            for m in self._node.members
            if m.incarnation != self._incarnation
        }

    def _send(self, incarnation: str) -> None:
        """Sends a member its missing entries, or an empty heartbeat."""
        progress, node = self._progress[incarnation], self._node
        if progress.next_index <= node.log.snapshot.index:
            if self._send_snapshot(incarnation, progress):
                return
            # The member rejects this heartbeat until it has the snapshot, but
            # its reply shows that it receives the leader's messages.
            previous, entries = node.log.snapshot.index, ()
        else:
            previous = progress.next_index - 1
            entries = node.log.between(
                progress.next_index, node.log.last_index, MAX_MESSAGE_BYTES
            )
        node.send(
            records.Append(
                self._incarnation,
                incarnation,
                node.term,
                previous,
                node.log.term(previous),
                entries,
                node.commit,
                self._round,
            )
        )
        if entries:
            # If this message is lost, the member rejects the next heartbeat,
            # and the reply resets `next_index`.
            progress.next_index = entries[-1].index + 1

    def _send_snapshot(self, incarnation: str, progress: Progress) -> bool:
        """Sends the snapshot unless one is in transit.

        Returns:
          Whether the snapshot was sent.
        """
        now_ms, sent_ms = self._clock.now_ms(), progress.snapshot_sent_ms
        if sent_ms is not None and now_ms - sent_ms <= SNAPSHOT_RETRY_MS:
            return False
        progress.snapshot_sent_ms = now_ms
        self._node.send(
            records.InstallSnapshot(
                self._incarnation,
                incarnation,
                self._node.term,
                self._node.log.snapshot,
                self._round,
            )
        )
        return True

    def _advance_commit(self) -> None:
        """Advances the commit index to the entries that a majority has synced.

        An entry of an older term is committed only together with an entry of
        the current term; counting its replicas alone is not safe.
        """
        index = self._majority_value(
            self._node.log.last_index, lambda progress: progress.match_index
        )
        if index <= self._node.commit or index < self._term_start_index:
            return
        was_established = self.is_established
        self._node.commit_to(index)
        if not was_established:
            deferred, self._deferred_reads = self._deferred_reads, []
            self.read(deferred, at_once=bool(deferred))

    def _confirm_reads(self) -> None:
        """Confirms the reads whose heartbeat round a majority answered."""
        if not self._reads:
            return
        confirmed_round = self._majority_value(
            self._round, lambda progress: progress.round
        )
        count = sum(1 for read in self._reads if read[1] <= confirmed_round)
        confirmed_reads, self._reads = self._reads[:count], self._reads[count:]
        self._node.add_reads(
            records.Read(c, index) for c, _, index in confirmed_reads
        )

    def _request_election(self) -> None:
        """Asks the target of a transfer, if caught up, to start an election."""
        if self._transfer_due_ms is None:
            return
        progress = self._progress.get(self._transfer_target)
        last_index = self._node.log.last_index
        if progress is not None and progress.match_index == last_index:
            self._node.send(
                records.ElectNow(
                    self._incarnation, self._transfer_target, self._node.term
                )
            )

    def _change_members(self) -> None:
        """Starts the next change of a single member, if one is due.

        A change waits until the previous change and an entry of the current
        term are committed. Otherwise there could be two majorities without a
        common member.
        """
        node = self._node
        last_change = node.log.last_members_entry
        is_pending = last_change is not None and last_change.index > node.commit
        if is_pending or not self.is_established or self.transferring:
            return
        members = self._next_members()
        if members is not None:
            data = records.encode_members(members)
            self.append(records.Kind.VOTERS, (data,))

    def _next_members(self) -> records.Members | None:
        members = self._node.members
        for name, member in tuple(self._pending_learners.items()):
            del self._pending_learners[name]
            if self._node.member(member.incarnation) is None:
                remaining = [m for m in members if m.voter or m.name != name]
                learner = dataclasses.replace(member, voter=False)
                return (*remaining, learner)
        return member_set.next_members(self.member_states(), self._node.config)
