"""Names and formats in which an entry speaks HTTP with its surroundings.

The default is this project's own. A platform with other names supplies its
own instance; nothing else in the entry knows them.
"""

from collections import abc
import dataclasses

from returns import result

from auburnway.core import errors
from auburnway.core import route_table


@dataclasses.dataclass(frozen=True)
class Dialect:
    """Header names, in lower case where they are looked up.

    Attributes:
      decode_configuration: Returns the configuration of an operator's
        document, or all errors.
      request_id: Identity of one client attempt; echoed by backend servers.
      time_left: Milliseconds that the sender will wait.
      wanted_server: Names the only backend server that may run the request.
      signature: Proof of a backend server's answer.
      not_run: Present when a backend server did not run the request.
      load: Running, waiting and slots of a backend server, by commas.
      part_signatures: Signatures of the parts of a merged answer.
      missing_parts: Number of shards that a merged answer lacks.
    """

    decode_configuration: abc.Callable[
        [bytes],
        result.Result[route_table.Configuration, tuple[errors.Error, ...]],
    ]
    request_id: bytes = b"x-request-id"
    time_left: bytes = b"x-time-left-ms"
    wanted_server: bytes = b"x-server-id"
    signature: bytes = b"x-signature"
    not_run: bytes = b"x-not-started"
    load: bytes = b"x-load"
    part_signatures: bytes = b"x-part-signatures"
    missing_parts: bytes = b"x-missing-parts"
