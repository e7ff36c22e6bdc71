"""Reply bodies of the stand-in, taken from the catalogue."""

import functools
import json
import typing

from auburnway.standin import catalogue as catalogue_lib
from auburnway.standin import settings

Body = dict[str, typing.Any]


def held(own: settings.ServerSettings, body: Body):
    """Returns the held snapshot that a run reads.

    Args:
      own: Settings of the server.
      body: Body of the run request.

    Returns:
      `SnapshotSettings`, or None when snapshot or shard are not held.
    """
    snapshot, shard = body.get("snapshot"), body.get("shard")
    if snapshot is None:
        # Work on no shard, such as a booking, runs anywhere.
        return settings.SnapshotSettings(0, 1, ())
    for candidate in own.snapshots:
        if candidate.snapshot == snapshot and (
            shard is None or shard in candidate.shards
        ):
            return candidate
    return None


def answer(
    catalogue: catalogue_lib.Catalogue,
    read: settings.SnapshotSettings,
    body: Body,
    request_id: str,
    claim_id: str,
) -> bytes:
    """Returns the body of a 200 reply.

    Args:
      catalogue: Records of the server.
      read: Held snapshot that the run read.
      body: Body of the run request.
      request_id: Request id to repeat.
      claim_id: Claim of a non-repeatable run, answered with a receipt.
    """
    shard = body.get("shard")
    query = body.get("query") or {}
    weight = 0
    records = "[]"
    if shard is not None:
        manifest = catalogue.manifest(read.snapshot, read.shard_count)
        weight = manifest.weights[shard][1]
    if claim_id:
        records = json.dumps([{"id": f"receipt-{query.get('marker', '')}"}])
    elif shard is not None:
        wanted = frozenset(
            (name, value)
            for name, value in query.items()
            if isinstance(value, str)
        )
        records = _records_json(
            catalogue, read.snapshot, read.shard_count, shard, wanted
        )
    head = json.dumps(
        {
            "request_id": request_id,
            "snapshot": body.get("snapshot"),
            "shard": shard,
            "weight": weight,
        }
    )
    return f'{head[:-1]}, "records": {records}}}'.encode()


@functools.lru_cache(maxsize=20_000)
def _records_json(catalogue, snapshot, shard_count, shard, query) -> str:
    return json.dumps(
        catalogue.expected(dict(query), snapshot, shard_count, (shard,))
    )
