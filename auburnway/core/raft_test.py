"""Tests Raft in selected scenarios; `raft_model_test` uses random ones."""

import random

import pytest

from auburnway.core import clock as clock_lib
from auburnway.core import raft as raft_lib
from auburnway.core import raft_log
from auburnway.core import raft_model_test as model
from auburnway.core import raft_records as records


def _elected_cluster():
    cluster = model.Cluster()
    cluster.run(3000.0)
    return cluster, cluster.leader()


@pytest.mark.parametrize("disturb", [0.05, 0.1])
def test_faults_in_quick_succession_violate_no_guarantee(disturb):
    # Guards against errors that need several faults in quick succession, which
    # the rule-based model seldom generates.
    for seed in range(75):
        rng = random.Random(seed)
        drop = rng.choice((0.0, 0.0, 0.1))
        duplicate, delay = rng.choice((0.0, 0.2)), rng.choice((0.0, 0.5))
        cluster = model.Cluster()
        cluster.run(15_000.0, rng, drop, duplicate, delay, disturb)
        cluster.recover()


def test_second_loss_right_after_a_repair():
    # Guards against counting a replacement as a voter before it has every
    # committed entry.
    cluster, leader = _elected_cluster()
    first, second = (n for n in model.NAMES if n != leader.identity.name)
    data = cluster.propose(leader.identity.name)
    cluster.run(200.0)
    cluster.lose_disk(first)
    replacement = cluster.instances[first].identity.incarnation
    for _ in range(1000):
        cluster.run(model.STEP_MS)
        if cluster.instances[first].raft.is_voter(replacement):
            break
    else:
        pytest.fail("the lost disk was not replaced")
    cluster.lose_disk(second)
    cluster.run(10_000.0)
    for instance in cluster.instances.values():
        assert data in [row[1] for row in instance.applied]
        assert instance.raft.is_voter(instance.identity.incarnation)


def test_leader_without_majority_steps_down_and_fails_reads():
    # Guards against answers from a leader that is partitioned and gets no
    # error.
    cluster, leader = _elected_cluster()
    name = leader.identity.name
    cluster.blocked_links = {(n, name) for n in model.NAMES}
    cluster.read(name, at_once=True)
    cluster.run(2000.0)
    assert leader.raft.leader_state is None
    assert cluster.leader().identity.name != name


def test_returning_node_does_not_depose_the_leader():
    # Guards against a flapping link that causes an election on each reconnect.
    cluster, leader = _elected_cluster()
    term = leader.raft.term
    name = next(n for n in model.NAMES if n != leader.identity.name)
    for _ in range(5):
        cluster.blocked_links = {(n, name) for n in model.NAMES}
        cluster.run(3000.0)
        cluster.blocked_links = set()
        cluster.run(500.0)
    assert cluster.leader() is leader
    assert leader.raft.term == term


def test_cut_between_leader_and_one_follower_changes_nothing():
    # Guards against an election in which a follower without contact to the
    # leader gets the vote of a follower that has contact.
    cluster, leader = _elected_cluster()
    term, name = leader.raft.term, leader.identity.name
    other = next(n for n in model.NAMES if n != name)
    cluster.blocked_links = {(name, other), (other, name)}
    cluster.run(10_000.0)
    assert (cluster.leader(), leader.raft.term) == (leader, term)


def test_entry_of_an_older_term_is_not_committed_by_replicas_alone():
    # Guards against committing an entry that a later leader may replace.
    members = tuple(records.Member(n, n, n) for n in model.NAMES)
    entry = records.LogEntry(1, 1, records.Kind.COMMAND, b"x")
    clock = clock_lib.ManualClock()
    raft = raft_lib.Raft(
        records.Config("a"),
        records.HardState(3),
        raft_log.Log(records.Snapshot(members=members), (entry,)),
        clock,
        random.Random(0),
    )
    clock.advance(1000.0)
    raft.tick()
    raft.step(records.VoteReply("b", "a", 4, True, True))
    raft.step(records.VoteReply("b", "a", 4, True, False))
    output = raft.step(records.AppendReply("b", "a", 4, True, 1, 1))
    assert (output.role, output.committed) == (records.Role.LEADER, ())
    output = raft.step(records.AppendReply("b", "a", 4, True, 2, 1))
    assert [e.index for e in output.committed] == [1, 2]


