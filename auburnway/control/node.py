"""Consensus task: owns the Raft node, its log on disk and the state.

Work arrives from gRPC threads by `post`. All that has arrived by one turn of
the loop is handled together: proposals go into one append with one sync, and
only after that sync are messages sent, commands applied and callers answered.
"""

import collections
from collections import abc
from concurrent import futures
import random
import typing

import circuits
from circuits import core
import loguru
from returns import result

from auburnway.control import store as store_lib
from auburnway.core import errors
from auburnway.core import raft as raft_lib
from auburnway.core import raft_records as records
from auburnway.kernel import process
from auburnway.rpc import control_errors
from auburnway.storage import disk as disk_lib

TICK_MS = 25.0
# A learner without a leader asks one other instance to let it join.
JOIN_PERIOD_MS = 500.0
# Half of the least election timeout.
SLOW_SYNC_MS = 250.0
# Bounds the replay after a restart.
SNAPSHOT_ENTRIES = 1000

OnReply = abc.Callable[[result.Result], None]
Post = abc.Callable[[abc.Callable[[], None]], None]


class StateMachine(typing.Protocol):
    """What the log's commands act on.

    Attributes:
      empty: State before the first command.
    """

    empty: typing.Any

    def encode_command(self, command: typing.Any) -> bytes:
        """Returns the log form of a command."""

    def apply(
        self, state: typing.Any, index: int, data: bytes
    ) -> tuple[typing.Any, typing.Any]:
        """Applies a command in its log form; returns state and reply."""

    def encode(self, state: typing.Any) -> bytes:
        """Returns the snapshot form of a state."""

    def decode(self, data: bytes) -> typing.Any:
        """Returns the state of its snapshot form."""


class Link(typing.Protocol):
    """Carries messages to one other instance; it may drop them."""

    def send(self, message: records.Message) -> None:
        """Sends a message without waiting."""

    def close(self) -> None:
        """Ends the link."""


Connect = abc.Callable[[str, Post], Link]


class wake(circuits.Event):  # noqa: N801 (circuits names events in lower case)
    """Work was posted."""


