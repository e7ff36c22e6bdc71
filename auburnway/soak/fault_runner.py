"""Injects the planned faults of a soak run into its environment."""

import functools
import signal
import subprocess
import time

from auburnway.platform import testing
from auburnway.soak import checks
from auburnway.soak import plan

RELAY_DELAY_S = 0.2
STOP_TIMEOUT_S = 8.0
LIMIT_PER_S = 3.0
REPORT_HEADERS = {
    "limit": {"Server-Limit": str(LIMIT_PER_S)},
    "limit_of_many_digits": {"Server-Limit": "2.9999999999999996"},
    "limit_with_exponent": {"Server-Limit": "3e+00"},
    "pause": {"Retry-After": "1.5"},
    "leaving": {"Server-Leaving": "1"},
}
FAULTY_REPLIES = {
    "endless_head": testing.FaultyReply(
        testing.REPLY_HEAD + b"A: ", b"a" * 65536
    ),
    "endless_body": testing.FaultyReply(
        testing.REPLY_HEAD + b"\r\n", b"a" * 65536
    ),
    "slow_body": testing.FaultyReply(
        testing.REPLY_HEAD + b"\r\n", b"a", gap_s=0.1
    ),
    "small_headers": testing.FaultyReply(testing.REPLY_HEAD, b"a:\r\n" * 16384),
    "small_chunks": testing.FaultyReply(
        testing.REPLY_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\na\r\n" * 10_000,
    ),
    "other_replies": testing.FaultyReply(
        b"HTTP/1.1 102 Processing\r\nRequest-Id: %s\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n"
        * 1_000,
    ),
    "cut_head": testing.FaultyReply(testing.REPLY_HEAD[:-6]),
    "cut_body": testing.FaultyReply(
        testing.REPLY_HEAD + b"Content-Length: 64\r\n\r\nshort"
    ),
}


@functools.singledispatch
def run(fault, environment) -> None:
    """Injects a fault and reverts it; blocks until the fault is over."""
    raise TypeError(f"unknown fault: {fault!r}")


@run.register
def _(fault: plan.Kill, environment) -> None:
    with environment.lock_for_fault(fault.role, fault.index) as machine:
        machine.kill()
        time.sleep(fault.down_s)
        machine.start()


@run.register
def _(fault: plan.Freeze, environment) -> None:
    with environment.lock_for_fault(fault.role, fault.index) as machine:
        machine.send_signal(signal.SIGSTOP)
        time.sleep(fault.for_s)
        machine.send_signal(signal.SIGCONT)


@run.register
def _(fault: plan.Stop, environment) -> None:
    with environment.lock_for_stop(fault.role, fault.index) as machine:
        has_started = machine.has_started()
        machine.send_signal()
        try:
            exit_code = machine.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            exit_code = "no exit in time"
            machine.kill()
        # A process has no signal handler until it logs its first line; before
        # that, any exit code is allowed.
        if exit_code != 0 and has_started:
            environment.failures.append(f"stop of {fault} failed: {exit_code}")
        machine.start()


@run.register
def _(fault: plan.Reload, environment) -> None:
    with environment.lock_for_stop(fault.role, fault.index) as machine:
        # A process has no signal handler until it logs its first line.
        if machine.process.poll() is None and machine.has_started():
            machine.send_signal(signal.SIGHUP)


@run.register
def _(fault: plan.LoseDisk, environment) -> None:
    with environment.lock_for_fault("control", fault.index) as machine:
        machine.kill()
        environment.restart_control(fault.index, with_disk=False)


@run.register
def _(fault: plan.TearLog, environment) -> None:
    with environment.lock_for_fault("control", fault.index) as machine:
        machine.kill()
        environment.append_torn_write(fault.index)
        environment.restart_control(fault.index, with_disk=True)


@run.register
def _(fault: plan.LinkFault, environment) -> None:
    relay = environment.servers[fault.index].relay
    if fault.effect == "reset":
        relay.reset()
        return
    if fault.effect == "delay":
        relay.delay_s = RELAY_DELAY_S
    else:
        setattr(relay, f"drops_{fault.effect}", True)
    time.sleep(fault.for_s)
    relay.delay_s = 0.0
    relay.drops_requests = relay.drops_replies = False


@run.register
def _(fault: plan.Reject, environment) -> None:
    backend = environment.servers[fault.index].backend
    backend.rejects = True
    time.sleep(fault.for_s)
    backend.rejects = False


@run.register
def _(fault: plan.SendFaulty, environment) -> None:
    backend = environment.servers[fault.index].backend
    backend.faulty_reply = FAULTY_REPLIES[fault.form]
    time.sleep(fault.for_s)
    backend.faulty_reply = None


@run.register
def _(fault: plan.Report, environment) -> None:
    backend = environment.servers[fault.index].backend
    start_s = time.monotonic()
    backend.advice = REPORT_HEADERS[fault.form]
    backend.rejects = fault.form == "pause"
    time.sleep(fault.for_s)
    backend.advice, backend.rejects = {}, False
    end_s = time.monotonic()
    if fault.form == "leaving":
        # Only a new start takes requests again.
        backend.started_ms += 1
    if "Server-Limit" in REPORT_HEADERS[fault.form]:
        arrivals_s = tuple(
            t for t in backend.arrivals_s if start_s <= t <= end_s
        )
        environment.limits.append(
            checks.Limit(LIMIT_PER_S, start_s, end_s, arrivals_s)
        )


@run.register
def _(fault: plan.Drain, environment) -> None:
    environment.replace_server(fault.index)


@run.register
def _(fault: plan.Change, environment) -> None:
    environment.operator.request_change()


@run.register
def _(fault: plan.DepartAndLoseAll, environment) -> None:
    environment.leave_and_lose_all(fault)


@run.register
def _(fault: plan.SendCrashing, environment) -> None:
    environment.send_crashing(fault)
