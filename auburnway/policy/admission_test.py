"""Tests of admission: order, floors, fairness, refusal and bookkeeping."""

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
FLOORS = {rank.name: rank.floor_share for rank in RANKS}
PERMITS = [1, 2, 2.14, 3]


def flooded(permits, load, seed=1):
    fleet = driver.one_entry(permits, seed=seed)
    fleet.run(5_000)
    fleet.load = lambda now_ms: load
    fleet.run(5_000)
    fleet.reset()
    fleet.run(60_000)
    return fleet


@pytest.mark.parametrize("permits", PERMITS)
def test_flood_of_least_urgent_rank_leaves_urgent_work_whole(permits):
    # Guards against bulk work that delays urgent work, and against a flooding
    # rank that gets nothing.
    calm = flooded(permits, driver.CALM)
    flood = flooded(permits, driver.BULK_FLOOD)
    print(
        f"permits={permits} urgent good={flood.goodput('urgent'):.4f}"
        f" p99={flood.p99('urgent'):.0f} (calm {calm.p99('urgent'):.0f}) ms"
        f" normal good={flood.goodput('normal'):.4f}"
        f" bulk share={flood.share('bulk'):.3f}"
    )
    assert flood.goodput("urgent") >= 0.99
    assert flood.p99("urgent") <= 1.5 * calm.p99("urgent")
    assert flood.goodput("normal") >= 0.9
    assert flood.share("bulk") >= 0.9 * FLOORS["bulk"]
    assert max(flood.max_running) <= math.ceil(permits)


@pytest.mark.parametrize("permits", PERMITS)
def test_flood_of_most_urgent_rank_keeps_the_floors(permits):
    # Guards against lower ranks that are starved, also at one permit.
    fleet = flooded(permits, driver.URGENT_FLOOD)
    shares = {name: fleet.share(name) for name in FLOORS}
    print(f"permits={permits}", {n: round(s, 3) for n, s in shares.items()})
    assert shares["normal"] >= 0.9 * FLOORS["normal"]
    assert shares["bulk"] >= 0.9 * FLOORS["bulk"]
    # Most answers are in time: work that cannot be is not started.
    assert sum(fleet.good.values()) * driver.SERVICE_MS >= (
        0.9 * 60_000 * permits
    )


def test_a_rank_without_floor_is_not_starved():
    # Guards against a release note without floors that stops a rank.
    ranks = [configuration.Rank(r.name, r.order, 0.0, 100.0) for r in RANKS]
    fleet = flooded(2, driver.URGENT_FLOOD)
    fleet.entries[0].reconfigure(ranks, {})
    fleet.run(5_000)
    fleet.reset()
    fleet.run(60_000)
    assert fleet.share("bulk") >= 0.9 * admission.MIN_FLOOR_SHARE


@pytest.mark.parametrize("load", [driver.BULK_FLOOD, driver.URGENT_FLOOD])
def test_latency_is_calm_soon_after_a_flood(load):
    # Guards against queues that outlast the flood: 2 s after it, the 99th
    # percentile is again that of the time before.
    fleet = flooded(3, load)
    fleet.load = lambda now_ms: driver.CALM
    fleet.run(2_000)
    fleet.reset()
    fleet.run(5_000)
    calm = flooded(3, driver.CALM, seed=2)
    assert fleet.p99("urgent") <= 1.2 * calm.p99("urgent")


def make(permits=1, shares=None, ranks=RANKS):
    entry = admission.Admission(ranks, shares or {}, 0.0)
    entry.set_limit(permits)
    return entry


def run_all(entry, time, service_ms, count):
    """Runs queries one after another; returns the order of starts."""
    order = []
    running = collections.deque(entry._in_flight)
    while running and len(order) < count:
        time.advance(service_ms)
        entry.finish(running.popleft(), time.now_ms())
        started, _ = entry.poll(time.now_ms())
        order += started
        running.extend(started)
    return order


def offer_many(entry, rank, count, now_ms):
    for number in range(count):
        entry.offer(f"{rank}{number}", rank, "a", math.inf, now_ms)


def test_a_lent_share_is_taken_back_at_once():
    # Guards against a rank that waits although its floor was lent, and against
    # one that is repaid the idle time: it gets the next permit that frees,
    # and no more than its floor from then on.
    time = clock.ManualClock()
    entry = make(2)
    offer_many(entry, "urgent", 201, 0.0)
    run_all(entry, time, 10.0, 50)
    offer_many(entry, "normal", 50, time.now_ms())
    order = run_all(entry, time, 10.0, 50)
    assert order[0] == "normal0"
    assert 9 <= sum("normal" in name for name in order) <= 11


def test_use_above_the_floor_is_not_held_against_a_rank_for_long():
    # Guards against a rank that is shut out by a flood of urgent work because
    # it used idle permits before: it has its floor again after 1 s.
    time = clock.ManualClock()
    entry = make(2)
    for _ in range(10):
        offer_many(entry, "bulk", 201, time.now_ms())
        run_all(entry, time, 10.0, 201)
    offer_many(entry, "bulk", 100, time.now_ms())
    offer_many(entry, "urgent", 201, time.now_ms())
    run_all(entry, time, 10.0, 100)
    order = run_all(entry, time, 10.0, 60)
    assert 5 <= sum("bulk" in name for name in order) <= 7


def test_callers_of_a_rank_are_served_by_share():
    # Guards against a caller that takes the whole rank by sending more.
    time = clock.ManualClock()
    entry = make(1, {"small": 1.0, "large": 3.0})
    for number in range(100):
        entry.offer(f"small{number}", "bulk", "small", math.inf, 0.0)
    for number in range(60):
        entry.offer(f"large{number}", "bulk", "large", math.inf, 0.0)
    order = run_all(entry, time, 10.0, 40)
    assert 29 <= sum("large" in name for name in order) <= 31


