"""Raft state machine of one node, without sockets, files or threads.

Its inputs are messages and clock ticks. Each public method that handles an
input returns an `Output` with the data to write and the messages to send. The
owner of the state machine writes and syncs that data before it sends messages,
applies entries or answers reads, so a crash cannot undo an acknowledgement.

`raft_leader` implements the leader; this module implements terms, elections
and the follower's log.
"""

from collections import abc
import random

from auburnway.core import clock as clock_lib
from auburnway.core import raft_handlers
from auburnway.core import raft_leader
from auburnway.core import raft_log
from auburnway.core import raft_records as records


class Raft:
    """One Raft node.

    Args:
      config: Identity and timeouts.
      hard_state: Hard state read from disk.
      log: Log read from disk.
      clock: Source of time.
      rng: Random generator for election timeouts.
      commit: Index up to which entries are known to be committed.
    """

    def __init__(
        self,
        config: records.Config,
        hard_state: records.HardState,
        log: raft_log.Log,
        clock: clock_lib.Clock,
        rng: random.Random,
        commit: int = 0,
    ):
        self.config = config
        self.log = log
        self.role = records.Role.FOLLOWER
        self.leader = ""
        self.commit = max(log.snapshot.index, commit)
        self._hard_state = hard_state
        self._clock = clock
        self._rng = rng
        self._votes: dict[str, bool] = {}
        self._pre_vote = False
        self._leader_state: raft_leader.LeaderState | None = None
        self._leader_contact_ms = float("-inf")
        self._election_due_ms = 0.0
        self._reset_election()
        self._clear_output()
        self._refresh_members()
        self._become_follower("")

    @property
    def term(self) -> int:
        """Latest term seen."""
        return self._hard_state.term

    @property
    def hard_state(self) -> records.HardState:
        """Current term and vote."""
        return self._hard_state

    @property
    def members(self) -> records.Members:
        """Latest member set, committed or not."""
        return self._members

    @property
    def leader_state(self) -> raft_leader.LeaderState | None:
        """State of the leader; None unless this node is the leader."""
        return self._leader_state

    def member(self, incarnation: str) -> records.Member | None:
        """Returns the member with this incarnation, or None."""
        return self._members_by_incarnation.get(incarnation)

    def is_voter(self, incarnation: str) -> bool:
        """Whether this incarnation is a voter in the latest member set."""
        member = self.member(incarnation)
        return member is not None and member.voter

    def has_leader_contact(self) -> bool:
        """Whether this node has a quorum as leader, or a responsive leader."""
        if self._leader_state is not None:
            return self._leader_state.has_quorum()
        silent_ms = self._clock.now_ms() - self._leader_contact_ms
        return bool(self.leader) and silent_ms < self.config.election_min_ms

    @property
    def granted_votes(self) -> tuple[str, ...]:
        """Incarnations that granted a vote in the election in progress."""
        return tuple(v for v, granted in self._votes.items() if granted)

    def needs_join(self) -> bool:
        """Whether this node should ask the leader to add it as a member.

        Membership according to the local log is not enough: a later leader
        may have replaced the log entry that added this node. That leader does
        not have the node as a member and sends it no messages.
        """
        is_learner = self.role is records.Role.LEARNER
        if self.config.remove_silent_ms is None:
            return is_learner and not self.has_leader_contact()
        # A removed voter is not notified and stays a candidate.
        return self._leader_state is None and not self.has_leader_contact()

    def step(self, message: records.Message) -> records.Output:
        """Handles a received message; ignores messages for other targets."""
        if message.target == self.config.incarnation and self._accepts_message(
            message
        ):
            raft_handlers.handle(message, self)
        return self._collect_output()

    def tick(self) -> records.Output:
        """Handles due timeouts; call at least every `heartbeat_ms` / 2."""
        if self._leader_state is not None:
            self._leader_state.tick()
        elif self._clock.now_ms() >= self._election_due_ms:
            if self.is_voter(self.config.incarnation):
                self._campaign(pre_vote=True)
            else:
                self.leader = ""
                self._reset_election()
        return self._collect_output()

    def propose(self, commands: abc.Sequence[bytes]) -> records.Output:
        """Appends commands as the leader.

        Returns:
          Output whose `appended` holds one entry per command in order; empty
          when this node is not the leader or is transferring leadership.
        """
        if (
            self._leader_state is not None
            and not self._leader_state.transferring
        ):
            self._leader_state.append(records.Kind.COMMAND, commands)
        return self._collect_output()

    def read_index(
        self, contexts: abc.Sequence[int], at_once: bool = True
    ) -> records.Output:
        """Requests linearizable reads.

        Args:
          contexts: Identifiers of the reads, returned in `reads` or
            `failed_reads` of an output.
          at_once: Whether to start a heartbeat round now instead of waiting
            for the next periodic round.
        """
        if self._leader_state is None:
            self._failed_reads.extend(contexts)
        else:
            self._leader_state.read(contexts, at_once)
        return self._collect_output()

    def join(self, member: records.Member) -> records.Output:
        """As the leader, adds a learner; it replaces its old incarnation."""
        if self._leader_state is not None:
            self._leader_state.join(member)
        return self._collect_output()

    def transfer(self) -> records.Output:
        """As the leader, transfers leadership to the most advanced voter.

        Proposals are refused during the transfer, at most `election_max_ms`.
        """
        if self._leader_state is not None:
            self._leader_state.transfer()
        return self._collect_output()

    def compact(self, index: int, data: bytes) -> records.Snapshot:
        """Replaces the log up to an applied index by a snapshot.

        The owner saves the snapshot before it replaces the stored log.

        Args:
          index: Applied index, at most `commit` and not before the current
            snapshot.
          data: Encoded state after the entry at that index.
        """
        assert index <= self.commit
        snapshot = self.log.compact(index, data)
        self._refresh_members()
        return snapshot

    def send(self, message: records.Message) -> None:
        """Queues a message for the output."""
        self._messages.append(message)

    def put_entries(self, entries: abc.Sequence[records.LogEntry]) -> None:
        """Writes entries to the log and adds them to the output."""
        if entries:
            first = entries[0].index
            assert first > self.commit, "must not replace a committed entry"
            if first <= self.log.last_index:
                truncated = self._truncated_from
                self._truncated_from = min(truncated or first, first)
            if self.log.put(entries):
                self._refresh_members()
            self._appended.extend(entries)

    def commit_to(self, index: int) -> None:
        """Advances the commit index, at most to the end of the log."""
        index = min(index, self.log.last_index)
        if index > self.commit:
            entries = self.log.between(self.commit + 1, index)
            self._committed.extend(entries)
            self.commit = index

    def add_reads(self, reads: abc.Iterable[records.Read]) -> None:
        """Adds confirmed reads to the output."""
        self._reads.extend(reads)

    def step_down(self) -> None:
        """Gives up leadership without a new term."""
        self._become_follower("")

    def _accepts_message(self, message: records.Message) -> bool:
        """Applies the term rules; returns whether to handle the message."""
        is_request = isinstance(message, records.VoteRequest)
        if is_request and not message.transfer and self.has_leader_contact():
            # A node without contact to the leader must not depose it.
            return False
        is_reply = isinstance(message, records.VoteReply | records.AppendReply)
        if is_reply and self.member(message.source) is None:
            return False
        if message.term > self.term:
            is_pre_vote_term = (is_request and message.pre_vote) or (
                isinstance(message, records.VoteReply)
                and message.pre_vote
                and message.granted
            )
            if not is_pre_vote_term:
                self._set_hard_state(records.HardState(message.term))
                self._become_follower("")
        return True

    def _set_hard_state(self, state: records.HardState) -> None:
        self._hard_state = state
        self._changed_hard_state = state

    def _become_follower(self, leader: str) -> None:
        if self._leader_state is not None:
            self._failed_reads.extend(self._leader_state.close())
            self._leader_state = None
            self._reset_election()
        self.leader = leader
        self._votes = {}
        self._set_role()

    def _set_role(self) -> None:
        if self._leader_state is not None:
            self.role = records.Role.LEADER
        elif not self.is_voter(self.config.incarnation):
            self.role = records.Role.LEARNER
        else:
            self.role = records.Role.FOLLOWER

    def _reset_election(self) -> None:
        low_ms = self.config.election_min_ms
        high_ms = self.config.election_max_ms
        first_ms = self.config.first_election_max_ms
        if first_ms is not None and self._leader_contact_ms == float("-inf"):
            low_ms, high_ms = first_ms / 3, first_ms
        wait_ms = self._rng.uniform(low_ms, high_ms)
        self._election_due_ms = self._clock.now_ms() + wait_ms

    def _campaign(self, pre_vote: bool, transfer: bool = False) -> None:
        self._become_follower("")
        self.role = records.Role.CANDIDATE
        self._reset_election()
        self._pre_vote = pre_vote
        term = self.term + 1
        if not pre_vote:
            self._set_hard_state(
                records.HardState(term, self.config.incarnation)
            )
        self._votes = {self.config.incarnation: True}
        for member in self._members:
            if member.voter and member.incarnation != self.config.incarnation:
                self.send(
                    records.VoteRequest(
                        self.config.incarnation,
                        member.incarnation,
                        term,
                        self.log.last_index,
                        self.log.last_term,
                        pre_vote,
                        transfer,
                    )
                )
        self._count_votes()

    def _count_votes(self) -> None:
        voters = [m.incarnation for m in self._members if m.voter]
        granted = sum(self._votes.get(v, False) for v in voters)
        if granted * 2 <= len(voters):
            return
        if self._pre_vote:
            self._campaign(pre_vote=False)
        else:
            self.leader = self.config.incarnation
            self._votes = {}
            self._leader_state = raft_leader.LeaderState(self, self._clock)
            self._set_role()
            self._leader_state.start()

    def _may_grant_vote(self, request: records.VoteRequest) -> bool:
        if not self._members:
            # A node with an empty data folder must not vote.
            return False
        own_position = (self.log.last_term, self.log.last_index)
        candidate_position = (request.last_term, request.last_index)
        is_known_voter = self.is_voter(request.source)
        if not is_known_voter or not self.is_voter(self.config.incarnation):
            # According to the local log, the candidate or this node is not a
            # voter. Only a log entry that is missing here can have made it
            # one. Refusing in that case would leave no quorum if the leader is
            # lost right after it committed that entry.
            return candidate_position > own_position
        return candidate_position >= own_position

    def on_vote_request(self, request: records.VoteRequest) -> None:
        """Answers a vote or pre-vote request."""
        is_current_term = request.term >= self.term
        if request.pre_vote:
            granted = request.term > self.term and self._may_grant_vote(request)
        else:
            vote_is_free = self._hard_state.vote in ("", request.source)
            granted = (
                is_current_term
                and vote_is_free
                and self._may_grant_vote(request)
            )
            if granted and not self._hard_state.vote:
                self._set_hard_state(
                    records.HardState(self.term, request.source)
                )
                self._reset_election()
        self.send(
            records.VoteReply(
                self.config.incarnation,
                request.source,
                request.term if granted else self.term,
                granted,
                request.pre_vote,
            )
        )

    def on_vote_reply(self, reply: records.VoteReply) -> None:
        """Counts a vote."""
        expected = self.term + 1 if self._pre_vote else self.term
        if (
            self.role is records.Role.CANDIDATE
            and reply.pre_vote == self._pre_vote
            and reply.granted
            and reply.term == expected
        ):
            self._votes[reply.source] = True
            self._count_votes()

    def on_elect_now(self, message: records.ElectNow) -> None:
        """Starts an election at the leader's request."""
        is_current_term = message.term == self.term
        if is_current_term and self.is_voter(self.config.incarnation):
            self._campaign(pre_vote=False, transfer=True)

    def _accept_leader(self, message: records.Message) -> bool:
        """Accepts the sender as leader; returns False if its term is old."""
        if message.term < self.term:
            self._send_reply(message, False, self.log.last_index)
            return False
        if self.leader != message.source:
            self._become_follower(message.source)
        self._leader_contact_ms = self._clock.now_ms()
        self._reset_election()
        return True

    def _send_reply(self, message, accepted: bool, index: int) -> None:
        self.send(
            records.AppendReply(
                self.config.incarnation,
                message.source,
                self.term,
                accepted,
                index,
                message.round,
            )
        )

    def on_append(self, message: records.Append) -> None:
        """Adds the leader's entries if the logs match before the first one."""
        if not self._accept_leader(message):
            return
        previous, entries = message.previous_index, message.entries
        if previous < self.log.snapshot.index:
            # Entries up to the snapshot are committed, so they match.
            skipped = self.log.snapshot.index - previous
            entries = entries[skipped:]
            previous = self.log.snapshot.index
            if not entries:
                self._send_reply(message, True, previous)
                return
        elif self.log.term(previous) != message.previous_term:
            index = self.log.last_possible_match(previous, self.commit)
            self._send_reply(message, False, index)
            return
        last = previous + len(entries)
        missing = [e for e in entries if self.log.term(e.index) != e.term]
        if missing:
            self.put_entries(entries[missing[0].index - previous - 1 :])
        self.commit_to(min(message.commit, last))
        self._send_reply(message, True, last)

    def on_snapshot(self, message: records.InstallSnapshot) -> None:
        """Installs a received snapshot if it is after the commit index."""
        if not self._accept_leader(message):
            return
        snapshot = message.snapshot
        if snapshot.index > self.commit:
            self.log.install(snapshot)
            self.commit = snapshot.index
            self._snapshot = snapshot
            # The snapshot covers the entries that this step has added so far.
            self._appended.clear()
            self._committed.clear()
            self._refresh_members()
        self._send_reply(message, True, self.commit)

    def _refresh_members(self) -> None:
        self._members = self.log.members
        self._members_by_incarnation = {m.incarnation: m for m in self._members}
        if self.role is not records.Role.CANDIDATE:
            self._set_role()

    def _clear_output(self) -> None:
        self._messages: list[records.Message] = []
        self._changed_hard_state: records.HardState | None = None
        self._appended: list[records.LogEntry] = []
        self._truncated_from: int | None = None
        self._snapshot: records.Snapshot | None = None
        self._committed: list[records.LogEntry] = []
        self._reads: list[records.Read] = []
        self._failed_reads: list[int] = []

    def _collect_output(self) -> records.Output:
        output = records.Output(
            tuple(self._messages),
            self._changed_hard_state,
            tuple(self._appended),
            self._truncated_from,
            self._snapshot,
            tuple(self._committed),
            tuple(self._reads),
            tuple(self._failed_reads),
            self.role,
        )
        self._clear_output()
        return output
