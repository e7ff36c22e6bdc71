"""The checks find each kind of broken promise, and nothing else."""

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
GOOD = checks.Seen(
    (SAFE, GATHER),
    (checks.Run("r1", "solo-1", 1.5),),
    records=RECORDS,
    services={"sa-1": "sa", "sb-1": "sb", "solo-1": "solo"},
    shards=("sa", "sb"),
    top_records=3,
)


def found(**changes):
    return checks.violations(dataclasses.replace(GOOD, **changes))


def test_sound_run_has_no_violation():
    assert found() == ()


@pytest.mark.parametrize(
    "call",
    [
        dataclasses.replace(SAFE, stamps=("solo-1.other",)),
        dataclasses.replace(SAFE, stamps=()),
        dataclasses.replace(SAFE, body=b"echo:other"),
        dataclasses.replace(GATHER, stamps=("sa-1.r2", "sa-1.r2")),
        dataclasses.replace(GATHER, stamps=("sa-1.r2",)),
        dataclasses.replace(GATHER, missing=1),
        dataclasses.replace(GATHER, body=GATHER.body[:-16]),
        dataclasses.replace(GATHER, body=b"a" * 48),
    ],
)
def test_untrue_answer(call):
    assert len(found(calls=(SAFE, call))) >= 1


def test_request_that_nobody_sent():
    assert found(runs=(checks.Run("r9", "solo-1", 1.0),))


def test_second_run_counts_only_where_it_is_not_allowed():
    runs = (checks.Run("r1", "solo-1", 1.0), checks.Run("r1", "solo-2", 1.1))
    assert found(runs=runs) == ()
    assert found(calls=(UNSAFE,), runs=runs)


def test_not_run_that_ran():
    call = dataclasses.replace(UNSAFE, status=503, stamps=(), body=b"")
    assert found(calls=(call,))
    assert found(calls=(call,), runs=()) == ()


def test_request_after_a_drain():
    limit_s = checks.DRAIN_S
    for at_s, count in ((10 + limit_s - 0.1, 0), (10 + limit_s + 0.1, 1)):
        runs = (checks.Run("r1", "solo-1", at_s),)
        assert len(found(runs=runs, drains={"solo-1": 10.0})) == count


def test_older_configuration_after_an_acknowledgement():
    acks = (checks.Read(5, 0.0, 1.0),)
    assert found(acks=acks, reads=(checks.Read(4, 0.9, 1.2),)) == ()
    assert found(acks=acks, reads=(checks.Read(5, 1.1, 1.2),)) == ()
    assert found(acks=acks, reads=(checks.Read(4, 1.1, 1.2),))


def test_request_that_is_cut_off():
    call = dataclasses.replace(SAFE, status=0, stamps=(), body=b"")
    assert found(calls=(call,))
    # It never reached a server, or its entry was killed.
    assert found(calls=(call,), runs=()) == ()
    assert found(calls=(call,), disturbed=((0, 1.5, 3.0),)) == ()
    assert found(calls=(call,), disturbed=((1, 1.5, 3.0),))
    assert found(calls=(call,), disturbed=((0, 2.5, 3.0),))