def test_a_full_queue_makes_room_for_a_caller_below_its_share():
    # Guards against a caller whose waiting work keeps all others out.
    entry = make(1)
    for number in range(201):
        entry.offer(f"a{number}", "bulk", "a", math.inf, 0.0)
    more = entry.offer("a-more", "bulk", "a", math.inf, 0.0)
    assert more.reason == "queue_limit"
    assert entry.offer("b0", "bulk", "b", math.inf, 0.0) == admission.QUEUED
    assert entry.poll(0.0) == ((), (("a200", "displaced"),))


def test_a_query_that_would_wait_too_long_is_refused_early():
    # Guards against queries that wait although they cannot be in time, and
    # against refusing those that can.
    time = clock.ManualClock()
    entry = make(1)
    offer_many(entry, "urgent", 20, 0.0)
    run_all(entry, time, 50.0, 10)
    now_ms = time.now_ms()
    late = entry.offer("late", "urgent", "a", now_ms + 300.0, now_ms)
    assert late.reason == "expected_wait"
    assert 300.0 <= late.retry_after_ms <= 2000.0
    in_time = entry.offer("in-time", "urgent", "a", now_ms + 900.0, now_ms)
    assert in_time == admission.QUEUED


def test_waiting_work_past_its_deadline_is_dropped():
    # Guards against a permit spent on an answer that comes too late.
    entry = make(1)
    entry.offer("running", "urgent", "a", math.inf, 0.0)
    entry.offer("waiting", "urgent", "a", 100.0, 0.0)
    entry.finish("running", 80.0)
    # The mean running time is 80 ms, so 20 ms are not enough.
    assert entry.poll(80.0) == ((), (("waiting", "deadline"),))


def test_a_withdrawn_rank_is_drained():
    # Guards against queries lost by a release note.
    entry = make(1)
    for name in ("one", "two"):
        entry.offer(name, "bulk", "a", math.inf, 0.0)
    entry.reconfigure(RANKS[:2], {})
    entry.reconfigure(RANKS[:2], {})
    assert entry.demand()["bulk"] == (1, 1)
    refused = entry.offer("three", "bulk", "a", math.inf, 0.0)
    assert refused.reason == "unknown_rank"
    entry.finish("one", 10.0)
    assert entry.poll(10.0) == (("two",), ())


class Machine(stateful.RuleBasedStateMachine):
    """Any order of calls keeps the books of the entry right."""

    # Guards against a query that is lost, started twice, or started above
    # the limit.
    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.entry = make(1)
        self.permits = 1.0
        self.waiting = set()
        self.running = set()
        self.count = 0

    @stateful.rule(
        rank=st.sampled_from([r.name for r in RANKS] + ["unknown"]),
        caller=st.sampled_from("abc"),
        left_ms=st.sampled_from([0.0, 50.0, 3000.0]),
        number=st.integers(1, 4),
    )
    def offer(self, rank, caller, left_ms, number):
        for _ in range(number):
            self.count += 1
            name = f"q{self.count}"
            answer = self.entry.offer(
                name, rank, caller, self.now_ms + left_ms, self.now_ms
            )
            if answer == admission.ADMITTED:
                self.running.add(name)
                assert len(self.running) <= math.ceil(self.permits)
            elif answer == admission.QUEUED:
                self.waiting.add(name)

    @stateful.rule(step_ms=st.sampled_from([0.0, 20.0, 500.0]))
    def poll(self, step_ms):
        self.now_ms += step_ms
        started, dropped = self.entry.poll(self.now_ms)
        gone = [*started, *(name for name, _ in dropped)]
        assert len(gone) == len(set(gone)) and set(gone) <= self.waiting
        self.waiting -= set(gone)
        self.running |= set(started)
        assert not started or len(self.running) <= math.ceil(self.permits)
        # A permit is not left free while a query waits.
        assert not self.waiting or len(self.running) >= int(self.permits)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=st.data())
    def finish(self, data):
        name = data.draw(st.sampled_from(sorted(self.running)))
        self.running.remove(name)
        self.entry.finish(name, self.now_ms)
        self.entry.finish(name, self.now_ms)

    @stateful.precondition(lambda self: self.waiting or self.running)
    @stateful.rule(data=st.data())
    def cancel(self, data):
        every = sorted(self.waiting | self.running)
        name = data.draw(st.sampled_from(every))
        self.waiting.discard(name)
        self.running.discard(name)
        self.entry.cancel(name)

    @stateful.rule(permits=st.sampled_from([0.0, 1.0, 1.5, 2.5, 4.0]))
    def set_limit(self, permits):
        self.permits = max(1.0, permits)
        self.entry.set_limit(permits)

    @stateful.rule(count=st.integers(1, 3), limit=st.integers(1, 5))
    def reconfigure(self, count, limit):
        ranks = [
            configuration.Rank(r.name, r.order, r.floor_share, 100.0, limit)
            for r in RANKS[:count]
        ]
        self.entry.reconfigure(ranks, {"a": 2.0})

    @stateful.invariant()
    def counts_agree(self):
        demand = self.entry.demand().values()
        displaced = len(self.entry._displaced)
        assert sum(w for w, _ in demand) + displaced == len(self.waiting)
        assert sum(r for _, r in demand) == len(self.running)


TestMachine = Machine.TestCase
TestMachine.settings = hypothesis.settings(max_examples=300)
