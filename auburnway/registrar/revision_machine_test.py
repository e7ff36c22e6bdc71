"""Tests of the state machine of configurations."""

import itertools

from hypothesis import given
from hypothesis import strategies as st

from auburnway.registrar import revision_machine

MACHINE = revision_machine.RevisionMachine()
_indexes = itertools.count(1)


def put(state, revision, content=b"x"):
    command = revision_machine.PutRevision(revision, content, content)
    data = MACHINE.encode_command(command)
    return MACHINE.apply(state, next(_indexes), data)


def test_highest_revision_is_in_force():
    state, accepted = put(MACHINE.empty, 7, b"seven")
    assert accepted
    state, accepted = put(state, 3, b"three")
    assert accepted
    assert state.content == b"seven"


def test_resent_revision_is_accepted_again():
    state, _ = put(MACHINE.empty, 7)
    assert put(state, 7) == (state, True)


def test_other_content_under_the_revision_in_force_is_refused():
    # When two operators send different content under the same number, one of
    # them must get an error.
    state, _ = put(MACHINE.empty, 7, b"a")
    assert put(state, 7, b"b") == (state, False)


@given(st.lists(st.tuples(st.integers(0, 5), st.binary(max_size=2))))
def test_revision_never_falls(steps):
    state = MACHINE.empty
    for revision, content in steps:
        before = state
        state, accepted = put(state, revision, content)
        assert state.revision >= before.revision
        if state.revision == before.revision:
            assert state == before
        assert accepted or revision == before.revision
    assert MACHINE.decode(MACHINE.encode(state)) == state


def test_stored_form():
    text = b'{"routes": []}' * 50
    content = revision_machine.compress(text)
    assert len(content) < len(text)
    assert revision_machine.decompress(content) == text
