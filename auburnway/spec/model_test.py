"""Checks the Promela models and that each named fault is found.

spin and gcc are needed; bin/test installs spin.
"""

import pathlib
import re
import subprocess

import pytest

FOLDER = pathlib.Path(__file__).parent
# Thirty times the longest run that was measured; a loaded machine is slower.
LIMIT_S = 300.0

# Model, bounds: the whole state space holds no error.
CORRECT = [
    ("control", "LOSSES=0 ENTRIES=2 TERMS=3 READS"),
    ("control", "LOSSES=0 ENTRIES=2 TERMS=4"),
    ("control", "LOSSES=1 ENTRIES=2 TERMS=3"),
    ("control", "LOSSES=1 ENTRIES=3 TERMS=2"),
    ("control", "LOSSES=2 ENTRIES=3 TERMS=2"),
    ("leases", ""),
]
# Model, bounds, fault, and a part of the assertion that must fail.
MUTANTS = [
    ("control", "LOSSES=0 ENTRIES=2 TERMS=3", "VOTE_WITHOUT_SYNC", "leader_of"),
    ("control", "LOSSES=0 ENTRIES=2 TERMS=3", "APPEND_WITHOUT_SYNC", "done"),
    ("control", "LOSSES=0 ENTRIES=2 TERMS=4", "OLD_TERM_COMMITS", "done"),
    ("control", "LOSSES=1 ENTRIES=2 TERMS=3", "OLD_IDENTITY", "leader_of|done"),
    ("control", "LOSSES=1 ENTRIES=2 TERMS=3", "LEARNER_COUNTS", "done"),
    ("control", "LOSSES=1 ENTRIES=2 TERMS=3", "REPLACE_IN_ONE_STEP", "leader"),
    ("control", "LOSSES=1 ENTRIES=3 TERMS=3", "CHANGE_BEFORE_COMMIT", "leader"),
    (
        "control",
        "LOSSES=0 ENTRIES=2 TERMS=4",
        "NUMBER_CHECKED_AT_PROPOSAL",
        "winner",
    ),
    (
        "control",
        "LOSSES=0 ENTRIES=2 TERMS=3 READS",
        "READ_WITHOUT_QUORUM",
        "read_from",
    ),
    (
        "control",
        "LOSSES=0 ENTRIES=2 TERMS=3 READS",
        "READ_BEFORE_OWN_COMMIT",
        "read_from",
    ),
    ("leases", "", "ACCEPT_AT_COMMIT", "accepted"),
    ("leases", "", "ACCEPT_BY_LEASES", "accepted"),
    ("leases", "", "MINORITY_SERVES", "accepted"),
    ("leases", "", "HIGHER_NUMBER_IGNORED", "accepted"),
    ("leases", "", "UNREAD_ENTRY_COUNTS", "accepted"),
    ("leases", "", "LEASE_LENT_ACROSS_NUMBERS", "committed"),
    ("leases", "", "LENT_LEASE_STARTS_ANEW", "committed"),
    ("leases", "", "STATEMENT_COUNTED_FROM_ARRIVAL", "accepted"),
    ("leases", "", "IN_FORCE_BY_OWN_LEASE", "acked"),
    ("leases", "LAST=3 DELAYED_ANSWERS", "OLDER_ANSWER_APPLIED", "0"),
]


def _check(folder, model, bounds):
    """Returns the report of pan on a model with these definitions."""
    source = FOLDER / f"{model}.pml"
    flags = [f"-D{bound}" for bound in bounds.split()]
    compiler = ["gcc", "-O1", "-DSAFETY", "-DMEMLIM=4000", "-o", "pan", "pan.c"]
    # -E: the bounds end a run, which is no deadlock of the protocol.
    checker = ["./pan", "-E", "-m1000000", "-w24"]
    for command in (["spin", *flags, "-a", source], compiler, checker):
        done = subprocess.run(
            command,
            cwd=folder,
            capture_output=True,
            text=True,
            timeout=LIMIT_S,
            check=False,
        )
        assert done.returncode == 0, done.stdout + done.stderr
    return done.stdout


@pytest.mark.parametrize(("model", "bounds"), CORRECT)
def test_protocol_has_no_error(tmp_path, model, bounds):
    # Guards against a change of the protocol that breaks a promise, and
    # against a search that was cut short and therefore says nothing.
    report = _check(tmp_path, model, bounds)
    assert "errors: 0" in report
    assert "max search depth too small" not in report
    assert "Search not completed" not in report
    states = float(re.search(r"([\d.e+]+) states, stored", report)[1])
    assert states > 100_000


@pytest.mark.parametrize(("model", "bounds", "fault", "assertion"), MUTANTS)
def test_each_fault_is_found(tmp_path, model, bounds, fault, assertion):
    # Guards against a model that is too weak to see these faults.
    assert f"def {fault}" in (FOLDER / f"{model}.pml").read_text().replace(
        "defined(", "def "
    )
    report = _check(tmp_path, model, f"{bounds} {fault}")
    violated = re.search(r"assertion violated (.*) \(at depth", report)
    assert violated and re.search(assertion, violated[1]), report
