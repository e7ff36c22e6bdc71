"""Records of the Raft rules: log entries, members, messages and outputs."""

import dataclasses
import enum

import msgpack

HEARTBEAT_MS = 100.0
ELECTION_MIN_MS = 500.0
ELECTION_MAX_MS = 1000.0


class Kind(enum.Enum):
    """What a log entry holds."""

    COMMAND = "command"
    # Written by a new leader; carries nothing.
    NOOP = "noop"
    # The whole member set from this entry on.
    VOTERS = "voters"


class Role(enum.Enum):
    """Role of a node."""

    LEADER = "leader"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    # Not a voter in the latest member set that the node knows.
    LEARNER = "learner"


@dataclasses.dataclass(frozen=True)
class Entry:
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
    """What must be on disk before any message that depends on it is sent.

    Attributes:
      term: Latest term seen.
      vote: Incarnation that got the vote in this term; empty for none.
    """

    term: int = 0
    vote: str = ""


@dataclasses.dataclass(frozen=True)
class Member:
    """One life of a control instance.

    Attributes:
      name: Name of the instance.
      incarnation: Identifies one life of its disk; unique.
      address: `ip:port` of its gRPC service.
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
    """Returns the member set of its msgpack form."""
    return tuple(Member(*fields) for fields in msgpack.unpackb(data))


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """Replicated state after the entry at `index`.

    Attributes:
      index: Last entry that is part of it; 0 for the start of the log.
      term: Term of that entry.
      members: Member set in force after that entry.
      data: State as the caller encoded it.
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
      pre_vote: The term is the one that the candidate would start.
      transfer: The old leader asked for this election, so a node that still
        hears the old leader takes part.
    """

    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool = False


@dataclasses.dataclass(frozen=True)
class VoteReply(Message):
    """Answer to a vote request.

    Its `term` is the requested one when granted, and otherwise the term of the
    node that refuses.

    Attributes:
      granted: Whether the vote is, or for a pre-vote would be, given.
      pre_vote: As in the request.
    """

    granted: bool
    pre_vote: bool


@dataclasses.dataclass(frozen=True)
class Append(Message):
    """Entries after (`previous_index`, `previous_term`), or a heartbeat.

    Attributes:
      previous_index: Index before the first entry.
      previous_term: Term there; the receiver refuses when its own differs.
      entries: Entries to add; empty for a heartbeat.
      commit: Commit index of the leader.
      round: Heartbeat round, echoed in the reply; confirms reads.
    """

    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


@dataclasses.dataclass(frozen=True)
class AppendReply(Message):
    """Answer to `Append` and `InstallSnapshot`.

    Attributes:
      accepted: Whether the log matched at the previous index.
      index: Last index known to match when accepted; otherwise the index
        from which the leader should look back.
      round: Heartbeat round that is answered.
    """

    accepted: bool
    index: int
    round: int


@dataclasses.dataclass(frozen=True)
class InstallSnapshot(Message):
    """Snapshot for a node whose next entry was compacted away."""

    snapshot: Snapshot
    round: int


@dataclasses.dataclass(frozen=True)
class ElectNow(Message):
    """Asks the target to start an election at once (leadership transfer)."""


@dataclasses.dataclass(frozen=True)
class Read:
    """A confirmed read.

    Attributes:
      context: Number that was passed to `Raft.read_index`.
      index: The read may be answered once this entry is applied.
    """

    context: int
    index: int


@dataclasses.dataclass(frozen=True)
class Output:
    """What a step asks of the caller, in this order.

    First `snapshot`, `hard_state` and `appended` are written and synced; only
    then are `messages` sent, `committed` entries applied and `reads` answered.

    Attributes:
      messages: Messages to send.
      hard_state: New hard state, or None.
      appended: Entries to add to the log. An entry replaces the stored one
        with its index, and all after it.
      truncated_from: First index that was replaced, or None.
      snapshot: Received snapshot that replaces state and log, or None.
      committed: Entries that may now be applied, in order.
      reads: Reads that are confirmed.
      failed_reads: Contexts of reads that this node cannot confirm any more.
      role: Role after the step.
    """

    messages: tuple[Message, ...] = ()
    hard_state: HardState | None = None
    appended: tuple[Entry, ...] = ()
    truncated_from: int | None = None
    snapshot: Snapshot | None = None
    committed: tuple[Entry, ...] = ()
    reads: tuple[Read, ...] = ()
    failed_reads: tuple[int, ...] = ()
    role: Role = Role.FOLLOWER


@dataclasses.dataclass(frozen=True)
class Config:
    """Identity and periods of one node.

    Attributes:
      incarnation: Identity of this life of the data folder.
      heartbeat_ms: Period of the leader's heartbeats.
      election_min_ms: Least time without a leader before an election. A node
        that heard its leader within it ignores other candidates.
      election_max_ms: Greatest such time.
      first_election_max_ms: Greatest time before an election while this
        process has not heard a leader yet, as after a start of all; None for
        the usual times. A pre-vote disturbs no leader that others hear.
      remove_silent_ms: The leader removes a voter that it has not heard for
        this long; None never does. The removed node joins again when it is
        back.
      least_voters: Voters that must be left, all of them heard.
    """

    incarnation: str
    heartbeat_ms: float = HEARTBEAT_MS
    election_min_ms: float = ELECTION_MIN_MS
    election_max_ms: float = ELECTION_MAX_MS
    first_election_max_ms: float | None = None
    remove_silent_ms: float | None = None
    least_voters: int = 3
