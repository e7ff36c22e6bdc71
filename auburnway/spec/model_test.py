"""Checks the Promela models, and that each mutant violates an assertion.

The tests need spin and gcc; bin/test installs spin.
"""

import pathlib
import re
import subprocess

import pytest

FOLDER = pathlib.Path(__file__).parent
# Thirty times the longest measured run, because a loaded machine is slower.
TIMEOUT_S = 300.0

# Model and bounds; the complete state space must contain no error.
CORRECT_MODELS = [
    ("control", "MAX_LOSSES=0 MAX_ENTRIES=2 MAX_TERM=3 WITH_READS"),
    ("control", "MAX_LOSSES=0 MAX_ENTRIES=2 MAX_TERM=4"),
    ("control", "MAX_LOSSES=1 MAX_ENTRIES=2 MAX_TERM=3"),
    ("control", "MAX_LOSSES=1 MAX_ENTRIES=3 MAX_TERM=2"),
    ("control", "MAX_LOSSES=2 MAX_ENTRIES=3 MAX_TERM=2"),
    ("leases", ""),
]
# Model, bounds, fault, and a pattern that the violated assertion must match.
MUTANTS = [
    (
        "control",
        "MAX_LOSSES=0 MAX_ENTRIES=2 MAX_TERM=3",
        "VOTE_WITHOUT_SYNC",
        "leader_of",
    ),
    (
        "control",
        "MAX_LOSSES=0 MAX_ENTRIES=2 MAX_TERM=3",
        "APPEND_WITHOUT_SYNC",
        "committed",
    ),
    (
        "control",
        "MAX_LOSSES=0 MAX_ENTRIES=2 MAX_TERM=4",
        "OLD_TERM_COMMITS",
        "committed",
    ),
    (
        "control",
        "MAX_LOSSES=1 MAX_ENTRIES=2 MAX_TERM=3",
        "OLD_IDENTITY",
        "leader_of|committed",
    ),
    (
        "control",
        "MAX_LOSSES=1 MAX_ENTRIES=2 MAX_TERM=3",
        "LEARNER_COUNTS",
        "committed",
    ),
    (
        "control",
        "MAX_LOSSES=1 MAX_ENTRIES=2 MAX_TERM=3",
        "REPLACE_IN_ONE_STEP",
        "leader",
    ),
    (
        "control",
        "MAX_LOSSES=1 MAX_ENTRIES=3 MAX_TERM=3",
        "CHANGE_BEFORE_COMMIT",
        "leader",
    ),
    (
        "control",
        "MAX_LOSSES=0 MAX_ENTRIES=2 MAX_TERM=4",
        "NUMBER_CHECKED_AT_PROPOSAL",
        "accepted_note",
    ),
    (
        "control",
        "MAX_LOSSES=0 MAX_ENTRIES=2 MAX_TERM=3 WITH_READS",
        "READ_WITHOUT_QUORUM",
        "read_floor",
    ),
    (
        "control",
        "MAX_LOSSES=0 MAX_ENTRIES=2 MAX_TERM=3 WITH_READS",
        "READ_BEFORE_OWN_COMMIT",
        "read_floor",
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
    ("leases", "LAST_NUMBER=3 DELAYED_ANSWERS", "OLDER_ANSWER_APPLIED", "0"),
]


def _run_verifier(folder, model, bounds):
    """Returns the report of the verifier pan.

    Args:
      folder: Folder for generated files.
      model: Name of the model.
      bounds: Preprocessor definitions, separated by spaces.
    """
    source = FOLDER / f"{model}.pml"
    flags = [f"-D{bound}" for bound in bounds.split()]
    compiler = ["gcc", "-O1", "-DSAFETY", "-DMEMLIM=4000", "-o", "pan", "pan.c"]
    # -E: ignores invalid end states. The bounds end every run, which is not a
    # deadlock of the protocol.
    checker = ["./pan", "-E", "-m1000000", "-w24"]
    for command in (["spin", *flags, "-a", source], compiler, checker):
        completed = subprocess.run(
            command,
            cwd=folder,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )
        assert completed.returncode == 0, completed.stdout + completed.stderr
    return completed.stdout


@pytest.mark.parametrize(("model", "bounds"), CORRECT_MODELS)
def test_protocol_has_no_error(tmp_path, model, bounds):
    # Guards against a change of the protocol that violates a guarantee, and
    # against an incomplete search, which proves nothing.
    report = _run_verifier(tmp_path, model, bounds)
    assert "errors: 0" in report
    assert "max search depth too small" not in report
    assert "Search not completed" not in report
    states = float(re.search(r"([\d.e+]+) states, stored", report)[1])
    assert states > 100_000


@pytest.mark.parametrize(("model", "bounds", "fault", "assertion"), MUTANTS)
def test_each_fault_violates_an_assertion(
    tmp_path, model, bounds, fault, assertion
):
    # Guards against a model that cannot detect these faults.
    assert f"def {fault}" in (FOLDER / f"{model}.pml").read_text().replace(
        "defined(", "def "
    )
    report = _run_verifier(tmp_path, model, f"{bounds} {fault}")
    violated = re.search(r"assertion violated (.*) \(at depth", report)
    assert violated and re.search(assertion, violated[1]), report
