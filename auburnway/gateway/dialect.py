"""Header names and document formats of an entry's HTTP interfaces.

The defaults are this project's own names. A platform with other names supplies
its own `Dialect`; no other module of the entry contains such names.
"""

from collections import abc
import dataclasses

from returns import result

from auburnway.core import errors
from auburnway.core import route_table


@dataclasses.dataclass(frozen=True)
class Dialect:
    """Header names and the decoder of configuration documents.

    Names of headers that the entry looks up must be in lower case.

    Attributes:
      decode_configuration: Decodes an operator's document; returns the
        configuration or all errors of the document.
      request_id: Identifier of one client attempt; backend servers echo it.
      time_left: Time that the sender will wait for a reply, in ms.
      target_server: Identifier of the only backend server that may run the
        request.
      signature: Signature of a backend server's reply.
      not_run: Present if a backend server did not run the request.
      load: Running requests, waiting requests and slots of a backend server,
        separated by commas.
      limit: Requests per second that a backend server takes from all entries
        together, as a decimal number.
      leaving: "1" in each reply of a backend server that is about to stop.
      pause: Seconds for which a backend server that replies with status 503
        wants no request from this entry.
      part_signatures: Signatures of the parts of a merged answer.
      missing_parts: Number of shards that are missing from a merged answer.
    """

    decode_configuration: abc.Callable[
        [bytes],
        result.Result[route_table.Configuration, tuple[errors.Error, ...]],
    ]
    request_id: bytes = b"x-request-id"
    time_left: bytes = b"x-time-left-ms"
    target_server: bytes = b"x-server-id"
    signature: bytes = b"x-signature"
    not_run: bytes = b"x-not-started"
    load: bytes = b"x-load"
    limit: bytes = b"x-rate-limit"
    leaving: bytes = b"x-leaving"
    pause: bytes = b"retry-after"
    part_signatures: bytes = b"x-part-signatures"
    missing_parts: bytes = b"x-missing-parts"
