"""Tests the choice of the next member set, one rule at a time and in series."""

import dataclasses
import itertools

import hypothesis
from hypothesis import strategies
import pytest

from auburnway.core import member_set
from auburnway.core import raft_records as records

CONFIG = records.Config(
    "a",
    heartbeat_ms=75.0,
    election_min_ms=300.0,
    election_max_ms=600.0,
    remove_silent_ms=8_000.0,
    replace_silent_ms=2_000.0,
    min_voters=3,
)
LOST_MS = 60_000.0


def _state(name, *, voter=True, silent_ms=0.0, caught_up=True, life="first"):
    member = records.Member(name, f"{name}.{life}", name, voter)
    return member_set.MemberState(
        member, silent_ms, caught_up, is_leader=name == "a"
    )


def _voters(members):
    return [m.incarnation.removesuffix(".first") for m in members if m.voter]


def _settled(states, config=CONFIG):
    """Applies changes until there is none; returns all sets of states."""
    history = [states]
    while members := member_set.next_members(history[-1], config):
        by_incarnation = {s.member.incarnation: s for s in history[-1]}
        history.append(
            tuple(
                dataclasses.replace(by_incarnation[m.incarnation], member=m)
                for m in members
            )
        )
        assert len(history) < 30, "the member set never settles"
    return history


def _final_voters(states, config=CONFIG):
    members = [state.member for state in _settled(states, config)[-1]]
    return _voters(members)


def test_newcomer_replaces_a_silent_voter():
    # Guards against a lost voter that stays beside its replacement.
    states = (
        *map(_state, "ab"),
        _state("c", silent_ms=2_100.0),
        _state("d", voter=False),
    )
    assert _final_voters(states) == ["a", "b", "d"]


def test_newcomer_waits_while_all_voters_reply():
    # Guards against an even number of voters, which survives no more losses.
    states = (*map(_state, "abc"), _state("d", voter=False))
    assert member_set.next_members(states, CONFIG) is None


def test_briefly_silent_voter_is_not_replaced():
    # Guards against a replacement at each restart or short freeze.
    states = (
        *map(_state, "ab"),
        _state("c", silent_ms=1_900.0),
        _state("d", voter=False),
    )
    assert member_set.next_members(states, CONFIG) is None


@pytest.mark.parametrize(
    "newcomer",
    [
        _state("d", voter=False, caught_up=False),
        _state("d", voter=False, silent_ms=700.0),
    ],
)
def test_slow_newcomer_is_not_promoted(newcomer):
    # Guards against a voter that lacks entries, or whose disk stands still.
    states = (
        *map(_state, "ab"),
        _state("c", silent_ms=2_100.0),
        newcomer,
    )
    assert member_set.next_members(states, CONFIG) is None


def test_two_replacements_at_once_replace_two_voters():
    # Guards against a second newcomer that makes the number of voters grow
    # while two lost ones stay.
    states = (
        *map(_state, "abc"),
        *(_state(n, silent_ms=2_100.0) for n in "de"),
        *(_state(n, voter=False) for n in "fg"),
    )
    config = dataclasses.replace(CONFIG, min_voters=5)
    assert _final_voters(states, config) == ["a", "b", "c", "f", "g"]


def test_newcomers_wait_while_voters_may_be_lost():
    # Guards against seven voters of which two are lost, which survive one loss
    # less than five of which none is.
    states = (
        *map(_state, "abc"),
        *(_state(n, silent_ms=1_900.0) for n in "de"),
        *(_state(n, voter=False) for n in "fg"),
    )
    assert member_set.next_members(states, CONFIG) is None


def test_lost_disk_frees_its_place_at_once():
    # Guards against waiting for the silence of an incarnation whose address
    # already speaks as another.
    states = (
        *map(_state, "ab"),
        _state("c", silent_ms=700.0),
        _state("c", voter=False, life="second"),
    )
    assert _final_voters(states) == ["a", "b", "c.second"]


def test_two_processes_of_one_name_change_nothing():
    # Guards against a second process that takes the place of a live voter.
    states = (*map(_state, "abc"), _state("c", voter=False, life="second"))
    assert member_set.next_members(states, CONFIG) is None


def test_voter_that_returns_during_its_replacement_leaves_an_odd_number():
    # Guards against an even set left by a replacement whose cause has ended.
    assert _final_voters(tuple(map(_state, "abcd"))) == ["a", "b", "c"]


def test_leader_is_never_demoted():
    # Guards against a leader that removes itself.
    states = tuple(map(_state, "bcda"))
    assert _final_voters(states) == ["b", "c", "a"]