def test_vote_survives_a_restart():
    # Guards against two leaders in one term after a quick restart.
    cluster = model.Cluster()
    instance, granted = cluster.instances["a"], []
    for source in ("b.first", "c.first"):
        request = records.VoteRequest(source, "a.first", 7, 9, 6, False)
        output = instance.run_step(lambda raft, r=request: raft.step(r))
        granted.append(output.messages[0].granted)
        instance.crash()
        instance.start()
    assert granted == [True, False]


def test_learner_whose_addition_was_replaced_joins_again():
    # Guards against an instance that never joins because its log holds an
    # uncommitted entry of a deposed leader which adds it as a member.
    cluster, old_leader = _elected_cluster()
    cluster.frozen = {old_leader.identity.name}
    cluster.run(3000.0)
    new_leader = cluster.leader()
    lost = {
        old_leader.identity.name,
        new_leader.identity.name,
    }.symmetric_difference(model.NAMES).pop()
    cluster.lose_disk(lost)
    cluster.messages.clear()
    cluster.frozen.clear()
    cluster.isolate(new_leader.identity.name)
    # The old leader handles the join before its first tick, so it has not yet
    # stepped down.
    cluster.join()
    for _ in range(6):
        batch, cluster.messages = cluster.messages, []
        for message in batch:
            cluster.deliver(message)
    incarnation = cluster.instances[lost].identity.incarnation
    assert cluster.instances[lost].raft.member(incarnation) is not None
    assert new_leader.raft.member(incarnation) is None
    cluster.recover()


def test_disk_loss_of_a_live_name_is_not_repaired_twice():
    # Guards against a second process with the same name and an empty data
    # folder that replaces a voter which still replies.
    cluster, leader = _elected_cluster()
    name = next(n for n in model.NAMES if n != leader.identity.name)
    duplicate_instance = model.Instance(cluster, name, f"{name}.twin", ())
    cluster.instances["twin"] = duplicate_instance
    cluster.run(5000.0)
    members = leader.raft.members
    assert [m.incarnation for m in members if not m.voter] == [f"{name}.twin"]
    assert sum(m.voter for m in members) == len(model.NAMES)


FAST_REMOVAL = {
    "first_election_max_ms": 200.0,
    "remove_silent_ms": 5_000.0,
    "replace_silent_ms": 2_000.0,
}


@pytest.mark.parametrize("disturb", [0.05, 0.1])
def test_faults_with_voter_removal_violate_no_guarantee(disturb):
    # Guards against lost entries when silent voters are removed and join again
    # while other faults occur.
    for seed in range(75):
        rng = random.Random(seed)
        drop = rng.choice((0.0, 0.0, 0.1))
        duplicate, delay = rng.choice((0.0, 0.2)), rng.choice((0.0, 0.5))
        cluster = model.Cluster(**FAST_REMOVAL)
        cluster.add("d")
        cluster.run(15_000.0, rng, drop, duplicate, delay, disturb)


def test_replaced_machine_under_another_name():
    # Guards against a lost voter that stays in the member set: one further
    # loss would leave no majority.
    cluster = model.Cluster(**FAST_REMOVAL)
    cluster.run(1000.0)
    data = cluster.propose(cluster.leader().identity.name)
    lost = next(n for n in model.NAMES if n != cluster.leader().identity.name)
    cluster.instances[lost].crash()
    cluster.add("d")
    cluster.run(12_000.0)
    voters = {m.name for m in cluster.leader().raft.members if m.voter}
    assert voters == {"d", *model.NAMES} - {lost}
    second = next(n for n in voters - {"d"})
    cluster.instances[second].crash()
    cluster.run(3_000.0)
    assert data in [row[1] for row in cluster.leader().applied]


