"""Case 9: requests on an added route without a latency objective are lost.

The configuration is valid and acknowledged. The backends run the requests, but
the entries drop the replies and answer 502.
"""

import asyncio
import collections
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common2 import backends as backends_lib  # noqa: E402
from common2 import case  # noqa: E402
from common2 import fleet as fleet_lib  # noqa: E402

SERVICE = "ledger"
BACKENDS = 14
SLOTS = 3
WORK_S = 0.228
REQUESTS_PER_S = 22.5
# Requests are sent for this time before and after the change.
SENDING_S = 10.0
TIMEOUT_MS = 5000
DEADLINE_MS = 5000
# Requests on added routes from which on they are judged.
MIN_REQUESTS = 20
# Time for which a client waits at the longest.
WAITING_S = 8.0
OBJECTIVE_MS = 1526


def _route(name, objective_ms):
    return {
        "Name": name,
        "Host": "ledger.example",
        "PathPrefix": f"/{name}/",
        "Type": "unsafe",
        "TimeoutMs": TIMEOUT_MS,
        "TargetLatencyMs": objective_ms,
        "Priority": 2,
        "Service": SERVICE,
        "MaxAttempts": 2,
    }


def configuration(version, **objectives_ms):
    """Returns a configuration with routes and their latency objectives."""
    return {
        "Version": version,
        "Routes": [_route(*item) for item in objectives_ms.items()],
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


async def ask(fleet, route, request_id, record):
    """Sends a request; returns its status and the time until its answer."""
    entry = random.choice(fleet.entries)
    headers = {
        "Host": "ledger.example",
        "Request-Id": request_id,
        "Deadline-Ms": str(DEADLINE_MS),
    }
    sent_s = time.monotonic()
    try:
        status, _, _ = await fleet_lib.call(
            fleet.front_address(entry),
            "POST",
            f"/{route}/{request_id}",
            b"{}",
            headers,
            WAITING_S,
        )
    except (OSError, TimeoutError, EOFError):
        status = 0
    took_ms = 1000 * (time.monotonic() - sent_s)
    record.at(
        sent_s,
        f"{request_id} POST /{route}/ at {entry.ip}: {status or 'no answer'}"
        f" after {took_ms:.0f} ms",
    )
    return status, took_ms


async def ask_all(fleet, route, record):
    """Sends requests for a time; returns their statuses and times."""
    tasks = []
    end_s = time.monotonic() + SENDING_S
    while time.monotonic() < end_s:
        request_id = f"{route}{len(tasks):04d}"
        tasks.append(
            asyncio.ensure_future(ask(fleet, route, request_id, record))
        )
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
    answers = await asyncio.gather(*tasks)
    statuses = collections.Counter(status for status, _ in answers)
    record.verdict(f"answers on /{route}/: {dict(statuses)} (0: none)")
    return answers


def served_share(answers):
    """Returns the share of successes."""
    return sum(status == 200 for status, _ in answers) / len(answers)


async def play(fleet, record):
    """Plays the case; returns its exit code."""
    fleet.start()
    servers = [
        backends_lib.Backend(
            fleet,
            SERVICE,
            fleet_lib.ZONES[number % 3],
            SLOTS,
            lambda _: WORK_S * random.lognormvariate(-0.125, 0.5),
            lambda _: b"done" * 100,
        )
        for number in range(BACKENDS)
    ]
    for server in servers:
        await server.start()
    status = await fleet.put(configuration(1, loans=OBJECTIVE_MS))
    record(f"operator put version 1: {status}")
    await fleet.wait_ready()
    await asyncio.sleep(fleet_lib.BOUNDS["StabilityWindowMs"] / 1000)
    await ask_all(fleet, "loans", record)
    objective_ms = 0 if case.has_trouble() else OBJECTIVE_MS
    status = await fleet.put(
        configuration(2, loans=OBJECTIVE_MS, returns=objective_ms)
    )
    record.verdict(
        f"operator put version 2, /returns/ with {objective_ms} ms: {status}"
    )
    await asyncio.sleep(fleet_lib.BOUNDS["ConfigApplyMs"] / 1000)
    answers, others = await asyncio.gather(
        ask_all(fleet, "returns", record), ask_all(fleet, "loans", record)
    )
    for server in servers:
        server.close()
        for run in server.runs:
            record.at(run.at_s, f"{run.request_id} runs at {server.address}")
    first_share, added_share = served_share(others), served_share(answers)
    return case.check(
        len(answers) >= MIN_REQUESTS and added_share < first_share / 4,
        f"served on the first route {first_share:.2f},"
        f" on the added one {added_share:.2f}",
        record,
    )


if __name__ == "__main__":
    case.run(FOLDER, play, controls=3, entries=3)
