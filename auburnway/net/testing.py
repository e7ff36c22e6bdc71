"""A loop that tests turn by hand, with sockets and timers."""

import time

from auburnway.core import clock as clock_lib
from auburnway.kernel import process
from auburnway.net import socket_set


class Rig:
    def __init__(self):
        self.loop = process.Loop(clock_lib.SystemClock())
        self.sockets = socket_set.SocketSet(self.loop.poller)

    def step(self, count=1):
        for _ in range(count):
            time.sleep(0.002)
            self.sockets.dispatch_ready()
            self.loop.timers.run_due()

    def turn(self, until, timeout_s=3.0):
        end_s = time.monotonic() + timeout_s
        while not until():
            assert time.monotonic() < end_s, "nothing came in time"
            self.step()
