"""Tests what is logged of voters that are lost."""

import loguru

from auburnway.control import voter_health
from auburnway.core import raft_model_test as model


def _checked(cluster, health, duration_ms):
    """Runs the cluster and returns the logged (message, extra) pairs."""
    lines = []
    sink = loguru.logger.add(
        lambda line: lines.append(
            (line.record["message"], line.record["extra"])
        )
    )
    try:
        for _ in range(int(duration_ms / model.STEP_MS)):
            cluster.run(model.STEP_MS)
            health.check()
    finally:
        loguru.logger.remove(sink)
    return lines


def test_lost_voters_are_logged_with_their_silence():
    # Guards against an operator who cannot see that the next loss ends control.
    cluster = model.Cluster()
    cluster.run(1_000.0)
    leader = cluster.leader()
    health = voter_health.VoterHealth(leader.raft, cluster.clock)
    other = next(n for n in model.NAMES if n != leader.identity.name)
    cluster.instances[other].crash()
    message, extra = _checked(cluster, health, 3_000.0)[-1]
    assert message == "number of survivable losses changed"
    assert extra["survivable_losses"] == 0
    assert extra["silent_ms"][f"{other}.first"] > 500
    assert extra["silent_ms"][leader.identity.incarnation] == 0


def test_elections_that_nobody_wins_are_logged_once():
    # Guards against an incident in which two causes cannot be told apart: lost
    # voters, and candidates that refuse each other.
    cluster = model.Cluster()
    cluster.run(1_000.0)
    survivor = cluster.leader()
    health = voter_health.VoterHealth(survivor.raft, cluster.clock)
    for name in model.NAMES:
        if name != survivor.identity.name:
            cluster.instances[name].crash()
    lines = _checked(cluster, health, 10_000.0)
    warnings = [
        extra for text, extra in lines if text == "no leader is elected"
    ]
    assert len(warnings) == 1
    assert len(warnings[0]["voters"]) == 3
    assert list(warnings[0]["votes"]) == [survivor.identity.incarnation]