class Node(circuits.BaseComponent):
    """Consensus component.

    Args:
      identity: Identity of the data folder.
      address: `ip:port` at which this instance is reached.
      store: Open data folder.
      loop: Loop that runs this component.
      connect: Returns a link to the address of another instance; a function
        that runs calls on the loop is passed to it.
      machine: State machine that the log drives.
      raft_config: Periods of the Raft rules; the default ones when None.
      join: Asks another instance to let this one join; called on the loop.

    Attributes:
      state: Replicated state after the last applied command.
      on_applied: Called after commands were applied.
      on_role: Called when leadership is won or lost.
      exit_code: Exit code of the process.
    """

    channel = "consensus"

    def __init__(
        self,
        identity: store_lib.Identity,
        address: str,
        store: store_lib.Store,
        loop: process.Loop,
        connect: Connect,
        machine: StateMachine,
        join: abc.Callable[[], None],
        raft_config: records.Config | None = None,
    ):
        super().__init__()
        self.identity = identity
        self.address = address
        self.exit_code = 0
        self.on_applied: abc.Callable[[], None] = lambda: None
        self.on_role: abc.Callable[[], None] = lambda: None
        self._store = store
        self._loop = loop
        self._connect = connect
        self._machine = machine
        self._join = join
        self.raft = raft_lib.Raft(
            raft_config or records.Config(identity.incarnation),
            store.hard_state,
            store.log,
            loop.clock,
            random.Random(identity.incarnation),
        )
        self._restore(store.log.snapshot)
        self._role = (self.raft.role, 0)
        self._posted: collections.deque[abc.Callable] = collections.deque()
        self._is_woken = False
        self._is_stopped = False
        self._proposals: list[tuple[bytes, OnReply]] = []
        self._reads: list[tuple[bool, OnReply]] = []
        self._received: list[records.Message] = []
        self._steps: list[abc.Callable[[], records.Output]] = []
        # Callers by log index, and reads by their number.
        self._pending: dict[int, tuple[int, OnReply]] = {}
        self._pending_reads: dict[int, OnReply] = {}
        # Confirmed reads that wait for the state to reach their index.
        self._next_read = 0
        # Index, state and job of the snapshot that is being saved.
        self._compaction: tuple[int, bytes, futures.Future] | None = None
        self._executor = futures.ThreadPoolExecutor(1, "snapshot")
        loop.stack.callback(self._executor.shutdown)
        self._links: dict[str, Link] = {}
        self._addresses: dict[str, str] = {}
        loop.timers.every(TICK_MS, self._tick)
        loop.timers.every(JOIN_PERIOD_MS, self._join_if_needed)
        loop.stack.callback(self._close_links)

    @property
    def is_leader(self) -> bool:
        """Whether this instance leads."""
        return self.raft.leading is not None

    @property
    def leader_address(self) -> str:
        """Address of the leader; empty when it is not known."""
        if self.is_leader:
            return self.address
        member = self.raft.member(self.raft.leader)
        return member.address if member is not None else ""

    @property
    def log_bytes(self) -> int:
        """Size of the log on disk."""
        return self._store.size_bytes

    def not_leader(self) -> control_errors.NotLeader:
        """Returns the error that names the leader."""
        return control_errors.NotLeader(
            "this instance is not the leader",
            self.identity.name,
            self.leader_address,
        )

    def post(self, call: abc.Callable[[], None]) -> None:
        """Runs a function on the loop; may be called on any thread."""
        self._posted.append(call)
        if not self._is_woken:
            self._is_woken = True
            self.fire(wake(), self.channel)

    def propose(self, command, on_reply: OnReply) -> None:
        """Proposes a command; on the loop only.

        Args:
          command: Command of the state machine.
          on_reply: Called with the command's reply once it is applied, with
            `NotExecuted`, or with `OutcomeUncertain`.
        """
        data = self._machine.encode_command(command)
        self._proposals.append((data, on_reply))

    def read(self, on_ready: OnReply, at_once: bool = True) -> None:
        """Calls back when the state is linearizable; on the loop only.

        Args:
          on_ready: Called with Success(None) or `NotLeader`.
          at_once: False to wait for the next periodic heartbeat round.
        """
        self._reads.append((at_once, on_ready))

    def receive(
        self, address: str, messages: abc.Iterable[records.Message]
    ) -> None:
        """Handles messages of another instance; on the loop only."""
        for message in messages:
            if message.target == self.identity.incarnation:
                self._addresses[message.source] = address
                self._received.append(message)

    def let_join(self, member: records.Member) -> None:
        """Adds a learner, as the leader; on the loop only."""
        self._steps.append(lambda: self.raft.join(member))

    def leave(self) -> None:
        """Hands leadership over, then ends the loop."""
        if self.is_leader and len(self.raft.members) > 1:
            loguru.logger.info("handing leadership over")
            self._steps.append(self.raft.transfer)
            self._flush()
            deadline_ms = self._loop.clock.now_ms() + 1500.0
            self._leave_when_followed(deadline_ms)
        else:
            self._stop(0)

    def _leave_when_followed(self, deadline_ms):
        if not self.is_leader or self._loop.clock.now_ms() >= deadline_ms:
            # The last reply to the new leader leaves before the links close.
            self._loop.timers.after(50.0, lambda: self._stop(0))
        else:
            self._loop.timers.after(
                10.0, lambda: self._leave_when_followed(deadline_ms)
            )

    def _stop(self, exit_code):
        if not self._is_stopped:
            self._is_stopped = True
            self.exit_code = exit_code
            self._loop.stop()

    @core.handler("wake")
    def _on_wake(self, event):
        # Cleared first, so that a later post fires another event.
        self._is_woken = False
        while self._posted:
            _guarded(self._posted.popleft())
        self._flush()

    def _tick(self):
        self._steps.append(self.raft.tick)
        self._flush()

    def _flush(self) -> None:
        """Handles all gathered work, until callbacks add no more."""
        if self._is_stopped:
            return
        try:
            self._end_compaction()
            while (
                self._proposals or self._reads or self._received or self._steps
            ):
                self._handle_gathered()
        except disk_lib.DiskFault as fault:
            loguru.logger.error(fault.error.message)
            self._stop(fault.error.exit_code)
        except Exception:
            # The state may be inconsistent with the disk.
            loguru.logger.exception("unexpected exception in consensus")
            self._stop(errors.Error.exit_code)

    def _handle_gathered(self):
        raft = self.raft
        steps, self._steps = self._steps, []
        received, self._received = self._received, []
        outputs = [step() for step in steps]
        outputs.extend(raft.step(message) for message in received)
        proposals, self._proposals = self._proposals, []
        refused = []
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
                    self._pending[entry.index] = (entry.term, on_reply)
            else:
                refused = [on_reply for _, on_reply in proposals]
        reads, self._reads = self._reads, []
        for at_once in (False, True):
            chosen = [on_ready for now, on_ready in reads if now is at_once]
            if chosen:
                outputs.append(raft.read_index(self._number(chosen), at_once))
        started_ms = self._loop.clock.now_ms()
        self._store.write(outputs)
        sync_ms = self._loop.clock.now_ms() - started_ms
        if sync_ms > SLOW_SYNC_MS:
            loguru.logger.bind(duration_ms=int(sync_ms)).warning(
                "the disk is slow to sync; an election may follow"
            )
        # A new leader's bookkeeping is needed by its first callbacks; a
        # former leader first answers what is committed.
        if self.is_leader:
            self._follow_role()
        for output in outputs:
            self._act(output)
        for on_reply in refused:
            _guarded(on_reply, result.Failure(self.not_leader()))
        self._follow_role()
        self._compact_if_due()

    def _number(self, callbacks) -> list[int]:
        contexts = []
        for on_ready in callbacks:
            self._next_read += 1
            self._pending_reads[self._next_read] = on_ready
            contexts.append(self._next_read)
        return contexts

    def _act(self, output: records.Output) -> None:
        """Does what may only follow the sync."""
        for message in output.messages:
            self._send(message)
        if output.snapshot is not None:
            self._restore(output.snapshot)
            self.on_applied()
        for entry in output.committed:
            self._apply(entry)
        if output.committed:
            self.on_applied()
        # A confirmed index is never past the commit index, and all committed
        # entries up to here are applied.
        for read in output.reads:
            _guarded(
                self._pending_reads.pop(read.context), result.Success(None)
            )
        for context in output.failed_reads:
            on_ready = self._pending_reads.pop(context)
            _guarded(on_ready, result.Failure(self.not_leader()))

    def _apply(self, entry: records.Entry) -> None:
        self.applied_index = entry.index
        reply = None
        if entry.kind is records.Kind.COMMAND:
            self.state, reply = self._machine.apply(
                self.state, entry.index, entry.data
            )
        elif entry.kind is records.Kind.VOTERS:
            self._log_members(records.decode_members(entry.data))
        term, on_reply = self._pending.pop(entry.index, (0, None))
        if on_reply is None:
            return
        if term == entry.term:
            _guarded(on_reply, result.Success(reply))
        else:
            # Another leader's entry took the index, so ours is lost.
            _guarded(on_reply, result.Failure(self.not_leader()))

    def _log_members(self, members):
        loguru.logger.bind(
            voters=[m.incarnation for m in members if m.voter],
            learners=[m.incarnation for m in members if not m.voter],
        ).info("member set is committed")

    def _restore(self, snapshot: records.Snapshot) -> None:
        self.state = self._machine.empty
        if snapshot.data:
            self.state = self._machine.decode(snapshot.data)
        self.applied_index = snapshot.index

    def _follow_role(self) -> None:
        """Notices a change of role."""
        role = (self.raft.role, self.raft.term if self.is_leader else 0)
        if role == self._role:
            return
        self._role = role
        loguru.logger.bind(role=self.raft.role.value, term=self.raft.term).info(
            "role changed"
        )
        if not self.is_leader:
            pending, self._pending = self._pending, {}
            for _, on_reply in pending.values():
                error = control_errors.OutcomeUncertain(
                    "leadership was lost before the commit",
                    self.identity.name,
                )
                _guarded(on_reply, result.Failure(error))
        self.on_role()

    def _compact_if_due(self) -> None:
        index = self.applied_index
        covered = index - self._store.log.snapshot.index
        if covered < SNAPSHOT_ENTRIES or self._compaction is not None:
            return
        data = self._machine.encode(self.state)
        job = self._store.begin_compaction(index, data, self._executor)
        self._compaction = (index, data, job)
        job.add_done_callback(lambda _: self.post(lambda: None))

    def _end_compaction(self) -> None:
        if self._compaction is None or not self._compaction[2].done():
            return
        index, data, job = self._compaction
        self._compaction = None
        # Raises what the other thread met.
        job.result()
        # A snapshot of the leader may have come meanwhile.
        if index > self._store.log.snapshot.index:
            self.raft.compact(index, data)
            self._store.end_compaction(self._executor)
            loguru.logger.bind(index=index, size_bytes=len(data)).info(
                "saved a snapshot"
            )

    def _send(self, message: records.Message) -> None:
        member = self.raft.member(message.target)
        if member is not None:
            address = member.address
        else:
            address = self._addresses.get(message.target, "")
        if not address:
            return
        link = self._links.get(address)
        if link is None:
            link = self._connect(address, self.post)
            self._links[address] = link
        link.send(message)

    def _join_if_needed(self) -> None:
        if self.raft.needs_join() and not self._is_stopped:
            self._join()

    def _close_links(self) -> None:
        for link in self._links.values():
            link.close()


def _guarded(call: abc.Callable, *arguments) -> None:
    """Runs a caller's function; its fault must not end the process."""
    try:
        call(*arguments)
    except Exception:
        loguru.logger.exception("unexpected exception in a control call")
