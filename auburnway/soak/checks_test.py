"""Tests that the checks detect each kind of violation and nothing else."""

import dataclasses

import pytest

from auburnway.soak import checks

RECORDS = {"sa-1": (b"b" * 16, b"a" * 16), "sb-1": (b"c" * 16, b"a" * 16)}
SAFE = checks.Call(
    "r1", "safe", 0, 1.0, 2.0, 200, ("solo-1.r1",), 0, b"echo:r1"
)
GATHER = checks.Call(
    "r2",
    "gather",
    0,
    1.0,
    2.0,
    200,
    ("sa-1.r2", "sb-1.r2"),
    0,
    b"c" * 16 + b"b" * 16 + b"a" * 16,
)
UNSAFE = dataclasses.replace(SAFE, kind="unsafe")
CORRECT_RUN = checks.Observations(
    (SAFE, GATHER),
    (checks.Run("r1", "solo-1", 1.5),),
    records=RECORDS,
    services={"sa-1": "sa", "sb-1": "sb", "solo-1": "solo"},
    shards=("sa", "sb"),
    max_gathered_records=3,
)


def violations_with(**observed):
    return checks.violations(dataclasses.replace(CORRECT_RUN, **observed))


def test_correct_run_has_no_violation():
    assert violations_with() == ()


@pytest.mark.parametrize(
    "call",
    [
        dataclasses.replace(SAFE, signatures=("solo-1.other",)),
        dataclasses.replace(SAFE, signatures=()),
        dataclasses.replace(SAFE, body=b"echo:other"),
        dataclasses.replace(GATHER, signatures=("sa-1.r2", "sa-1.r2")),
        dataclasses.replace(GATHER, signatures=("sa-1.r2",)),
        dataclasses.replace(GATHER, missing=1),
        dataclasses.replace(GATHER, body=GATHER.body[:-16]),
        dataclasses.replace(GATHER, body=b"a" * 48),
    ],
)
def test_incorrect_answer_is_a_violation(call):
    assert len(violations_with(calls=(SAFE, call))) >= 1


def test_run_of_a_request_that_was_not_sent_is_a_violation():
    assert violations_with(runs=(checks.Run("r9", "solo-1", 1.0),))


def test_second_run_is_a_violation_only_for_unsafe_requests():
    runs = (checks.Run("r1", "solo-1", 1.0), checks.Run("r1", "solo-2", 1.1))
    assert violations_with(runs=runs) == ()
    assert violations_with(calls=(UNSAFE,), runs=runs)


def test_run_of_a_request_answered_as_not_run_is_a_violation():
    call = dataclasses.replace(UNSAFE, status=503, signatures=(), body=b"")
    assert violations_with(calls=(call,))
    assert violations_with(calls=(call,), runs=()) == ()


def test_late_request_to_a_drained_server_is_a_violation():
    limit_s = checks.DRAIN_GRACE_S
    for at_s, expected_count in (
        (10 + limit_s - 0.1, 0),
        (10 + limit_s + 0.1, 1),
    ):
        runs = (checks.Run("r1", "solo-1", at_s),)
        assert (
            len(violations_with(runs=runs, drains={"solo-1": 10.0}))
            == expected_count
        )


def test_stale_configuration_read_is_a_violation():
    acks = (checks.VersionObservation(5, 0.0, 1.0),)
    assert (
        violations_with(
            acks=acks, reads=(checks.VersionObservation(4, 0.9, 1.2),)
        )
        == ()
    )
    assert (
        violations_with(
            acks=acks, reads=(checks.VersionObservation(5, 1.1, 1.2),)
        )
        == ()
    )
    assert violations_with(
        acks=acks, reads=(checks.VersionObservation(4, 1.1, 1.2),)
    )


def test_cut_off_is_a_violation_unless_a_fault_explains_it():
    call = dataclasses.replace(SAFE, status=0, signatures=(), body=b"")
    assert violations_with(calls=(call,))
    # Allowed if the request did not reach a server, or if its entry was killed
    # or frozen while the request was in progress.
    assert violations_with(calls=(call,), runs=()) == ()
    assert violations_with(calls=(call,), fault_spans=((0, 1.5, 3.0),)) == ()
    assert violations_with(calls=(call,), fault_spans=((1, 1.5, 3.0),))
    assert violations_with(calls=(call,), fault_spans=((0, 2.5, 3.0),))


def _limited(count, restart_s=None):
    arrivals_s = tuple(10.0 + n * 0.05 for n in range(count))
    limit = checks.Limit(2.0, 1.0, 30.0, arrivals_s)
    spans = () if restart_s is None else ((0, restart_s, restart_s + 0.5),)
    return violations_with(limits=(limit,), restart_spans=spans)


def test_requests_beyond_a_stated_limit():
    assert len(_limited(18)) == 1
    assert _limited(17) == ()
    assert _limited(18, restart_s=9.0) == ()


def _crashes(times_s):
    runs = tuple(
        checks.Run(f"c{n // 2}", f"solo-{n}", at_s)
        for n, at_s in enumerate(times_s)
    )
    calls = tuple(
        dataclasses.replace(
            SAFE, request_id=f"c{n}", status=502, signatures=(), body=b""
        )
        for n in range(len(times_s))
    )
    return violations_with(
        calls=calls,
        runs=runs,
        crashing_ids=frozenset(call.request_id for call in calls),
    )


def test_late_retries_of_a_crashing_request():
    # Each request is sent and retried 0.1 s later, which counts once noticed.
    assert len(_crashes([t + d for t in range(20) for d in (0.0, 0.1)])) == 1
    assert _crashes([t + d for t in range(8) for d in (0.0, 0.1)]) == ()
    assert _crashes([float(t) for t in range(8)]) == ()
