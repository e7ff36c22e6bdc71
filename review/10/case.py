"""Case 10: queries run on more backends of a shard than the route allows.

The backends of a query's shards name a limit of requests a second, and a part
of them fails requests. A retry that waits for a server and a hedge that starts
meanwhile are both sent.
"""

import asyncio
import collections
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common2 import backends as backends_lib  # noqa: E402
from common2 import case  # noqa: E402
from common2 import fleet as fleet_lib  # noqa: E402

SHARDS = [f"cloth-finder-{number}" for number in range(10)]
SLOTS = 5
WORK_S = 0.042
# Pauses of the backends, as on the sheet.
PAUSE_S, PAUSE_EVERY_S = 0.25, 6.0
RECORD_COUNT = 25
REQUESTS_PER_S = 40.0
DEADLINE_MS = 1200
MAX_ATTEMPTS = 2
TROUBLE_AT_S = 8.0
# Each backend takes this many requests a second from all machines.
LIMIT_PER_S = 14
# Share of the backends that fail requests, and share of requests that fail.
GREY_SHARE, GREY_X, GREY_S = 0.8, 0.6, 9.0
LENGTH_S = TROUBLE_AT_S + GREY_S
# Requests that may run on more backends.
ALLOWED = 3


class Backend(backends_lib.Backend):
    """A backend that may be in need and may fail requests.

    Attributes:
      limit_per_s: What it names in its answers; None for no limit.
      failing_share: Share of the requests that it runs and fails.
    """

    limit_per_s = None
    failing_share = 0.0

    def _reply(self, writer, status, headers, body):
        if self.limit_per_s is not None:
            headers = headers | {"Server-Limit": str(self.limit_per_s)}
        if status == 200 and random.random() < self.failing_share:
            status, body = 500, b"failed"
        super()._reply(writer, status, headers, body)


def configuration():
    """Returns a configuration with one route over all shards."""
    return {
        "Version": 1,
        "Routes": [
            {
                "Name": "browse",
                "Host": "cloth.example",
                "PathPrefix": "/browse/",
                "Type": "safe",
                "TimeoutMs": DEADLINE_MS,
                "TargetLatencyMs": 247,
                "Priority": 1,
                "Gather": SHARDS,
                "MaxAttempts": MAX_ATTEMPTS,
                "TopK": 20,
                "MinCoverage": 0.89,
            }
        ],
        "Services": [
            {
                "Name": name,
                "HealthCheckPath": "/health",
                "MaxConnections": 41,
                "Protocol": "h1",
                "Tls": False,
            }
            for name in SHARDS
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 262144,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    }


async def start_servers(fleet):
    """Starts three backends of each shard, one in each zone."""
    servers = []
    for shard in SHARDS:
        for zone in fleet_lib.ZONES:
            server = Backend(
                fleet,
                shard,
                zone,
                SLOTS,
                lambda _: WORK_S * random.lognormvariate(-0.06, 0.35),
                lambda _: backends_lib.records(RECORD_COUNT),
            )
            server.pause_s, server.pause_every_s = PAUSE_S, PAUSE_EVERY_S
            await server.start()
            servers.append(server)
    return servers


async def ask(fleet, request_id, record):
    """Sends a query to a random entry; returns its status."""
    entry = random.choice(fleet.entries)
    path = f"/browse/{random.getrandbits(32):08x}"
    headers = {
        "Host": "cloth.example",
        "Request-Id": request_id,
        "Deadline-Ms": str(DEADLINE_MS),
    }
    sent_s = time.monotonic()
    try:
        status, _, _ = await fleet_lib.call(
            fleet.front_address(entry), "GET", path, b"", headers
        )
    except (OSError, TimeoutError, EOFError):
        status = 0
    record.at(sent_s, f"{request_id} GET {path} at {entry.ip}: {status}")
    return status


async def ask_all(fleet, record):
    """Sends queries at random moments."""
    tasks = []
    end_s = time.monotonic() + LENGTH_S
    while time.monotonic() < end_s:
        request_id = f"q{len(tasks):05d}"
        tasks.append(asyncio.ensure_future(ask(fleet, request_id, record)))
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
    statuses = collections.Counter(await asyncio.gather(*tasks))
    record.verdict(f"answers: {dict(statuses)}")


async def make_trouble(servers, record):
    """Lets the backends name limits and fail requests."""
    is_limited = os.environ.get("LIMITED", "1") != "0"
    is_grey = os.environ.get("GREY", "1") != "0"
    await asyncio.sleep(TROUBLE_AT_S)
    grey = random.sample(servers, round(GREY_SHARE * len(servers)))
    for server in servers:
        server.limit_per_s = LIMIT_PER_S if is_limited else None
        server.failing_share = GREY_X if is_grey and server in grey else 0.0
    record(f"limits: {is_limited}, failing backends: {is_grey and len(grey)}")


def excessive_requests(servers, record):
    """Returns the requests that ran on too many backends of one shard."""
    runs = collections.defaultdict(list)
    for server in servers:
        for run in server.runs:
            key = (run.request_id, server.service)
            runs[key].append((run.at_s, server.address))
    excessive = set()
    for (request_id, shard), places in runs.items():
        if len({address for _, address in places}) > MAX_ATTEMPTS:
            excessive.add(request_id)
            for at_s, address in places:
                record.at(at_s, f"{request_id} runs in {shard} at {address}")
    counts = collections.Counter(len(places) for places in runs.values())
    record(f"runs of a part, by their number: {dict(counts)}")
    return excessive


async def play(fleet, record):
    """Plays the case; returns its exit code."""
    fleet.start()
    servers = await start_servers(fleet)
    status = await fleet.put(configuration())
    record(f"operator put version 1: {status}")
    await fleet.wait_ready()
    await asyncio.sleep(3.0)
    traffic = ask_all(fleet, record)
    if case.has_trouble():
        await asyncio.gather(traffic, make_trouble(servers, record))
    else:
        await traffic
    for server in servers:
        server.close()
    excessive = excessive_requests(servers, record)
    return case.check(
        len(excessive) > ALLOWED,
        f"{len(excessive)} requests ran on more than {MAX_ATTEMPTS} backends"
        " of one shard",
        record,
    )


if __name__ == "__main__":
    case.run(FOLDER, play, controls=3, entries=3)
