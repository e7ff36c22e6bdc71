"""Configurations of the pass-through tier: routes over services.

An operator replaces the whole configuration at once. `check` validates it
before it is accepted and returns all of its errors.
"""

import collections
import dataclasses

from auburnway.core import errors

# Maximum number of records that a gather route may return.
MAX_TOP_RECORDS = 100_000


class BadConfiguration(errors.Error):
    """A configuration is inconsistent or cannot be parsed."""

    code = "bad_configuration"
    remedy = "Correct the configuration and send it again."
    http_status = 400


@dataclasses.dataclass(frozen=True)
class Service:
    """A named set of backend servers.

    Attributes:
      name: Name that backend servers register under.
      health_path: Path of the servers' health check.
      connection_limit: Connections that one server accepts in total.
    """

    name: str
    health_path: str
    connection_limit: int


@dataclasses.dataclass(frozen=True)
class WeightedService:
    """A service and its share of a route's traffic.

    Attributes:
      service: Name of the service.
      weight: Weight relative to the other services of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Gather:
    """Parameters of a query that is sent to all shards and merged.

    Attributes:
      shards: Names of services; each service is one shard.
      top_records: Number of records in the answer, the greatest first.
      min_coverage: Minimum share of the shards, 0 to 1, that must reply for an
        answer.
    """

    shards: tuple[str, ...]
    top_records: int
    min_coverage: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Handling of requests with a given host and path prefix.

    Attributes:
      name: Name of the route.
      host: Host of the requests, in lower case.
      prefix: Path prefix of the requests; begins and ends with a slash.
      is_repeatable: Whether a request may run more than once.
      timeout_ms: Maximum time until a request is answered.
      target_ms: Latency target.
      rank: Priority; 0 is the most urgent.
      max_attempts: Maximum number of backend servers, per shard, that may run
        a request.
      parts: Services with weights; empty for a gather route.
      gather: Parameters of a gather route; None for other routes.
    """

    name: str
    host: str
    prefix: str
    is_repeatable: bool
    timeout_ms: float
    target_ms: float
    rank: int
    max_attempts: int
    parts: tuple[WeightedService, ...] = ()
    gather: Gather | None = None

    @property
    def services(self) -> tuple[str, ...]:
        """Names of all services of the route."""
        if self.gather is not None:
            return self.gather.shards
        return tuple(part.service for part in self.parts)


@dataclasses.dataclass(frozen=True)
class ClientLimits:
    """Limits on the size and timing of what a client sends."""

    header_bytes: int
    body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


@dataclasses.dataclass(frozen=True)
class Configuration:
    """All routes, services and client limits of one version."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: ClientLimits


def check(configuration: Configuration) -> tuple[errors.Error, ...]:
    """Returns all errors of a configuration."""
    problems: list[str] = []
    service_names = {service.name for service in configuration.services}
    prefix_counts = collections.Counter(
        (route.host, route.prefix) for route in configuration.routes
    )
    for (host, prefix), count in prefix_counts.items():
        if count > 1:
            problems.append(f"{count} routes share {host}{prefix}")
    if len(service_names) < len(configuration.services):
        problems.append("two services share a name")
    for route in configuration.routes:
        problems.extend(_route_problems(route, service_names))
    return tuple(BadConfiguration(detail) for detail in problems)


def _route_problems(route: Route, service_names: set[str]) -> list[str]:
    problems = [
        f"route {route.name} names the unknown service {service}"
        for service in route.services
        if service not in service_names
    ]
    if not route.services:
        problems.append(f"route {route.name} names no service")
    if route.timeout_ms <= 0:
        problems.append(f"route {route.name} has no time-out")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        problems.append(f"route {route.name}: prefix lacks a slash at an end")
    if route.max_attempts < 1:
        problems.append(f"route {route.name} allows no attempt")
    weights = [part.weight for part in route.parts]
    if route.parts and (sum(weights) <= 0 or min(weights) < 0):
        problems.append(f"route {route.name}: weights do not add up")
    gather = route.gather
    if gather is not None:
        if len(set(gather.shards)) < len(gather.shards):
            problems.append(f"route {route.name} names a shard twice")
        if not 0 <= gather.min_coverage <= 1:
            problems.append(
                f"route {route.name}: coverage is not within 0 to 1"
            )
        if not 0 < gather.top_records <= MAX_TOP_RECORDS:
            problems.append(f"route {route.name}: bad number of records")
        if not route.is_repeatable:
            problems.append(
                f"route {route.name} gathers what may run once only"
            )
    return problems


class Matcher:
    """Finds the route of a request.

    Args:
      configuration: Configuration whose routes are matched.
    """

    def __init__(self, configuration: Configuration):
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix, or None.

        Args:
          host: Value of the Host header.
          path: Path without the query.
        """
        prefixes = self._by_host.get(host.lower())
        if prefixes is None:
            prefixes = self._by_host.get(host.lower().partition(":")[0])
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None
