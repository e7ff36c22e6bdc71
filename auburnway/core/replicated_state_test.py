import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from auburnway.core import audit
from auburnway.core import claims
from auburnway.core import note_errors
from auburnway.core import replicated_state as state_lib
from auburnway.core import state_codec
from auburnway.core import trials

NAMES = ("e1", "e2", "e3")
CALLERS = ("c1", "c2")
RETENTION_MS = 20_000


def note_text(number, order=0):
    return (
        f'number = {number}\nauthor = "kim"\nsummary = "s"\n'
        f'[[add.caller]]\nname = "c{number}"\nshare = {1 + order}.0\n'
    )


class Machine(stateful.RuleBasedStateMachine):
    """Runs commands and compares the state with an independent model."""

    def __init__(self):
        super().__init__()
        self.state = state_lib.EMPTY_STATE
        self.log = []
        self.wall_ms = 100_000
        self.accepted = {}
        # (caller, key) -> [state, digest, claim_id, attempt, entry].
        self.claims = {}
        self.keys = [f"{self.wall_ms}-a"]
        self.incarnations = dict.fromkeys(NAMES, 0)
        self.floor_ms = 0
        self.trial_holders = {}

    def apply_command(self, command_type, *fields):
        command = command_type(*fields, wall_ms=self.wall_ms)
        index = len(self.log) * 2 + 1
        self.log.append((index, command))
        self.state, reply = state_lib.apply(self.state, index, command)
        return reply

    def incarnation(self, name):
        return f"{name}-{self.incarnations[name]}"

    def drop_entry(self, name):
        incarnation = self.incarnation(name)
        for claim in self.claims.values():
            if claim[0] == "open" and claim[4] == incarnation:
                claim[0] = "unknown"
        self.trial_holders = {
            f: holder
            for f, holder in self.trial_holders.items()
            if holder != incarnation
        }

    @stateful.rule(name=st.sampled_from(NAMES))
    def register(self, name):
        if self.incarnations[name]:
            self.drop_entry(name)
        self.incarnations[name] += 1
        incarnation = self.incarnation(name)
        self.apply_command(
            state_lib.RegisterEntry, name, incarnation, "d", "a:1", "a:2"
        )

    @stateful.rule(name=st.sampled_from(NAMES), is_late=st.booleans())
    def remove(self, name, is_late):
        incarnation = self.incarnation(name)
        is_present = name in self.state.entries
        if is_late:
            # A removal of an earlier incarnation must have no effect.
            incarnation += "-old"
        else:
            self.drop_entry(name)
        reply = self.apply_command(state_lib.RemoveEntry, name, incarnation)
        assert reply.changed == (is_present and not is_late)
        assert (name in self.state.entries) == (is_present and is_late)

    @stateful.rule(
        number_offset=st.integers(-1, 3),
        order=st.integers(0, 2),
        damage=st.sampled_from(["", "", "x = 1\n", "= ["]),
    )
    def submit(self, number_offset, order, damage):
        # The number is the next one, an accepted one (resend or race) or a
        # later one.
        number = max(1, len(self.accepted) + 1 - number_offset)
        before = self.state.configuration
        text = damage + note_text(number, order)
        reply = self.apply_command(state_lib.AcceptNote, text, "kim")
        if damage:
            assert reply.errors and self.state.configuration == before
        elif number in self.accepted:
            assert self.state.configuration == before
            if self.accepted[number][0] == order:
                assert reply.repeated_submission and not reply.errors
                first = dataclasses.replace(reply, repeated_submission=False)
                assert first == self.accepted[number][1]
            else:
                assert isinstance(reply.errors[0], note_errors.NoteConflict)
                winner = self.accepted[number][1].digest
                assert winner in reply.errors[0].detail
        elif number == len(self.accepted) + 1:
            assert not reply.errors and not reply.repeated_submission
            assert self.state.configuration.number == number
            self.accepted[number] = (order, reply)
        else:
            assert isinstance(reply.errors[0], note_errors.WrongNumber)
            assert self.state.configuration == before

    @stateful.rule(ahead_ms=st.integers(-RETENTION_MS, 310_000))
    def issue_key(self, ahead_ms):
        self.keys.append(f"{self.wall_ms + ahead_ms}-k{len(self.keys)}")

    @stateful.rule(
        caller=st.sampled_from(CALLERS),
        choice=st.integers(0, 1000),
        digest=st.sampled_from(["d1", "d1", "d1", "d2"]),
        name=st.sampled_from(NAMES),
    )
    def claim(self, caller, choice, digest, name):
        # Chooses among the newest keys, which are more often within the
        # retention.
        key = self.keys[-1 - choice % min(3, len(self.keys))]
        issued_ms = int(key.split("-")[0])
        incarnation = self.incarnation(name)
        reply = self.apply_command(
            state_lib.Claim, caller, key, digest, name, incarnation
        )
        known = self.claims.get((caller, key))
        now_ms = self.state.wall_ms
        if issued_ms > now_ms + 300_000:
            assert reply.error.code == "bad_key"
        elif issued_ms < self.floor_ms:
            assert reply.state == "expired"
        elif reply.error is not None:
            assert reply.error.code == "entry_not_registered"
            entry = self.state.entries.get(name)
            assert entry is None or entry.incarnation != incarnation
            assert known is None or known[0] == "not_run"
        elif known is None:
            assert (reply.state, reply.attempt) == ("granted", 1)
            self.claims[caller, key] = [
                "open",
                digest,
                reply.claim_id,
                1,
                incarnation,
            ]
        elif known[1] != digest:
            assert reply.state == "conflict"
        elif known[0] == "not_run":
            assert (reply.state, reply.claim_id) == ("granted", known[2])
            assert reply.attempt == known[3] + 1
            known[0], known[3], known[4] = "open", reply.attempt, incarnation
        else:
            assert reply.state == known[0]
            assert (reply.result == b"ok") == (known[0] == "done")

    @stateful.precondition(lambda self: self.claims)
    @stateful.rule(
        choice=st.integers(0, 1000),
        outcome=st.sampled_from(["done", "not_run", "not_run", "unknown"]),
        wrong_owner=st.sampled_from(["", "", "", "attempt", "entry"]),
    )
    def settle(self, choice, outcome, wrong_owner):
        claim = list(self.claims.values())[choice % len(self.claims)]
        state, _, claim_id, attempt, owner = claim
        reply = self.apply_command(
            state_lib.Settle,
            claim_id,
            attempt + (wrong_owner == "attempt"),
            owner + ("x" if wrong_owner == "entry" else ""),
            outcome,
            b"ok",
        )
        if wrong_owner:
            assert reply.error is not None and reply.state == state
        elif state == "open" or (state, outcome) == ("unknown", "done"):
            assert reply.error is None and reply.state == outcome
            claim[0] = outcome
        else:
            assert reply.state == state
            assert (reply.error is None) == (state == outcome)

    @stateful.rule(
        fingerprint=st.sampled_from(["f1", "f2"]),
        name=st.sampled_from(NAMES),
        server=st.integers(1, 2),
    )
    def strike(self, fingerprint, name, server):
        reply = self.apply_command(
            state_lib.Strike, fingerprint, f"s{server}", "i", name
        )
        assert reply.state != "clear" and 1 <= reply.strikes <= 3

    @stateful.rule(
        fingerprint=st.sampled_from(["f1", "f2"]),
        name=st.sampled_from(NAMES),
    )
    def grant_trial(self, fingerprint, name):
        incarnation = self.incarnation(name)
        reply = self.apply_command(
            state_lib.GrantTrial, fingerprint, name, incarnation
        )
        if reply.state == "granted":
            assert fingerprint not in self.trial_holders
            assert reply.refused_until_wall_ms <= self.state.wall_ms
            self.trial_holders[fingerprint] = incarnation

    @stateful.rule(
        fingerprint=st.sampled_from(["f1", "f2"]),
        name=st.sampled_from(NAMES),
        outcome=st.sampled_from(["passed", "lost", "not_run"]),
    )
    def end_trial(self, fingerprint, name, outcome):
        incarnation = self.incarnation(name)
        reply = self.apply_command(
            state_lib.EndTrial, fingerprint, incarnation, outcome, "s3", "i"
        )
        if self.trial_holders.get(fingerprint) == incarnation:
            del self.trial_holders[fingerprint]
            expected = {
                "passed": {"clear"},
                "lost": {"refused", "trial_required"},
                "not_run": {"trial_required"},
            }
            assert reply.state in expected[outcome]

    @stateful.rule(step_ms=st.sampled_from([-3_000, 0, 500, 5_000, 650_000]))
    def pass_time(self, step_ms):
        # The clock of a new leader may be behind that of the old leader.
        self.wall_ms += step_ms
        command = state_lib.Tick(self.wall_ms, RETENTION_MS)
        reply = self.apply_command(lambda wall_ms: command)
        assert reply.floor_ms >= self.floor_ms
        self.floor_ms = reply.floor_ms
        self.claims = {
            key: claim
            for key, claim in self.claims.items()
            if int(key[1].split("-")[0]) >= self.floor_ms
        }

    @stateful.rule()
    def restart_replica(self):
        data = state_codec.encode(self.state)
        self.state = state_codec.decode(data)
        assert state_codec.encode(self.state) == data

    @stateful.invariant()
    def derived_data_agrees(self):
        if self.state is state_lib.EMPTY_STATE:
            return
        # Other commands raise the floor too after a Tick has set the retention.
        self.floor_ms = max(self.floor_ms, self.state.floor_ms)
        records = self.state.claims.records()
        opened = sum(record.state == "open" for record in records)
        assert self.state.claims.open_count == opened

    def teardown(self):
        assert (
            not state_lib.EMPTY_STATE.index
            and not state_lib.EMPTY_STATE.entries
        )
        if not self.log:
            return
        replayed = state_lib.EMPTY_STATE
        for index, command in self.log:
            data = state_lib.encode_command(command)
            replayed, _ = state_lib.apply(
                replayed, index, state_lib.decode_command(data)
            )
        assert state_codec.encode(replayed) == state_codec.encode(self.state)
        assert audit.verify(self.state.audit) is None


