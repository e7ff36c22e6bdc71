"""A loop with sockets and timers that tests run step by step."""

import time

from auburnway.core import clock as clock_lib
from auburnway.kernel import process
from auburnway.net import socket_set


class LoopHarness:
    def __init__(self):
        self.loop = process.Loop(clock_lib.SystemClock())
        self.sockets = socket_set.SocketSet(self.loop.poller)

    def run_iterations(self, count=1):
        for _ in range(count):
            time.sleep(0.002)
            self.sockets.dispatch_ready()
            self.loop.timers.run_due()

    def run_until(self, condition, timeout_s=3.0):
        end_s = time.monotonic() + timeout_s
        while not condition():
            assert time.monotonic() < end_s, "condition not met in time"
            self.run_iterations()
