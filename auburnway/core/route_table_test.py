"""Tests the validation of configurations and the matching of routes."""

import dataclasses

from auburnway.core import route_table

LIMITS = route_table.ClientLimits(1000, 1000, 100.0, 100.0)
SERVICES = tuple(route_table.Service(n, "/health", 10) for n in "st")


def route(name="r", prefix="/a/", **changes):
    base = route_table.Route(
        name,
        "host.example",
        prefix,
        True,
        1000.0,
        100.0,
        0,
        2,
        (route_table.WeightedService("s", 1.0),),
    )
    return dataclasses.replace(base, **changes)


def problems(*routes):
    configuration = route_table.Configuration(1, routes, SERVICES, LIMITS)
    return [error.detail for error in route_table.check(configuration)]


def test_valid_configuration_has_no_problems():
    assert problems(route(), route("q", "/b/")) == []


def test_every_problem_is_reported():
    gather = route_table.Gather(("s", "s"), 0, 2.0)
    found = problems(
        route(timeout_ms=0),
        route("same-place"),
        route("u", "/u/", parts=(route_table.WeightedService("x", 1.0),)),
        route("w", "/w/", parts=(route_table.WeightedService("s", 0.0),)),
        route("g", "/g/", parts=(), gather=gather),
        route("n", "no-slash"),
    )
    text = "\n".join(found)
    for word in (
        "time-out",
        "share host.example/a/",
        "unknown service x",
        "weights",
        "shard twice",
        "coverage",
        "records",
        "slash",
    ):
        assert word in text


def matched_name(path, host="host.example"):
    routes = (route("short", "/"), route("long", "/a/b/"), route("mid", "/a/"))
    matcher = route_table.Matcher(
        route_table.Configuration(1, routes, SERVICES, LIMITS)
    )
    found = matcher.match(host, path)
    return found.name if found else None


def test_longest_prefix_wins():
    assert matched_name("/a/b/c") == "long"
    assert matched_name("/a/bc") == "mid"
    assert matched_name("/ab") == "short"
    assert matched_name("/a/", "HOST.example:80") == "mid"
    assert matched_name("/a/", "other.example") is None
