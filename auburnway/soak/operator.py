"""The operator of a soak run: sends versions, and reads them back."""

import random
import threading
import time

from auburnway.platform import testing
from auburnway.platform import testing_clients
from auburnway.soak import checks

TIMEOUT_S = 1.0
READ_PAUSE_S = 0.2


class Operator:
    """Sends each version until it is acknowledged, like the platform's.

    Attributes:
      acks: Acknowledged versions.
      reads: Versions that were read.
    """

    def __init__(self, platform: testing.Platform, version: int, seed: int):
        self.acks: list[checks.Read] = []
        self.reads: list[checks.Read] = []
        self._platform = platform
        self._rng = random.Random(f"{seed}/operator")
        self._wanted = version
        self._sent = version

    def change(self) -> None:
        """Asks for one more version."""
        self._wanted += self._rng.randint(1, 3)

    def send(self, stopped: threading.Event) -> None:
        """Sends the newest wanted version until the event is set."""
        while not stopped.is_set():
            version = self._wanted
            if version > self._sent and self._put(version, stopped):
                self._sent = version
            stopped.wait(0.05)

    def read(self, stopped: threading.Event) -> None:
        """Reads the configuration in force until the event is set."""
        while not stopped.is_set():
            self.read_once()
            stopped.wait(READ_PAUSE_S)

    def read_once(self) -> checks.Read | None:
        """Reads the configuration in force; None without a clear answer."""
        sent_s = time.monotonic()
        version = testing_clients.read_version(
            self._platform, self._any_control(), TIMEOUT_S
        )
        if version is None:
            return None
        read = checks.Read(version, sent_s, time.monotonic())
        self.reads.append(read)
        return read

    def _put(self, version: int, stopped: threading.Event) -> bool:
        while not stopped.is_set():
            sent_s = time.monotonic()
            status = testing_clients.put_version(
                self._platform, self._any_control(), version, TIMEOUT_S
            )
            if status == 200:
                self.acks.append(checks.Read(version, sent_s, time.monotonic()))
                return True
            if status is not None and status < 500:
                raise AssertionError(f"version {version} got {status}")
            stopped.wait(0.1)
        return False

    def _any_control(self) -> int:
        return self._rng.randrange(len(self._platform.controls))
