"""A request that crashes its servers comes again and is retried each time."""

import asyncio
import collections
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import stand_ins  # noqa: E402 (the path is set above)

SERVICE = "kafi81c"
SERVER_COUNT = 11
SERVER_SLOTS = 4
WORK_S = 0.12
# Time after which a crashed server is back.
DOWN_S = 3.0
# Period in which the crashing request comes again, and for how long.
CRASH_PERIOD_S = 2.0
CRASHES_S = 40.0
CRASHING_PATH = "/search/pit-7"
CRASHING_BODY = b"crash"
# Retries that the rule allows.
ALLOWED_RETRIES = 3
REQUESTS_PER_ENTRY_S = 5.0


class CrashingBackend(stand_ins.Backend):
    """Dies when it begins to run the crashing request.

    Attributes:
      crashes: Monotonic times in s at which a server crashed, shared by all.
    """

    crashes: list[float] = []
    crashing_arrivals: list[tuple[str, float]] = []
    rebirths: set[asyncio.Task] = set()

    async def on_request(self, request, request_id, writer) -> bool:
        """Runs a request, or crashes."""
        if request.body != CRASHING_BODY:
            return await super().on_request(request, request_id, writer)
        now_s = time.monotonic()
        self.crashing_arrivals.append((request_id, now_s))
        self.begin(request_id)
        self._record.add("crash", id=request_id, server=self.server_id)
        self.crashes.append(now_s)
        self.crash()
        task = asyncio.create_task(self._return())
        self.rebirths.add(task)
        return False

    async def _return(self) -> None:
        """Starts again under a new id, as a new incarnation."""
        await asyncio.sleep(DOWN_S)
        self._running = 0
        name, _, number = self.server_id.partition(".")
        self.server_id = f"{name}.{int(number or 0) + 1}"
        await self.start()


async def _send_all(client: stand_ins.Client, answers: list) -> None:
    tasks = set()
    try:
        while True:
            task = asyncio.create_task(client.send("POST", "/book/1", b"cloth"))
            task.add_done_callback(lambda t: answers.append(t.result()))
            tasks.add(task)
            await asyncio.sleep(1 / REQUESTS_PER_ENTRY_S)
    finally:
        await asyncio.gather(*tasks)


async def _send_crashing(record, entries, rng) -> None:
    """Sends the same request again and again, at any entry."""
    clients = [
        stand_ins.Client(record, entry.address(stand_ins.FRONT_PORT))
        for entry in entries
    ]
    end_s = time.monotonic() + CRASHES_S
    while time.monotonic() < end_s:
        client = rng.choice(clients)
        await client.send("POST", CRASHING_PATH, CRASHING_BODY, 1500)
        await asyncio.sleep(CRASH_PERIOD_S)


def _late_retries() -> int:
    """Returns the retries long after the third crash.

    Only the second and later arrivals of one client attempt count, so no
    arrival for which the client asked itself.
    """
    if len(CrashingBackend.crashes) < 3:
        return 0
    since_s = sorted(CrashingBackend.crashes)[2] + stand_ins.STABILITY_S
    arrivals = collections.Counter()
    retries = 0
    for request_id, arrived_s in CrashingBackend.crashing_arrivals:
        arrivals[request_id] += 1
        if arrivals[request_id] > 1 and arrived_s > since_s:
            retries += 1
    return retries


async def _play(record: stand_ins.Record) -> int:
    fleet = stand_ins.Fleet(record)
    rng = random.Random(1)
    try:
        routes = [
            stand_ins.route("r-1", "/search/", "safe", Service=SERVICE),
            stand_ins.route("r-2", "/book/", "unsafe", Service=SERVICE),
        ]
        await fleet.start(stand_ins.configuration(1, routes, [SERVICE]))
        controls = [m.address(stand_ins.CONTROL_PORT) for m in fleet.controls]
        for n in range(SERVER_COUNT):
            server = CrashingBackend(
                record,
                f"i-{n:08x}",
                SERVICE,
                stand_ins.ZONES[n % len(stand_ins.ZONES)],
                controls,
                random.Random(n),
                SERVER_SLOTS,
                WORK_S,
            )
            await server.start()
        await asyncio.sleep(1.0)
        answers = []
        senders = [
            asyncio.create_task(
                _send_all(
                    stand_ins.Client(
                        record, entry.address(stand_ins.FRONT_PORT)
                    ),
                    answers,
                )
            )
            for entry in fleet.entries
        ]
        await asyncio.sleep(stand_ins.STABILITY_S + 1.0)
        if stand_ins.has_trouble():
            await _send_crashing(record, fleet.entries, rng)
        else:
            await asyncio.sleep(CRASHES_S / 4)
        for sender in senders:
            sender.cancel()
        await asyncio.gather(*senders, return_exceptions=True)
        statuses = collections.Counter(
            answer.status if answer else "none" for _, answer in answers
        )
        retries = _late_retries()
        record.say(f"other requests by status: {dict(statuses)}")
        record.say(f"servers crashed: {len(CrashingBackend.crashes)}")
        record.say(
            f"retries of the crashing request later than"
            f" {stand_ins.STABILITY_S} s after its third crash: {retries}"
        )
        if not statuses[200]:
            raise stand_ins.CannotRunError("nothing was served")
        return stand_ins.BROKEN if retries > ALLOWED_RETRIES else stand_ins.HELD
    finally:
        for task in CrashingBackend.rebirths:
            task.cancel()
        fleet.close()


if __name__ == "__main__":
    sys.exit(stand_ins.run_case(FOLDER, _play))
