"""Case 10: a crashing query reaches backends again and again, shard by shard.

Each shard counts the crashes of a query for itself, so the pauses of the shards
end at different moments, and each of them lets the query through.
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
REQUESTS_PER_S = 20.0
DEADLINE_MS = 1200
# A client asks for the crashing page once a second.
CRASHING = "/browse/bad"
CRASHING_EVERY_S = 1.0
CRASHING_AT_S = 5.0
# One shard is down when the page is asked for the first time.
DOWN_SHARD = SHARDS[3]
DOWN_AT_S = 4.8
DOWN_S = 4.9
LENGTH_S = 90.0
STABILITY_S = fleet_lib.BOUNDS["StabilityWindowMs"] / 1000
MAX_RETRIES = 3


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
                "MaxAttempts": 2,
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
            server = backends_lib.Backend(
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


async def ask(fleet, path, request_id, record):
    """Sends a query to a random entry."""
    entry = random.choice(fleet.entries)
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


async def ask_all(fleet, start_s, crashing_sent_s, record):
    """Sends ordinary queries, and the crashing one each second."""
    tasks = []
    next_s = start_s + CRASHING_AT_S
    number = 0
    while time.monotonic() < start_s + LENGTH_S:
        number += 1
        now_s = time.monotonic()
        if now_s >= next_s:
            next_s += CRASHING_EVERY_S
            request_id = f"bad{number:05d}"
            crashing_sent_s[request_id] = now_s
            tasks.append(
                asyncio.ensure_future(ask(fleet, CRASHING, request_id, record))
            )
        path = f"/browse/{random.getrandbits(32):08x}"
        tasks.append(
            asyncio.ensure_future(ask(fleet, path, f"q{number:05d}", record))
        )
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
    statuses = collections.Counter(await asyncio.gather(*tasks))
    record(f"answers: {dict(statuses)}")


async def take_shard_down(servers, record):
    """Crashes all backends of one shard; they are back after a time."""
    await asyncio.sleep(DOWN_AT_S)
    for server in servers:
        if server.service == DOWN_SHARD:
            server.crash(DOWN_S)
            # Only crashes by the query are counted.
            server.crashes_s.clear()
            record(f"{server.address} of {DOWN_SHARD} is down for {DOWN_S} s")


def late_retries(servers, crashing_sent_s, record):
    """Returns the retries that reach backends late after the third crash."""
    crashes_s = sorted(t for server in servers for t in server.crashes_s)
    runs = collections.defaultdict(list)
    for server in servers:
        for run in server.runs:
            if run.path == CRASHING:
                runs[run.request_id].append(server.service)
    if len(crashes_s) < 3:
        return []
    record.at(crashes_s[2], "the third backend has crashed")
    late = []
    for request_id, sent_s in crashing_sent_s.items():
        if request_id not in runs:
            continue
        after_s = sent_s - crashes_s[2]
        text = f"{request_id} runs in {sorted(runs[request_id])}"
        record.at(sent_s, f"{text}, {after_s:.1f} s after the third crash")
        if after_s > STABILITY_S:
            late.append(request_id)
    return late


async def play(fleet, record):
    """Plays the case; returns its exit code."""
    fleet.start()
    servers = await start_servers(fleet)
    status = await fleet.put(configuration())
    record(f"operator put version 1: {status}")
    await fleet.wait_ready()
    await asyncio.sleep(3.0)
    trouble = case.has_trouble()
    if trouble:
        for server in servers:
            server.crash_path = CRASHING
    # Contrast: the crashing query alone.
    takes_down = trouble and os.environ.get("DOWN", "1") != "0"
    start_s = time.monotonic()
    crashing_sent_s = {}
    traffic = ask_all(fleet, start_s, crashing_sent_s, record)
    if takes_down:
        await asyncio.gather(traffic, take_shard_down(servers, record))
    else:
        await traffic
    for server in servers:
        server.close()
    late = late_retries(servers, crashing_sent_s, record)
    crash_count = sum(len(server.crashes_s) for server in servers)
    record.verdict(f"the query has crashed backends {crash_count} times")
    return case.check(
        len(late) > MAX_RETRIES,
        f"{len(late)} retries reached backends later than {STABILITY_S:.0f} s"
        " after the third crash",
        record,
    )


if __name__ == "__main__":
    case.run(FOLDER, play, controls=3, entries=3)
