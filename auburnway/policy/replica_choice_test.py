"""Tests of replica choice on simulated backend servers."""

import collections
import heapq
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from auburnway.core import membership
from auburnway.kernel import registry
from auburnway.policy import baselines
from auburnway.policy import replica_choice


def row(name, data_center="here"):
    state = membership.State.SERVING
    return membership.Row(
        name, 1, 1, "app", "ip:1", data_center, state, 5, 40, (), ()
    )


ROWS = tuple(row(name) for name in "abc")


class TrafficSimulation:
    """Sends 100 sub-requests/s to three servers, of which `a` is faulty.

    `behaviour` is (mean latency in ms, ok) of server `a`, which always reports
    that it is idle. With a latency of None the server does not reply, and each
    sub-request is abandoned after 60 ms.
    """

    def __init__(
        self,
        behaviour=(10.0, True),
        chooser_class=replica_choice.Chooser,
        seed=7,
    ):
        self.rng = random.Random(seed)
        self.chooser = chooser_class(self.rng, "here")
        self.behaviour = behaviour
        self.now_ms = 0.0
        self.pending_replies = []

    def run(self, duration_ms):
        """Returns the share of sub-requests that `a` received."""
        counts = collections.Counter()
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += self.rng.expovariate(0.1)
            while (
                self.pending_replies
                and self.pending_replies[0][0] <= self.now_ms
            ):
                self.complete(*heapq.heappop(self.pending_replies))
            name = self.chooser.choose(ROWS, (), self.now_ms).name
            counts[name] += 1
            self.chooser.on_send(name, self.now_ms)
            server_behaviour = self.behaviour if name == "a" else (10.0, True)
            wait_ms = (
                self.rng.expovariate(1.0 / server_behaviour[0])
                if server_behaviour[0]
                else 60.0
            )
            pending_reply = (
                self.now_ms + wait_ms,
                name,
                wait_ms,
                server_behaviour,
            )
            heapq.heappush(self.pending_replies, pending_reply)
        return counts["a"] / sum(counts.values())

    def complete(self, at_ms, name, wait_ms, server_behaviour):
        if server_behaviour[0] is None:
            self.chooser.on_cancel(name, at_ms)
        else:
            busy = 0 if name == "a" else 2
            self.chooser.on_reply(
                name, wait_ms, server_behaviour[1], at_ms, busy
            )


@pytest.mark.parametrize(
    "behaviour",
    [(100.0, True), (0.2, False), (None, True)],
    ids=["slow", "fails-fast", "silent"],
)
def test_a_bad_server_that_reports_idle_loses_traffic(behaviour):
    # Guards against use of a wrong reported load, errors that count as fast
    # replies, and a server that has no samples because it never replies.
    share = TrafficSimulation(behaviour).run(30_000)
    baseline = TrafficSimulation(behaviour, baselines.RoundRobin).run(30_000)
    print(f"{behaviour}: share {share:.3f}, round robin {baseline:.3f}")
    assert share < 0.02


@pytest.mark.parametrize("behaviour", [(200.0, True), (0.2, False)])
def test_a_server_that_recovered_gets_traffic_again(behaviour):
    # Guards against an old estimate that keeps traffic away for good.
    simulation = TrafficSimulation(behaviour)
    simulation.run(10_000)
    simulation.behaviour = (10.0, True)
    shares = [simulation.run(8_000), simulation.run(20_000)]
    print(f"recovery from {behaviour}: shares {shares}")
    assert shares[1] > 0.25


def test_a_cold_server_ramps_up_in_five_seconds():
    # Guards against a cold server that gets its full share at once, and
    # against a server that never gets its full share.
    shares = collections.Counter()
    for seed in range(20):
        simulation = TrafficSimulation(seed=seed)
        simulation.run(5_000)
        simulation.chooser.on_added("a", simulation.now_ms)
        for second in range(8):
            shares[second] += simulation.run(1_000) / 20
    print("ramp by second:", *(f"{share:.2f}" for share in shares.values()))
    # At most half of a fair share in the first second.
    assert shares[0] < 0.17
    assert shares[0] < shares[2] < shares[4] < shares[6] + 0.03
    assert min(shares[5], shares[6], shares[7]) > 0.28


def test_a_server_that_refused_is_avoided_briefly():
    # Guards against sub-requests to a server that has just refused one.
    chooser = replica_choice.Chooser(random.Random(1), "here")
    chooser.on_send("a", 0.0)
    chooser.on_rejected("a", 1.0)
    for now_ms, names in ((50.0, set("bc")), (200.0, set("abc"))):
        attempts = range(50)
        assert {
            chooser.choose(ROWS, (), now_ms).name for _ in attempts
        } == names
    # The server is chosen when all others are excluded.
    assert chooser.choose(ROWS, {"b", "c"}, 50.0).name == "a"


def test_data_centre_and_reported_load_break_ties():
    # Guards against a needless choice of another data centre, and against
    # ignoring the reported load when all else is equal.
    chooser = replica_choice.Chooser(random.Random(1), "here")
    far = (row("a", "far"), row("b"))
    assert {chooser.choose(far, (), 0.0).name for _ in range(9)} == {"b"}
    for name, busy in (("a", 1), ("b", 4), ("c", 1)):
        chooser.on_send(name, 0.0)
        chooser.on_reply(name, 10.0, True, 10.0, busy)
    assert {chooser.choose(far, (), 10.0).name for _ in range(9)} == {"b"}
    near = ROWS[1:]
    assert {chooser.choose(near, (), 10.0).name for _ in range(9)} == {"c"}


@hypothesis.given(
    st.lists(st.tuples(st.sampled_from("sfeaxgn"), st.sampled_from("abc"))),
    st.frozensets(st.sampled_from("abc")),
    st.sampled_from(["two_choices", "round_robin"]),
)
def test_counts_and_exclusion_are_correct_in_any_order(steps, exclude, name):
    # Guards against in-flight counts that drift, and against a second attempt
    # at a server that is excluded.
    chooser = registry.get("replica_choice", name)(random.Random(1), "here")
    in_flight = collections.Counter()
    for now_ms, (step, server) in enumerate(steps):
        if step == "s":
            chooser.on_send(server, now_ms)
            in_flight[server] += 1
        elif step == "n":
            chooser.on_added(server, now_ms)
        elif step == "g":
            chooser.remove_server(server)
            in_flight[server] = 0
        else:
            if step in "fe":
                chooser.on_reply(server, 1.0, step == "f", now_ms, None)
            elif step == "a":
                chooser.on_cancel(server, now_ms)
            else:
                chooser.on_rejected(server, now_ms)
            in_flight[server] = max(0, in_flight[server] - 1)
        assert chooser.in_flight(server) == in_flight[server]
        chosen = chooser.choose(ROWS, exclude, now_ms)
        assert (chosen is None) == (len(exclude) == len(ROWS))
        assert chosen is None or chosen.name not in exclude
    # Late replies do not add a server that was removed.
    for server in "abc":
        chooser.remove_server(server)
        chooser.on_reply(server, 1.0, False, 100.0, None)
        assert chooser.latency_ms(server) <= replica_choice.DEFAULT_LATENCY_MS
