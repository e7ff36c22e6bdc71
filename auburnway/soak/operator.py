"""The operator of a soak run: sends versions, and reads them back."""

import http.client
import itertools
import json
import random
import threading
import time

from auburnway.platform import testing
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
        got = self._call("GET", "/auburnway/config/get", None)
        if got is None or got[0] != 200:
            return None
        version = json.loads(got[2])["Version"]
        read = checks.Read(version, sent_s, time.monotonic())
        self.reads.append(read)
        return read

    def _put(self, version: int, stopped: threading.Event) -> bool:
        body = testing.configuration(version)
        while not stopped.is_set():
            sent_s = time.monotonic()
            got = self._call("POST", "/auburnway/config/put", body)
            if got is not None and got[0] == 200:
                self.acks.append(checks.Read(version, sent_s, time.monotonic()))
                return True
            if got is not None and got[0] < 500:
                raise AssertionError(f"version {version} was refused: {got}")
            stopped.wait(0.1)
        return False

    def _call(self, method: str, path: str, body):
        """Calls any control instance; returns None without an answer."""
        machine = self._rng.choice(self._platform.controls)
        address = f"{machine.ip}:{self._platform.CONTROL_PORT}"
        for _ in itertools.repeat(None, 3):
            try:
                got = testing.call(
                    address, method, path, body, timeout_s=TIMEOUT_S
                )
            except (OSError, http.client.HTTPException):
                return None
            if got[0] != 307:
                return got
            address = got[1]["Location"].split("/")[2]
        return None
