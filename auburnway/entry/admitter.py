"""Admission of requests, and sharing of slots with the other entries.

The slots of backend servers are the scarce resource, and an entry does not see
the queues of other entries. Each application has one admission queue per
entry. The queue's limit follows this entry's share of the total demand.
"""

from collections import abc
import typing

from auburnway.core import clock as clock_lib
from auburnway.core import configuration as configuration_lib
from auburnway.core import errors
from auburnway.core import membership
from auburnway.core import request as request_lib
from auburnway.kernel import registry
from auburnway.kernel import timers as timers_lib

QUEUE_POLL_PERIOD_MS = 20.0
LIMIT_UPDATE_PERIOD_MS = 100.0
# Number of waiting requests per running request above which hedges and retries
# stop.
OVERLOAD_RATIO = 4


class Admitter:
    """Starts, queues or refuses the requests of an entry."""

    def __init__(
        self,
        clock: clock_lib.Clock,
        timers: timers_lib.TimerQueue,
        table: membership.Table,
        sharing: typing.Any,
        peer_demands: abc.Callable[[], dict[str, dict]],
        shed_share: abc.Callable[[str], float],
        refuse: abc.Callable[
            [request_lib.Request, errors.Error, float | None], None
        ],
    ):
        self._clock = clock
        self._table = table
        self._sharing = sharing
        self._peer_demands = peer_demands
        self._shed_share = shed_share
        self._refuse = refuse
        self._configuration = configuration_lib.EMPTY
        self._queues: dict[str, typing.Any] = {}
        self._waiting: dict[str, tuple[request_lib.Request, typing.Any]] = {}
        timers.every(QUEUE_POLL_PERIOD_MS, self._poll_all)
        timers.every(LIMIT_UPDATE_PERIOD_MS, self._update_limits)

    def reconfigure(
        self, configuration: configuration_lib.Configuration
    ) -> None:
        """Applies the configuration in force."""
        old_policy = self._configuration.policy("admission", "ranked")
        policy = configuration.policy("admission", "ranked")
        self._configuration = configuration
        self._sharing.reconfigure(configuration.ranks)
        if policy != old_policy:
            # Requests stay in the old queue until they end, so the admission
            # policy is replaced only for applications without requests.
            for name, queue in tuple(self._queues.items()):
                if not any(map(sum, queue.demand().values())):
                    del self._queues[name]
        for queue in self._queues.values():
            queue.reconfigure(configuration.ranks, self._caller_shares())
        self._update_limits()

    def offer(
        self, request: request_lib.Request, start: abc.Callable[[], None]
    ) -> None:
        """Starts a request now or later, or refuses it.

        Args:
          request: Request to admit.
          start: Called once when the request may start.
        """
        now_ms = self._clock.now_ms()
        application = request.kind.application
        decision = self._queue(application).offer(
            request.request_id,
            request.rank.name,
            request.caller.name,
            request.deadline_at_ms,
            now_ms,
        )
        decision_type = type(decision).__name__
        if decision_type == "Admitted":
            start()
        elif decision_type == "Queued":
            self._waiting[request.request_id] = (request, start)
            self._poll(application)
        else:
            error = errors.Overloaded(decision.reason, request.request_id)
            self._refuse(request, error, decision.retry_after_ms)

    def finish(self, request: request_lib.Request) -> None:
        """Releases the slots of a request that has ended."""
        application = request.kind.application
        queue = self._queue(application)
        queue.finish(request.request_id, self._clock.now_ms())
        self._poll(application)

    def demand(self) -> dict[str, dict[str, tuple[int, int]]]:
        """Returns waiting and in-flight requests by application and rank."""
        return {name: q.demand() for name, q in self._queues.items()}

    def is_overloaded(self) -> bool:
        """Whether far more requests are waiting than running.

        A few waiting requests are no overload: they occur at a load of 42%
        already and behind a straggler, where hedges and retries help.
        """
        running = sum(
            in_flight
            for ranks in self.demand().values()
            for _, in_flight in ranks.values()
        )
        return len(self._waiting) > OVERLOAD_RATIO * running

    def _caller_shares(self) -> dict[str, float]:
        return {c.name: c.share for c in self._configuration.callers}

    def _queue(self, application: str) -> typing.Any:
        queue = self._queues.get(application)
        if queue is None:
            policy = self._configuration.policy("admission", "ranked")
            queue = registry.get("admission", policy)(
                self._configuration.ranks,
                self._caller_shares(),
                self._clock.now_ms(),
            )
            self._queues[application] = queue
            self._update_limit(application, queue, self._clock.now_ms())
        return queue

    def _update_limits(self) -> None:
        now_ms = self._clock.now_ms()
        for application, queue in self._queues.items():
            self._update_limit(application, queue, now_ms)
            self._poll(application)

    def _update_limit(self, application, queue, now_ms: float) -> None:
        peers = {
            name: {
                rank: (count, 0)
                for rank, count in demand.get(application, {}).items()
            }
            for name, demand in self._peer_demands().items()
        }
        limit = self._sharing.limit(
            application,
            self._fleet_slots(application),
            queue.demand(),
            peers,
            self._shed_share(application),
            now_ms,
        )
        queue.set_limit(limit)

    def _fleet_slots(self, application: str) -> int:
        """Returns how many queries the backend servers can run in parallel.

        A query occupies one slot in each shard, so the shard with the fewest
        slots is the limit.
        """
        slots: dict[tuple[int, int], int] = {}
        for row in self._table.servers(application):
            for holding in row.holdings:
                key = (holding.snapshot, holding.shard)
                slots[key] = slots.get(key, 0) + row.slots
        if not slots:
            return 0
        newest = max(snapshot for snapshot, _ in slots)
        return min(n for (s, _), n in slots.items() if s == newest)

    def _poll_all(self) -> None:
        for application in tuple(self._queues):
            self._poll(application)

    def _poll(self, application: str) -> None:
        queue = self._queues[application]
        started, dropped = queue.poll(self._clock.now_ms())
        for request_id, reason in dropped:
            request, _ = self._waiting.pop(request_id)
            error_class = errors.DeadlineExceeded
            if reason == "displaced":
                # The request was the newest waiting request of a caller that
                # exceeds its share.
                error_class = errors.Overloaded
            error = error_class(reason, request_id)
            self._refuse(request, error, None)
        for request_id in started:
            _, start = self._waiting.pop(request_id)
            start()
