"""Calls of functions that must not stop the process."""

from collections import abc

import loguru


def call_safely(call: abc.Callable, *arguments) -> None:
    """Runs a callback; logs its exception instead of raising it."""
    try:
        call(*arguments)
    except Exception:
        loguru.logger.exception("unexpected exception in a callback")
