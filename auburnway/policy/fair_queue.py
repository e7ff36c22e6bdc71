"""Waiting queries of one rank, served to callers by weighted fair share.

Start-time fair queueing: each caller has a tag that rises by 1/share with
every query it starts, and the caller with the least tag is next. The work of
an idle caller is lent to the others; it keeps no credit for that time.
"""

import collections
from collections import abc
import heapq

# Tags of idle callers are dropped beyond this number.
_MAX_IDLE_TAGS = 1000


class FairQueue:
    """Waiting queries by caller."""

    def __init__(self):
        self._shares: abc.Mapping[str, float] = {}
        # Waiting identifiers, by caller; no deque is empty.
        self._waiting: dict[str, collections.deque[str]] = {}
        self._caller: dict[str, str] = {}
        # (tag, caller) of each caller with waiting queries.
        self._heap: list[tuple[float, str]] = []
        self._tags: dict[str, float] = {}
        self._virtual_time = 0.0
        # (deadline, identifier); those that left the queue are skipped.
        self._deadlines: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._caller)

    def set_shares(self, shares: abc.Mapping[str, float]) -> None:
        """Sets the callers' weights; 1 when absent."""
        self._shares = {
            caller: share for caller, share in shares.items() if share > 0.0
        }

    def charge(self, caller: str) -> None:
        """Counts a query that starts without waiting."""
        tag = max(self._tags.get(caller, 0.0), self._virtual_time)
        self._virtual_time = tag
        self._set_tag(caller, tag + 1.0 / self._shares.get(caller, 1.0))

    def push(self, request_id: str, caller: str, deadline_at_ms: float) -> None:
        """Adds a waiting query.

        Args:
          request_id: Identifier, which must not wait here already.
          caller: Its caller.
          deadline_at_ms: Instant at which `expire` removes it.
        """
        waiting = self._waiting.get(caller)
        if waiting is None:
            waiting = self._waiting[caller] = collections.deque()
            tag = max(self._tags.get(caller, 0.0), self._virtual_time)
            self._tags[caller] = tag
            heapq.heappush(self._heap, (tag, caller))
        waiting.append(request_id)
        self._caller[request_id] = caller
        heapq.heappush(self._deadlines, (deadline_at_ms, request_id))

    def pop(self) -> str:
        """Removes and returns the query to start next.

        Raises:
          IndexError: Nothing waits.
        """
        while True:
            tag, caller = heapq.heappop(self._heap)
            waiting = self._waiting.get(caller)
            # A caller whose queries were all removed left an entry behind.
            if waiting is not None and self._tags.get(caller) == tag:
                break
        self._virtual_time = tag
        next_tag = tag + 1.0 / self._shares.get(caller, 1.0)
        request_id = waiting.popleft()
        del self._caller[request_id]
        if waiting:
            self._tags[caller] = next_tag
            heapq.heappush(self._heap, (next_tag, caller))
        else:
            del self._waiting[caller]
            self._set_tag(caller, next_tag)
        return request_id

    def remove(self, request_id: str) -> None:
        """Removes a waiting query that is no longer wanted.

        Raises:
          KeyError: It does not wait here.
        """
        caller = self._caller.pop(request_id)
        waiting = self._waiting[caller]
        waiting.remove(request_id)
        if not waiting:
            del self._waiting[caller]

    def expire(self, until_ms: float) -> list[str]:
        """Removes and returns the queries whose deadline has come.

        Args:
          until_ms: Deadlines up to this instant have come.
        """
        expired = []
        deadlines = self._deadlines
        while deadlines and (
            deadlines[0][0] <= until_ms or deadlines[0][1] not in self._caller
        ):
            _, request_id = heapq.heappop(deadlines)
            if request_id in self._caller:
                self.remove(request_id)
                expired.append(request_id)
        if len(deadlines) > 2 * len(self._caller) + 100:
            # Queries that started early leave entries far ahead.
            self._deadlines = [d for d in deadlines if d[1] in self._caller]
            heapq.heapify(self._deadlines)
        return expired

    def displace(self, caller: str) -> str | None:
        """Makes room in a full queue for a caller below its share.

        Args:
          caller: Caller of the arriving query.

        Returns:
          The removed identifier, the newest of the caller with the most
          waiting queries for its share; None when that is the caller itself.
        """

        def load(name: str, extra: int) -> float:
            count = len(self._waiting.get(name, ())) + extra
            return count / self._shares.get(name, 1.0)

        if not self._waiting:
            return None
        greatest = max(self._waiting, key=lambda name: load(name, 0))
        if greatest == caller or load(greatest, 0) <= load(caller, 1):
            return None
        request_id = self._waiting[greatest][-1]
        self.remove(request_id)
        return request_id

    def ahead(self, caller: str) -> float:
        """Returns how many waiting queries go before a new one of a caller."""
        own = len(self._waiting.get(caller, ()))
        rounds = (own + 1) / self._shares.get(caller, 1.0)
        count = 0.0
        for name, waiting in self._waiting.items():
            if name == caller:
                count += own
            else:
                share = self._shares.get(name, 1.0)
                count += min(len(waiting), rounds * share)
        return count

    def _set_tag(self, caller: str, tag: float) -> None:
        self._tags[caller] = tag
        if len(self._tags) > _MAX_IDLE_TAGS + len(self._waiting):
            # A tag up to the virtual time says no more than no tag.
            self._tags = {
                name: tag
                for name, tag in self._tags.items()
                if tag > self._virtual_time or name in self._waiting
            }
