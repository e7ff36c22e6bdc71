"""Tests of admission: order, floors, fairness, refusal and consistency."""

import collections
import math

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from auburnway.core import clock
from auburnway.core import configuration
from auburnway.policy import admission
from auburnway.policy import flood_driver_test as driver

RANKS = driver.RANKS


@pytest.mark.parametrize("permits", [1, 2, 2.14, 3])
def test_floods(permits):
    # Guards against bulk queries that delay urgent ones, a rank that gets less
    # than its floor share, and answers after the deadline, at few permits.
    low_load, bulk, urgent = (
        driver.one_entry(permits, load).measure(60_000)
        for load in (driver.LOW_LOAD, driver.BULK_FLOOD, driver.URGENT_FLOOD)
    )
    for name, fleet in (("calm", low_load), ("bulk", bulk), ("urgent", urgent)):
        print(f"{permits} permits, {name}: {fleet}")
    assert bulk.figures("urgent")[0] >= 0.99
    assert bulk.figures("urgent")[2] <= 1.5 * low_load.figures("urgent")[2]
    for fleet in (bulk, urgent):
        assert fleet.figures("normal")[1] >= 0.18
        assert fleet.figures("bulk")[1] >= 0.09
        assert fleet.max_in_flight <= math.ceil(permits)
    in_time_ms = sum(urgent.good.values()) * driver.SERVICE_MS
    assert in_time_ms >= 0.9 * urgent.slot_ms


def test_a_rank_without_floor_is_not_starved():
    # Guards against a rank without a floor that gets no permits at all.
    fleet = driver.one_entry(2, driver.URGENT_FLOOD)
    ranks = [configuration.Rank(r.name, r.order, 0.0, 100.0) for r in RANKS]
    fleet.entries[0].reconfigure(ranks, {})
    fleet.measure(5_000).measure(60_000)
    assert fleet.figures("bulk")[1] >= 0.9 * admission.MIN_FLOOR_SHARE


@pytest.mark.parametrize("load", [driver.BULK_FLOOD, driver.URGENT_FLOOD])
def test_latency_is_normal_2_s_after_an_overload(load):
    # Guards against queues that persist after an overload.
    fleet = driver.one_entry(3, load).measure(30_000)
    fleet.loads = [driver.LOW_LOAD]
    after = fleet.measure(2_000).measure(5_000).figures("urgent")[2]
    low_load = driver.one_entry(3, driver.LOW_LOAD).measure(60_000)
    assert after <= 1.2 * low_load.figures("urgent")[2]


class AdmissionHarness:
    """Admission at one entry; `run` finishes one query each 10 ms."""

    def __init__(self, permits, shares=None):
        self.clock = clock.ManualClock()
        self.admission_control = admission.Admission(RANKS, shares or {}, 0.0)
        self.admission_control.set_limit(permits)
        self.running = collections.deque()

    def offer(self, rank, count, caller="a"):
        for number in range(count):
            name = f"{rank}-{caller}-{number}"
            answer = self.admission_control.offer(
                name, rank, caller, math.inf, self.clock.now_ms()
            )
            if answer == admission.ADMITTED:
                self.running.append(name)
        return answer

    def run(self, count):
        """Finishes queries until a number of waiting queries has started.

        Returns:
          The rank and caller of the first started query, as a list, and the
          number of started queries by rank and caller.
        """
        order = []
        while self.running and len(order) < count:
            self.clock.advance(10.0)
            self.admission_control.finish(
                self.running.popleft(), self.clock.now_ms()
            )
            started, _ = self.admission_control.poll(self.clock.now_ms())
            order += [name.rpartition("-")[0] for name in started]
            self.running.extend(started)
        return order[:1], collections.Counter(order)


def test_idle_rank_regains_its_floor_share_at_once():
    # Guards against a rank that waits while another rank uses its floor share,
    # and against credit for the time in which the rank was idle: it must get
    # the next free permit, and afterwards no more than its floor share.
    harness = AdmissionHarness(2)
    harness.offer("urgent", 201)
    harness.run(50)
    harness.offer("normal", 50)
    first, counts = harness.run(50)
    assert first == ["normal-a"]
    assert 9 <= counts["normal-a"] <= 11


def test_use_above_the_floor_delays_a_rank_only_briefly():
    # Guards against a rank that is starved by many urgent queries because it
    # used idle permits before: it must get its floor share again after 1 s.
    harness = AdmissionHarness(2)
    for _ in range(10):
        harness.offer("bulk", 201)
        harness.run(201)
    harness.offer("bulk", 100)
    harness.offer("urgent", 201)
    harness.run(100)
    assert 5 <= harness.run(60)[1]["bulk-a"] <= 7


def test_callers_of_a_rank_are_served_by_share():
    # Guards against a caller that uses all permits of a rank by sending more
    # queries than other callers.
    harness = AdmissionHarness(1, {"small": 1.0, "large": 3.0})
    harness.offer("bulk", 100, "small")
    harness.offer("bulk", 60, "large")
    assert 29 <= harness.run(40)[1]["bulk-large"] <= 31


