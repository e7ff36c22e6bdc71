"""Records of the Raft protocol: entries, members, messages and outputs."""

import dataclasses
import enum

import msgpack

HEARTBEAT_MS = 100.0
ELECTION_MIN_MS = 500.0
ELECTION_MAX_MS = 1000.0


class Kind(enum.Enum):
    """What a log entry holds."""

    COMMAND = "command"
    # First entry of a new leader; has no data.
    NOOP = "noop"
    # Member set that is in force from this entry on.
    VOTERS = "voters"


class Role(enum.Enum):
    """Role of a node."""

    LEADER = "leader"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    # Not a voter in the latest member set in the node's log.
    LEARNER = "learner"


@dataclasses.dataclass(frozen=True)
class LogEntry:
    """One log entry.

    Attributes:
      index: Position in the log, from 1.
      term: Term of the leader that appended it.
      kind: What `data` holds.
      data: Command, or encoded member set; empty for `NOOP`.
    """

    index: int
    term: int
    kind: Kind
    data: bytes = b""


@dataclasses.dataclass(frozen=True)
class HardState:
    """State that is synced to disk before dependent messages are sent.

    Attributes:
      term: Latest term seen.
      vote: Incarnation that this node voted for in the term; empty for none.
    """

    term: int = 0
    vote: str = ""


@dataclasses.dataclass(frozen=True)
class Member:
    """One incarnation of a control instance.

    Attributes:
      name: Name of the instance.
      incarnation: Unique identifier; an instance that lost its disk gets a new
        one.
      address: `ip:port` of the instance's gRPC service.
      voter: False for a learner.
    """

    name: str
    incarnation: str
    address: str
    voter: bool = True


Members = tuple[Member, ...]


def encode_members(members: Members) -> bytes:
    """Returns the msgpack form of a member set."""
    return msgpack.packb([dataclasses.astuple(m) for m in members])


def decode_members(data: bytes) -> Members:
    """Decodes a member set from its msgpack form."""
    return tuple(Member(*fields) for fields in msgpack.unpackb(data))


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """Replicated state after the entry at `index`.

    Attributes:
      index: Index of the last entry that the snapshot covers; 0 at the start
        of the log.
      term: Term of that entry.
      members: Member set in force after that entry.
      data: Encoded state.
    """

    index: int = 0
    term: int = 0
    members: Members = ()
    data: bytes = b""


@dataclasses.dataclass(frozen=True)
class Message:
    """Base of all messages; source and target are incarnations."""

    source: str
    target: str
    term: int


@dataclasses.dataclass(frozen=True)
class VoteRequest(Message):
    """Asks for a vote, or with `pre_vote` whether one would be granted.

    Attributes:
      last_index: Index of the candidate's last entry.
      last_term: Term of the candidate's last entry.
      pre_vote: Whether this is a pre-vote; the term is then the term that the
        candidate would start.
      transfer: Whether the old leader requested this election. Nodes that
        still have contact with the old leader then vote too.
    """

    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool = False


@dataclasses.dataclass(frozen=True)
class VoteReply(Message):
    """Reply to a vote request.

    Its `term` is the requested term if the vote is granted, and otherwise the
    term of the replying node.

    Attributes:
      granted: Whether the vote is granted, or for a pre-vote would be granted.
      pre_vote: As in the request.
    """

    granted: bool
    pre_vote: bool


@dataclasses.dataclass(frozen=True)
class Append(Message):
    """Entries after (`previous_index`, `previous_term`), or a heartbeat.

    Attributes:
      previous_index: Index before the first entry.
      previous_term: Term at `previous_index`. The receiver rejects the message
        if its log has another term there.
      entries: Entries to add; empty for a heartbeat.
      commit: Commit index of the leader.
      round: Heartbeat round, which the reply echoes to confirm reads.
    """

    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit: int
    round: int


@dataclasses.dataclass(frozen=True)
class AppendReply(Message):
    """Reply to `Append` and `InstallSnapshot`.

    Attributes:
      accepted: Whether the log matched at the previous index.
      index: If accepted, the last index known to match; otherwise the last
        index at which the logs may match.
      round: Heartbeat round of the answered message.
    """

    accepted: bool
    index: int
    round: int


@dataclasses.dataclass(frozen=True)
class InstallSnapshot(Message):
    """Sends a snapshot to a node whose next entry has been compacted."""

    snapshot: Snapshot
    round: int


@dataclasses.dataclass(frozen=True)
class ElectNow(Message):
    """Asks the target to start an election at once (leadership transfer)."""


@dataclasses.dataclass(frozen=True)
class Read:
    """A confirmed read.

    Attributes:
      context: Identifier that was passed to `Raft.read_index`.
      index: Index of the entry that must be applied before the read is
        answered.
    """

    context: int
    index: int


@dataclasses.dataclass(frozen=True)
class Output:
    """Work that a step of the state machine leaves to its owner.

    The owner first writes and syncs `snapshot`, `hard_state` and `appended`.
    Only then does it send `messages`, apply `committed` and answer `reads`.

    Attributes:
      messages: Messages to send.
      hard_state: New hard state, or None.
      appended: Entries to add to the log. An entry replaces the stored entry
        with the same index and all entries after it.
      truncated_from: First index that was replaced, or None.
      snapshot: Received snapshot that replaces state and log, or None.
      committed: Entries that may now be applied, in order.
      reads: Confirmed reads.
      failed_reads: Contexts of reads that this node can no longer confirm.
      role: Role after the step.
    """

    messages: tuple[Message, ...] = ()
    hard_state: HardState | None = None
    appended: tuple[LogEntry, ...] = ()
    truncated_from: int | None = None
    snapshot: Snapshot | None = None
    committed: tuple[LogEntry, ...] = ()
    reads: tuple[Read, ...] = ()
    failed_reads: tuple[int, ...] = ()
    role: Role = Role.FOLLOWER


@dataclasses.dataclass(frozen=True)
class Config:
    """Identity and timeouts of one node.

    Attributes:
      incarnation: Incarnation of this node; identifies its data folder.
      heartbeat_ms: Period of the leader's heartbeats.
      election_min_ms: Minimum time without a leader before an election. A node
        that received a message from its leader within this time ignores other
        candidates.
      election_max_ms: Maximum time without a leader before an election.
      first_election_max_ms: Maximum time before an election while this process
        has had no contact with a leader, as after a start of all instances;
        None to use the regular times. A short time is safe, because a pre-vote
        does not disturb a leader that other nodes have contact with.
      remove_silent_ms: Time without a reply after which the leader removes
        learners, and pairs of voters that nobody replaces; None to never
        remove one. A removed node joins again when it returns.
      replace_silent_ms: Time without a reply after which the leader replaces a
        voter by a learner that is caught up; None to never replace one that is
        only silent.
      min_voters: Minimum number of voters after a removal.
    """

    incarnation: str
    heartbeat_ms: float = HEARTBEAT_MS
    election_min_ms: float = ELECTION_MIN_MS
    election_max_ms: float = ELECTION_MAX_MS
    first_election_max_ms: float | None = None
    remove_silent_ms: float | None = None
    replace_silent_ms: float | None = None
    min_voters: int = 3
