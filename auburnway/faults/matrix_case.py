"""One fleet of the fault matrix and the guarantees that are checked in it."""

import json

from returns import pipeline

from auburnway.core import isolation
from auburnway.faults import matrix_fleet as fleet
from auburnway.faults import matrix_nodes as nodes
from auburnway.rpc import control_pb2 as pb

CONTROLS, ENTRIES = fleet.CONTROLS, fleet.ENTRIES
RECOVERY_TIMEOUT_MS = 20_000.0
DRAIN_TARGET_MS = 2000.0
WARM_UP_MS = 3000.0

FIRST_NOTE = """number = 1
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
    """Returns a small release note whose digest differs for each author."""
    return (
        f'number = {number}\nauthor = "{author}"\nsummary = "s"\n'
        f'[[add.caller]]\nname = "{author}{number}"\nshare = 1.0\n'
    )


class Case:
    """One simulated fleet and the checks of its guarantees.

    Attributes:
      simulation: Clock, processes and messages of the fleet.
      accepted_digests: Digest in the receipt of an accepted note, by number.
      applied_digests: Digest that a control instance applied, by number.
      served_numbers: Largest note number that each entry served, by name.
      everywhere_number: Largest note number that control reported as in force
        everywhere.
      violations: Descriptions of the violated guarantees.
      answers: Key, attempt and answer of each finished request; the answer is
        None if the connection was reset.
      sent_requests: Number of requests sent by callers.
      drained_ms: Start of the drain of server `s0`.
      fault_end_ms: Time at which all faults have ended.
      lost_disks: Names of the control instances whose disk was erased.
      step_state: Values that the functions of a protocol step share.
      pending_notes: Number of submitted notes without a reply.
    """

    def __init__(self):
        self.simulation = fleet.Simulation()
        self.accepted_digests: dict[int, str] = {}
        self.applied_digests: dict[int, str] = {}
        self.served_numbers = dict.fromkeys(ENTRIES, 0)
        self.everywhere_number = 0
        self.violations: list[str] = []
        self.answers: list[tuple[str, int, dict | None]] = []
        self.sent_requests = 0
        self.drained_ms = float("inf")
        self.fault_end_ms = 0.0
        self.lost_disks: set[str] = set()
        self.step_state: dict = {}
        for name in CONTROLS:
            nodes.Control(self.simulation, name)
        for name in ENTRIES:
            nodes.Entry(self.simulation, name)
        for number in range(4):
            nodes.Server(self.simulation, f"s{number}", number % 2, 2)
        for number in range(2):
            nodes.Server(self.simulation, f"d{number}", 0, 1)
        self.clients = nodes.Clients(self.simulation, "outside")
        self.pending_notes = 0
        self.simulation.on_executed = self._check_process
        for process in tuple(self.simulation.processes.values()):
            process.start()

    def process(self, name: str):
        """Returns a process by name."""
        return self.simulation.processes[name]

    def add_violation(self, text: str) -> None:
        """Records a violated guarantee."""
        self.violations.append(
            f"{self.simulation.clock.now_ms():.0f} ms: {text}"
        )

    # Actions of operators and callers.

    def apply_note(self, text: str, address: str = "", on_done=None) -> None:
        """Submits a release note; `on_done` gets the reply or None."""
        self.pending_notes += 1

        def on_reply(outcome):
            self.pending_notes -= 1
            reply = (
                outcome.unwrap() if pipeline.is_successful(outcome) else None
            )
            if reply is not None and not reply.errors:
                first_digest = self.accepted_digests.setdefault(
                    reply.number, reply.digest
                )
                if first_digest != reply.digest:
                    self.add_violation(
                        f"two receipts for number {reply.number}"
                    )
            if on_done is not None:
                on_done(reply)

        request = pb.NoteRequest(text=text, author="kim")
        self.clients.execute(
            lambda: self.clients.client.call_async(
                "Apply", request, 3000.0, on_reply, address
            )
        )

    def poll_in_force(self) -> None:
        """Asks each control instance once which note is in force."""
        for name in CONTROLS:
            accepted_number = max(self.accepted_digests, default=0)

            def on_reply(outcome, accepted_number=accepted_number):
                if not pipeline.is_successful(outcome):
                    return
                reply = outcome.unwrap()
                if reply.error.code:
                    return
                if reply.number < accepted_number:
                    self.add_violation(
                        f"read {reply.number} after "
                        f"{accepted_number} was accepted"
                    )
                if reply.everywhere:
                    self.everywhere_number = max(
                        self.everywhere_number, reply.number
                    )

            self.clients.client.call_async(
                "InForce",
                pb.ReadRequest(),
                200.0,
                on_reply,
                fleet.control_address(name),
            )

    def send_request(
        self, entry: str, kind: str, key: str = "", attempt: int = 1
    ):
        """Sends a caller's request and checks its answer."""
        self.sent_requests += 1
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

        self.clients.send_request(entry, body, on_answer)

    def run_request_ids(self, key: str) -> list[str]:
        """Returns the request ids under which a key ran."""
        servers = [
            p for p in self.simulation.processes.values() if p.name[0] in "ds"
        ]
        return [
            headers["x-request-id"].split(".")[0]
            for server in servers
            for headers, body in server.executed_requests
            if body["query"]["key"] == key
        ]

    # Checks.

    def _check_process(self, process) -> None:
        if isinstance(process, nodes.Control):
            for number, receipt in process.node.state.receipts.items():
                first_digest = self.applied_digests.setdefault(
                    number, receipt.digest
                )
                if first_digest != receipt.digest:
                    self.add_violation(
                        f"two notes applied under number {number}"
                    )
        elif isinstance(process, nodes.Entry):
            entry = process.entry
            if not isinstance(entry._peers.may_serve(), isolation.Serving):
                return
            number = entry._lease.configuration.number
            if number < max(
                self.served_numbers[process.name], self.everywhere_number
            ):
                self.add_violation(
                    f"{process.name} serves the outdated number {number}"
                )
            self.served_numbers[process.name] = max(
                number, self.served_numbers[process.name]
            )

    def _check_answer(self, key, attempt, answer) -> None:
        if answer["outcome"] == "not_run" and key:
            # The answer to a first attempt is about this attempt only; the
            # answer to a resend covers the earlier attempts too.
            run_ids = self.run_request_ids(key)
            if answer["request_id"] in run_ids or (attempt > 1 and run_ids):
                self.add_violation(
                    f"false not_run for {key}, attempt {attempt}"
                )
        if answer["outcome"] == "done" and answer.get("kind") == "find":
            shards = {shard for _, shard in answer["records"]}
            snapshots = {snapshot for snapshot, _ in answer["records"]}
            coverage = answer["coverage"]
            expected_weights = (sum(10 + shard for shard in shards), 21)
            reported_weights = (
                coverage["covered_weight"],
                coverage["total_weight"],
            )
            missing = sorted({0, 1} - shards)
            if (
                reported_weights != expected_weights
                or list(coverage["missing_shards"]) != missing
                or len(answer["records"]) != len(shards)
            ):
                self.add_violation(f"wrong coverage {coverage}")
            if not snapshots <= {answer["snapshot"]}:
                self.add_violation(f"records of other snapshots {snapshots}")

    def check_final_state(self, can_recover: bool) -> None:
        """Checks the guarantees that must hold after the fault has ended."""
        for key in {key for key, _, _ in self.answers if key}:
            if len(self.run_request_ids(key)) > 1:
                self.add_violation(
                    f"key {key} ran {len(self.run_request_ids(key))} times"
                )
        for key, _, answer in self.answers:
            is_not_run = key and answer and answer["outcome"] == "not_run"
            if is_not_run and answer["request_id"] in self.run_request_ids(key):
                self.add_violation(f"{key} ran after not_run")
        for number, digest in self.accepted_digests.items():
            if self.applied_digests.get(number) != digest:
                self.add_violation(
                    f"another note than the accepted {number} was applied"
                )
        since_ms = max(self.drained_ms, self.fault_end_ms) + DRAIN_TARGET_MS
        if any(t > since_ms for t in self.process("s0").sent_times_ms):
            self.add_violation("work was sent to a draining server after 2 s")
        if any(self.process(n).late_send_count for n in ("d0", "d1")):
            self.add_violation("a request was dispatched after its deadline")
        if can_recover:
            self._check_recovery()

    def _check_recovery(self) -> None:
        """Checks that notes, claims and queries work again everywhere."""

        def has_recovered():
            number = max(self.accepted_digests)
            leaders = [
                p
                for p in map(self.process, CONTROLS)
                if p.is_alive
                and p.node.is_leader
                and p.entries.has_lease_majority()
            ]
            voters = {
                m.incarnation
                for p in leaders
                for m in p.node.raft.members
                if m.voter
            }
            # A note without a reply could still be accepted, so the fleet has
            # not recovered yet.
            return (
                not self.pending_notes
                and all(self.process(n).is_alive for n in CONTROLS)
                and voters
                == {self.process(n).node.identity.incarnation for n in CONTROLS}
                and all(
                    number in self.process(n).node.state.receipts
                    for n in CONTROLS
                )
                and all(self._is_current(n, number) for n in ENTRIES)
            )

        if not self.simulation.run(RECOVERY_TIMEOUT_MS, has_recovered):
            self.add_violation(f"no recovery: {self._describe()}")
            return
        for number, digest in self.accepted_digests.items():
            for name in CONTROLS:
                receipt = self.process(name).node.state.receipts.get(number)
                if receipt is None or receipt.digest != digest:
                    self.add_violation(
                        f"{name} lost the accepted note {number}"
                    )
        # A note may be committed although its receipt was delayed or lost.
        number = 1 + max(
            self.process(n).node.state.configuration.number for n in CONTROLS
        )
        self.apply_note(
            note_text(number, "end"),
            on_done=lambda reply: self.step_state.update(end=reply),
        )
        self.simulation.run(5000.0, lambda: "end" in self.step_state)
        if number not in self.accepted_digests or not self.simulation.run(
            5000.0, has_recovered
        ):
            self.add_violation(
                f"no note accepted after the fault: "
                f"{self.step_state.get('end')}"
            )
        wall_ms = self.simulation.clock.wall_ms()
        for name in ENTRIES:
            self.answers.clear()
            self.send_request(name, "book", f"{wall_ms}-end-{name}")
            self.send_request(name, "find")
            self.simulation.run(1500.0, lambda: len(self.answers) == 2)
            outcomes = [
                answer and answer["outcome"] for *_, answer in self.answers
            ]
            if outcomes != ["done", "done"]:
                self.add_violation(f"{name} answers {outcomes} after the fault")

    def _is_current(self, name, number):
        process = self.process(name)
        if not process.is_alive:
            return name in self.step_state.get("stopped", ())
        entry = process.entry
        return (
            entry._lease.configuration.number >= number
            and isinstance(entry._peers.may_serve(), isolation.Serving)
            and len(list(entry._table.rows())) == 6
        )

    def _describe(self):
        controls = [
            (n, p.is_alive, p.is_alive and p.node.raft.role.value)
            for n, p in ((n, self.process(n)) for n in CONTROLS)
        ]
        entries = {n: self.process(n).is_alive for n in ENTRIES}
        return f"{controls} {entries} {sorted(self.accepted_digests)}"

    def leader(self) -> str:
        """Returns the name of the first running control instance that leads."""
        return next(
            n
            for n in CONTROLS
            if self.process(n).is_alive and self.process(n).node.is_leader
        )

    def leader_address(self) -> str:
        """Returns the address of the running leader with the highest term.

        The address is empty if there is no such leader.
        """
        leaders = [
            p
            for p in map(self.process, CONTROLS)
            if p.is_alive and p.queued_calls is None and p.node.is_leader
        ]
        newest = max(leaders, key=lambda p: p.node.raft.term, default=None)
        return newest.address if newest is not None else ""
