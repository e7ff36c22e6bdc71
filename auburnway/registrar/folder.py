"""The data folder of a control instance at its first and later starts."""

import secrets

import loguru

from auburnway.control import store as store_lib
from auburnway.core import raft_records
from auburnway.registrar import settings as settings_lib
from auburnway.storage import disk as disk_lib


def open_store(
    settings: settings_lib.Settings, disk: disk_lib.Disk
) -> tuple[store_lib.Identity, store_lib.Store]:
    """Opens the data folder, and writes a new one first if it is empty.

    On the first start of the whole system the seeds are the voters. Any other
    instance with an empty folder gets a new incarnation, which joins.

    Raises:
      DiskFault: The folder cannot be used.
    """
    address = f"{settings.ip}:{settings.internal_port}"
    identity = store_lib.read_identity(disk)
    if identity is None:
        first = tuple(
            raft_records.Member(seed, store_lib.first_incarnation(seed), seed)
            for seed in sorted(internal_addresses(settings))
        )
        is_voter = settings.is_first_start and address in [
            m.name for m in first
        ]
        incarnation = (
            store_lib.first_incarnation(address)
            if is_voter
            else f"{address}.{secrets.token_hex(8)}"
        )
        identity = store_lib.Identity(address, incarnation)
        store_lib.create(disk, identity, first if is_voter else ())
        loguru.logger.bind(incarnation=incarnation, is_voter=is_voter).info(
            "made a new data folder"
        )
    return identity, store_lib.Store(disk)


def internal_addresses(settings: settings_lib.Settings) -> set[str]:
    """Returns the internal addresses of the seeds."""
    return {
        f"{seed.rpartition(':')[0]}:{settings.internal_port}"
        for seed in settings.seeds
    }
