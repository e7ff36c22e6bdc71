"""Losses that a member set survives, and the next change of the set.

All functions are pure. The leader passes what it knows of each member and
appends the member set that `next_members` returns.
"""

from collections import abc
import dataclasses

from auburnway.core import raft_records as records


@dataclasses.dataclass(frozen=True)
class MemberState:
    """What the leader knows of one member.

    Attributes:
      member: The member; the leader itself is one of them.
      silent_ms: Time since its last reply, in ms; 0 for the leader. A leader
        that was just elected counts from its election.
      is_caught_up: Whether it has all committed entries on disk.
    """

    member: records.Member
    silent_ms: float
    is_caught_up: bool


def survivable_losses(
    states: abc.Iterable[MemberState], silent_limit_ms: float
) -> int:
    """Returns how many further voters may be lost before no leader is elected.

    Args:
      states: State of each member.
      silent_limit_ms: Time without a reply after which a voter counts as lost.

    Returns:
      Number of voters; negative when a majority is already lost.
    """
    voters = [state for state in states if state.member.voter]
    responsive = [v for v in voters if v.silent_ms <= silent_limit_ms]
    return len(responsive) - (len(voters) // 2 + 1)
