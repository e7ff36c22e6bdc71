"""Checks the guarantees against the observations of a soak run.

The observations are those of callers, of the operator and of backend servers.
"""

from collections import abc
import dataclasses

# Statuses which guarantee that the request has not run and will not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Seconds after the acknowledgement of its drain from which a backend server
# must get no new request.
DRAIN_GRACE_S = 3.0
# A crashing request may be retried this often later than so many seconds after
# its third crash.
CRASHES_NOTICED = 3
CRASH_NOTICE_S = 4.0
MAX_CRASHING_RETRIES = 3
# Rate limits are checked over spans of this length, and hold this long after
# they are stated first.
LIMIT_SPAN_S = 4.0
LIMIT_NOTICE_S = 4.0
# Time after its restart in which an entry may not know a limit yet.
LIMIT_RESTART_S = 4.5


@dataclasses.dataclass(frozen=True)
class Call:
    """One request as observed by its caller.

    Attributes:
      request_id: Unique id of the request.
      kind: `safe`, `unsafe` or `gather`.
      entry: Index of the entry.
      sent_s: Time of the send, by the monotonic clock.
      ended_s: Time of the answer or failure, by the monotonic clock.
      status: HTTP status; 0 without a complete answer.
      signatures: Signatures of the answer, each `server_id.request_id`.
      missing: Number of shards that the answer reports as missing.
      body: Body of the answer.
      is_reused: Whether the connection had carried an earlier request.
    """

    request_id: str
    kind: str
    entry: int
    sent_s: float
    ended_s: float
    status: int = 0
    signatures: tuple[str, ...] = ()
    missing: int = 0
    body: bytes = b""
    is_reused: bool = False


@dataclasses.dataclass(frozen=True)
class Run:
    """Start of a request at a backend server.

    Attributes:
      request_id: Id of the request.
      server: Id of the backend server.
      at_s: Time of the start, by the monotonic clock.
    """

    request_id: str
    server: str
    at_s: float


@dataclasses.dataclass(frozen=True)
class VersionObservation:
    """A read or an acknowledged write of a configuration version.

    Attributes:
      version: Version that was read or written.
      sent_s: Time of the request, by the monotonic clock.
      ended_s: Time of the reply, by the monotonic clock.
    """

    version: int
    sent_s: float
    ended_s: float


@dataclasses.dataclass(frozen=True)
class Limit:
    """A rate limit that a backend server stated.

    Attributes:
      limit_per_s: Requests per second from all entries together.
      start_s: Time from which its replies stated it, by the monotonic clock.
      end_s: Time until which they did.
      arrivals_s: Times of the requests that arrived.
    """

    limit_per_s: float
    start_s: float
    end_s: float
    arrivals_s: tuple[float, ...]


@dataclasses.dataclass(frozen=True)
class Observations:
    """All observations of a soak run.

    Attributes:
      calls: Requests of the callers.
      runs: Starts of requests at backend servers.
      acks: Acknowledged writes of versions.
      reads: Reads of the version in force.
      drains: Time at which the drain of a server was acknowledged, by server
        id.
      records: Records of each server, by server id.
      services: Service of each server, by server id.
      shards: Services whose records a gathered answer merges.
      max_gathered_records: Maximum number of records of a gathered answer.
      fault_spans: Periods in which an entry was killed or frozen, each as
        entry index, start and end.
      restart_spans: Periods in which an entry was stopped and started again.
      limits: Rate limits that backend servers stated.
      crashing_ids: Ids of the requests that end each server that runs them.
    """

    calls: tuple[Call, ...]
    runs: tuple[Run, ...]
    acks: tuple[VersionObservation, ...] = ()
    reads: tuple[VersionObservation, ...] = ()
    drains: abc.Mapping[str, float] = dataclasses.field(default_factory=dict)
    records: abc.Mapping[str, tuple[bytes, ...]] = dataclasses.field(
        default_factory=dict
    )
    services: abc.Mapping[str, str] = dataclasses.field(default_factory=dict)
    shards: tuple[str, ...] = ()
    max_gathered_records: int = 0
    fault_spans: tuple[tuple[int, float, float], ...] = ()
    restart_spans: tuple[tuple[int, float, float], ...] = ()
    limits: tuple[Limit, ...] = ()
    crashing_ids: frozenset[str] = frozenset()


def violations(observations: Observations) -> tuple[str, ...]:
    """Returns one line of text for each violated guarantee."""
    return (
        *_check_answers(observations),
        *_check_at_most_once(observations),
        *_check_drains(observations),
        *_check_configuration_reads(observations),
        *_check_cut_off(observations),
        *_check_limits(observations),
        *_check_crashing_requests(observations),
    )


