"""Case 9: heartbeats of another writer take live backends out of use for good.

Another writer reports the addresses of live backends under a service that no
configuration names. The entries then send these backends nothing any more.
"""

import asyncio
import collections
import json
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common2 import backends as backends_lib  # noqa: E402
from common2 import case  # noqa: E402
from common2 import fleet as fleet_lib  # noqa: E402

# Backends and slots of the services, as on the sheet.
SERVICES = {"ledger": 14, "care-rota": 7}
SLOTS = 3
WORK_S = 0.228
REQUESTS_PER_S = 11.0
# Requests are sent for this time on each route.
SENDING_S = 20.0
TIMEOUT_MS = 5000
DEADLINE_MS = 5000
# Requests on added routes from which on they are judged.
MIN_REQUESTS = 20
# Service that the other writer names; no configuration does.
OTHER_SERVICE = "node-agent"


def _route(service):
    return {
        "Name": service,
        "Host": "ledger.example",
        "PathPrefix": f"/{service}/",
        "Type": "safe",
        "TimeoutMs": TIMEOUT_MS,
        "TargetLatencyMs": 1526,
        "Priority": 2,
        "Service": service,
        "MaxAttempts": 2,
    }


def configuration(version, *services):
    """Returns a configuration with one route for each service."""
    return {
        "Version": version,
        "Routes": [_route(service) for service in services],
        "Services": [
            {
                "Name": service,
                "HealthCheckPath": "/health",
                "MaxConnections": 100,
                "Protocol": "h1",
                "Tls": False,
            }
            for service in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 262144,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    }


async def report_by_other_writer(fleet, servers, record):
    """Sends one heartbeat for the address of each server."""
    for number, server in enumerate(servers):
        body = {
            "Service": OTHER_SERVICE,
            "Address": server.address,
            "Zone": server.zone,
            "Version": "v1",
            "Slots": 1,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": 1,
            "born": int(time.time() * 1000),
        }
        addresses = fleet.control_addresses()
        status, _, _ = await fleet_lib.call(
            addresses[number % len(addresses)],
            "POST",
            f"/auburnway/instances/agent-{number}/heartbeat",
            json.dumps(body).encode(),
        )
        record(f"another writer reports {json.dumps(body)}: {status}")


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
            "GET",
            f"/{route}/{request_id}",
            b"",
            headers,
            DEADLINE_MS / 1000 + 1.0,
        )
    except (OSError, TimeoutError, EOFError):
        status = 0
    took_ms = 1000 * (time.monotonic() - sent_s)
    record.at(
        sent_s,
        f"{request_id} GET /{route}/ at {entry.ip}: {status or 'no answer'}"
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
            service,
            fleet_lib.ZONES[number % 3],
            SLOTS,
            lambda _: WORK_S * random.lognormvariate(-0.125, 0.5),
            lambda _: b"done" * 750,
        )
        for service, count in SERVICES.items()
        for number in range(count)
    ]
    for server in servers:
        await server.start()
    first, added = SERVICES
    status = await fleet.put(configuration(1, first))
    record(f"operator put version 1: {status}")
    await fleet.wait_ready()
    await asyncio.sleep(fleet_lib.BOUNDS["StabilityWindowMs"] / 1000)
    status = await fleet.put(configuration(2, first, added))
    record(f"operator put version 2: {status}")
    if case.has_trouble():
        others = [server for server in servers if server.service == added]
        await report_by_other_writer(fleet, others, record)
    await asyncio.sleep(fleet_lib.BOUNDS["ConfigApplyMs"] / 1000 + 1.0)
    others, answers = await asyncio.gather(
        ask_all(fleet, first, record), ask_all(fleet, added, record)
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
