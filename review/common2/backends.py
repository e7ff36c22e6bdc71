"""Stand-ins of backend servers, which follow PROTOCOL.md.

All backends of a case live in the case's own process. A crash closes the
listening socket and all connections of a backend, as the end of its process
would.
"""

import asyncio
import json
import os
import random
import time

from common2 import fleet as fleet_lib


class Run:
    """One request that a backend has begun to work on.

    Attributes:
      request_id: Value of `Request-Id`.
      backend: Backend that runs it.
      path: Path and query.
      at_s: Monotonic time at which it began.
      deadline_ms: Value of `Deadline-Ms`; None without one.
    """

    def __init__(self, request_id, backend, path, deadline_ms):
        self.request_id = request_id
        self.backend = backend
        self.path = path
        self.at_s = time.monotonic()
        self.deadline_ms = deadline_ms


class Backend:
    """One backend server.

    Args:
      fleet: Fleet whose control machines hear its heartbeats.
      service: Name of its service.
      zone: Zone that it stands in.
      slots: Requests that it runs at once.
      work_s: Returns the work of a request in seconds, given its path.
      answer: Returns the body of a request, given its path.
    """

    def __init__(self, fleet, service, zone, slots, work_s, answer):
        self.service = service
        self.zone = zone
        self.runs: list[Run] = []
        self.is_up = False
        self.crash_path = None
        self.crash_s = 3.0
        self.crashes_s: list[float] = []
        self.on_run = lambda run: None
        # Pause that the sheet names: length and period in seconds.
        self.pause_s, self.pause_every_s = 0.0, 0.0
        self._pause_phase_s = random.random()
        self._fleet = fleet
        self._slots = asyncio.Semaphore(slots)
        self._slot_count = slots
        self._running = 0
        self._work_s = work_s
        self._answer = answer
        self._server = None
        self._port = 0
        self._writers = set()
        self._tasks = set()
        self._restart = None

    async def start(self):
        """Starts the server with a new identity and begins to report it."""
        self.server_id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self._sequence = 0
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self._port, limit=1 << 20
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self._port}"
        self.is_up = True
        self._spawn(self._report(self.server_id))

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _report(self, server_id):
        number = random.randrange(3)
        while self.is_up and self.server_id == server_id:
            addresses = self._fleet.control_addresses()
            self._sequence += 1
            body = {
                "Service": self.service,
                "Address": self.address,
                "Zone": self.zone,
                "Version": "v1",
                "Slots": self._slot_count,
                "State": "ready",
                "ColdRemainingMs": 0,
                "Sequence": self._sequence,
                "born": self.born,
            }
            try:
                status = (
                    await fleet_lib.call(
                        addresses[number % len(addresses)],
                        "POST",
                        f"/auburnway/instances/{server_id}/heartbeat",
                        json.dumps(body).encode(),
                        timeout_s=1.0,
                    )
                )[0]
            except (OSError, TimeoutError, EOFError):
                status = 0
            if status == 200:
                await asyncio.sleep(fleet_lib.HEARTBEAT_MS / 1000)
            else:
                number += 1
                await asyncio.sleep(0.1)

    def crash(self, down_s=None):
        """Ends the server, which is back later with a new identity.

        Args:
          down_s: Time until it is back; `crash_s` if left out.
        """
        if not self.is_up:
            return
        self.is_up = False
        self.crashes_s.append(time.monotonic())
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        self._spawn(self._come_back(down_s or self.crash_s))

    async def _come_back(self, down_s):
        await asyncio.sleep(down_s)
        await self.start()

    def close(self):
        """Ends the server for good."""
        self.is_up = False
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while self.is_up:
                first, fields = await fleet_lib.read_head(reader)
                method, path, _ = first.split(" ")
                length = int(fields.get("content-length", 0))
                await reader.readexactly(length)
                if not await self._handle(method, path, fields, writer, reader):
                    return
        except (OSError, EOFError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            # The case has ended.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, method, path, fields, writer, reader):
        del method
        if path == "/health":
            self._reply(writer, 200, {"Instance-Id": self.server_id}, b"")
            return True
        request_id = fields.get("request-id", "")
        if fields.get("expect-instance", self.server_id) != self.server_id:
            self._reply(writer, 421, {"Not-Executed": "1"}, b"")
            return True
        await self._wait_for_pause()
        server_id = self.server_id
        async with self._slots:
            if not self.is_up or self.server_id != server_id:
                return False
            if writer.transport.is_closing() or reader.at_eof():
                return False
            deadline = fields.get("deadline-ms")
            run = Run(
                request_id, self, path, int(deadline) if deadline else None
            )
            self.runs.append(run)
            self.on_run(run)
            if self.crash_path is not None and path == self.crash_path:
                self.crash()
                return False
            self._running += 1
            try:
                await asyncio.sleep(self._work_s(path))
            finally:
                self._running -= 1
            if not self.is_up or self.server_id != server_id:
                return False
        headers = {
            "Request-Id": request_id,
            "Response-Stamp": f"{server_id}.{request_id}",
            "Server-Load": f"{self._running},0,{self._slot_count}",
        }
        self._reply(writer, 200, headers, self._answer(path))
        await writer.drain()
        return True

    async def _wait_for_pause(self):
        """Stands still in the pauses that the sheet of a deployment names."""
        if not self.pause_s:
            return
        phase_s = self._pause_phase_s * self.pause_every_s
        into_s = (time.monotonic() + phase_s) % self.pause_every_s
        if into_s < self.pause_s:
            await asyncio.sleep(self.pause_s - into_s)

    def _reply(self, writer, status, headers, body):
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{k}: {v}" for k, v in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def records(count):
    """Returns random records of 16 bytes."""
    return os.urandom(16 * count)
