"""A server in need states its limit as a decimal number with many digits."""

import asyncio
import collections
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import stand_ins  # noqa: E402 (the path is set above)

SERVICE = "kafi81c"
SERVER_COUNT = 5
SERVER_SLOTS = 5
# The limit as a server prints the quotient 10 / 3.
LIMIT_TEXT = os.environ.get("LIMIT", "3.3333333333333335")
NEED_S = 25.0
WINDOW_S = 4.0
# An entry counts from this time after it has passed on the limit.
HEARD_AFTER_S = 0.5
REQUESTS_PER_ENTRY_S = 20.0


class NeedyBackend(stand_ins.Backend):
    """Records which entry sent each request.

    Attributes:
      told_s: By entry, the time at which it was first told a limit.
      sent_by: Entry and time of each request.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.told_s: dict[str, float] = {}
        self.sent_by: list[tuple[str, float]] = []

    async def on_request(self, request, request_id, writer) -> bool:
        """Runs a request."""
        sender = request.headers["sender"]
        self.sent_by.append((sender, time.monotonic()))
        goes_on = await super().on_request(request, request_id, writer)
        if self.advice:
            self.told_s.setdefault(sender, time.monotonic())
        return goes_on


async def _send_all(client, sender: str, answers: list) -> None:
    tasks = set()
    try:
        while True:
            # The name of the entry travels along, to tell the senders apart.
            task = asyncio.create_task(
                client.send("GET", "/search/1", deadline_ms=1500, Sender=sender)
            )
            task.add_done_callback(lambda t: answers.append(t.result()))
            tasks.add(task)
            await asyncio.sleep(1 / REQUESTS_PER_ENTRY_S)
    finally:
        await asyncio.gather(*tasks)


def _most_in_window(server: NeedyBackend, since_s: float) -> int:
    """Returns the most requests of entries that knew, in any `WINDOW_S`."""
    times_s = [
        at_s
        for sender, at_s in server.sent_by
        if at_s >= since_s
        and at_s >= server.told_s.get(sender, float("inf")) + HEARD_AFTER_S
    ]
    return max(
        (
            sum(start <= t < start + WINDOW_S for t in times_s)
            for start in times_s
        ),
        default=0,
    )


async def _play(record: stand_ins.Record) -> int:
    fleet = stand_ins.Fleet(record)
    try:
        routes = [stand_ins.route("r-1", "/search/", "safe", Service=SERVICE)]
        await fleet.start(stand_ins.configuration(1, routes, [SERVICE]))
        controls = [m.address(stand_ins.CONTROL_PORT) for m in fleet.controls]
        servers = [
            NeedyBackend(
                record,
                f"i-{n:08x}",
                SERVICE,
                stand_ins.ZONES[n % len(stand_ins.ZONES)],
                controls,
                random.Random(n),
                SERVER_SLOTS,
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
                    entry.name,
                    answers,
                )
            )
            for entry in fleet.entries
        ]
        await asyncio.sleep(stand_ins.STABILITY_S + 1.0)
        limited = servers[0]
        if stand_ins.has_trouble():
            limited.advice["Server-Limit"] = LIMIT_TEXT
        first_s = time.monotonic()
        await asyncio.sleep(NEED_S)
        most = _most_in_window(limited, first_s + stand_ins.STABILITY_S)
        for sender in senders:
            sender.cancel()
        await asyncio.gather(*senders, return_exceptions=True)
        statuses = collections.Counter(
            answer.status if answer else "none" for _, answer in answers
        )
        allowed = 1.5 * float(LIMIT_TEXT) * WINDOW_S + 5
        record.say(f"answers by status: {dict(statuses)}")
        record.say(
            f"limit {LIMIT_TEXT}: most requests in {WINDOW_S} s: {most},"
            f" allowed {allowed:.1f}"
        )
        ignored = sum(
            bool(fleet.log_lines(entry, "ignored headers"))
            for entry in fleet.entries
        )
        record.say(f"entries that logged ignored headers: {ignored}")
        if not statuses[200]:
            raise stand_ins.CannotRunError("nothing was served")
        return stand_ins.BROKEN if most > allowed else stand_ins.HELD
    finally:
        fleet.close()


if __name__ == "__main__":
    sys.exit(stand_ins.run_case(FOLDER, _play))
