"""Tests of replica choice on simulated backend servers."""

import collections
import heapq
import random

import hypothesis
from hypothesis import strategies as st

from auburnway.core import clock
from auburnway.core import membership
from auburnway.kernel import registry
from auburnway.policy import baselines
from auburnway.policy import replica_choice

SLOTS = 5


def row(name, data_center="here"):
    state = membership.State.SERVING
    return membership.Row(
        name, 1, 1, "app", "ip:1", data_center, state, SLOTS, 40, (), ()
    )


ROWS = tuple(row(name) for name in "abc")


class Driver:
    """Sends 100 sub-requests a second to three servers.

    `behaviour(name, now_ms)` returns (latency in ms, ok); a latency of None
    is a server that does not reply, which is given up after 60 ms.
    """

    def __init__(self, chooser, behaviour, rng, report=0):
        self.clock = clock.ManualClock()
        self.chooser = chooser
        self.behaviour = behaviour
        self.rng = rng
        self.report = report
        self.pending = []

    def run(self, duration_ms):
        """Returns the share of sub-requests that each server received."""
        counts = collections.Counter()
        end_ms = self.clock.now_ms() + duration_ms
        while True:
            at_ms = self.clock.now_ms() + self.rng.expovariate(0.1)
            while self.pending and self.pending[0][0] <= min(at_ms, end_ms):
                self._complete(*heapq.heappop(self.pending))
            if at_ms > end_ms:
                total = sum(counts.values())
                return {name: counts[name] / total for name in "abc"}
            self.clock.advance(at_ms - self.clock.now_ms())
            name = self.chooser.choose(ROWS, frozenset(), at_ms).name
            counts[name] += 1
            self.chooser.started(name, at_ms)
            latency_ms, ok = self.behaviour(name, at_ms)
            wait_ms = 60.0 if latency_ms is None else latency_ms
            heapq.heappush(
                self.pending,
                (at_ms + wait_ms, name, latency_ms, ok),
            )

    def _complete(self, at_ms, name, latency_ms, ok):
        if latency_ms is None:
            self.chooser.abandoned(name, at_ms)
        else:
            busy = self.report if name == "a" else 2
            self.chooser.finished(name, latency_ms, ok, at_ms, busy)


def drive(behaviour, make=replica_choice.Chooser, **options):
    rng = random.Random(7)
    return Driver(make(rng, "here"), behaviour, rng, **options)


def exponential(rng, mean_ms):
    return rng.expovariate(1.0 / mean_ms)


def test_a_slow_server_that_reports_idle_loses_traffic():
    # Guards against trust in reported load.
    rng = random.Random(1)

    def behaviour(name, now_ms):
        return exponential(rng, 100.0 if name == "a" else 10.0), True

    share = drive(behaviour).run(30_000)["a"]
    baseline = drive(behaviour, baselines.RoundRobin).run(30_000)["a"]
    print(f"slow, reports idle: share {share:.3f}, round robin {baseline:.3f}")
    assert share < 0.05


def test_a_server_that_fails_fast_attracts_nothing():
    # Guards against errors that look like quick replies.
    rng = random.Random(1)

    def behaviour(name, now_ms):
        if name == "a":
            return 0.2, False
        return exponential(rng, 10.0), True

    share = drive(behaviour).run(30_000)["a"]
    print(f"fails in 0.2 ms: share {share:.3f}")
    assert share < 0.01


def test_a_silent_server_is_avoided_after_given_up_requests():
    # Guards against a server that is preferred since it never reports a
    # latency.
    rng = random.Random(1)

    def behaviour(name, now_ms):
        return (None if name == "a" else exponential(rng, 10.0)), True

    share = drive(behaviour).run(30_000)["a"]
    print(f"never replies: share {share:.3f}")
    assert share < 0.05


