"""Losses that a member set survives, and the next change of the set.

All functions are pure. The leader passes what it knows of each member and
appends the member set that `next_members` returns. Each change adds, removes,
promotes or demotes a single member, so two successive sets always have
majorities with a common member.

An even number of voters survives no more losses than the odd number below it.
So a learner becomes a voter only to replace a lost voter, together with a
second learner, or while there are fewer voters than the settings ask for.
Otherwise it stays a learner, ready to replace the next lost voter.
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
      is_leader: Whether it is the leader.
    """

    member: records.Member
    silent_ms: float
    is_caught_up: bool
    is_leader: bool = False


States = tuple[MemberState, ...]


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
    return majority_margin(len(voters), len(responsive))


def majority_margin(voter_count: int, responsive_count: int) -> int:
    """Returns how many responsive voters there are beyond a majority."""
    return responsive_count - (voter_count // 2 + 1)


def next_members(
    states: States, config: records.Config
) -> records.Members | None:
    """Returns the member set after the next change, or None for no change.

    Changes that leave the voters able to survive more losses come first.

    Args:
      states: State of each member, in the order of the member set.
      config: Times after which a silent member counts as lost, and the least
        number of voters.
    """
    rules = (
        _without_replaced_voter,
        _without_lost_voter,
        _with_promoted_learner,
        _with_demoted_voter,
        _without_lost_learner,
    )
    for rule in rules:
        members = rule(states, config)
        if members is not None:
            return members
    return None


def _voters(states: States) -> list[MemberState]:
    return [state for state in states if state.member.voter]


def _learners(states: States) -> list[MemberState]:
    return [state for state in states if not state.member.voter]


def _silent_longer(
    states: abc.Iterable[MemberState], limit_ms: float | None
) -> list[MemberState]:
    """Returns the members that are silent for longer, the longest first."""
    if limit_ms is None:
        return []
    silent = [state for state in states if state.silent_ms > limit_ms]
    return sorted(silent, key=lambda state: -state.silent_ms)


def _without(states: States, removed: MemberState) -> records.Members:
    return tuple(s.member for s in states if s is not removed)


def _moved_to_end(
    states: States, changed: MemberState, is_voter: bool
) -> records.Members:
    member = dataclasses.replace(changed.member, voter=is_voter)
    return (*_without(states, changed), member)


def _without_replaced_voter(
    states: States, config: records.Config
) -> records.Members | None:
    """Removes a voter whose instance runs again under a new incarnation.

    The old incarnation has lost its disk and cannot return. While it still
    replies, two processes use the same name, and the voter stays.
    """
    names = {s.member.name for s in _learners(states) if s.is_caught_up}
    for voter in _silent_longer(_voters(states), config.election_max_ms):
        if voter.member.name in names:
            return _without(states, voter)
    return None


def _without_lost_voter(
    states: States, config: records.Config
) -> records.Members | None:
    """Removes a silent voter if the others then survive more losses.

    An even number of voters survives one more loss without the silent one. An
    odd number does so only after two removals, so both voters must be lost,
    for a longer time because nobody has replaced them.
    """
    voters = _voters(states)
    if len(voters) % 2 == 0:
        lost = _silent_longer(voters, config.replace_silent_ms)
        remaining_voters = len(voters) - 1
    else:
        lost = _silent_longer(voters, config.remove_silent_ms)[1:]
        remaining_voters = len(voters) - 2
    if lost and remaining_voters >= config.min_voters:
        return _without(states, lost[0])
    return None


def _with_promoted_learner(
    states: States, config: records.Config
) -> records.Members | None:
    voters = _voters(states)
    voter_names = {voter.member.name for voter in voters}
    ready = [
        learner
        for learner in _learners(states)
        if learner.is_caught_up
        and learner.silent_ms <= config.election_max_ms
        and learner.member.name not in voter_names
    ]
    # While a voter may be lost, learners wait to replace it: a larger set that
    # holds lost voters survives fewer losses.
    all_reply = not _silent_longer(voters, config.election_max_ms)
    is_wanted = (
        len(voters) % 2 == 0
        or len(voters) < config.min_voters
        or (len(ready) >= 2 and all_reply)
        or _silent_longer(voters, config.replace_silent_ms)
    )
    if ready and is_wanted:
        return _moved_to_end(states, ready[0], is_voter=True)
    return None


def _with_demoted_voter(
    states: States, config: records.Config
) -> records.Members | None:
    """Demotes the newest of an even number of voters that all reply."""
    voters = _voters(states)
    if (
        len(voters) % 2 == 1
        or len(voters) <= config.min_voters
        or _silent_longer(voters, config.election_max_ms)
    ):
        return None
    newest = [voter for voter in voters if not voter.is_leader][-1]
    return _moved_to_end(states, newest, is_voter=False)


def _without_lost_learner(
    states: States, config: records.Config
) -> records.Members | None:
    lost = _silent_longer(_learners(states), config.remove_silent_ms)
    return _without(states, lost[0]) if lost else None