@pytest.mark.parametrize(
    "lost, voters", [("e", "abcde"), ("de", "abc"), ("cde", "abcde")]
)
def test_voters_that_nobody_replaces_leave_in_pairs(lost, voters):
    # Guards against a set that shrinks without surviving more losses, and
    # against one with fewer voters than the settings ask for.
    states = tuple(
        _state(n, silent_ms=LOST_MS if n in lost else 0.0) for n in "abcde"
    )
    if len(lost) == 3:
        # The leader has no majority then and steps down.
        assert member_set.survivable_losses(states, 600.0) < 0
    else:
        assert _final_voters(states) == list(voters)


def test_losses_that_are_survived():
    # Guards against a figure that hides that the next loss ends control.
    four = (*map(_state, "abc"), _state("d", silent_ms=LOST_MS))
    assert member_set.survivable_losses(four, 600.0) == 0
    assert member_set.survivable_losses(four[:3], 600.0) == 1


_SILENCES_MS = (0.0, 700.0, 2_100.0, LOST_MS)


@strategies.composite
def _any_states(draw):
    others = [
        _state(
            name,
            voter=draw(strategies.booleans()),
            silent_ms=draw(strategies.sampled_from(_SILENCES_MS)),
            caught_up=draw(strategies.booleans()),
        )
        for name in "bcdefgh"[: draw(strategies.integers(0, 7))]
    ]
    return (_state("a"), *others)


def _all_small_states():
    """Yields all states of four members."""
    kinds = tuple(itertools.product((True, False), _SILENCES_MS, (True, False)))
    for chosen in itertools.product(kinds, repeat=3):
        yield (
            _state("a"),
            *(
                _state(name, voter=voter, silent_ms=silent_ms, caught_up=ready)
                for name, (voter, silent_ms, ready) in zip(
                    "bcd", chosen, strict=True
                )
            ),
        )


def _check_history(history, config):
    """Checks what must hold of a series of changes without further losses."""
    for old, new in itertools.pairwise(history):
        old_voters = {s.member.incarnation for s in old if s.member.voter}
        new_voters = {s.member.incarnation for s in new if s.member.voter}
        assert len(old_voters ^ new_voters) <= 1
        promoted = new_voters - old_voters
        for state in new:
            if state.member.incarnation in promoted:
                assert state.is_caught_up
                assert state.silent_ms <= config.election_max_ms
        if len(new_voters) < len(old_voters):
            assert len(new_voters) >= config.min_voters
        assert any(s.is_leader and s.member.voter for s in new)
    losses = [
        member_set.survivable_losses(states, config.replace_silent_ms)
        for states in (history[0], history[-1])
    ]
    assert losses[0] <= losses[1]
    voters = [s for s in history[-1] if s.member.voter]
    is_undecided = any(s.silent_ms == 700.0 for s in voters)
    if len(voters) > config.min_voters and not is_undecided:
        assert len(voters) % 2 == 1, "an even set left standing"


def _check_states(states, config):
    if member_set.survivable_losses(states, config.election_max_ms) >= 0:
        _check_history(_settled(states, config), config)


def _check_all_small_states():
    for states in _all_small_states():
        _check_states(states, CONFIG)


@hypothesis.given(_any_states(), strategies.sampled_from((1, 3, 5)))
def test_no_series_of_changes_survives_fewer_losses(states, min_voters):
    # Guards against changes that alternate, that skip a step, and that leave
    # the voters worse off than before.
    _check_states(states, dataclasses.replace(CONFIG, min_voters=min_voters))


def test_all_sets_of_four_members():
    # Guards against the rare state that random examples miss.
    _check_all_small_states()


def _every_learner_promoted(states, config):
    del config
    for learner in states:
        if not learner.member.voter:
            members = (s.member for s in states if s is not learner)
            promoted = dataclasses.replace(learner.member, voter=True)
            return (*members, promoted)
    return None


def _every_silent_voter_removed(states, config):
    for voter in states:
        if voter.member.voter and voter.silent_ms > config.replace_silent_ms:
            return tuple(s.member for s in states if s is not voter)
    return None


@pytest.mark.parametrize(
    "rule, mutant",
    [
        ("_with_promoted_learner", _every_learner_promoted),
        ("_without_lost_voter", _every_silent_voter_removed),
        ("_with_demoted_voter", lambda states, config: None),
        ("_without_lost_voter", lambda states, config: None),
    ],
)
def test_wrong_rules_are_found(monkeypatch, rule, mutant):
    # Guards against checks that no member set can fail.
    monkeypatch.setattr(member_set, rule, mutant)
    with pytest.raises(AssertionError):
        _check_all_small_states()
