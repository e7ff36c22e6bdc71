"""Tests the Raft state machine against random faults of disks and network."""

from concurrent import futures
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import msgpack

from auburnway.control import store as store_lib
from auburnway.core import clock as clock_lib
from auburnway.core import raft as raft_lib
from auburnway.core import raft_records as records
from auburnway.storage import disk as disk_lib

NAMES = ("a", "b", "c")
STEP_MS = 20.0


class InlineExecutor(futures.Executor):
    """Executor that runs submitted work in the calling thread."""

    def submit(self, work, *arguments):
        future = futures.Future()
        try:
            future.set_result(work(*arguments))
        except disk_lib.DiskFault as fault:
            future.set_exception(fault)
        return future


class Instance:
    """A control instance: its disk, and its Raft node while it runs."""

    def __init__(self, cluster, name, incarnation, members):
        self.cluster = cluster
        self.identity = store_lib.Identity(name, incarnation)
        self.member = records.Member(name, incarnation, name)
        self.disk = disk_lib.FakeDisk()
        self.raft = None
        self.expected_state = None
        store_lib.create(self.disk, self.identity, members)
        self.start()

    def start(self):
        self.store = store_lib.Store(self.disk)
        self.raft = raft_lib.Raft(
            records.Config(self.identity.incarnation, **self.cluster.options),
            self.store.hard_state,
            self.store.log,
            self.cluster.clock,
            random.Random(self.identity.incarnation),
        )
        assert self.expected_state in (None, self.durable_state()), (
            "state is lost after a restart"
        )
        self.applied = []
        self.restore(self.store.log.snapshot)

    def crash(self):
        if self.raft is not None:
            # The results of all handled steps are on disk, so a restart must
            # restore them.
            self.expected_state = self.durable_state()
        self.raft = None
        self.disk.crash()

    def durable_state(self):
        log = self.raft.log
        return self.raft.hard_state, log.last_index, log.last_term

    def compact(self):
        if (
            self.raft is None
            or self.raft.commit <= self.raft.log.snapshot.index
        ):
            return
        index, data = self.raft.commit, msgpack.packb(self.applied)
        try:
            self.store.begin_compaction(index, data, InlineExecutor()).result()
            self.raft.compact(index, data)
            self.store.end_compaction(InlineExecutor())
        except disk_lib.DiskFault:
            self.crash()

    def restore(self, snapshot):
        if snapshot.data:
            rows = msgpack.unpackb(snapshot.data, use_list=False)
            self.applied = list(rows)
        for index, data in self.applied:
            assert self.cluster.committed[index][1] == data

    def run_step(self, step):
        """Runs a step and processes its output in the order of `Output`."""
        if self.raft is None:
            return None
        output = step(self.raft)
        try:
            self.store.write([output])
        except disk_lib.DiskFault:
            self.crash()
            self.expected_state = None
            return None
        self.cluster.check_output(self, output)
        if output.snapshot is not None:
            self.restore(output.snapshot)
        for entry in output.committed:
            self.applied.append((entry.index, entry.data))
        return output


