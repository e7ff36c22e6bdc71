"""Case 7: a page that many ask for is refused long after its servers are back.

All backends of a service crash once and are back 4.9 s later. What they ran at
that moment is taken for a request that crashes servers.
"""

import asyncio
import collections
import os
import pathlib
import random
import shutil
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common2 import backends as backends_lib  # noqa: E402
from common2 import case  # noqa: E402
from common2 import fleet as fleet_lib  # noqa: E402

SERVICE = "ledger"
# The sheet's figures at the share 1, which the site file plays at half.
BACKENDS = 27
SLOTS = 3
WORK_S = 0.228
REQUESTS_PER_S = 45.0
# All clients ask for the same page.
PATH = "/returns/today"
CRASH_AT_S = 20.0
# Time for which the backends are down.
DOWN_S = 4.9
FINAL_AT_S = 28.0
FINAL_DOWN_S = 1.6
RECOVERY_S = fleet_lib.BOUNDS["RecoveryS"]
# Requests are judged for this time after the recovery.
JUDGED_S = 15.0
DEADLINE_MS = 5000


def configuration(version):
    """Returns a configuration with one route."""
    return {
        "Version": version,
        "Routes": [
            {
                "Name": "returns",
                "Host": "ledger.example",
                "PathPrefix": "/returns/",
                "Type": "safe",
                "TimeoutMs": DEADLINE_MS,
                "TargetLatencyMs": 1526,
                "Priority": 2,
                "Service": SERVICE,
                "MaxAttempts": 2,
            }
        ],
        "Services": [
            {
                "Name": SERVICE,
                "HealthCheckPath": "/health",
                "MaxConnections": 100,
                "Protocol": "h1",
                "Tls": False,
            }
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 262144,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    }


class Clients:
    """Clients that ask for one page, at random entries."""

    def __init__(self, fleet, record):
        self._fleet = fleet
        self._record = record
        self._tasks = set()
        self._count = 0
        # Time of each request and its status; 0 without an answer.
        self.answers: list[tuple[float, int]] = []

    async def ask_until(self, end_s):
        """Sends requests at random moments."""
        while time.monotonic() < end_s:
            self._count += 1
            task = asyncio.ensure_future(self._ask(f"q{self._count:05d}"))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))

    async def wait(self):
        """Waits for all answers."""
        await asyncio.gather(*self._tasks)

    async def _ask(self, request_id):
        entry = random.choice(self._fleet.entries)
        headers = {
            "Host": "ledger.example",
            "Request-Id": request_id,
            "Deadline-Ms": str(DEADLINE_MS),
        }
        sent_s, fields = time.monotonic(), {}
        try:
            status, fields, _ = await fleet_lib.call(
                self._fleet.front_address(entry), "GET", PATH, b"", headers
            )
        except (OSError, TimeoutError, EOFError):
            status = 0
        self.answers.append((sent_s, status))
        self._record.at(
            sent_s,
            f"{request_id} GET {PATH} at {entry.ip}: {status}"
            f" Retry-After {fields.get('retry-after', '-')}",
        )


def served_share(answers, from_s, to_s):
    """Returns the share of successes among the requests of a time."""
    statuses = [status for sent_s, status in answers if from_s <= sent_s < to_s]
    return sum(status == 200 for status in statuses) / max(len(statuses), 1)


async def final_fault(fleet, record):
    """All core machines are killed; one comes back without its disk."""
    status = await fleet.put(configuration(2))
    record(f"operator put version 2: {status}")
    for control in fleet.controls:
        control.kill()
    wiped = fleet.controls[0]
    shutil.rmtree(wiped.data_folder)
    wiped.data_folder.mkdir()
    record(f"killed all control machines; {wiped.ip} has no disk")
    await asyncio.sleep(FINAL_DOWN_S)
    wiped.start(Bootstrap=False)
    for control in fleet.controls[1:]:
        control.start()
    record("started all control machines")


async def play(fleet, record):
    """Plays the case; returns its exit code."""
    trouble = case.has_trouble()
    # Contrast: the final fault alone.
    crashes = trouble and os.environ.get("CRASH", "1") != "0"
    fleet.start()
    servers = [
        backends_lib.Backend(
            fleet,
            SERVICE,
            fleet_lib.ZONES[number % 3],
            SLOTS,
            lambda _: WORK_S * random.lognormvariate(-0.125, 0.5),
            lambda _: b"returns of today" * 180,
        )
        for number in range(BACKENDS)
    ]
    for server in servers:
        await server.start()
    status = await fleet.put(configuration(1))
    record(f"operator put version 1: {status}")
    await fleet.wait_ready()
    await asyncio.sleep(3.0)
    clients = Clients(fleet, record)
    start_s = time.monotonic()
    back_s = start_s + FINAL_AT_S + FINAL_DOWN_S + 1.0
    end_s = back_s + RECOVERY_S + JUDGED_S
    traffic = asyncio.ensure_future(clients.ask_until(end_s))
    await asyncio.sleep(CRASH_AT_S)
    if crashes:
        for server in servers:
            server.crash(DOWN_S)
        record(f"all {BACKENDS} backends crashed, back in {DOWN_S} s")
    await asyncio.sleep(start_s + FINAL_AT_S - time.monotonic())
    final_s = time.monotonic()
    if trouble:
        await final_fault(fleet, record)
    await traffic
    await clients.wait()
    for server in servers:
        server.close()
        for run in server.runs:
            record.at(run.at_s, f"{run.request_id} runs at {server.address}")
    before = served_share(clients.answers, start_s, final_s)
    after = served_share(clients.answers, back_s + RECOVERY_S, end_s)
    late = collections.Counter(
        status
        for sent_s, status in clients.answers
        if sent_s >= back_s + RECOVERY_S
    )
    record.verdict(f"answers after the recovery: {dict(late)}")
    return case.check(
        before >= 0.25 > after,
        f"served before the final fault {before:.2f}, later than"
        f" {RECOVERY_S} s after the machines were back {after:.2f}",
        record,
    )


if __name__ == "__main__":
    case.run(FOLDER, play, controls=3, entries=3)
