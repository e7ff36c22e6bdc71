"""Runs one load scenario on the event loop and collects its figures."""

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

# Minimum time between the receipt of the first addresses and the start of the
# run.
START_DELAY_MS = 50.0
RECORD_TIMEOUT_S = 30.0


class Runner:
    """Executes one load run; `run` returns the report."""

    def __init__(
        self,
        scenario: scenario_lib.Scenario,
        start_wall_ms: float | None = None,
    ):
        """Creates a run.

        Args:
          scenario: Streams, events and addresses.
          start_wall_ms: Start of the run, milliseconds since the epoch. If
            absent or past, the run starts when addresses are received.
        """
        self._scenario = scenario
        self._requested_start_wall_ms = start_wall_ms or 0.0
        self._clock = clock_lib.SystemClock()
        self._loop = process.Loop(self._clock)
        # Callers do not ping their idle connections.
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
        self._next_arrival: arrivals_lib.Arrival | None = None
        self._start_ms = 0.0
        self._start_wall_ms = 0
        self._open_request_count = 0
        self._request_count = 0
        self._needed_sub_requests = 0
        self._outcome_by_key: dict[str, str] = {}
        self._not_run_ids: set[str] = set()
        self._unmatched_events: list[str] = []
        self._tally = tally_lib.Tally(scenario.warm_up_ms)
        self._checker = truth_lib.AnswerChecker(scenario.truth)

    def run(self) -> dict[str, typing.Any]:
        """Sends all requests, waits for the results, returns the report."""
        records_before = fetch_records(self._scenario.standin_controls, False)
        self._caller.start(self._on_ready)
        self._loop.stack.callback(self._pool.close_all)
        # A pause of the garbage collector in this process would be measured
        # as latency of the entries.
        gc.collect()
        gc.freeze()
        self._loop.run()
        gc.unfreeze()
        records_after = fetch_records(self._scenario.standin_controls, True)
        return self._report(records_before, records_after)

    def _on_ready(self) -> None:
        wall_ms = self._clock.wall_ms()
        delay_ms = max(self._requested_start_wall_ms - wall_ms, START_DELAY_MS)
        self._start_ms = self._clock.now_ms() + delay_ms
        self._start_wall_ms = int(wall_ms + delay_ms)
        for event in self._scenario.events:
            self._call_at(
                event.at_ms, lambda event=event: self._send_event(event)
            )
        self._send_due_requests()

    def _call_at(self, at_ms: float, callback: abc.Callable[[], None]) -> None:
        delay_ms = self._start_ms + at_ms - self._clock.now_ms()
        self._loop.timers.after(max(delay_ms, 0.0), callback)

    def _send_due_requests(self) -> None:
        """Sends all requests that are due and schedules the next one."""
        while True:
            if self._next_arrival is None:
                self._next_arrival = next(self._arrivals, None)
                if self._next_arrival is None:
                    self._call_at(
                        self._scenario.duration_ms, self._stop_when_complete
                    )
                    return
            now_ms = self._clock.now_ms() - self._start_ms
            if self._next_arrival.at_ms > now_ms:
                self._call_at(self._next_arrival.at_ms, self._send_due_requests)
                return
            arrival, self._next_arrival = self._next_arrival, None
            self._tally.add_lag(now_ms - arrival.at_ms)
            self._send(arrival, now_ms)

    def _send(self, arrival: arrivals_lib.Arrival, now_ms: float) -> None:
        stream = arrival.stream
        self._request_count += 1
        self._open_request_count += 1
        body = {
            "caller": stream.caller,
            "kind": stream.kind,
            "query": arrival.query,
        }
        key = ""
        if not stream.repeatable:
            issued_ms = self._start_wall_ms + int(arrival.at_ms)
            key = f"{issued_ms}-{self._scenario.seed}.{self._request_count}"
            body["idempotency_key"] = key
            # The stand-ins record the marker with each run.
            body["query"] = {**arrival.query, "marker": key}
            self._outcome_by_key[key] = "open"
        # The deadline counts from the intended arrival.
        remaining_ms = stream.deadline_ms - (now_ms - arrival.at_ms)
        self._caller.send(
            body,
            max(remaining_ms, 1.0),
            lambda result: self._on_result(arrival, key, result),
        )

    def _on_result(
        self,
        arrival: arrivals_lib.Arrival,
        key: str,
        result: caller_lib.RequestResult,
    ) -> None:
        self._open_request_count -= 1
        now_ms = self._clock.now_ms() - self._start_ms
        latency_ms = now_ms - arrival.at_ms
        outcome = self._outcome(result)
        if outcome == "done":
            self._needed_sub_requests += self._checker.check(
                arrival, key, result.body
            )
            coverage = result.body.get("coverage") or {}
            if arrival.stream.fan_out and coverage.get("share", 1.0) < 1.0:
                outcome = "partial"
        elif outcome == "unknown":
            self._needed_sub_requests += 1
        elif outcome.startswith("not_run"):
            self._not_run_ids.add(result.body.get("request_id", ""))
        if key:
            key_outcome = outcome.partition(":")[0]
            if key_outcome == "not_run" and not result.is_certain:
                key_outcome = "unknown"
            self._outcome_by_key[key] = key_outcome
        in_time = latency_ms <= arrival.stream.deadline_ms
        self._tally.add_request(
            arrival.stream.rank, arrival.at_ms, latency_ms, outcome, in_time
        )

    def _outcome(self, result: caller_lib.RequestResult) -> str:
        if result.failure:
            return result.failure
        outcome = result.body.get("outcome")
        if outcome == "not_run":
            code = result.body.get("error", {}).get("code", "none")
            return f"not_run:{code}"
        return outcome if outcome in ("done", "unknown") else "malformed"

    def _stop_when_complete(self) -> None:
        if self._open_request_count:
            self._loop.timers.after(20.0, self._stop_when_complete)
            return
        self._caller.close()
        self._loop.stop()

    def _send_event(self, event: scenario_lib.Event) -> None:
        """Sends a change to all stand-in processes."""
        change: dict[str, typing.Any] = {"servers": list(event.servers)}
        if event.set:
            change["set"] = event.set
        if event.action:
            change["action"] = event.action
        body = json.dumps(change)
        pending = len(self._scenario.standin_controls)
        matched = False

        def on_reply(reply):
            nonlocal pending, matched
            pending -= 1
            matched = matched or reply.body not in (b"", b"{}")
            if reply.status != 200:
                loguru.logger.warning(
                    "stand-in rejected an event: {}", reply.body
                )
                self._unmatched_events.append(str(event))
            elif not pending and not matched:
                self._unmatched_events.append(str(event))

        for address in self._scenario.standin_controls:
            payload = (
                f"POST /v1/control HTTP/1.1\r\nhost: {address}\r\n"
                f"content-length: {len(body)}\r\n\r\n{body}"
            )
            self._pool.set_server(address, 8, 0)
            self._pool.send(address, payload.encode("ascii"), on_reply)

    def _report(
        self, records_before: dict, records_after: dict
    ) -> dict[str, typing.Any]:
        scenario = self._scenario
        measured_ms = scenario.duration_ms - scenario.warm_up_ms
        return {
            "scenario": scenario.name,
            "seed": scenario.seed,
            "duration_ms": scenario.duration_ms,
            "measured_ms": measured_ms,
            "requests": self._request_count,
            "ranks": self._tally.as_dict(measured_ms),
            "attempt_failures": dict(
                sorted(self._caller.failure_counts.items())
            ),
            "addresses_seen": sorted(self._caller.addresses_seen),
            "truth": {
                "checked": self._checker.checked,
                "faults": dict(self._checker.faults),
                "examples": self._checker.examples,
            },
            "runs": truth_lib.check_runs(
                _without_earlier_runs(records_before, records_after),
                self._outcome_by_key,
                self._not_run_ids,
            ),
            "backend": self._backend_figures(records_before, records_after),
            "unmatched_events": self._unmatched_events,
            "generator_lag_ms": tally_lib.summary_ms(self._tally.lag),
        }

    def _backend_figures(
        self, records_before: dict, records_after: dict
    ) -> dict[str, typing.Any]:
        """Returns the work of the stand-ins during the run.

        Args:
          records_before: Records of the servers at the start, by name.
          records_after: Records of the servers at the end, by name.
        """

        def total(name):
            return sum(
                record[name] - records_before.get(server, {}).get(name, 0)
                for server, record in records_after.items()
            )

        counter_names = ("received", "started", "finished", "shed", "cancelled")
        figures = {
            name: total(name) for name in (*counter_names, "expired", "crashes")
        }
        figures["most_busy_share"] = max(
            (
                server_record["most_busy"] / server_record["slots"]
                for server_record in records_after.values()
            ),
            default=0.0,
        )
        slots = sum(record["slots"] for record in records_after.values())
        slot_ms = max(slots * self._scenario.duration_ms, 1.0)
        figures["slot_use_share"] = round(total("busy_ms") / slot_ms, 4)
        figures["needed"] = self._needed_sub_requests
        figures["extra_share"] = None
        if self._needed_sub_requests and records_after:
            extra_share = figures["started"] / self._needed_sub_requests - 1.0
            figures["extra_share"] = round(extra_share, 4)
        return figures


