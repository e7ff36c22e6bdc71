"""Consensus component: owns the Raft node, its log on disk and the state.

gRPC threads hand over work by `post`. All work that is queued at one turn of
the loop is handled as a batch: its proposals are written by one append with one
sync, and only after that sync are messages sent, commands applied and calls
answered.
"""

import collections
from collections import abc
from concurrent import futures
import random

import circuits
from circuits import core
import loguru
from returns import result

from auburnway.control import full_disk
from auburnway.control import interfaces
from auburnway.control import store as store_lib
from auburnway.control import voter_health
from auburnway.core import errors
from auburnway.core import raft as raft_lib
from auburnway.core import raft_records as records
from auburnway.kernel import callbacks
from auburnway.kernel import process
from auburnway.rpc import control_errors
from auburnway.storage import disk as disk_lib

TICK_MS = 25.0
# Period of join requests, which a learner without a leader sends to one other
# instance at a time.
JOIN_REQUEST_PERIOD_MS = 500.0
# Longer syncs are logged as a warning; half of the minimum election timeout.
SLOW_SYNC_WARNING_MS = 250.0
# Number of applied entries after which a snapshot is taken; bounds the replay
# after a restart.
ENTRIES_PER_SNAPSHOT = 1000


class wake(circuits.Event):  # noqa: N801 (circuits names events in lower case)
    """Signals that work was posted."""


