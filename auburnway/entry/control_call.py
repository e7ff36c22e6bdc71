"""Asynchronous calls to control whose replies are handled on the loop."""

from collections import abc
import typing

from returns import pipeline

from auburnway.kernel import mailbox as mailbox_lib


def call(
    control: typing.Any,
    mailbox: mailbox_lib.Mailbox,
    method: str,
    message: typing.Any,
    timeout_ms: float,
    on_reply: abc.Callable[[typing.Any], None],
) -> None:
    """Calls a method of control.

    Args:
      control: Client of control, such as `rpc.control_client.ControlClient`.
      mailbox: Passes the reply from the client's thread to the loop.
      method: Name of the method.
      message: Request message.
      timeout_ms: Timeout of the call.
      on_reply: Called on the loop with the reply message, or None when the
        call failed or timed out. A reply message may contain an error.
    """

    def on_done(outcome):
        reply = None
        if pipeline.is_successful(outcome):
            reply = outcome.unwrap()
        mailbox.post(lambda: on_reply(reply))

    control.call_async(method, message, timeout_ms, on_done)