def _without_earlier_runs(
    records_before: dict, records_after: dict
) -> dict[str, dict]:
    """Returns the records without the entries of earlier load runs."""
    new_records = {}
    for name, record in records_after.items():
        earlier = records_before.get(name, {"runs": [], "started": 0})
        new_records[name] = {
            "runs": record["runs"][len(earlier["runs"]) :],
            "started_ids": record["started_ids"][earlier["started"] :],
        }
    return new_records


def fetch_records(
    controls: abc.Sequence[str], with_ids: bool
) -> dict[str, dict[str, typing.Any]]:
    """Returns the records of all backend servers by name.

    Args:
      controls: Control addresses of the stand-in processes. If a process does
        not answer, a warning is logged and the process's records are missing.
      with_ids: Whether the records include the ids of all started runs.
    """
    records_by_server: dict[str, dict[str, typing.Any]] = {}
    for address in controls:
        path = "/v1/record?ids=1" if with_ids else "/v1/record"
        try:
            _, _, records = blocking_call.call(
                address, "GET", path, timeout_s=RECORD_TIMEOUT_S
            )
        except (OSError, http.client.HTTPException) as error:
            loguru.logger.warning(
                "failed to fetch records from {}: {}", address, error
            )
            continue
        records_by_server.update(records)
    return records_by_server
