"""State of the sub-requests of one query."""

from collections import abc
import dataclasses
import itertools
import typing

from auburnway.core import answer as answer_lib
from auburnway.core import membership
from auburnway.core import request as request_lib
from auburnway.core import snapshot as snapshot_lib
from auburnway.entry import backends as backends_lib
from auburnway.net import exchange as exchange_lib

# First backoff after all replicas of a shard refused for lack of a slot.
FIRST_BACKOFF_MS = 2.0
# Time reserved for merging and for the transfer to the caller.
ANSWER_MARGIN_MS = 10.0
# Largest share of the time left that the margin may use.
ANSWER_MARGIN_SHARE = 0.1
# A sub-request without a reply for this long is abandoned: its connection may
# never become readable again.
SILENCE_MS = 2000.0
# Share of the time left for which a canary and its copy, both without a reply,
# delay the other shards.
CANARY_HOLD_SHARE = 0.5
# Largest backoff after all replicas of a shard refused for lack of a slot.
MAX_BACKOFF_MS = 20.0
# Delay before a canary is repeated if no latency data exist.
CANARY_WAIT_MS = 50.0
# Delay before a canary that reached no server is sent to the next one. The
# server may have crashed on the same request a moment ago, sent through another
# entry, whose strike arrives within this time.
STRIKE_WAIT_MS = 20.0
# Number of plans after which a query is no longer planned on another snapshot.
MAX_PLANS = 3


def answer_after_ms(left_ms: float) -> float:
    """Returns the delay in ms after which a partial answer is sent.

    Args:
      left_ms: Time until the query's deadline.
    """
    return left_ms - min(ANSWER_MARGIN_MS, left_ms * ANSWER_MARGIN_SHARE)


def canary_hold_ms(left_ms: float) -> float:
    """Returns for how many ms a canary without a reply delays other shards.

    Args:
      left_ms: Time until the query's deadline.
    """
    return min(SILENCE_MS, CANARY_HOLD_SHARE * left_ms)


@dataclasses.dataclass(eq=False, slots=True)
class Attempt:
    """One sub-request on one replica.

    Attributes:
      row: Row of the replica.
      sub_id: Request identifier that the reply must contain.
      started_ms: Send time of the sub-request.
      exchange: Exchange on the connection; None before the sub-request is sent.
    """

    row: membership.Row
    sub_id: str
    started_ms: float
    exchange: exchange_lib.Exchange | None = None


@dataclasses.dataclass(eq=False, slots=True)
class Shard:
    """State of one shard of a query.

    Attributes:
      number: Number of the shard in the manifest.
      tried: Names of the replicas tried since the last backoff.
      attempts: Sub-requests without a reply.
      records: Records of this shard; None until they arrive.
      hedges: Number of hedges sent.
      launched: Whether a first sub-request was started.
      failed: Whether the shard will be missing from the answer.
      backoff_ms: Next backoff after all replicas refused for lack of a slot.
    """

    number: int
    tried: set[str] = dataclasses.field(default_factory=set)
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    records: list[typing.Any] | None = None
    hedges: int = 0
    launched: bool = False
    failed: bool = False
    backoff_ms: float = FIRST_BACKOFF_MS

    @property
    def is_open(self) -> bool:
        """Whether the shard has neither records nor failed."""
        return self.records is None and not self.failed


def merge(
    request: request_lib.Request,
    configuration_number: int,
    manifest: snapshot_lib.Manifest,
    shards: abc.Mapping[int, Shard],
) -> answer_lib.Done:
    """Returns an answer from the records that have arrived.

    Args:
      request: Query to answer.
      configuration_number: Configuration under which the query ran.
      manifest: Shard map of the snapshot to which the query is pinned.
      shards: State of each shard by number.
    """
    answered = {
        shard: shard_state.records
        for shard, shard_state in sorted(shards.items())
        if shard_state.records is not None
    }
    return answer_lib.Done(
        request=request,
        configuration_number=configuration_number,
        snapshot=manifest.snapshot,
        coverage=snapshot_lib.coverage(manifest, answered),
        records=tuple(itertools.chain(*answered.values())),
    )


def abandon(
    backends: backends_lib.Backends, shards: abc.Iterable[Shard]
) -> None:
    """Abandons the attempts of shards and cancels them remotely.

    Args:
      backends: Connections and measurements of the entry.
      shards: Shards whose attempts are not needed any more.
    """
    now_ms = backends.clock.now_ms()
    for shard in shards:
        for attempt in shard.attempts:
            backends.chooser.on_cancel(attempt.row.name, now_ms)
            _cancel(backends, attempt)
        shard.attempts.clear()


def _cancel(backends: backends_lib.Backends, attempt: Attempt) -> None:
    sent = attempt.exchange is not None and attempt.exchange.abandon()
    address = attempt.row.address
    if sent and backends.pool.has_capacity(address):
        backends.pool.send(
            address,
            backends_lib.cancel_payload(address, attempt.sub_id),
            lambda reply: None,
        )
