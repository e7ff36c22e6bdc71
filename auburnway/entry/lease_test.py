from returns import result

from auburnway.core import clock as clock_lib
from auburnway.entry import lease as lease_lib
from auburnway.entry import testing
from auburnway.kernel import timers as timers_lib
from auburnway.rpc import control_pb2


def test_poll_pending_at_stop_is_followed_by_a_releasing_poll():
    # Guards against an entry that stops with a renewed lease: each later
    # release note would wait until that lease expires.
    clock = clock_lib.ManualClock()
    control = testing.FakeControl()
    released = []
    keeper = lease_lib.LeaseKeeper(
        control,
        testing.DirectMailbox(),
        timers_lib.TimerQueue(clock),
        clock,
        control_pb2.RenewRequest(entry_name="entry-1"),
        lambda configuration: None,
        lambda lease_end_ms, names: None,
    )
    keeper.start()
    keeper.release(lambda: released.append(True))
    reply = result.Success(control_pb2.RenewReply(lease_ms=1500))
    for was_leaving in (False, True):
        assert not released
        _, on_done = control.pending.pop()
        assert control.calls[-1][1].leaving is was_leaving
        on_done(reply)
    assert released == [True] and not control.pending
