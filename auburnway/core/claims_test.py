"""Tests of idempotency keys."""

import pytest

from auburnway.core import claims


@pytest.mark.parametrize("key", ["1-a", "123456789012345-" + "~" * 64])
def test_key_within_the_rules_is_taken(key):
    assert claims.issued_ms(key) == int(key.split("-")[0])


@pytest.mark.parametrize(
    "key", ["", "1", "1-", "-a", "x-a", "1-a b", "1-" + "a" * 65, "1-\u00e9"]
)
def test_key_against_the_rules_is_refused(key):
    # Guards against a key that the entry accepts and control refuses, or the
    # reverse: both use this rule.
    assert claims.issued_ms(key) is None
