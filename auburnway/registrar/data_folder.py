"""Opening and initialisation of a control instance's data folder."""

from collections import abc
import secrets

import loguru

from auburnway.control import full_disk
from auburnway.control import store as store_lib
from auburnway.core import raft_records
from auburnway.registrar import settings as settings_lib
from auburnway.storage import disk as disk_lib


def open_store(
    settings: settings_lib.Settings, disk: disk_lib.Disk
) -> tuple[store_lib.Identity, store_lib.Store]:
    """Opens the data folder, which is initialised first if it is empty.

    On the first start of the whole system, the seeds become the first voters.
    Any other instance with an empty folder gets a new incarnation and must
    join the running system.

    Raises:
      DiskFault: The folder cannot be read or written.
    """
    address = f"{settings.ip}:{settings.internal_port}"
    identity = store_lib.read_identity(disk)
    if identity is None:
        first_voters = tuple(
            raft_records.Member(seed, store_lib.first_incarnation(seed), seed)
            for seed in sorted(internal_addresses(settings))
        )
        is_voter = settings.is_first_start and address in [
            m.name for m in first_voters
        ]
        incarnation = (
            store_lib.first_incarnation(address)
            if is_voter
            else f"{address}.{secrets.token_hex(8)}"
        )
        identity = store_lib.Identity(address, incarnation)
        store_lib.create(disk, identity, first_voters if is_voter else ())
        loguru.logger.bind(incarnation=incarnation, is_voter=is_voter).info(
            "initialised an empty data folder"
        )
    return identity, store_lib.Store(disk)


def open_store_with_room(
    settings: settings_lib.Settings,
    disk: disk_lib.Disk,
    sleep: abc.Callable[[float], None],
) -> tuple[store_lib.Identity, store_lib.Store]:
    """Opens the data folder once its disk has room.

    Args:
      settings: Settings of the instance.
      disk: Data folder.
      sleep: Waits for a time in seconds.

    Raises:
      DiskFault: The folder cannot be read or written for another reason.
    """
    is_logged = False
    while True:
        try:
            return open_store(settings, disk)
        except disk_lib.DiskFault as fault:
            if not fault.may_end:
                raise
            if not is_logged:
                loguru.logger.warning(
                    "waiting until the disk has room: {}", fault.error.message
                )
                is_logged = True
            sleep(full_disk.RETRY_MS / 1000.0)


def internal_addresses(settings: settings_lib.Settings) -> set[str]:
    """Returns the addresses, ip:port, of the seeds' internal ports."""
    return {
        f"{seed.rpartition(':')[0]}:{settings.internal_port}"
        for seed in settings.seeds
    }