Machine.TestCase.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=50
)
TestReplicatedState = Machine.TestCase


def apply_all(*commands, state=state_lib.EMPTY_STATE):
    replies = []
    for command in commands:
        state, reply = state_lib.apply(state, state.index + 1, command)
        replies.append(reply)
    return state, replies


def register(name, incarnation):
    return state_lib.RegisterEntry(name, incarnation, "d", "a:1", "a:2", 0)


def test_an_index_is_applied_once():
    # Guards against replaying a log entry that a snapshot already covers.
    state, _ = apply_all(state_lib.Tick(1))
    with pytest.raises(ValueError, match="follows"):
        state_lib.apply(state, 1, state_lib.Tick(1))


def test_invalid_text_with_an_accepted_number_gets_no_receipt():
    # Guards against accepting a text by its digest alone, which covers only
    # valid values.
    text = note_text(1)
    _, (_, reply) = apply_all(
        state_lib.AcceptNote(text, "kim", 1),
        state_lib.AcceptNote("extra = 1\n" + text, "kim", 2),
    )
    assert [error.code for error in reply.errors] == ["bad_value"]


@pytest.mark.parametrize(
    "text",
    [
        "a = " + "[" * 100_000,
        ".".join("a" * 3000) + " = 1",
        "number = 0x" + "f" * 9000,
        "number = 1\nauthor = nan\nsummary = 1979-05-27\nadd = [[]]",
        "\x00",
        "x" * (2 << 20),
    ],
    ids=["deep", "dotted", "huge integer", "types", "control", "long"],
)
def test_hostile_text_is_refused_as_a_value(text):
    # Guards against an exception in `apply`, which would stop all replicas at
    # the same log entry.
    state, (reply,) = apply_all(state_lib.AcceptNote(text, "kim", 1))
    assert reply.errors and state.configuration.number == 0
    assert state.audit[0].result == "refused"
    assert all(error.remedy for error in reply.errors)