def test_removed_voter_joins_again():
    # Guards against an instance that is removed during a long partition and
    # never learns of the removal: it must replace the next lost voter.
    cluster = model.Cluster(**FAST_REMOVAL)
    cluster.add("d")
    cluster.run(3_000.0)
    name = next(n for n in model.NAMES if n != cluster.leader().identity.name)
    others = {*model.NAMES, "d"} - {name}
    cluster.blocked_links = {(name, other) for other in others}
    cluster.blocked_links |= {(other, name) for other in others}
    cluster.run(8_000.0)
    assert name not in {m.name for m in cluster.leader().raft.members}
    cluster.blocked_links = set()
    cluster.run(5_000.0)
    incarnation = f"{name}.first"
    assert cluster.leader().raft.member(incarnation) is not None
    assert not cluster.leader().raft.is_voter(incarnation)
    cluster.lose_for_good(
        next(n for n in others if n != cluster.leader().identity.name)
    )
    cluster.run(5_000.0)
    assert cluster.leader().raft.is_voter(incarnation)


def test_no_voter_is_removed_without_a_successor():
    # Two voters tolerate no loss. Three voters of which one is silent tolerate
    # no loss either, but the silent one may return.
    cluster = model.Cluster(**FAST_REMOVAL)
    cluster.run(1000.0)
    name = next(n for n in model.NAMES if n != cluster.leader().identity.name)
    cluster.instances[name].crash()
    cluster.run(20_000.0)
    assert len(cluster.leader().raft.members) == 3


def test_removal_leaves_enough_voters_for_all_tolerated_losses():
    # Guards against fewer voters than tolerate two losses while two instances
    # are down: if two others then lose their disks, no majority is left.
    cluster = model.Cluster(**FAST_REMOVAL, min_voters=5)
    for name in "def":
        cluster.add(name)
    cluster.run(3_000.0)
    data = cluster.propose(cluster.leader().identity.name)
    cluster.run(500.0)
    others = [
        n for n in cluster.instances if n != cluster.leader().identity.name
    ]
    for name in others[:2]:
        cluster.instances[name].crash()
    cluster.run(20_000.0)
    assert sum(m.voter for m in cluster.leader().raft.members) == 5
    for name in others[:2]:
        cluster.instances[name].start()
    cluster.run(1_000.0)
    for name in others[2:4]:
        cluster.lose_disk(name)
    cluster.run(10_000.0)
    assert data in [row[1] for row in cluster.leader().applied]
    members = cluster.leader().raft.members
    assert sum(m.voter for m in members) == 5
    assert {m.incarnation for m in members} == {
        instance.identity.incarnation for instance in cluster.instances.values()
    }


def test_first_election_ends_within_500_ms():
    # Guards against a long time without service after a start of all
    # processes, which ends only with the first election.
    cluster = model.Cluster(**FAST_REMOVAL)
    cluster.run(500.0)
    assert cluster.leader() is not None


# Timeouts of the control instances of the pass-through mode.
CONTROL_TIMEOUTS = {
    "heartbeat_ms": 75.0,
    "election_min_ms": 300.0,
    "election_max_ms": 600.0,
    "first_election_max_ms": 200.0,
    "remove_silent_ms": 8_000.0,
    "replace_silent_ms": 2_000.0,
}
# Time after its start at which a new or returned instance no longer counts
# as lost.
CATCH_UP_MS = 4_000.0


@pytest.mark.parametrize("leader_restarts", [False, True])
def test_lost_disk_after_a_replacement_leaves_a_majority(leader_restarts):
    # Guards against a lost voter that stays in the member set beside its
    # replacement, so that the next loss ends control for good.
    cluster = model.Cluster(**CONTROL_TIMEOUTS)
    cluster.run(1_000.0)
    lost = next(n for n in model.NAMES if n != cluster.leader().identity.name)
    cluster.lose_for_good(lost)
    cluster.run(1_000.0)
    cluster.add("d")
    cluster.run(CATCH_UP_MS)
    if leader_restarts:
        leader = cluster.leader()
        leader.crash()
        cluster.run(500.0)
        leader.start()
        cluster.run(CATCH_UP_MS)
    data = cluster.propose(cluster.leader().identity.name)
    cluster.run(200.0)
    leader_name = cluster.leader().identity.name
    second = next(n for n in cluster.instances if n != leader_name)
    cluster.lose_disk(second)
    cluster.run(CATCH_UP_MS)
    assert cluster.leader() is not None
    assert data in [row[1] for row in cluster.leader().applied]
    assert cluster.propose(cluster.leader().identity.name) is not None
