"""Tests which sequences of losses the control instances survive."""

import random

import pytest

from auburnway.core import member_set
from auburnway.core import raft_model_test as model
from auburnway.core import raft_test

# Time between the loss of a machine and the start of another one in its place.
REPLACEMENT_MS = 1_000.0
RESTART_MS = 700.0


def _cluster(count):
    """Returns a cluster of 3, 5 or 6 instances, and the losses it tolerates."""
    tolerated_losses = 1 if count == 3 else 2
    cluster = model.Cluster(
        **raft_test.CONTROL_TIMEOUTS, min_voters=2 * tolerated_losses + 1
    )
    for name in "def"[: count - 3]:
        cluster.add(name)
    cluster.run(5_000.0)
    return cluster, tolerated_losses


def _lose(cluster, name, kind, number):
    """Plays one loss until the instance or its successor runs."""
    match kind:
        case "replaced":
            cluster.lose_for_good(name)
            cluster.run(REPLACEMENT_MS)
            cluster.add(f"n{number}")
        case "disk":
            cluster.lose_disk(name)
            cluster.instances[name].raft = None
            cluster.run(RESTART_MS)
            cluster.instances[name].start()
        case "killed":
            cluster.instances[name].crash()
            cluster.run(RESTART_MS)
            cluster.instances[name].start()
        case "frozen":
            cluster.frozen.add(name)
            cluster.run(3_000.0)
            cluster.resume(random.Random(number))


def _check_survived(cluster, data):
    leader = cluster.leader()
    assert leader is not None, "no leader is elected any more"
    assert data in [row[1] for row in leader.applied], "an entry was lost"
    voters = [m.incarnation for m in leader.raft.members if m.voter]
    assert len(voters) % 2 == 1, "an even set left standing"


def _play_losses(count, seed):
    rng = random.Random(seed)
    cluster, _ = _cluster(count)
    for number in range(6):
        data = cluster.propose(cluster.leader().identity.name)
        assert data is not None
        cluster.run(200.0)
        name = rng.choice(sorted(cluster.instances))
        kind = rng.choice(("replaced", "disk", "killed", "frozen"))
        _lose(cluster, name, kind, number)
        cluster.run(raft_test.CATCH_UP_MS)
        _check_survived(cluster, data)


@pytest.mark.parametrize("count", [3, 5, 6])
def test_losses_one_after_another_are_survived(count):
    # Guards against a loss, tolerated by itself, that ends control because the
    # set of voters had not recovered from the one before.
    for seed in range(40):
        _play_losses(count, seed)


@pytest.mark.parametrize("count", [5, 6])
def test_two_losses_at_once_and_two_more_are_survived(count):
    # Guards against replacements that get in each other's way.
    for seed in range(20):
        rng = random.Random(seed)
        cluster, tolerated_losses = _cluster(count)
        for number in (0, 2):
            data = cluster.propose(cluster.leader().identity.name)
            cluster.run(200.0)
            names = rng.sample(sorted(cluster.instances), tolerated_losses)
            for name in names:
                cluster.lose_for_good(name)
            cluster.run(REPLACEMENT_MS)
            for i in range(tolerated_losses):
                cluster.add(f"n{number + i}")
            cluster.run(raft_test.CATCH_UP_MS)
            _check_survived(cluster, data)


@pytest.mark.parametrize("count", [3, 5, 6])
def test_loss_of_all_processes_during_a_replacement(count):
    # Guards against a replacement that is half done when all processes end.
    for seed in range(20):
        rng = random.Random(seed)
        cluster, _ = _cluster(count)
        data = cluster.propose(cluster.leader().identity.name)
        cluster.run(200.0)
        cluster.lose_for_good(rng.choice(sorted(cluster.instances)))
        cluster.run(REPLACEMENT_MS)
        cluster.add("n0")
        cluster.run(rng.uniform(0.0, 4_000.0))
        for instance in cluster.instances.values():
            instance.crash()
        cluster.run(RESTART_MS)
        for instance in cluster.instances.values():
            instance.start()
        cluster.run(raft_test.CATCH_UP_MS)
        _check_survived(cluster, data)


@pytest.mark.parametrize(
    "rule", ["_without_lost_voter", "_with_promoted_learner"]
)
def test_missing_rules_lose_control(monkeypatch, rule):
    # Guards against losses that would be survived without any replacement.
    monkeypatch.setattr(member_set, rule, lambda states, config: None)
    with pytest.raises(AssertionError):
        for seed in range(40):
            _play_losses(3, seed)
