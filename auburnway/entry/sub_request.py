"""Progress of the sub-requests of one query."""

import dataclasses
import typing

from auburnway.core import membership
from auburnway.net import exchange as exchange_lib

# First pause when every replica of a shard refused for lack of a slot.
FIRST_BACKOFF_MS = 2.0


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
