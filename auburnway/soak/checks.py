"""The promises, checked on what callers, operators and backend servers saw."""

from collections import abc
import dataclasses

# Statuses that say that a request has not run and never will.
NOT_RUN = frozenset((408, 421, 429, 503))
# A backend server gets no new request this long after its drain was
# acknowledged.
DRAIN_S = 3.0


@dataclasses.dataclass(frozen=True)
class Call:
    """One request as its caller saw it.

    Attributes:
      request_id: Its identity.
      kind: `safe`, `unsafe` or `gather`.
      entry: Index of the entry.
      sent_s: Instant of the send.
      ended_s: Instant of the end.
      status: HTTP status; 0 without a whole answer.
      stamps: Signatures of the answer.
      missing: Number of shards that the answer says are missing.
      body: Body of the answer.
      is_reused: Whether the connection had carried another request.
    """

    request_id: str
    kind: str
    entry: int
    sent_s: float
    ended_s: float
    status: int = 0
    stamps: tuple[str, ...] = ()
    missing: int = 0
    body: bytes = b""
    is_reused: bool = False


@dataclasses.dataclass(frozen=True)
class Run:
    """A backend server began to work on a request.

    Attributes:
      request_id: Its identity.
      server: Identity of the server.
      at_s: Instant.
    """

    request_id: str
    server: str
    at_s: float


@dataclasses.dataclass(frozen=True)
class Read:
    """A configuration that was read, or acknowledged, with its instants."""

    version: int
    sent_s: float
    ended_s: float


@dataclasses.dataclass(frozen=True)
class Seen:
    """All that was seen in a run.

    Attributes:
      calls: Requests.
      runs: Runs at backend servers.
      acks: Acknowledged versions.
      reads: Versions read.
      drains: Instant of the acknowledged drain by server.
      records: Records of each server.
      services: Service of each server.
      shards: Services that a gathered answer is made of.
      top_records: Greatest number of records of a gathered answer.
      disturbed: Spans in which an entry was killed or frozen: index, start
        and end.
    """

    calls: tuple[Call, ...]
    runs: tuple[Run, ...]
    acks: tuple[Read, ...] = ()
    reads: tuple[Read, ...] = ()
    drains: abc.Mapping[str, float] = dataclasses.field(default_factory=dict)
    records: abc.Mapping[str, tuple[bytes, ...]] = dataclasses.field(
        default_factory=dict
    )
    services: abc.Mapping[str, str] = dataclasses.field(default_factory=dict)
    shards: tuple[str, ...] = ()
    top_records: int = 0
    disturbed: tuple[tuple[int, float, float], ...] = ()


def violations(seen: Seen) -> tuple[str, ...]:
    """Returns a line for each broken promise."""
    return (
        *_truth_of_answers(seen),
        *_at_most_once(seen),
        *_drained(seen),
        *_configuration(seen),
        *_cut_off(seen),
    )


def _truth_of_answers(seen: Seen):
    for call in seen.calls:
        if call.status != 200:
            continue
        servers = [stamp.partition(".")[0] for stamp in call.stamps]
        foreign = [s for s in call.stamps if not _is_own(s, call)]
        if not call.stamps or foreign:
            yield f"{call.request_id}: signatures {call.stamps} are not its own"
        elif call.kind == "gather":
            yield from _gathered(seen, call, servers)
        elif call.body != b"echo:" + call.request_id.encode():
            yield f"{call.request_id}: body of another request: {call.body!r}"


def _is_own(stamp: str, call: Call) -> bool:
    return stamp.partition(".")[2] == call.request_id


def _gathered(seen: Seen, call: Call, servers):
    parts = [seen.services.get(server) for server in servers]
    if len(set(parts)) != len(parts) or not set(parts) <= set(seen.shards):
        yield f"{call.request_id}: parts {parts} are not shards, each once"
        return
    if len(parts) + call.missing != len(seen.shards):
        yield f"{call.request_id}: {len(parts)} parts, {call.missing} missing"
    held = sorted(
        (record for server in servers for record in seen.records[server]),
        reverse=True,
    )
    if call.body != b"".join(held[: seen.top_records]):
        yield f"{call.request_id}: not the greatest records of {servers}"


def _at_most_once(seen: Seen):
    kinds = {call.request_id: call for call in seen.calls}
    counts: dict[str, int] = {}
    for run in seen.runs:
        counts[run.request_id] = counts.get(run.request_id, 0) + 1
    for request_id, count in counts.items():
        call = kinds.get(request_id)
        if call is None:
            yield f"{request_id}: ran, but nobody sent it"
        elif call.kind == "unsafe" and count > 1:
            yield f"{request_id}: ran {count} times"
        elif call.kind == "unsafe" and call.status in NOT_RUN:
            yield f"{request_id}: ran, but was answered {call.status}"


def _drained(seen: Seen):
    for run in seen.runs:
        drained_s = seen.drains.get(run.server)
        if drained_s is not None and run.at_s > drained_s + DRAIN_S:
            late_s = run.at_s - drained_s
            yield f"{run.server}: a request {late_s:.1f} s after its drain"


def _configuration(seen: Seen):
    for read in seen.reads:
        due = [a.version for a in seen.acks if a.ended_s < read.sent_s]
        if due and read.version < max(due):
            yield (
                f"version {read.version} was read after {max(due)} was"
                " acknowledged"
            )


def _cut_off(seen: Seen):
    ran = {run.request_id for run in seen.runs}
    for call in seen.calls:
        if call.status or call.request_id not in ran:
            continue
        is_disturbed = any(
            index == call.entry
            and start_s <= call.ended_s
            and end_s >= call.sent_s
            for index, start_s, end_s in seen.disturbed
        )
        if not is_disturbed:
            yield f"{call.request_id}: cut off at entry {call.entry}"
