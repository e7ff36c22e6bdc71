"""Runs one scenario on the loop and gathers its figures."""

from collections import abc
import gc
import http.client
import json
import random
import typing

import loguru

from auburnway.core import clock as clock_lib
from auburnway.kernel import process
from auburnway.load import arrivals as arrivals_lib
from auburnway.load import caller as caller_lib
from auburnway.load import scenario as scenario_lib
from auburnway.load import tally as tally_lib
from auburnway.load import truth as truth_lib
from auburnway.net import blocking_call
from auburnway.net import http_client

# Time between the first addresses and the start of the run.
LEAD_MS = 50.0
RECORD_TIMEOUT_S = 30.0


class Runner:
    """One load run; `run` returns its report."""

    def __init__(
        self,
        scenario: scenario_lib.Scenario,
        start_wall_ms: float | None = None,
    ):
        """Creates a run.

        Args:
          scenario: Streams, events and addresses.
          start_wall_ms: Start of the run, milliseconds since the epoch; as
            soon as addresses are known when absent or already past.
        """
        self._scenario = scenario
        self._wanted_wall_ms = start_wall_ms or 0.0
        self._clock = clock_lib.SystemClock()
        self._loop = process.Loop(self._clock)
        # A caller does not probe its connections.
        self._pool = http_client.HttpPool(
            self._loop.poller, self._loop.timers, self._clock, pings=False
        ).register(self._loop.root)
        self._caller = caller_lib.Caller(
            self._pool,
            self._loop.timers,
            self._clock,
            scenario.entries,
            scenario.connections_per_entry,
            random.Random(f"{scenario.seed}/addresses"),
        )
        self._arrivals = arrivals_lib.arrivals(scenario)
        self._next: arrivals_lib.Arrival | None = None
        self._start_ms = 0.0
        self._start_wall_ms = 0
        self._open = 0
        self._sequence = 0
        self._needed = 0
        self._keys: dict[str, str] = {}
        self._not_run_ids: set[str] = set()
        self._unmatched_events: list[str] = []
        self._tally = tally_lib.Tally(scenario.warm_up_ms)
        self._checker = truth_lib.Checker(scenario.truth)

    def run(self) -> dict[str, typing.Any]:
        """Sends all requests, waits for their ends and returns the report."""
        before = fetch_records(self._scenario.standin_controls, False)
        self._caller.start(self._on_ready)
        self._loop.stack.callback(self._pool.close_all)
        # A collection pause would show as latency of the tier.
        gc.collect()
        gc.freeze()
        self._loop.run()
        gc.unfreeze()
        after = fetch_records(self._scenario.standin_controls, True)
        return self._report(before, after)

    def _on_ready(self) -> None:
        wall_ms = self._clock.wall_ms()
        lead_ms = max(self._wanted_wall_ms - wall_ms, LEAD_MS)
        self._start_ms = self._clock.now_ms() + lead_ms
        self._start_wall_ms = int(wall_ms + lead_ms)
        for event in self._scenario.events:
            self._at(event.at_ms, lambda event=event: self._send_event(event))
        self._advance()

    def _at(self, at_ms: float, call: abc.Callable[[], None]) -> None:
        delay_ms = self._start_ms + at_ms - self._clock.now_ms()
        self._loop.timers.after(max(delay_ms, 0.0), call)

    # Requests.

    def _advance(self) -> None:
        """Sends all requests that are due and waits for the next one."""
        while True:
            if self._next is None:
                self._next = next(self._arrivals, None)
                if self._next is None:
                    self._at(self._scenario.duration_ms, self._look_for_end)
                    return
            now_ms = self._clock.now_ms() - self._start_ms
            if self._next.at_ms > now_ms:
                self._at(self._next.at_ms, self._advance)
                return
            arrival, self._next = self._next, None
            self._tally.add_lag(now_ms - arrival.at_ms)
            self._send(arrival, now_ms)

    def _send(self, arrival: arrivals_lib.Arrival, now_ms: float) -> None:
        stream = arrival.stream
        self._sequence += 1
        self._open += 1
        data = {
            "caller": stream.caller,
            "kind": stream.kind,
            "query": arrival.query,
        }
        key = ""
        if not stream.repeatable:
            issued_ms = self._start_wall_ms + int(arrival.at_ms)
            key = f"{issued_ms}-{self._scenario.seed}.{self._sequence}"
            data["idempotency_key"] = key
            # The stand-ins record the marker with each run.
            data["query"] = {**arrival.query, "marker": key}
            self._keys[key] = "open"
        # The deadline counts from the intended arrival.
        left_ms = stream.deadline_ms - (now_ms - arrival.at_ms)
        self._caller.send(
            data,
            max(left_ms, 1.0),
            lambda ending: self._on_end(arrival, key, ending),
        )

    def _on_end(
        self, arrival: arrivals_lib.Arrival, key: str, ending: caller_lib.Ending
    ) -> None:
        self._open -= 1
        now_ms = self._clock.now_ms() - self._start_ms
        latency_ms = now_ms - arrival.at_ms
        outcome = self._outcome(ending)
        if outcome == "done":
            self._needed += self._checker.check(arrival, key, ending.body)
            coverage = ending.body.get("coverage") or {}
            if arrival.stream.fan_out and coverage.get("share", 1.0) < 1.0:
                outcome = "partial"
        elif outcome == "unknown":
            self._needed += 1
        elif outcome.startswith("not_run"):
            self._not_run_ids.add(ending.body.get("request_id", ""))
        if key:
            name = outcome.partition(":")[0]
            if name == "not_run" and not ending.clean:
                name = "unknown"
            self._keys[key] = name
        in_time = latency_ms <= arrival.stream.deadline_ms
        self._tally.add(
            arrival.stream.rank, arrival.at_ms, latency_ms, outcome, in_time
        )

    def _outcome(self, ending: caller_lib.Ending) -> str:
        if ending.failure:
            return ending.failure
        outcome = ending.body.get("outcome")
        if outcome == "not_run":
            code = ending.body.get("error", {}).get("code", "none")
            return f"not_run:{code}"
        return outcome if outcome in ("done", "unknown") else "malformed"

    def _look_for_end(self) -> None:
        if self._open:
            self._loop.timers.after(20.0, self._look_for_end)
            return
        self._caller.close()
        self._loop.stop()

    # Stand-ins.

    def _send_event(self, event: scenario_lib.Event) -> None:
        """Sends a change to all stand-in processes."""
        data: dict[str, typing.Any] = {"servers": list(event.servers)}
        if event.set:
            data["set"] = event.set
        if event.action:
            data["action"] = event.action
        body = json.dumps(data)
        left = len(self._scenario.standin_controls)
        matched = False

        def on_reply(reply):
            nonlocal left, matched
            left -= 1
            matched = matched or reply.body not in (b"", b"{}")
            if reply.status != 200:
                loguru.logger.warning("event failed: {}", reply.body)
                self._unmatched_events.append(str(event))
            elif not left and not matched:
                self._unmatched_events.append(str(event))

        for address in self._scenario.standin_controls:
            payload = (
                f"POST /v1/control HTTP/1.1\r\nhost: {address}\r\n"
                f"content-length: {len(body)}\r\n\r\n{body}"
            )
            self._pool.set_server(address, 8, 0)
            self._pool.send(address, payload.encode("ascii"), on_reply)

    # Report.

    def _report(self, before: dict, after: dict) -> dict[str, typing.Any]:
        scenario = self._scenario
        measured_ms = scenario.duration_ms - scenario.warm_up_ms
        return {
            "scenario": scenario.name,
            "seed": scenario.seed,
            "duration_ms": scenario.duration_ms,
            "measured_ms": measured_ms,
            "requests": self._sequence,
            "ranks": self._tally.as_dict(measured_ms),
            "attempt_failures": dict(sorted(self._caller.counts.items())),
            "addresses_seen": sorted(self._caller.addresses_seen),
            "truth": {
                "checked": self._checker.checked,
                "faults": dict(self._checker.faults),
                "examples": self._checker.examples,
            },
            "runs": truth_lib.check_runs(
                _since(before, after), self._keys, self._not_run_ids
            ),
            "backend": self._backend(before, after),
            "unmatched_events": self._unmatched_events,
            "generator_lag_ms": tally_lib.summary_ms(self._tally.lag),
        }

    def _backend(self, before: dict, after: dict) -> dict[str, typing.Any]:
        """Returns the work of the stand-ins during the run."""

        def total(name):
            return sum(
                record[name] - before.get(server, {}).get(name, 0)
                for server, record in after.items()
            )

        names = ("received", "started", "finished", "shed", "cancelled")
        found = {name: total(name) for name in (*names, "expired", "crashes")}
        found["most_busy_share"] = max(
            (r["most_busy"] / r["slots"] for r in after.values()), default=0.0
        )
        slots = sum(record["slots"] for record in after.values())
        slot_ms = max(slots * self._scenario.duration_ms, 1.0)
        found["slot_use_share"] = round(total("busy_ms") / slot_ms, 4)
        found["needed"] = self._needed
        found["extra_share"] = None
        if self._needed and after:
            extra = found["started"] / self._needed - 1.0
            found["extra_share"] = round(extra, 4)
        return found


def _since(before: dict, after: dict) -> dict[str, dict]:
    """Returns the records without the runs of earlier load runs."""
    found = {}
    for name, record in after.items():
        skipped = before.get(name, {"runs": [], "started": 0})
        found[name] = {
            "runs": record["runs"][len(skipped["runs"]) :],
            "started_ids": record["started_ids"][skipped["started"] :],
        }
    return found


def fetch_records(
    controls: abc.Sequence[str], with_ids: bool
) -> dict[str, dict[str, typing.Any]]:
    """Returns the records of all backend servers by name.

    Args:
      controls: Control addresses of the stand-in processes; one that does
        not answer is left out with a warning.
      with_ids: Include the ids of all started runs.
    """
    found: dict[str, dict[str, typing.Any]] = {}
    for address in controls:
        path = "/v1/record?ids=1" if with_ids else "/v1/record"
        try:
            _, _, records = blocking_call.call(
                address, "GET", path, timeout_s=RECORD_TIMEOUT_S
            )
        except (OSError, http.client.HTTPException) as error:
            loguru.logger.warning("no record from {}: {}", address, error)
            continue
        found.update(records)
    return found
