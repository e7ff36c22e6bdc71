"""Progress of the sub-requests of one query."""

from collections import abc
import dataclasses
import itertools
import typing

from auburnway.core import answer as answer_lib
from auburnway.core import membership
from auburnway.core import request as request_lib
from auburnway.core import snapshot as snapshot_lib
from auburnway.net import exchange as exchange_lib

# First pause when every replica of a shard refused for lack of a slot.
FIRST_BACKOFF_MS = 2.0
# Time kept for merging and for the way back to the caller.
ANSWER_MARGIN_MS = 10.0
# Part of a short deadline that is kept at most.
ANSWER_MARGIN_SHARE = 0.1
# A sub-request without a reply for this long is given up: its connection may
# be silent for good.
SILENCE_MS = 2000.0
# Part of the time left for which a silent canary and its copy hold the rest.
CANARY_HOLD_SHARE = 0.5


def answer_after_ms(left_ms: float) -> float:
    """Returns when a query is answered with what it has, in ms from now."""
    return left_ms - min(ANSWER_MARGIN_MS, left_ms * ANSWER_MARGIN_SHARE)


def canary_hold_ms(left_ms: float) -> float:
    """Returns how long a silent canary holds the rest of its query."""
    return min(SILENCE_MS, CANARY_HOLD_SHARE * left_ms)


@dataclasses.dataclass(eq=False, slots=True)
class Attempt:
    """One sub-request on one replica.

    Attributes:
      row: The replica.
      sub_id: Identity that the reply must carry.
      started_ms: Instant at which it was sent.
      exchange: Handle of the connection's exchange.
    """

    row: membership.Row
    sub_id: str
    started_ms: float
    exchange: exchange_lib.Exchange | None = None


@dataclasses.dataclass(eq=False, slots=True)
class Shard:
    """Progress of one shard of a query.

    Attributes:
      shard: Number of the shard in the manifest.
      tried: Names of the replicas asked since the last pause.
      attempts: Sub-requests without a reply yet.
      records: The shard's part of the answer; None until it arrived.
      hedges: Count of hedges sent.
      launched: True once it was asked.
      failed: True when it will be missing from the answer.
      backoff_ms: Next pause when all replicas refuse for lack of a slot.
    """

    shard: int
    tried: set[str] = dataclasses.field(default_factory=set)
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    records: list[typing.Any] | None = None
    hedges: int = 0
    launched: bool = False
    failed: bool = False
    backoff_ms: float = FIRST_BACKOFF_MS

    @property
    def open(self) -> bool:
        """Whether the shard may still answer."""
        return self.records is None and not self.failed


def merge(
    request: request_lib.Request,
    configuration_number: int,
    manifest: snapshot_lib.Manifest,
    shards: abc.Mapping[int, Shard],
) -> answer_lib.Done:
    """Returns the answer that consists of what has arrived.

    Args:
      request: The query.
      configuration_number: Configuration under which it ran.
      manifest: Shard map of the snapshot that it is pinned to.
      shards: Progress by number of the shard.
    """
    answered = {
        shard: each.records
        for shard, each in sorted(shards.items())
        if each.records is not None
    }
    return answer_lib.Done(
        request=request,
        configuration_number=configuration_number,
        snapshot=manifest.snapshot,
        coverage=snapshot_lib.coverage(manifest, answered),
        records=tuple(itertools.chain(*answered.values())),
    )
