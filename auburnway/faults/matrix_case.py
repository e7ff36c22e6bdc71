"""One fleet of the fault matrix and the promises that are checked in it."""

import json

from returns import pipeline

from auburnway.core import isolation
from auburnway.faults import matrix_fleet as fleet
from auburnway.faults import matrix_nodes as nodes
from auburnway.rpc import control_pb2 as pb

CONTROLS, ENTRIES = fleet.CONTROLS, fleet.ENTRIES
RECOVERY_MS = 20_000.0
DRAIN_MS = 2000.0
WARM_UP_MS = 3000.0

NOTE_1 = """number = 1
author = "kim"
summary = "first"
[[add.rank]]
name = "urgent"
order = 0
floor_share = 0.5
latency_target_ms = 200.0
[[add.application]]
name = "app"
slots_per_server = 8
connections_per_server = 40
connect_ms = 1.0
[[add.application]]
name = "desk"
slots_per_server = 8
connections_per_server = 40
connect_ms = 1.0
[[add.caller]]
name = "caller"
share = 1.0
[[add.kind]]
name = "find"
application = "app"
rank = "urgent"
deadline_ms = 1000.0
canary = "off"
[[add.kind]]
name = "book"
application = "desk"
rank = "urgent"
deadline_ms = 1000.0
repeatable = false
fan_out = false
"""


def note_text(number: int, author: str = "kim") -> str:
    """Returns a small release note; each author's has another digest."""
    return (
        f'number = {number}\nauthor = "{author}"\nsummary = "s"\n'
        f'[[add.caller]]\nname = "{author}{number}"\nshare = 1.0\n'
    )


