"""Decodes the configurations and heartbeats of the platform."""

import hashlib

import orjson
from returns import result

from auburnway.core import errors
from auburnway.core import route_table
from auburnway.core import server_table
from auburnway.gateway import dialect as dialect_lib
from auburnway.registrar import revision_machine


class BadHeartbeat(errors.Error):
    """A heartbeat lacks a field or has a field of the wrong type."""

    code = "bad_heartbeat"
    remedy = "Send all fields of a heartbeat, each with its type."
    http_status = 400


def decode_configuration(
    document: bytes,
) -> result.Result[route_table.Configuration, tuple[errors.Error, ...]]:
    """Decodes and checks an operator's JSON document.

    Returns:
      The configuration, or all errors that were found.
    """
    try:
        data = orjson.loads(document)
        configuration = route_table.Configuration(
            version=_integer(data["Version"]),
            routes=tuple(map(_route, data["Routes"])),
            services=tuple(map(_service, data["Services"])),
            limits=_limits(data["Limits"]),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        problem = route_table.BadConfiguration(f"cannot be read: {error!r}")
        return result.Failure((problem,))
    problems = route_table.check(configuration)
    return (
        result.Failure(problems) if problems else result.Success(configuration)
    )


def make_put_command(
    document: bytes, configuration: route_table.Configuration
) -> revision_machine.PutRevision:
    """Returns the command that proposes a configuration to the consensus.

    Args:
      document: JSON document that was decoded.
      configuration: Configuration that `document` was decoded to.
    """
    canonical = orjson.dumps(
        orjson.loads(document), option=orjson.OPT_SORT_KEYS
    )
    return revision_machine.PutRevision(
        configuration.version,
        hashlib.blake2b(canonical, digest_size=16).digest(),
        revision_machine.compress(document),
    )


def _integer(value) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f"{value!r} is not an integer")
    return value


def _number(value) -> float:
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise TypeError(f"{value!r} is not a number")
    return float(value)


def _non_empty_string(value) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError(f"{value!r} is not a name")
    return value


def _route(data) -> route_table.Route:
    gather = None
    if data.get("Gather"):
        gather = route_table.Gather(
            tuple(map(_non_empty_string, data["Gather"])),
            _integer(data["TopK"]),
            _number(data.get("MinCoverage", 1.0)),
        )
    parts = ()
    if data.get("TrafficSplit"):
        parts = tuple(
            route_table.WeightedService(
                _non_empty_string(part["Service"]), _number(part["Weight"])
            )
            for part in data["TrafficSplit"]
        )
    elif data.get("Service"):
        parts = (
            route_table.WeightedService(
                _non_empty_string(data["Service"]), 1.0
            ),
        )
    timeout_ms = _number(data["TimeoutMs"])
    return route_table.Route(
        name=_non_empty_string(data["Name"]),
        host=_non_empty_string(data["Host"]).lower(),
        prefix=_non_empty_string(data["PathPrefix"]),
        is_repeatable=_non_empty_string(data["Type"]) == "safe",
        timeout_ms=timeout_ms,
        target_ms=_number(data.get("TargetLatencyMs", timeout_ms)),
        rank=_integer(data.get("Priority", 0)),
        max_attempts=_integer(data.get("MaxAttempts", 1)),
        parts=parts,
        gather=gather,
    )


def _service(data) -> route_table.Service:
    return route_table.Service(
        _non_empty_string(data["Name"]),
        _non_empty_string(data.get("HealthCheckPath", "/health")),
        _integer(data["MaxConnections"]),
    )


def _limits(data) -> route_table.ClientLimits:
    return route_table.ClientLimits(
        _integer(data["MaxHeaderBytes"]),
        _integer(data["MaxBodyBytes"]),
        _number(data["HeaderTimeoutMs"]),
        _number(data["IdleTimeoutMs"]),
    )


_STATES = {
    "ready": server_table.State.READY,
    "draining": server_table.State.DRAINING,
}


def decode_heartbeat(
    server_id: str, document: bytes
) -> result.Result[server_table.Row, errors.Error]:
    """Decodes a heartbeat to a row of the server table.

    Args:
      server_id: Name of the backend server, from the path of the call.
      document: JSON body of the call.
    """
    try:
        data = orjson.loads(document)
        row = server_table.Row(
            server_id=_non_empty_string(server_id),
            started_ms=_integer(data.get("born", 0)),
            sequence=_integer(data["Sequence"]),
            service=_non_empty_string(data["Service"]),
            address=_non_empty_string(data["Address"]),
            data_center=_non_empty_string(data["Zone"]),
            slots=max(_integer(data["Slots"]), 1),
            state=_STATES[_non_empty_string(data["State"])],
            cold_ms=_integer(data.get("ColdRemainingMs", 0)),
        )
        return result.Success(server_table.check(row))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return result.Failure(BadHeartbeat(repr(error), repr(server_id)[:200]))


DIALECT = dialect_lib.Dialect(
    decode_configuration=decode_configuration,
    request_id=b"request-id",
    time_left=b"deadline-ms",
    target_server=b"expect-instance",
    signature=b"response-stamp",
    not_run=b"not-executed",
    load=b"server-load",
    limit=b"server-limit",
    leaving=b"server-leaving",
    part_signatures=b"part-stamps",
    missing_parts=b"missing-parts",
)