def _check_answers(observations: Observations):
    for call in observations.calls:
        if call.status != 200:
            continue
        server_ids = [
            server_signature.partition(".")[0]
            for server_signature in call.signatures
        ]
        foreign_signatures = [
            signature
            for signature in call.signatures
            if not _belongs_to(signature, call)
        ]
        if not call.signatures or foreign_signatures:
            yield (
                f"{call.request_id}: signatures {call.signatures} do not match"
                " the request"
            )
        elif call.kind == "gather":
            yield from _check_gathered(observations, call, server_ids)
        elif call.body != b"echo:" + call.request_id.encode():
            yield f"{call.request_id}: body of another request: {call.body!r}"


def _belongs_to(signature: str, call: Call) -> bool:
    return signature.partition(".")[2] == call.request_id


def _check_gathered(observations: Observations, call: Call, server_ids):
    services = [
        observations.services.get(server_id) for server_id in server_ids
    ]
    if len(set(services)) != len(services) or not set(services) <= set(
        observations.shards
    ):
        yield f"{call.request_id}: parts {services} are not distinct shards"
        return
    if len(services) + call.missing != len(observations.shards):
        yield (
            f"{call.request_id}: {len(services)} parts and {call.missing}"
            " missing shards are not all shards"
        )
    records = sorted(
        (
            record
            for server_id in server_ids
            for record in observations.records[server_id]
        ),
        reverse=True,
    )
    if call.body != b"".join(records[: observations.max_gathered_records]):
        yield f"{call.request_id}: not the greatest records of {server_ids}"


def _check_at_most_once(observations: Observations):
    call_by_id = {call.request_id: call for call in observations.calls}
    run_counts: dict[str, int] = {}
    for run in observations.runs:
        run_counts[run.request_id] = run_counts.get(run.request_id, 0) + 1
    for request_id, count in run_counts.items():
        call = call_by_id.get(request_id)
        if call is None:
            yield f"{request_id}: ran, but was not sent by a caller"
        elif call.kind == "unsafe" and count > 1:
            yield f"{request_id}: ran {count} times"
        elif call.kind == "unsafe" and call.status in NOT_RUN_STATUSES:
            yield f"{request_id}: ran, but was answered {call.status}"


def _check_drains(observations: Observations):
    for run in observations.runs:
        drained_s = observations.drains.get(run.server)
        if drained_s is not None and run.at_s > drained_s + DRAIN_GRACE_S:
            late_s = run.at_s - drained_s
            yield f"{run.server}: got a request {late_s:.1f} s after its drain"


def _check_configuration_reads(observations: Observations):
    for read in observations.reads:
        acked_versions = [
            ack.version
            for ack in observations.acks
            if ack.ended_s < read.sent_s
        ]
        if acked_versions and read.version < max(acked_versions):
            yield (
                f"version {read.version} was read after"
                f" {max(acked_versions)} was acknowledged"
            )


def _check_cut_off(observations: Observations):
    run_ids = {run.request_id for run in observations.runs}
    for call in observations.calls:
        if call.status or call.request_id not in run_ids:
            continue
        has_entry_fault = any(
            index == call.entry
            and start_s <= call.ended_s
            and end_s >= call.sent_s
            for index, start_s, end_s in observations.fault_spans
        )
        if not has_entry_fault:
            yield f"{call.request_id}: got no answer from entry {call.entry}"


def _check_limits(observations: Observations):
    spans = (*observations.fault_spans, *observations.restart_spans)
    for limit in observations.limits:
        for start_s in limit.arrivals_s:
            end_s = start_s + LIMIT_SPAN_S
            is_stated = (
                start_s >= limit.start_s + LIMIT_NOTICE_S
                and end_s <= limit.end_s
            )
            is_disturbed = any(
                span_start_s < end_s and start_s < span_end_s + LIMIT_RESTART_S
                for _, span_start_s, span_end_s in spans
            )
            if not is_stated or is_disturbed:
                continue
            count = sum(start_s <= t <= end_s for t in limit.arrivals_s)
            allowed = 1.5 * LIMIT_SPAN_S * limit.limit_per_s + 5
            if count > allowed:
                yield (
                    f"a limit of {limit.limit_per_s}/s: {count} requests in"
                    f" {LIMIT_SPAN_S} s, {allowed} are allowed"
                )


def _check_crashing_requests(observations: Observations):
    crashes = sorted(
        (run.at_s, run.request_id)
        for run in observations.runs
        if run.request_id in observations.crashing_ids
    )
    if len(crashes) < CRASHES_NOTICED:
        return
    noticed_s = crashes[CRASHES_NOTICED - 1][0] + CRASH_NOTICE_S
    seen_ids, retries = set(), 0
    for at_s, request_id in crashes:
        retries += request_id in seen_ids and at_s > noticed_s
        seen_ids.add(request_id)
    if retries > MAX_CRASHING_RETRIES:
        yield (
            f"{retries} late retries of a crashing request,"
            f" {len(crashes)} crashes"
        )
