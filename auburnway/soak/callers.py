"""Callers of a soak run, each with a persistent connection to one entry."""

import http.client
import random
import threading
import time

from auburnway.platform import testing
from auburnway.platform import testing_clients
from auburnway.soak import checks

REQUEST_TIMEOUT_S = 4.0
DEADLINE_MS = 1500
MAX_PAUSE_S = 0.02
NO_ANSWER = testing_clients.Answer(0, (), 0, b"", False)
PATH_BY_KIND = {"safe": "/one/x", "unsafe": "/unsafe/x", "gather": "/all/x"}


class Caller:
    """Sends requests one after another on a persistent connection.

    Attributes:
      calls: Requests sent, with their answers.
    """

    def __init__(self, platform: testing.Platform, name: str, seed: int):
        self.calls: list[checks.Call] = []
        self._platform = platform
        self._name = name
        self._rng = random.Random(f"{seed}/{name}")
        self._connection: testing_clients.Connection | None = None
        self._entry_index = 0

    def run(self, stop_event: threading.Event) -> None:
        """Sends requests until the event is set."""
        while not stop_event.is_set():
            self.calls.append(self.send_request(len(self.calls)))
            stop_event.wait(MAX_PAUSE_S * self._rng.random())

    def send_request(
        self, number: int, entry: int | None = None
    ) -> checks.Call:
        """Sends one request and returns it with its answer.

        Args:
          number: Number that makes the request id unique for this caller.
          entry: Index of the entry. None uses the open connection, or
            connects to an entry from the directory if no connection is open.
        """
        is_reused = self._connection is not None and entry is None
        if not is_reused:
            self._connect(self._choose_entry() if entry is None else entry)
        kind = self._rng.choice(tuple(PATH_BY_KIND))
        request_id = f"{self._name}-{number}"
        sent_s = time.monotonic()
        answer = NO_ANSWER
        try:
            answer = self._connection.exchange(
                request_id,
                PATH_BY_KIND[kind],
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
            self._entry_index,
            sent_s,
            time.monotonic(),
            answer.status,
            answer.signatures,
            answer.missing_shards,
            answer.body,
            is_reused,
        )

    def _connect(self, entry: int) -> None:
        self._entry_index = entry
        self._connection = testing_clients.Connection(
            self._platform, entry, REQUEST_TIMEOUT_S
        )

    def _choose_entry(self) -> int:
        """Returns the index of an entry that a directory lists.

        The directories of the entries are asked in random order. If none of
        them lists an entry, a random index is returned.
        """
        entry_count = len(self._platform.entries)
        for directory in self._rng.sample(range(entry_count), entry_count):
            entries = testing_clients.resolve_entries(self._platform, directory)
            if entries:
                return self._rng.choice(entries)
        return self._rng.randrange(entry_count)
