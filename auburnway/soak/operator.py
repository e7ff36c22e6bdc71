"""Operator of a soak run: writes configuration versions and reads them."""

import random
import threading
import time

from auburnway.platform import testing
from auburnway.platform import testing_clients
from auburnway.soak import checks

CONTROL_TIMEOUT_S = 1.0
READ_INTERVAL_S = 0.2


class Operator:
    """Writes configuration versions, as the operator of the platform does.

    Each version is sent again until it is acknowledged.

    Attributes:
      acks: Acknowledged writes of versions.
      reads: Reads of the version in force.
    """

    def __init__(self, platform: testing.Platform, version: int, seed: int):
        self.acks: list[checks.VersionObservation] = []
        self.reads: list[checks.VersionObservation] = []
        self._platform = platform
        self._rng = random.Random(f"{seed}/operator")
        self._target_version = version
        self._acknowledged_version = version

    def request_change(self) -> None:
        """Requests a newer version, which `send_versions` writes."""
        self._target_version += self._rng.randint(1, 3)

    def send_versions(self, stop_event: threading.Event) -> None:
        """Writes the newest requested version until the event is set."""
        while not stop_event.is_set():
            version = self._target_version
            if version > self._acknowledged_version and self._put_version(
                version, stop_event
            ):
                self._acknowledged_version = version
            stop_event.wait(0.05)

    def read_versions(self, stop_event: threading.Event) -> None:
        """Reads the version in force periodically until the event is set."""
        while not stop_event.is_set():
            self.read_once()
            stop_event.wait(READ_INTERVAL_S)

    def read_once(self) -> checks.VersionObservation | None:
        """Reads the version in force; returns None if the read fails."""
        sent_s = time.monotonic()
        version = testing_clients.read_version(
            self._platform, self._random_control(), CONTROL_TIMEOUT_S
        )
        if version is None:
            return None
        read = checks.VersionObservation(version, sent_s, time.monotonic())
        self.reads.append(read)
        return read

    def _put_version(self, version: int, stop_event: threading.Event) -> bool:
        while not stop_event.is_set():
            sent_s = time.monotonic()
            status = testing_clients.put_version(
                self._platform,
                self._random_control(),
                version,
                CONTROL_TIMEOUT_S,
            )
            if status == 200:
                self.acks.append(
                    checks.VersionObservation(version, sent_s, time.monotonic())
                )
                return True
            if status is not None and status < 500:
                raise AssertionError(
                    f"version {version} was rejected with status {status}"
                )
            stop_event.wait(0.1)
        return False

    def _random_control(self) -> int:
        return self._rng.randrange(len(self._platform.controls))
