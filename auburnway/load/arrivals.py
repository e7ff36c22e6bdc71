"""Open-loop arrivals: they do not wait for answers."""

from collections import abc
import dataclasses
import heapq
import random
import typing

from auburnway.load import scenario as scenario_lib
from auburnway.standin import catalogue as catalogue_lib

ANY = "*"


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request to send.

    Attributes:
      at_ms: Intended instant from the start of the run; latency counts from
        here, however late the request is sent.
      stream: Stream that it belongs to.
      query: Query with its random values.
    """

    at_ms: float
    stream: scenario_lib.Stream
    query: dict[str, typing.Any]


def arrivals(scenario: scenario_lib.Scenario) -> abc.Iterator[Arrival]:
    """Returns the Poisson arrivals of all streams, in order of time."""
    return heapq.merge(
        *(
            _of_stream(scenario, stream, number)
            for number, stream in enumerate(scenario.streams)
        ),
        key=lambda arrival: arrival.at_ms,
    )


def _of_stream(
    scenario: scenario_lib.Scenario, stream: scenario_lib.Stream, number: int
) -> abc.Iterator[Arrival]:
    rng = random.Random(f"{scenario.seed}/{number}/{stream.caller}")
    fields = {
        name: words
        for table in catalogue_lib.FIELDS.values()
        for name, words in table.items()
    }
    end_ms = stream.end_ms or scenario.duration_ms
    at_ms = stream.start_ms
    while True:
        at_ms += rng.expovariate(stream.rate) * 1000.0
        if at_ms >= end_ms:
            return
        query = {
            name: rng.choice(fields[name]) if value == ANY else value
            for name, value in stream.query.items()
        }
        yield Arrival(at_ms, stream, query)
