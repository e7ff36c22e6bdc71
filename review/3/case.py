"""All processes are killed right after a server's leaving is acknowledged."""

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
# Servers that leave: a share of less than 0.168.
LEAVER_COUNT = 1
DRAIN_S = stand_ins.BOUNDS["DrainMs"] / 1000
# Time from the acknowledgement to the kill, and from that to the new start.
KILL_AFTER_S = 0.02
DOWN_S = 1.0
# Machines are in touch again this long after the start of all of them.
IN_TOUCH_S = 2 * stand_ins.STABILITY_S
# Time that the server serves after it is to have no more requests.
LONGER_S = 12.0
REQUESTS_PER_ENTRY_S = 10.0


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


async def _kill_and_start(record, fleet) -> float:
    """Kills all processes, starts them again, and returns when, in s."""
    for machine in fleet.machines:
        machine.end()
    record.add("killed_all")
    await asyncio.sleep(DOWN_S)
    for machine in fleet.machines:
        machine.start()
    record.add("started_all")
    return time.monotonic()


async def _play(record: stand_ins.Record) -> int:
    fleet = stand_ins.Fleet(record)
    try:
        routes = [stand_ins.route("r", "/book/", "unsafe", Service=SERVICE)]
        await fleet.start(stand_ins.configuration(1, routes, [SERVICE]))
        controls = [m.address(stand_ins.CONTROL_PORT) for m in fleet.controls]
        servers = [
            stand_ins.Backend(
                record,
                f"i-{n:08x}",
                SERVICE,
                stand_ins.ZONES[n % len(stand_ins.ZONES)],
                controls,
                random.Random(n),
                4,
            )
            for n in range(SERVER_COUNT)
        ]
        for server in servers:
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
        leaver = servers[0]
        acknowledged_s = await leaver.deregister()
        if acknowledged_s is None:
            raise stand_ins.CannotRunError("the leaving was not acknowledged")
        await asyncio.sleep(KILL_AFTER_S)
        started_s = time.monotonic()
        if stand_ins.has_trouble():
            started_s = await _kill_and_start(record, fleet)
        await asyncio.sleep(DRAIN_S + LONGER_S)
        since_s = max(acknowledged_s + DRAIN_S, started_s + IN_TOUCH_S)
        late = [i for i, at_s in leaver.arrivals if at_s > since_s]
        for request_id in late:
            record.add("late", id=request_id, server=leaver.server_id)
        await leaver.stop()
        for sender in senders:
            sender.cancel()
        await asyncio.gather(*senders, return_exceptions=True)
        statuses = collections.Counter(
            answer.status if answer else "none" for _, answer in answers
        )
        record.say(f"answers by status: {dict(statuses)}")
        record.say(
            f"{len(late)} requests reached the server later than"
            f" {since_s - acknowledged_s:.1f} s after its leaving was"
            " acknowledged, from machines in touch"
        )
        if not statuses[200]:
            raise stand_ins.CannotRunError("nothing was served")
        return stand_ins.BROKEN if late else stand_ins.HELD
    finally:
        fleet.close()


if __name__ == "__main__":
    sys.exit(stand_ins.run_case(FOLDER, _play))
