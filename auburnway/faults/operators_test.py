"""Operators racing with notes of equal number."""

from concurrent import futures
import random

import pytest
from returns import pipeline

from auburnway.faults import rig as rig_lib
from auburnway.rpc import control_pb2 as pb

pytestmark = pytest.mark.processes

NUMBERS = 100
# Short enough that some answers come too late and are lost.
LOST_ANSWER_MS = 8.0


def _submit(client, text, rng):
    """Submits until answered, sometimes losing the answer first."""
    request = pb.NoteRequest(text=text, author="x")
    lost = 0
    while True:
        timeout_ms = LOST_ANSWER_MS if rng.random() < 0.3 else 3000.0
        outcome = client.call("Apply", request, timeout_ms)
        if pipeline.is_successful(outcome):
            return outcome.unwrap(), lost
        lost += 1


def _receipt(reply):
    return (reply.number, reply.digest, reply.revision, reply.accepted_wall_ms)


def _operate(rig, name, start):
    """Submits its own note under each number, then all of them again."""
    rng, replies, lost = random.Random(name), {}, 0
    with rig.client() as client:
        for number in range(start, start + NUMBERS):
            text = rig_lib.small_note(number, f"{name}-{number}")
            replies[number], more = _submit(client, text, rng)
            lost += more
            # A loser goes on only when the winner is known, as a person.
        again = {
            number: _submit(
                client, rig_lib.small_note(number, f"{name}-{number}"), rng
            )[0]
            for number in replies
        }
    return replies, again, lost


def test_each_number_has_one_winner_and_resends_get_its_receipt(rig):
    # Guards against two notes accepted under one number, a loser without a
    # typed conflict, and a second receipt for a resend.
    start = rig.number() + 1
    with futures.ThreadPoolExecutor(2) as pool:
        first, second = pool.map(
            lambda name: _operate(rig, name, start), ("anna", "bert")
        )
    print("lost answers:", first[2], second[2])
    wins = []
    for number in range(start, start + NUMBERS):
        replies = [first[0][number], second[0][number]]
        winners = [r for r in replies if not r.errors]
        wins.append(len(winners))
        losers = [r.errors[0].code for r in replies if r.errors]
        assert losers == ["note_conflict"], (number, losers)
    assert wins == [1] * NUMBERS
    for replies, again, _ in (first, second):
        for number, reply in replies.items():
            if not reply.errors:
                assert _receipt(again[number]) == _receipt(reply)
                assert again[number].repeated_submission
            else:
                assert again[number].errors[0].code == "note_conflict"
    assert rig.number() == start + NUMBERS - 1