class Node(circuits.BaseComponent):
    """Consensus component.

    Args:
      identity: Identity of the data folder.
      address: `ip:port` at which this instance is reached.
      store: Open data folder.
      loop: Loop that runs this component.
      connect: Returns a link to another instance; called with the address of
        that instance and with `post`.
      machine: State machine to which the log is applied.
      raft_config: Raft timeouts and periods; None for the default ones.
      request_join: Sends a join request to another instance; called on the
        loop.

    Attributes:
      state: Replicated state after the last applied command.
      on_applied: Called after commands were applied.
      on_role_change: Called when leadership is won or lost.
      exit_code: Exit code of the process after the loop ended.
    """

    channel = "consensus"

    def __init__(
        self,
        identity: store_lib.Identity,
        address: str,
        store: store_lib.Store,
        loop: process.Loop,
        connect: interfaces.Connect,
        machine: interfaces.StateMachine,
        request_join: abc.Callable[[], None],
        raft_config: records.Config | None = None,
    ):
        super().__init__()
        self.identity = identity
        self.address = address
        self.exit_code = 0
        self.on_applied: abc.Callable[[], None] = lambda: None
        self.on_role_change: abc.Callable[[], None] = lambda: None
        self._store = store
        self._loop = loop
        self._open_link = connect
        self._state_machine = machine
        self._request_join = request_join
        self._raft_config = raft_config or records.Config(identity.incarnation)
        self._rng = random.Random(identity.incarnation)
        self._full_disk = full_disk.FullDisk(store, loop.clock)
        self._load_snapshot(store.log.snapshot)
        self.raft = self._new_raft()
        self._handled_role = (self.raft.role, 0)
        self._health = voter_health.VoterHealth(self.raft, loop.clock)
        self._posted_calls: collections.deque[abc.Callable] = (
            collections.deque()
        )
        self._is_wake_fired = False
        self._is_stopped = False
        self._queued_proposals: list[tuple[bytes, interfaces.OnReply]] = []
        self._queued_reads: list[tuple[bool, interfaces.OnReply]] = []
        self._received_messages: list[records.Message] = []
        self._raft_steps: list[abc.Callable[[], records.Output]] = []
        # Callbacks of proposals (with term) by log index, and callbacks of
        # reads by read number.
        self._pending_proposals: dict[int, tuple[int, interfaces.OnReply]] = {}
        self._pending_reads: dict[int, interfaces.OnReply] = {}
        # Number of the last read.
        self._last_read_number = 0
        # Index, encoded state and job of the snapshot that is being saved.
        self._compaction: tuple[int, bytes, futures.Future] | None = None
        self._executor = futures.ThreadPoolExecutor(1, "snapshot")
        loop.stack.callback(self._executor.shutdown)
        self._links: dict[str, interfaces.Link] = {}
        self._sender_addresses: dict[str, str] = {}
        loop.timers.every(TICK_MS, self._tick)
        loop.timers.every(JOIN_REQUEST_PERIOD_MS, self._request_join_if_needed)
        loop.stack.callback(self._close_links)

    def _new_raft(self) -> raft_lib.Raft:
        return raft_lib.Raft(
            self._raft_config,
            self._store.hard_state,
            self._store.log,
            self._loop.clock,
            self._rng,
            self.applied_index,
        )

    @property
    def has_full_disk(self) -> bool:
        """Whether this instance takes no part because its disk is full."""
        return self._full_disk.is_full

    @property
    def is_leader(self) -> bool:
        """Whether this instance is the leader."""
        return self.raft.leader_state is not None

    @property
    def leader_address(self) -> str:
        """Address of the leader; empty when it is not known."""
        if self.is_leader:
            return self.address
        member = self.raft.member(self.raft.leader)
        return member.address if member is not None else ""

    @property
    def log_bytes(self) -> int:
        """Size of the current log file, in bytes."""
        return self._store.size_bytes

    def not_leader_error(self) -> control_errors.NotLeader:
        """Returns the error that directs a client to the leader."""
        return control_errors.NotLeader(
            "this instance is not the leader",
            self.identity.name,
            self.leader_address,
        )

    def post(self, call: abc.Callable[[], None]) -> None:
        """Runs a function on the loop; may be called on any thread."""
        self._posted_calls.append(call)
        if not self._is_wake_fired:
            self._is_wake_fired = True
            self.fire(wake(), self.channel)

    def propose(self, command, on_reply: interfaces.OnReply) -> None:
        """Queues a command for the log; on the loop only.

        Args:
          command: Command of the state machine.
          on_reply: Called with the reply once the command is applied, or with
            the failure `NotExecuted` or `OutcomeUncertain`.
        """
        data = self._state_machine.encode_command(command)
        self._queued_proposals.append((data, on_reply))

    def linearizable_read(
        self, on_ready: interfaces.OnReply, at_once: bool = True
    ) -> None:
        """Calls back when `state` is valid for a linearizable read.

        May be called on the loop only.

        Args:
          on_ready: Called with Success(None), or with the failure `NotLeader`.
          at_once: Whether to start a heartbeat round now; False to wait for
            the next periodic round.
        """
        self._queued_reads.append((at_once, on_ready))

    def receive(
        self, address: str, messages: abc.Iterable[records.Message]
    ) -> None:
        """Queues messages of another instance; on the loop only.

        Args:
          address: `ip:port` at which the sender is reached.
          messages: Received Raft messages.
        """
        for message in messages:
            if message.target == self.identity.incarnation:
                self._sender_addresses[message.source] = address
                self._received_messages.append(message)

    def add_learner(self, member: records.Member) -> None:
        """Adds a learner if this instance leads; on the loop only."""
        self._raft_steps.append(lambda: self.raft.join(member))

    def shut_down(self) -> None:
        """Transfers leadership to another voter, then stops the loop."""
        if self.is_leader and len(self.raft.members) > 1:
            loguru.logger.info("transferring leadership before the stop")
            self._raft_steps.append(self.raft.transfer)
            self._handle_queued()
            deadline_ms = self._loop.clock.now_ms() + 1500.0
            self._stop_when_transferred(deadline_ms)
        else:
            self._stop(0)

    def _stop_when_transferred(self, deadline_ms):
        if not self.is_leader or self._loop.clock.now_ms() >= deadline_ms:
            # The delay lets the last reply to the new leader be sent before
            # the links are closed.
            self._loop.timers.after(50.0, lambda: self._stop(0))
        else:
            self._loop.timers.after(
                10.0, lambda: self._stop_when_transferred(deadline_ms)
            )

    def _stop(self, exit_code):
        if not self._is_stopped:
            self._is_stopped = True
            self.exit_code = exit_code
            self._loop.stop()

    @core.handler("wake")
    def _on_wake(self, event):
        # The flag is cleared first, so that a later post fires a new event.
        self._is_wake_fired = False
        while self._posted_calls:
            callbacks.call_safely(self._posted_calls.popleft())
        self._handle_queued()

    def _tick(self):
        self._raft_steps.append(self.raft.tick)
        self._handle_queued()
        self._health.check()

    def _handle_queued(self) -> None:
        """Handles queued work until its callbacks queue no more."""
        if self._is_stopped:
            return
        try:
            if self.has_full_disk:
                # Queued steps belong to the Raft node before the pause.
                self._refuse_queued()
                if not self._resume():
                    return
            self._finish_compaction()
            while (
                self._queued_proposals
                or self._queued_reads
                or self._received_messages
                or self._raft_steps
            ):
                self._handle_batch()
        except disk_lib.DiskFault as fault:
            if fault.may_end:
                self._pause(fault.error)
                return
            loguru.logger.error(fault.error.message)
            self._stop(fault.error.exit_code)
        except Exception:
            # The state in memory may no longer match the log on disk.
            loguru.logger.exception(
                "unexpected exception in the consensus component"
            )
            self._stop(errors.Error.exit_code)

    def _pause(self, error: disk_lib.DiskError) -> None:
        """Gives up leadership and all that is not stored."""
        self._full_disk.on_full(error)
        self._compaction = None
        leader = self.raft.leader_state
        if leader is not None and (successor := leader.successor()):
            incarnation, term = self.identity.incarnation, self.raft.term
            self._send(records.ElectNow(incarnation, successor, term))
        self.raft.step_down()
        self._handle_role_change()
        self._refuse_queued()

    def _refuse_queued(self) -> None:
        self._received_messages, self._raft_steps = [], []
        proposals, self._queued_proposals = self._queued_proposals, []
        reads, self._queued_reads = self._queued_reads, []
        pending, self._pending_reads = self._pending_reads, {}
        refused = [on_reply for _, on_reply in (*proposals, *reads)]
        self._refuse((*refused, *pending.values()))

    def _refuse(self, refused: abc.Iterable[interfaces.OnReply]) -> None:
        for on_reply in refused:
            error = self.not_leader_error()
            callbacks.call_safely(on_reply, result.Failure(error))

    def _resume(self) -> bool:
        """Takes part again if the disk has room; returns whether it has."""
        if not self._full_disk.try_again():
            return False
        self.raft = self._new_raft()
        self._health = voter_health.VoterHealth(self.raft, self._loop.clock)
        self._handle_role_change()
        return True

    def _handle_batch(self):
        raft = self.raft
        steps, self._raft_steps = self._raft_steps, []
        received, self._received_messages = self._received_messages, []
        outputs = [step() for step in steps]
        outputs.extend(raft.step(message) for message in received)
        proposals, self._queued_proposals = self._queued_proposals, []
        refused_callbacks = []
        if proposals:
            output = raft.propose([data for data, _ in proposals])
            outputs.append(output)
            commands = [
                e for e in output.appended if e.kind is records.Kind.COMMAND
            ]
            if commands:
                for entry, (_, on_reply) in zip(
                    commands, proposals, strict=True
                ):
                    self._pending_proposals[entry.index] = (
                        entry.term,
                        on_reply,
                    )
            else:
                refused_callbacks = [on_reply for _, on_reply in proposals]
        reads, self._queued_reads = self._queued_reads, []
        for at_once in (False, True):
            callbacks = [
                on_ready
                for starts_now, on_ready in reads
                if starts_now is at_once
            ]
            if callbacks:
                outputs.append(
                    raft.read_index(self._register_reads(callbacks), at_once)
                )
        self._refuse(refused_callbacks)
        started_ms = self._loop.clock.now_ms()
        self._store.write(outputs)
        sync_ms = self._loop.clock.now_ms() - started_ms
        if sync_ms > SLOW_SYNC_WARNING_MS:
            loguru.logger.bind(duration_ms=int(sync_ms)).warning(
                "sync of the log was slow; an election may follow"
            )
        # A new leader handles the role change first, because its first
        # callbacks need the state that the handler sets up. A former leader
        # first answers the proposals that are committed.
        if self.is_leader:
            self._handle_role_change()
        for output in outputs:
            self._handle_output(output)
        self._handle_role_change()
        self._start_compaction_if_due()

    def _register_reads(self, callbacks) -> list[int]:
        contexts = []
        for on_ready in callbacks:
            self._last_read_number += 1
            self._pending_reads[self._last_read_number] = on_ready
            contexts.append(self._last_read_number)
        return contexts

    def _handle_output(self, output: records.Output) -> None:
        """Carries out the actions that must follow the sync."""
        for message in output.messages:
            self._send(message)
        if output.snapshot is not None:
            self._load_snapshot(output.snapshot)
            self.on_applied()
        for entry in output.committed:
            self._apply_entry(entry)
        if output.committed:
            self.on_applied()
        # A confirmed read index is at most the commit index, and all
        # committed entries of this output are applied by now.
        for read in output.reads:
            callbacks.call_safely(
                self._pending_reads.pop(read.context), result.Success(None)
            )
        self._refuse(map(self._pending_reads.pop, output.failed_reads))

    def _apply_entry(self, entry: records.LogEntry) -> None:
        self.applied_index = entry.index
        reply = None
        if entry.kind is records.Kind.COMMAND:
            self.state, reply = self._state_machine.apply(
                self.state, entry.index, entry.data
            )
        elif entry.kind is records.Kind.VOTERS:
            voter_health.log_members(records.decode_members(entry.data))
        term, on_reply = self._pending_proposals.pop(entry.index, (0, None))
        if on_reply is None:
            return
        if term == entry.term:
            callbacks.call_safely(on_reply, result.Success(reply))
        else:
            # The entry of another leader has this index, so the proposal of
            # this instance is lost.
            callbacks.call_safely(
                on_reply, result.Failure(self.not_leader_error())
            )

    def _load_snapshot(self, snapshot: records.Snapshot) -> None:
        self.state = self._state_machine.empty
        if snapshot.data:
            self.state = self._state_machine.decode(snapshot.data)
        self.applied_index = snapshot.index

    def _handle_role_change(self) -> None:
        """Handles a change of role or of the term as the leader.

        A former leader fails its uncommitted proposals as uncertain.
        """
        role = (self.raft.role, self.raft.term if self.is_leader else 0)
        if role == self._handled_role:
            return
        self._handled_role = role
        loguru.logger.bind(role=self.raft.role.value, term=self.raft.term).info(
            "role changed"
        )
        if not self.is_leader:
            pending, self._pending_proposals = self._pending_proposals, {}
            for _, on_reply in pending.values():
                error = control_errors.OutcomeUncertain(
                    "leadership was lost before the commit",
                    self.identity.name,
                )
                callbacks.call_safely(on_reply, result.Failure(error))
        self.on_role_change()

    def _start_compaction_if_due(self) -> None:
        index = self.applied_index
        entries_since_snapshot = index - self._store.log.snapshot.index
        if (
            entries_since_snapshot < ENTRIES_PER_SNAPSHOT
            or self._compaction is not None
        ):
            return
        data = self._state_machine.encode(self.state)
        save_job = self._store.begin_compaction(index, data, self._executor)
        self._compaction = (index, data, save_job)
        save_job.add_done_callback(lambda _: self.post(lambda: None))

    def _finish_compaction(self) -> None:
        if self._compaction is None or not self._compaction[2].done():
            return
        index, data, save_job = self._compaction
        self._compaction = None
        # Raises the exception of the other thread, if any.
        save_job.result()
        # A newer snapshot may have been received from the leader meanwhile.
        if index > self._store.log.snapshot.index:
            self.raft.compact(index, data)
            self._store.end_compaction(self._executor)
            loguru.logger.bind(index=index, size_bytes=len(data)).info(
                "snapshot was saved"
            )

    def _send(self, message: records.Message) -> None:
        member = self.raft.member(message.target)
        if member is not None:
            address = member.address
        else:
            address = self._sender_addresses.get(message.target, "")
        if not address:
            return
        link = self._links.get(address)
        if link is None:
            link = self._open_link(address, self.post)
            self._links[address] = link
        link.send(message)

    def _request_join_if_needed(self) -> None:
        is_paused = self._is_stopped or self.has_full_disk
        if self.raft.needs_join() and not is_paused:
            self._request_join()

    def _close_links(self) -> None:
        for link in self._links.values():
            link.close()
