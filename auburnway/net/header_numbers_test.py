"""Tests of numbers in headers."""

import hypothesis
from hypothesis import strategies
import pytest

from auburnway.net import header_numbers

MAXIMUM = 1e6


@hypothesis.given(
    strategies.floats(min_value=0.0, max_value=MAXIMUM, allow_nan=False)
)
def test_each_double_is_read_as_it_is_printed(value):
    # Guards against a limit that is ignored because it has many digits.
    text = repr(value).encode()
    assert header_numbers.decimal(text, MAXIMUM, True) == value
    if b"e" in text:
        assert header_numbers.decimal(text, MAXIMUM) is None


@pytest.mark.parametrize(
    ("text", "value"),
    [
        (b"3.3333333333333335", 3.3333333333333335),
        (b" 5 ", 5.0),
        (b"+5.", 5.0),
        (b".5", 0.5),
        (b"1e+05", 100_000.0),
        (b"1E-7", 1e-7),
        (b"0.1000000000000000055511151231257827021181583404541015625", 0.1),
        (b"9" * 5000, MAXIMUM),
        (b"1e999", MAXIMUM),
    ],
)
def test_forms_of_a_decimal_number(text, value):
    assert header_numbers.decimal(text, MAXIMUM, True) == value


@pytest.mark.parametrize(
    "text",
    [b"", b"-1", b"nan", b"inf", b"0x10", b"1_0", b"1,5", b"5 s", b".", b"e5"],
)
def test_other_texts_are_no_numbers(text):
    assert header_numbers.decimal(text, MAXIMUM, True) is None
    assert header_numbers.whole(text, 10) is None


@hypothesis.given(strategies.binary())
def test_no_text_raises(text):
    header_numbers.decimal(text, MAXIMUM, True)
    header_numbers.whole(text, 10)


def test_long_whole_numbers_are_the_maximum():
    # Guards against the limit of `int` on the number of digits.
    assert header_numbers.whole(b"9" * 5000, 10) == 10
    assert header_numbers.whole(b"0" * 5000 + b"7", 10) == 7
    assert header_numbers.whole(b"7.0", 10) is None