class Case:
    """One fleet with the promises that are checked while it runs.

    Attributes:
      accepted: Digest that a receipt named, by number.
      winners: Digest that any instance applied, by number.
      served: Greatest number that each entry served.
      everywhere: Greatest number that was reported in force everywhere.
      violations: What was broken.
    """

    def __init__(self):
        self.world = fleet.World()
        self.accepted: dict[int, str] = {}
        self.winners: dict[int, str] = {}
        self.served = dict.fromkeys(ENTRIES, 0)
        self.everywhere = 0
        self.violations: list[str] = []
        self.answers: list[tuple[str, int, dict | None]] = []
        self.requests = 0
        self.drained_ms = float("inf")
        self.fault_end_ms = 0.0
        self.lost_disks: set[str] = set()
        self.state: dict = {}
        for name in CONTROLS:
            nodes.Control(self.world, name)
        for name in ENTRIES:
            nodes.Entry(self.world, name)
        for number in range(4):
            nodes.Server(self.world, f"s{number}", number % 2, 2)
        for number in range(2):
            nodes.Server(self.world, f"d{number}", 0, 1)
        self.outside = nodes.Outside(self.world, "outside")
        self.open_notes = 0
        self.world.on_ran = self._check
        for process in tuple(self.world.processes.values()):
            process.start()

    def process(self, name: str):
        """Returns a process by name."""
        return self.world.processes[name]

    def fail(self, text: str) -> None:
        """Notes a broken promise."""
        self.violations.append(f"{self.world.clock.now_ms():.0f} ms: {text}")

    # Actions of operators and callers.

    def apply(self, text: str, address: str = "", on_done=None) -> None:
        """Sends a release note."""
        self.open_notes += 1

        def on_reply(outcome):
            self.open_notes -= 1
            reply = (
                outcome.unwrap() if pipeline.is_successful(outcome) else None
            )
            if reply is not None and not reply.errors:
                known = self.accepted.setdefault(reply.number, reply.digest)
                if known != reply.digest:
                    self.fail(f"two receipts for number {reply.number}")
            if on_done is not None:
                on_done(reply)

        request = pb.NoteRequest(text=text, author="kim")
        self.outside.take(
            lambda: self.outside.client.call_async(
                "Apply", request, 3000.0, on_reply, address
            )
        )

    def watch(self) -> None:
        """Asks each control instance what is in force, again and again."""
        for name in CONTROLS:
            floor = max(self.accepted, default=0)

            def on_reply(outcome, floor=floor):
                if not pipeline.is_successful(outcome):
                    return
                reply = outcome.unwrap()
                if reply.error.code:
                    return
                if reply.number < floor:
                    self.fail(f"read {reply.number} after {floor} was accepted")
                if reply.everywhere:
                    self.everywhere = max(self.everywhere, reply.number)

            self.outside.client.call_async(
                "InForce",
                pb.ReadRequest(),
                200.0,
                on_reply,
                fleet.control_address(name),
            )

    def post(self, entry: str, kind: str, key: str = "", attempt: int = 1):
        """Sends a caller's request and checks its answer."""
        self.requests += 1
        body = {
            "caller": "caller",
            "kind": kind,
            "query": {"key": key},
            "deadline_ms": 1000,
        }
        if key:
            body.update(idempotency_key=key, attempt=attempt)

        def on_answer(rendered):
            answer = json.loads(rendered.body) if rendered else None
            if answer is not None:
                self._check_answer(key, attempt, answer)
            self.answers.append((key, attempt, answer))

        self.outside.post(entry, body, on_answer)

    def runs(self, key: str) -> list[str]:
        """Returns the request ids under which a key ran."""
        servers = [
            p for p in self.world.processes.values() if p.name[0] in "ds"
        ]
        return [
            headers["x-request-id"].split(".")[0]
            for server in servers
            for headers, body in server.ran
            if body["query"]["key"] == key
        ]

    # Checks.

    def _check(self, process) -> None:
        if isinstance(process, nodes.Control):
            for number, receipt in process.node.state.receipts.items():
                known = self.winners.setdefault(number, receipt.digest)
                if known != receipt.digest:
                    self.fail(f"two winners for number {number}")
        elif isinstance(process, nodes.Entry):
            entry = process.entry
            if not isinstance(entry._peers.may_serve(), isolation.Serving):
                return
            number = entry._lease.configuration.number
            if number < max(self.served[process.name], self.everywhere):
                self.fail(f"{process.name} serves the older number {number}")
            self.served[process.name] = max(number, self.served[process.name])

    def _check_answer(self, key, attempt, answer) -> None:
        if answer["outcome"] == "not_run" and key:
            # A first attempt vouches for itself only; a resend is also told
            # of the attempts before it.
            ran = self.runs(key)
            if answer["request_id"] in ran or (attempt > 1 and ran):
                self.fail(f"untrue not_run for {key}, attempt {attempt}")
        if answer["outcome"] == "done" and answer.get("kind") == "find":
            shards = {shard for _, shard in answer["records"]}
            snapshots = {snapshot for snapshot, _ in answer["records"]}
            coverage = answer["coverage"]
            truth = (sum(10 + shard for shard in shards), 21)
            told = (coverage["covered_weight"], coverage["total_weight"])
            missing = sorted({0, 1} - shards)
            if (
                told != truth
                or list(coverage["missing_shards"]) != missing
                or len(answer["records"]) != len(shards)
            ):
                self.fail(f"untrue coverage {coverage}")
            if not snapshots <= {answer["snapshot"]}:
                self.fail(f"records of snapshots {snapshots}")

    def check_end(self, can_recover: bool) -> None:
        """Checks what must hold once the fault has ended."""
        for key in {key for key, _, _ in self.answers if key}:
            if len(self.runs(key)) > 1:
                self.fail(f"key {key} ran {len(self.runs(key))} times")
        for key, _, answer in self.answers:
            is_not_run = key and answer and answer["outcome"] == "not_run"
            if is_not_run and answer["request_id"] in self.runs(key):
                self.fail(f"{key} ran after not_run")
        for number, digest in self.accepted.items():
            if self.winners.get(number) != digest:
                self.fail(f"accepted note {number} is not the winner")
        since_ms = max(self.drained_ms, self.fault_end_ms) + DRAIN_MS
        if any(t > since_ms for t in self.process("s0").sent_ms):
            self.fail("work was sent to a draining server after 2 s")
        if any(self.process(n).sent_late for n in ("d0", "d1")):
            self.fail("a request was dispatched after its deadline")
        if can_recover:
            self._check_recovery()

    def _check_recovery(self) -> None:
        """Checks that notes, claims and queries work again everywhere."""

        def is_ready():
            number = max(self.accepted)
            leaders = [
                p
                for p in map(self.process, CONTROLS)
                if p.alive
                and p.node.is_leader
                and p.entries.has_lease_majority()
            ]
            voters = {
                m.incarnation
                for p in leaders
                for m in p.node.raft.members
                if m.voter
            }
            # An operator who still waits may send the next note.
            return (
                not self.open_notes
                and all(self.process(n).alive for n in CONTROLS)
                and voters
                == {self.process(n).node.identity.incarnation for n in CONTROLS}
                and all(
                    number in self.process(n).node.state.receipts
                    for n in CONTROLS
                )
                and all(self._is_current(n, number) for n in ENTRIES)
            )

        if not self.world.run(RECOVERY_MS, is_ready):
            self.fail(f"no recovery: {self._describe()}")
            return
        for number, digest in self.accepted.items():
            for name in CONTROLS:
                receipt = self.process(name).node.state.receipts.get(number)
                if receipt is None or receipt.digest != digest:
                    self.fail(f"{name} lost the accepted note {number}")
        # A note may be committed although its receipt was held back or lost.
        number = 1 + max(
            self.process(n).node.state.configuration.number for n in CONTROLS
        )
        self.apply(
            note_text(number, "end"),
            on_done=lambda reply: self.state.update(end=reply),
        )
        self.world.run(5000.0, lambda: "end" in self.state)
        if number not in self.accepted or not self.world.run(5000.0, is_ready):
            self.fail(f"no note after the fault: {self.state.get('end')}")
        wall_ms = self.world.clock.wall_ms()
        for name in ENTRIES:
            self.answers.clear()
            self.post(name, "book", f"{wall_ms}-end-{name}")
            self.post(name, "find")
            self.world.run(1500.0, lambda: len(self.answers) == 2)
            outcomes = [
                answer and answer["outcome"] for *_, answer in self.answers
            ]
            if outcomes != ["done", "done"]:
                self.fail(f"{name} answers {outcomes} after the fault")

    def _is_current(self, name, number):
        process = self.process(name)
        if not process.alive:
            return name in self.state.get("stopped", ())
        entry = process.entry
        return (
            entry._lease.configuration.number >= number
            and isinstance(entry._peers.may_serve(), isolation.Serving)
            and len(list(entry._table.rows())) == 6
        )

    def _describe(self):
        controls = [
            (n, p.alive, p.alive and p.node.raft.role.value)
            for n, p in ((n, self.process(n)) for n in CONTROLS)
        ]
        entries = {n: self.process(n).alive for n in ENTRIES}
        return f"{controls} {entries} {sorted(self.accepted)}"

    def leader(self) -> str:
        """Returns the name of the leader."""
        return next(
            n
            for n in CONTROLS
            if self.process(n).alive and self.process(n).node.is_leader
        )

    def leader_address(self) -> str:
        """Returns the address of the newest leader that runs, or nothing."""
        leaders = [
            p
            for p in map(self.process, CONTROLS)
            if p.alive and p.inbox is None and p.node.is_leader
        ]
        newest = max(leaders, key=lambda p: p.node.raft.term, default=None)
        return newest.address if newest is not None else ""