def test_pruned_claims_leave_no_index_entries():
    # Guards against a stale index that keeps memory for each key ever used.
    record = claims.Record(1, "c", "5-a", "d", "e", "i")
    claim_table = claims.ClaimTable([record])
    assert claim_table.prune(6) == 1
    assert (len(claim_table), claim_table.open_count) == (0, 0)
    assert claim_table.find("c", "5-a") is None
    assert claim_table.claim(record) == ("granted", record)


def test_large_results_are_dropped_but_recorded_as_done():
    large = b"x" * (claims.MAX_RESULT_BYTES + 1)
    _, replies = apply_all(
        register("e", "i"),
        state_lib.Claim("c", "5-a", "d", "e", "i", 5),
        state_lib.Settle(2, 1, "i", "done", large, 5),
        state_lib.Claim("c", "5-a", "d", "e", "i", 6),
    )
    assert replies[-1].state == "done"
    assert replies[-1].result_dropped and replies[-1].result == b""


def test_a_crashing_request_resent_twenty_times_costs_two_servers():
    # Each resend goes to a different entry, as in section 1.7 of
    # docs/design.md.
    names = [f"e{i}" for i in range(20)]
    state, _ = apply_all(*(register(name, "i") for name in names))
    lost = 0
    for i, name in enumerate(names):
        grant = state_lib.GrantTrial("f", name, "i", 1000 + i)
        state, (reply,) = apply_all(grant, state=state)
        if reply.state not in ("clear", "granted"):
            continue
        lost += 1
        state, _ = apply_all(
            state_lib.Strike("f", f"s{lost}", "i", name, 1000 + i),
            state_lib.EndTrial("f", "i", "lost", f"s{lost}", "i", 1000 + i),
            state=state,
        )
    assert lost == 2
    assert reply.state == "refused"