class Cluster:
    """Three instances, their messages and the guarantees to check."""

    def __init__(self, **options):
        # Fields of `raft_records.Config`.
        self.options = options
        self.clock = clock_lib.ManualClock()
        initial_members = tuple(
            records.Member(n, store_lib.first_incarnation(n), n) for n in NAMES
        )
        self.committed = {}
        self.leaders = {}
        self.read_floors = {}
        self.messages = []
        self.votes = {}
        self.blocked_links = set()
        # Names of the instances whose process is suspended.
        self.frozen = set()
        self.reads = 0
        self.proposals = 0
        self.instances = {
            m.name: Instance(self, m.name, m.incarnation, initial_members)
            for m in initial_members
        }

    def check_output(self, instance, output):
        """Checks the guarantees that a step may violate."""
        for message in output.messages:
            if isinstance(message, records.VoteReply) and message.granted:
                assert instance.raft.members, "vote with an empty log"
                if not message.pre_vote:
                    vote = (message.source, message.term)
                    first_target = self.votes.setdefault(vote, message.target)
                    assert first_target == message.target, "two votes in a term"
        self.messages.extend(output.messages)
        for entry in output.committed:
            entry_content = (entry.term, entry.data, entry.kind)
            # No committed entry is lost or changed.
            assert (
                self.committed.setdefault(entry.index, entry_content)
                == entry_content
            )
        for read in output.reads:
            floor, incarnation = self.read_floors.pop(read.context)
            assert incarnation == instance.identity.incarnation
            assert read.index >= floor, "stale read"
            assert instance.raft.commit >= read.index
        if output.role is records.Role.LEADER:
            self.check_leader(instance)
            self.check_change(instance, output)

    def check_leader(self, instance):
        raft = instance.raft
        incarnation = instance.identity.incarnation
        assert self.leaders.setdefault(raft.term, incarnation) == incarnation
        voters = [m.name for m in raft.members if m.voter]
        assert len(set(voters)) == len(voters), "two voters of one name"
        # A leader holds every entry that was committed before its term.
        for index, (term, _, _) in self.committed.items():
            if index > raft.log.snapshot.index and term <= raft.term:
                assert raft.log.term(index) == term

    def check_change(self, instance, output):
        """Checks that one member changes at a time and has caught up."""
        raft = instance.raft
        changes = [
            e
            for e in output.appended
            if e.kind is records.Kind.VOTERS and e.term == raft.term
        ]
        if not changes:
            return
        log, change_index = raft.log, changes[0].index
        uncommitted_entries = log.between(raft.commit + 1, log.last_index)
        uncommitted_changes = [
            e for e in uncommitted_entries if e.kind is records.Kind.VOTERS
        ]
        assert len(uncommitted_changes) <= 1, "two member changes at a time"
        old = {
            m.incarnation for m in log.members_at(change_index - 1) if m.voter
        }
        new = {m.incarnation for m in raft.members if m.voter}
        assert len(old ^ new) <= 1, "more than one voter changed"
        for other in self.instances.values():
            if other.identity.incarnation in new - old:
                last_index = store_lib.Store(other.disk).log.last_index
                assert last_index >= raft.commit, "a voter that lacks entries"

    def deliver(self, message):
        for instance in self.instances.values():
            if instance.identity.incarnation == message.target:
                source = message.source.split(".")[0]
                if instance.identity.name in self.frozen:
                    self.messages.append(message)
                elif (source, instance.identity.name) not in self.blocked_links:
                    instance.run_step(lambda raft: raft.step(message))

    def run(
        self,
        duration_ms,
        rng=None,
        drop=0.0,
        duplicate=0.0,
        delay=0.0,
        disturb=0.0,
    ):
        """Advances time and exchanges messages.

        `drop`, `duplicate`, `delay` and `disturb` are probabilities: the first
        three per message, the last per step. Delays reorder messages.
        """
        rng = rng or random.Random(0)
        for _ in range(int(duration_ms / STEP_MS)):
            self.clock.advance(STEP_MS)
            for instance in self.instances.values():
                if instance.identity.name not in self.frozen:
                    instance.run_step(lambda raft: raft.tick())
            self.join()
            if rng.random() < disturb:
                self.inject_fault(rng)
            for _ in range(4):
                batch, self.messages = self.messages[-200:], []
                rng.shuffle(batch)
                for message in batch:
                    if rng.random() < drop:
                        continue
                    if rng.random() < delay:
                        self.messages.append(message)
                        continue
                    self.deliver(message)
                    if rng.random() < duplicate:
                        self.messages.append(message)

    def inject_fault(self, rng):
        """Injects one random fault or event, or proposes at all instances."""
        name = rng.choice(NAMES)
        instance = self.instances[name]
        match rng.randrange(16):
            case 0 | 1 | 2:
                self.isolate(name)
            case 3 | 4:
                self.blocked_links.clear()
            case 5:
                instance.crash()
                instance.start()
            case 6 | 7:
                instance.compact()
            case 8:
                self.freeze_leader()
            case 9 | 10:
                self.resume(rng)
            case 11:
                self.lose_disk(name)
            case _:
                for other in NAMES:
                    self.propose(other)

    def isolate(self, name):
        """Partitions one instance; all others can reach each other again."""
        others = [other for other in NAMES if other != name]
        self.blocked_links = {(name, other) for other in others}
        self.blocked_links |= {(other, name) for other in others}

    def freeze_leader(self):
        leader = self.leader()
        if leader is not None:
            self.frozen.add(leader.identity.name)

    def resume(self, rng):
        """Resumes frozen instances; reads arrive before pending messages."""
        resumed, self.frozen = sorted(self.frozen), set()
        for name in resumed or NAMES:
            self.read(name, at_once=rng.random() < 0.5)
        batch, self.messages = self.messages, []
        rng.shuffle(batch)
        for message in batch:
            self.deliver(message)

    def join(self):
        for instance in self.instances.values():
            if instance.raft is None or not instance.raft.needs_join():
                continue
            for other in self.instances.values():
                is_blocked = (
                    instance.identity.name,
                    other.identity.name,
                ) in self.blocked_links
                if (
                    other.raft is not None
                    and other.raft.leader_state
                    and not is_blocked
                ):
                    other.run_step(lambda r, m=instance.member: r.join(m))

    def propose(self, name):
        self.proposals += 1
        data = b"%d" % self.proposals
        output = self.instances[name].run_step(
            lambda raft: raft.propose([data])
        )
        return data if output is not None and output.appended else None

    def read(self, name, at_once):
        instance = self.instances[name]
        self.reads += 1
        floor = max(self.committed, default=0)
        self.read_floors[self.reads] = (floor, instance.identity.incarnation)
        instance.run_step(lambda raft: raft.read_index([self.reads], at_once))

    def lose_disk(self, name):
        old = self.instances[name]
        old.raft = None
        number = int(old.identity.incarnation.split(".")[1].strip("first") or 0)
        self.instances[name] = Instance(self, name, f"{name}.{number + 1}", ())

    def lose_for_good(self, name):
        """Removes an instance; neither it nor its disk returns."""
        self.instances.pop(name).raft = None

    def add(self, name):
        """Adds an instance with an empty disk under a new name."""
        self.instances[name] = Instance(self, name, f"{name}.first", ())

    def leader(self):
        leaders = [
            instance
            for instance in self.instances.values()
            if instance.raft is not None and instance.raft.leader_state
        ]
        return max(
            leaders, key=lambda instance: instance.raft.term, default=None
        )

    def can_elect(self):
        """Whether some instance can win an election without further faults."""
        rafts = [instance.raft for instance in self.instances.values()]
        alive = {raft.config.incarnation: raft for raft in rafts}

        def log_position(raft):
            return (raft.log.last_term, raft.log.last_index)

        def can_win(raft):
            voters = [m.incarnation for m in raft.members if m.voter]
            vote_count = sum(
                v in alive and log_position(alive[v]) <= log_position(raft)
                for v in voters
            )
            own_vote = raft.config.incarnation in voters
            return own_vote and vote_count * 2 > len(voters)

        return any(can_win(raft) for raft in rafts)

    def heal(self):
        self.blocked_links.clear()
        self.frozen.clear()
        for instance in self.instances.values():
            instance.disk.syncs_before_failure = None
            if instance.raft is None:
                instance.start()

    def recover(self):
        """Ends all faults; if a leader can be elected, checks recovery."""
        self.heal()
        if not self.can_elect():
            return
        self.run(20_000.0)
        leader = self.leader()
        assert leader is not None, "no leader after all faults ended"
        data = self.propose(leader.identity.name)
        assert data is not None
        self.run(2000.0)
        current = {
            instance.identity.incarnation
            for instance in self.instances.values()
        }
        for instance in self.instances.values():
            assert data in [row[1] for row in instance.applied]
            # Incarnations whose disk was lost are no longer voters.
            voters = {m.incarnation for m in instance.raft.members if m.voter}
            assert voters == current, "a lost disk is not replaced"


class RaftMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.cluster = Cluster()

    name = strategies.sampled_from(NAMES)

    @stateful.rule(
        seed=strategies.integers(0, 1 << 16),
        steps=strategies.integers(1, 200),
        drop=strategies.sampled_from((0.0, 0.0, 0.1, 0.4)),
        duplicate=strategies.sampled_from((0.0, 0.2)),
        delay=strategies.sampled_from((0.0, 0.5)),
        disturb=strategies.sampled_from((0.0, 0.05, 0.1)),
    )
    def run_for(self, seed, steps, drop, duplicate, delay, disturb):
        rng = random.Random(seed)
        self.cluster.run(steps * STEP_MS, rng, drop, duplicate, delay, disturb)

    @stateful.rule()
    def elect(self):
        self.cluster.run(3000.0)

    @stateful.rule(count=strategies.integers(1, 5))
    def propose_at_all(self, count):
        for _ in range(count):
            for name in NAMES:
                self.cluster.propose(name)

    @stateful.rule(at_once=strategies.booleans())
    def read_at_all(self, at_once):
        for name in NAMES:
            self.cluster.read(name, at_once)

    @stateful.rule(sender=name, receiver=name)
    def block_one_way(self, sender, receiver):
        self.cluster.blocked_links.add((sender, receiver))

    @stateful.rule(name=name)
    def isolate(self, name):
        self.cluster.isolate(name)

    @stateful.rule()
    def freeze_leader(self):
        self.cluster.freeze_leader()

    @stateful.rule(seed=strategies.integers(0, 1 << 16))
    def resume(self, seed):
        self.cluster.resume(random.Random(seed))

    @stateful.rule()
    def reconnect(self):
        self.cluster.blocked_links.clear()

    @stateful.rule(name=name)
    def crash(self, name):
        self.cluster.instances[name].crash()

    @stateful.rule(
        name=name,
        syncs=strategies.integers(0, 3),
        torn_bytes=strategies.integers(0, 80),
    )
    def fail_sync(self, name, syncs, torn_bytes):
        self.cluster.instances[name].disk.syncs_before_failure = syncs
        self.cluster.instances[name].disk.torn_bytes = torn_bytes

    @stateful.rule(name=name)
    def restart(self, name):
        if self.cluster.instances[name].raft is None:
            self.cluster.instances[name].start()

    @stateful.rule(name=name)
    def lose_disk(self, name):
        self.cluster.lose_disk(name)

    @stateful.rule(name=name)
    def compact(self, name):
        self.cluster.instances[name].compact()

    @stateful.rule()
    def transfer(self):
        leader = self.cluster.leader()
        if leader is not None:
            leader.run_step(lambda raft: raft.transfer())

    def teardown(self):
        self.cluster.recover()


TestRaftMachine = RaftMachine.TestCase
TestRaftMachine.settings = hypothesis.settings(
    max_examples=80,
    stateful_step_count=25,
    suppress_health_check=list(hypothesis.HealthCheck),
)
