"""Callers of a soak run: each keeps its connection until it ends."""

import http.client
import json
import random
import threading
import time

from auburnway.platform import testing
from auburnway.soak import checks

TIMEOUT_S = 4.0
DEADLINE_MS = 1500
PAUSE_S = 0.02
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
        self._connection: http.client.HTTPConnection | None = None
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
        status, stamps, missing, body = 0, (), 0, b""
        try:
            status, stamps, missing, body = self._exchange(request_id, kind)
        except (OSError, http.client.HTTPException):
            self._connection = None
        return checks.Call(
            request_id,
            kind,
            self._entry,
            sent_s,
            time.monotonic(),
            status,
            stamps,
            missing,
            body,
            is_reused,
        )

    def _exchange(self, request_id: str, kind: str):
        headers = {
            "Host": "h.example",
            "Request-Id": request_id,
            "Deadline-Ms": str(DEADLINE_MS),
        }
        self._connection.request(
            "POST", PATHS[kind], request_id.encode(), headers
        )
        response = self._connection.getresponse()
        body = response.read()
        found = {k.lower(): v for k, v in response.getheaders()}
        name = "part-stamps" if kind == "gather" else "response-stamp"
        stamps = tuple(filter(None, found.get(name, "").split(", ")))
        if response.will_close:
            self._connection = None
        missing = int(found.get("missing-parts", 0))
        return response.status, stamps, missing, body

    def _connect(self, entry: int) -> None:
        self._entry = entry
        machine = self._platform.entries[entry]
        self._connection = http.client.HTTPConnection(
            machine.ip, self._platform.FRONT_PORT, timeout=TIMEOUT_S
        )

    def _choose(self) -> int:
        """Returns the index of an entry that a directory names."""
        ips = [machine.ip for machine in self._platform.entries]
        for ip in self._rng.sample(ips, len(ips)):
            address = f"{ip}:{self._platform.DIRECTORY_PORT}"
            path = "/auburnway/resolve?Name=h.example&Zone=z"
            try:
                status, _, body = testing.call(
                    address, "GET", path, timeout_s=1.0
                )
            except (OSError, http.client.HTTPException):
                continue
            if status == 200:
                named = self._rng.choice(json.loads(body)["addrs"])
                return ips.index(named.rpartition(":")[0])
        return self._rng.randrange(len(ips))