def test_strikes_alone_and_earlier_losses_cause_no_refusal():
    # Guards against refusing an innocent request that ran on two servers when
    # they were lost.
    server = ("s1", "i")
    _, replies = apply_all(
        register("e", "i"),
        state_lib.Strike("f", *server, "e", 1),
        state_lib.Strike("f", *server, "e2", 1),
        state_lib.Strike("f", "s2", "i", "e", 1),
        state_lib.GrantTrial("f", "e", "i", 2),
        state_lib.EndTrial("f", "i", "lost", *server, 3),
        state_lib.GrantTrial("f", "e", "i", 4),
        state_lib.EndTrial("f", "i", "passed", "", "", 5),
    )
    assert [reply.strikes for reply in replies[1:4]] == [1, 1, 2]
    states = [reply.state for reply in replies[4:]]
    assert states == ["granted", "trial_required", "granted", "clear"]


def test_the_trial_of_a_vanished_entry_counts_as_lost():
    state, replies = apply_all(
        register("e", "i1"),
        state_lib.Strike("f", "s1", "i", "e", 1),
        state_lib.GrantTrial("f", "e", "i1", 2),
        register("e", "i2"),
        state_lib.GrantTrial("f", "e", "i2", 1000),
        state_lib.GrantTrial("f", "e", "i2", 700_000),
    )
    assert replies[3].lost_trials == 1
    assert [r.state for r in replies[4:]] == ["refused", "granted"]
    assert state.audit[-1].action == "quarantine"


@hypothesis.given(data=st.data())
def test_a_changed_byte_of_an_audit_row_is_found(data):
    state, _ = apply_all(
        register("e1", "i"),
        state_lib.AcceptNote(note_text(1), "kim", 2),
        state_lib.AcceptNote(note_text(1, 1), "lee", 3),
        state_lib.RefuseNote("lee", 2, "d", "no majority", 4),
        state_lib.RemoveEntry("e1", "i", 5),
    )
    rows = list(state.audit)
    assert audit.verify(rows) is None
    position = data.draw(st.integers(0, len(rows) - 1))
    row = rows[position]
    field = data.draw(st.sampled_from(dataclasses.fields(row))).name
    value = getattr(row, field)
    if isinstance(value, int):
        changed = value ^ 1 << data.draw(st.integers(0, 7))
    else:
        at = data.draw(st.integers(0, max(len(value) - 1, 0)))
        flipped = chr(ord(value[at]) ^ 1) if value else "x"
        changed = value[:at] + flipped + value[at + 1 :]
    rows[position] = dataclasses.replace(row, **{field: changed})
    assert audit.verify(rows) == position + 1


def test_a_rewritten_audit_row_is_found_by_its_successor():
    # Guards against accepting a rewritten row whose own hash was recomputed.
    trail, _ = apply_all(register("e1", "i"), register("e2", "i"))
    other, _ = apply_all(register("e3", "i"))
    assert audit.verify([other.audit[0], trail.audit[1]]) == 2


def test_a_removed_audit_row_is_found():
    state, _ = apply_all(register("e1", "i"), register("e2", "i"))
    assert audit.verify(state.audit[1:]) == 1
    assert audit.verify(state.audit[1:], state.audit[0].hash, 2) is None


def test_only_the_owner_gets_the_incarnation_of_an_open_claim():
    # Guards against a second dispatch by another entry that started in the
    # same millisecond and therefore has the same incarnation.
    _, (_, _, first, other, again) = apply_all(
        register("e1", "5"),
        register("e2", "5"),
        *(
            state_lib.Claim("c1", "1-a", "d", n, "5", 1)
            for n in ("e1", "e2", "e1")
        ),
    )
    states = [reply.state for reply in (first, other, again)]
    assert states == ["granted", "open", "open"]
    assert [other.entry_incarnation, again.entry_incarnation] == ["", "5"]


def test_trials_of_different_requests_run_one_after_another():
    # Guards against refusing an innocent request because its trial ran on the
    # server that another request crashed in its own trial.
    trial_table = trials.TrialTable()
    for fingerprint in "fg":
        trial_table.strike(fingerprint, ("s", "1"), 0)
    assert trial_table.grant("f", ("e1", "1"), 1) == "granted"
    assert trial_table.grant("g", ("e2", "1"), 2) == "busy"
    trial_table.end("f", "1", "passed", ("", ""), 3)
    assert trial_table.grant("g", ("e2", "1"), 4) == "granted"
    # A frozen holder blocks the trials of other requests only for a limited
    # time.
    trial_table.strike("f", ("s", "2"), 5)
    assert trial_table.grant("f", ("e1", "1"), 6) == "busy"
    later_ms = 4 + trials.TRIAL_EXCLUSION_MS
    assert trial_table.grant("f", ("e1", "1"), later_ms) == "granted"
