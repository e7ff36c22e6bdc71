"""Open-loop request arrivals, which do not wait for earlier answers."""

from collections import abc
import dataclasses
import heapq
import random
import typing

from auburnway.load import scenario as scenario_lib
from auburnway.standin import catalogue as catalogue_lib

RANDOM_VALUE = "*"


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request to send.

    Attributes:
      at_ms: Intended send time, from the start of the run. Latency is
        measured from this time even if the request is sent later.
      stream: Stream that generates the request.
      query: Query in which random values replace each `*`.
    """

    at_ms: float
    stream: scenario_lib.Stream
    query: dict[str, typing.Any]


def arrivals(scenario: scenario_lib.Scenario) -> abc.Iterator[Arrival]:
    """Yields the Poisson arrivals of all streams in time order."""
    return heapq.merge(
        *(
            _stream_arrivals(scenario, stream, stream_index)
            for stream_index, stream in enumerate(scenario.streams)
        ),
        key=lambda arrival: arrival.at_ms,
    )


def _stream_arrivals(
    scenario: scenario_lib.Scenario,
    stream: scenario_lib.Stream,
    stream_index: int,
) -> abc.Iterator[Arrival]:
    rng = random.Random(f"{scenario.seed}/{stream_index}/{stream.caller}")
    values_by_field = {
        name: values
        for table in catalogue_lib.FIELDS.values()
        for name, values in table.items()
    }
    end_ms = stream.end_ms or scenario.duration_ms
    at_ms = stream.start_ms
    while True:
        at_ms += rng.expovariate(stream.rate) * 1000.0
        if at_ms >= end_ms:
            return
        query = {
            name: rng.choice(values_by_field[name])
            if value == RANDOM_VALUE
            else value
            for name, value in stream.query.items()
        }
        yield Arrival(at_ms, stream, query)