def test_caller_below_its_share_displaces_a_query_of_a_full_queue():
    # Guards against a caller whose waiting queries block all other callers.
    harness = AdmissionHarness(1)
    assert harness.offer("bulk", 202).reason == "queue_limit"
    assert harness.offer("bulk", 1, "b") == admission.QUEUED
    assert harness.admission_control.poll(0.0) == (
        (),
        (("bulk-a-200", "displaced"),),
    )


def test_a_query_that_would_wait_too_long_is_refused_early():
    # Guards against queueing a query that cannot be answered in time, and
    # against refusing a query that can.
    harness = AdmissionHarness(1)
    harness.offer("urgent", 20)
    harness.run(10)
    # One query runs and nine queries wait; each takes 10 ms.
    late = harness.admission_control.offer("late", "urgent", "a", 160.0, 100.0)
    assert (late.reason, late.retry_after_ms) == ("expected_wait", 100.0)
    in_time = harness.admission_control.offer(
        "in-time", "urgent", "a", 280.0, 100.0
    )
    assert in_time == admission.QUEUED


def test_waiting_query_that_would_miss_its_deadline_is_dropped():
    # Guards against a permit that is spent on an answer after the deadline.
    harness = AdmissionHarness(1)
    harness.offer("urgent", 1)
    harness.admission_control.offer("waiting", "urgent", "a", 100.0, 0.0)
    harness.admission_control.finish("urgent-a-0", 80.0)
    # The mean service time is 80 ms, so the remaining 20 ms are too short.
    assert harness.admission_control.poll(80.0) == (
        (),
        (("waiting", "deadline"),),
    )


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Any order of calls leaves the state of the admission consistent."""

    # Guards against a query that is lost, started twice, or started above
    # the limit, also when ranks are withdrawn and added again.
    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.admission_control = admission.Admission(RANKS, {}, 0.0)
        self.permits = 1.0
        self.waiting, self.running = set(), set()
        self.count = 0

    @stateful.rule(
        rank=st.sampled_from([r.name for r in RANKS] + ["unknown"]),
        caller=st.sampled_from("abc"),
        time_left_ms=st.sampled_from([0.0, 50.0, 3000.0]),
        number=st.integers(1, 4),
    )
    def offer(self, rank, caller, time_left_ms, number):
        for _ in range(number):
            self.count += 1
            name = f"q{self.count}"
            answer = self.admission_control.offer(
                name, rank, caller, self.now_ms + time_left_ms, self.now_ms
            )
            if answer == admission.ADMITTED:
                self.running.add(name)
                assert len(self.running) <= math.ceil(self.permits)
            elif answer == admission.QUEUED:
                self.waiting.add(name)

    @stateful.rule(step_ms=st.sampled_from([0.0, 20.0, 500.0]))
    def poll(self, step_ms):
        self.now_ms += step_ms
        started, dropped = self.admission_control.poll(self.now_ms)
        removed = [*started, *(name for name, _ in dropped)]
        assert (
            len(removed) == len(set(removed)) and set(removed) <= self.waiting
        )
        self.waiting -= set(removed)
        self.running |= set(started)
        assert not started or len(self.running) <= math.ceil(self.permits)
        # No permit may be free while a query waits.
        assert not self.waiting or len(self.running) >= int(self.permits)

    @stateful.precondition(lambda self: self.waiting or self.running)
    @stateful.rule(data=st.data(), is_cancelled=st.booleans())
    def end(self, data, is_cancelled):
        endable = self.running | (self.waiting if is_cancelled else set())
        if endable:
            name = data.draw(st.sampled_from(sorted(endable)))
            self.waiting.discard(name)
            self.running.discard(name)
            if is_cancelled:
                self.admission_control.cancel(name)
            self.admission_control.finish(name, self.now_ms)

    @stateful.rule(permits=st.sampled_from([0.0, 1.0, 1.5, 2.5, 4.0]))
    def set_limit(self, permits):
        self.permits = max(1.0, permits)
        self.admission_control.set_limit(permits)

    @stateful.rule(count=st.integers(1, 3), limit=st.integers(1, 5))
    def reconfigure(self, count, limit):
        ranks = [
            configuration.Rank(r.name, r.order, r.floor_share, 100.0, limit)
            for r in RANKS[:count]
        ]
        self.admission_control.reconfigure(ranks, {"a": 2.0})

    @stateful.invariant()
    def counts_agree(self):
        demand = self.admission_control.demand().values()
        displaced = len(self.admission_control._displaced)
        assert sum(w for w, _ in demand) + displaced == len(self.waiting)
        assert sum(r for _, r in demand) == len(self.running)


TestMachine = AdmissionMachine.TestCase
TestMachine.settings = hypothesis.settings(max_examples=300)
