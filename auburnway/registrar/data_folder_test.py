"""Tests of the data folder at the first and at later starts."""

import pytest

from auburnway.registrar import data_folder
from auburnway.registrar import settings as settings_lib
from auburnway.storage import disk as disk_lib

SEEDS = ("10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80")


def make_settings(ip, is_first_start):
    return settings_lib.Settings(
        name=ip,
        ip=ip,
        data_center="z",
        data_folder="",
        public_address=f"{ip}:80",
        internal_port=7,
        seeds=SEEDS,
        is_first_start=is_first_start,
    )


def open_folder(disk, ip, is_first_start):
    settings = make_settings(ip, is_first_start)
    identity, store = data_folder.open_store(settings, disk)
    return identity.incarnation, store.log.snapshot.members


def test_seeds_are_the_first_voters():
    disk = disk_lib.FakeDisk()
    incarnation, members = open_folder(disk, "10.0.0.2", True)
    assert incarnation == "10.0.0.2:7.first"
    assert [m.incarnation for m in members] == [
        f"10.0.0.{n}:7.first" for n in (1, 2, 3)
    ]


@pytest.mark.parametrize(
    ("ip", "is_first_start"), [("10.0.0.4", True), ("10.0.0.2", False)]
)
def test_any_other_empty_folder_gets_a_new_incarnation(ip, is_first_start):
    # A seed that lost its disk must not vote under its first incarnation,
    # because the votes and log entries of that incarnation are lost.
    incarnation, members = open_folder(disk_lib.FakeDisk(), ip, is_first_start)
    assert not incarnation.endswith(".first")
    assert members == ()


def test_restart_keeps_the_identity():
    disk = disk_lib.FakeDisk()
    first = open_folder(disk, "10.0.0.4", False)
    assert open_folder(disk, "10.0.0.4", True) == first


def test_start_waits_for_a_full_disk():
    # Guards against a process that ends again and again while its disk is full.
    disk = disk_lib.FakeDisk()
    disk.capacity_bytes = 0
    waits_s = []

    def sleep(duration_s):
        waits_s.append(duration_s)
        if len(waits_s) == 5:
            disk.capacity_bytes = 1 << 20

    settings = make_settings("10.0.0.2", True)
    identity, _ = data_folder.open_store_with_room(settings, disk, sleep)
    assert identity.incarnation == "10.0.0.2:7.first"
    assert len(waits_s) == 5
