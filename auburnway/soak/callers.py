"""Callers of a soak run: each keeps its connection until it ends."""

import http.client
import random
import threading
import time

from auburnway.platform import testing
from auburnway.platform import testing_clients
from auburnway.soak import checks

TIMEOUT_S = 4.0
DEADLINE_MS = 1500
PAUSE_S = 0.02
NO_ANSWER = testing_clients.Answer(0, (), 0, b"", False)
PATHS = {"safe": "/one/x", "unsafe": "/unsafe/x", "gather": "/all/x"}


class Caller:
    """Sends requests one after another until the event is set.

    Attributes:
      calls: What it saw.
    """

    def __init__(self, platform: testing.Platform, name: str, seed: int):
        self.calls: list[checks.Call] = []
        self._platform = platform
        self._name = name
        self._rng = random.Random(f"{seed}/{name}")
        self._connection: testing_clients.Connection | None = None
        self._entry = 0

    def run(self, stopped: threading.Event) -> None:
        """Works until the event is set."""
        while not stopped.is_set():
            self.calls.append(self.call(len(self.calls)))
            stopped.wait(PAUSE_S * self._rng.random())

    def call(self, number: int, entry: int | None = None) -> checks.Call:
        """Sends one request and returns what came of it.

        Args:
          number: Makes its identity unique.
          entry: Index of the entry; None uses the open connection, or asks
            the directory for another entry.
        """
        is_reused = self._connection is not None and entry is None
        if not is_reused:
            self._connect(self._choose() if entry is None else entry)
        kind = self._rng.choice(tuple(PATHS))
        request_id = f"{self._name}-{number}"
        sent_s = time.monotonic()
        answer = NO_ANSWER
        try:
            answer = self._connection.exchange(
                request_id,
                PATHS[kind],
                request_id.encode(),
                DEADLINE_MS,
                is_gathered=kind == "gather",
            )
        except (OSError, http.client.HTTPException):
            self._connection = None
        if answer.closes_connection:
            self._connection = None
        return checks.Call(
            request_id,
            kind,
            self._entry,
            sent_s,
            time.monotonic(),
            answer.status,
            answer.signatures,
            answer.missing_shards,
            answer.body,
            is_reused,
        )

    def _connect(self, entry: int) -> None:
        self._entry = entry
        self._connection = testing_clients.Connection(
            self._platform, entry, TIMEOUT_S
        )

    def _choose(self) -> int:
        """Returns the index of an entry that a directory names."""
        count = len(self._platform.entries)
        for directory in self._rng.sample(range(count), count):
            named = testing_clients.resolve_entries(self._platform, directory)
            if named:
                return self._rng.choice(named)
        return self._rng.randrange(count)
