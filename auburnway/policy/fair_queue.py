"""Weighted fair queue of the waiting queries of one rank.

The queue implements start-time fair queueing: each caller has a tag that rises
by 1/share with every query that the caller starts, and the caller with the
lowest tag is served next. Other callers may use the share of an idle caller,
which gets no credit for the time in which it was idle.
"""

import collections
from collections import abc
import heapq

# Number of idle callers above which expired tags are removed.
_MAX_IDLE_TAGS = 1000


class FairQueue:
    """Fair queue of waiting queries, by caller."""

    def __init__(self):
        self._shares: abc.Mapping[str, float] = {}
        # Identifiers of waiting queries, by caller; no deque is empty.
        self._waiting: dict[str, collections.deque[str]] = {}
        self._caller_by_request: dict[str, str] = {}
        # (tag, caller) of each caller with waiting queries.
        self._tag_heap: list[tuple[float, str]] = []
        self._tags: dict[str, float] = {}
        self._virtual_time = 0.0
        # Heap of (deadline, identifier). Items of queries that left the queue
        # are skipped.
        self._deadline_heap: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._caller_by_request)

    def set_shares(self, shares: abc.Mapping[str, float]) -> None:
        """Sets the callers' weights; absent callers have weight 1."""
        self._shares = {
            caller: share for caller, share in shares.items() if share > 0.0
        }

    def charge(self, caller: str) -> None:
        """Charges a caller for a query that starts without waiting."""
        tag = max(self._tags.get(caller, 0.0), self._virtual_time)
        self._virtual_time = tag
        self._set_tag(caller, tag + 1.0 / self._shares.get(caller, 1.0))

    def push(self, request_id: str, caller: str, deadline_at_ms: float) -> None:
        """Adds a waiting query.

        Args:
          request_id: Identifier of the query, not yet in the queue.
          caller: Caller of the query.
          deadline_at_ms: Time from which `expire` removes the query.
        """
        waiting = self._waiting.get(caller)
        if waiting is None:
            waiting = self._waiting[caller] = collections.deque()
            tag = max(self._tags.get(caller, 0.0), self._virtual_time)
            self._tags[caller] = tag
            heapq.heappush(self._tag_heap, (tag, caller))
        waiting.append(request_id)
        self._caller_by_request[request_id] = caller
        heapq.heappush(self._deadline_heap, (deadline_at_ms, request_id))

    def pop(self) -> str:
        """Removes and returns the query to start next.

        Raises:
          IndexError: The queue is empty.
        """
        while True:
            tag, caller = heapq.heappop(self._tag_heap)
            waiting = self._waiting.get(caller)
            # The heap keeps outdated items of callers whose waiting queries
            # were all removed.
            if waiting is not None and self._tags.get(caller) == tag:
                break
        self._virtual_time = tag
        next_tag = tag + 1.0 / self._shares.get(caller, 1.0)
        request_id = waiting.popleft()
        del self._caller_by_request[request_id]
        if waiting:
            self._tags[caller] = next_tag
            heapq.heappush(self._tag_heap, (next_tag, caller))
        else:
            del self._waiting[caller]
            self._set_tag(caller, next_tag)
        return request_id

    def remove(self, request_id: str) -> None:
        """Removes a waiting query that was cancelled.

        Raises:
          KeyError: The query is not in this queue.
        """
        caller = self._caller_by_request.pop(request_id)
        waiting = self._waiting[caller]
        waiting.remove(request_id)
        if not waiting:
            del self._waiting[caller]

    def expire(self, until_ms: float) -> list[str]:
        """Removes and returns the queries whose deadline has passed.

        Args:
          until_ms: Latest deadline that counts as passed.
        """
        expired = []
        deadlines = self._deadline_heap
        while deadlines and (
            deadlines[0][0] <= until_ms
            or deadlines[0][1] not in self._caller_by_request
        ):
            _, request_id = heapq.heappop(deadlines)
            if request_id in self._caller_by_request:
                self.remove(request_id)
                expired.append(request_id)
        if len(deadlines) > 2 * len(self._caller_by_request) + 100:
            # Queries that started long before their deadline leave outdated
            # items on the heap.
            self._deadline_heap = [
                item for item in deadlines if item[1] in self._caller_by_request
            ]
            heapq.heapify(self._deadline_heap)
        return expired

    def displace(self, caller: str) -> str | None:
        """Removes a query from a full queue for a caller below its share.

        Args:
          caller: Caller of the arriving query.

        Returns:
          The identifier of the removed query, which is the newest query of the
          caller with the most waiting queries relative to its share; None when
          the arriving query's caller would have as many.
        """

        def relative_load(name: str, extra: int) -> float:
            count = len(self._waiting.get(name, ())) + extra
            return count / self._shares.get(name, 1.0)

        if not self._waiting:
            return None
        greatest_caller = max(
            self._waiting, key=lambda name: relative_load(name, 0)
        )
        if greatest_caller == caller or relative_load(
            greatest_caller, 0
        ) <= relative_load(caller, 1):
            return None
        request_id = self._waiting[greatest_caller][-1]
        self.remove(request_id)
        return request_id

    def count_ahead(self, caller: str) -> float:
        """Returns how many waiting queries precede a caller's next query."""
        own_count = len(self._waiting.get(caller, ()))
        served_share = (own_count + 1) / self._shares.get(caller, 1.0)
        count = 0.0
        for name, waiting in self._waiting.items():
            if name == caller:
                count += own_count
            else:
                share = self._shares.get(name, 1.0)
                count += min(len(waiting), served_share * share)
        return count

    def _set_tag(self, caller: str, tag: float) -> None:
        self._tags[caller] = tag
        if len(self._tags) > _MAX_IDLE_TAGS + len(self._waiting):
            # A tag that is not above the virtual time has the same effect as
            # no tag.
            self._tags = {
                name: tag
                for name, tag in self._tags.items()
                if tag > self._virtual_time or name in self._waiting
            }