def test_a_server_that_recovered_gets_traffic_again():
    # Guards against an old estimate that keeps a server out for good.
    rng = random.Random(1)

    def behaviour(name, now_ms):
        slow = name == "a" and now_ms < 10_000
        return exponential(rng, 200.0 if slow else 10.0), True

    driver = drive(behaviour)
    before = driver.run(10_000)["a"]
    driver.run(8_000)
    after = driver.run(20_000)["a"]
    print(f"recovery: share {before:.3f} while slow, {after:.3f} after")
    assert before < 0.05
    assert after > 0.25


def test_a_cold_server_ramps_up_in_five_seconds():
    # Guards against a cold server that gets its whole share at once, and
    # against one that never gets it.
    rng = random.Random(1)

    def behaviour(name, now_ms):
        return exponential(rng, 10.0), True

    driver = drive(behaviour)
    driver.run(5_000)
    driver.chooser.added("a", driver.clock.now_ms())
    shares = [driver.run(1_000)["a"] for _ in range(5)]
    full = driver.run(10_000)["a"]
    print("ramp by second:", *(f"{share:.2f}" for share in shares))
    # At most half of a fair share in the first second.
    assert shares[0] < 0.17
    assert full > 0.28


def test_a_server_that_refused_is_avoided_briefly():
    # Guards against a full server that is asked again at once.
    chooser = replica_choice.Chooser(random.Random(1), "here")
    chooser.started("a", 0.0)
    chooser.shed("a", 1.0)
    assert chooser.in_flight("a") == 0
    soon = {chooser.choose(ROWS, (), 50.0).name for _ in range(50)}
    later = {chooser.choose(ROWS, (), 200.0).name for _ in range(50)}
    assert soon == {"b", "c"}
    assert later == {"a", "b", "c"}
    # It is still better than none.
    assert chooser.choose(ROWS, {"b", "c"}, 50.0).name == "a"


def test_a_near_data_center_is_preferred_when_times_are_alike():
    # Guards against needless distance.
    chooser = replica_choice.Chooser(random.Random(1), "here")
    rows = (row("a", "far"), row("b"))
    for _ in range(2):
        assert {chooser.choose(rows, (), 0.0).name for _ in range(20)} == {"b"}
        for name, latency_ms in (("a", 10.0), ("b", 10.4)):
            chooser.finished(name, latency_ms, True, 0.0, 0)


def test_reported_load_breaks_a_tie():
    # Guards against a report that is not used even when all else is equal.
    chooser = replica_choice.Chooser(random.Random(1), "here")
    for name, busy in (("a", 4), ("b", 1), ("c", 4)):
        chooser.finished(name, 10.0, True, 0.0, busy)
    assert {chooser.choose(ROWS[:2], (), 0.0).name for _ in range(9)} == {"b"}


@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from(
                ["start", "ok", "error", "give_up", "shed", "add", "forget"]
            ),
            st.sampled_from("abc"),
        ),
        max_size=60,
    ),
    st.frozensets(st.sampled_from("abc")),
    st.sampled_from(registry.names("replica_choice")),
)
def test_books_and_exclusion_hold_in_any_order(steps, exclude, name):
    # Guards against in-flight counts that drift, and against a second attempt
    # on a server that was tried already.
    chooser = registry.get("replica_choice", name)(random.Random(1), "here")
    in_flight = collections.Counter()
    for now_ms, (step, server) in enumerate(steps):
        if step == "start":
            chooser.started(server, now_ms)
            in_flight[server] += 1
        elif step == "add":
            chooser.added(server, now_ms)
        elif step == "forget":
            chooser.forget(server)
            in_flight[server] = 0
        else:
            if step == "give_up":
                chooser.abandoned(server, now_ms)
            elif step == "shed":
                chooser.shed(server, now_ms)
            else:
                chooser.finished(server, 1.0, step == "ok", now_ms, None)
            in_flight[server] = max(0, in_flight[server] - 1)
        assert chooser.in_flight(server) == in_flight[server]
        chosen = chooser.choose(ROWS, exclude, now_ms)
        assert (chosen is None) == (len(exclude) == len(ROWS))
        assert chosen is None or chosen.name not in exclude
