"""Numbers in HTTP headers, in each form in which a program may print them."""

import re

# Any number of digits, as printed in double precision.
_DECIMAL = re.compile(rb"\+?(\d+\.?\d*|\.\d+)\Z")
_EXPONENT = re.compile(rb"[eE][+-]?\d+\Z")
_WHOLE = re.compile(rb"\d+\Z")
# A longer number is greater than each maximum; `int` refuses very long ones.
_MAX_DIGITS = 18


def decimal(
    text: bytes, maximum: float, allows_exponent: bool = False
) -> float | None:
    """Returns a number that is not negative; None if the text is none.

    Args:
      text: Value of the header.
      maximum: Greater numbers are taken as this one.
      allows_exponent: Whether the number may end with a power of ten.
    """
    text = text.strip()
    digits = _EXPONENT.sub(b"", text) if allows_exponent else text
    if not _DECIMAL.match(digits):
        return None
    return min(float(text), maximum)


def whole(text: bytes, maximum: int) -> int | None:
    """Returns a whole number that is not negative; None if the text is none.

    Args:
      text: Value of the header.
      maximum: Greater numbers are taken as this one; below 10**18.
    """
    text = text.strip()
    if not _WHOLE.match(text):
        return None
    digits = text.lstrip(b"0") or b"0"
    return maximum if len(digits) > _MAX_DIGITS else min(int(digits), maximum)
