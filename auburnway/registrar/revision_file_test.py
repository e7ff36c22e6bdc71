"""Tests of the copy of the committed configuration on disk."""

import contextlib

from auburnway.registrar import copy_writer
from auburnway.registrar import revision_file
from auburnway.registrar import revision_machine
from auburnway.storage import disk as disk_lib

STATE = revision_machine.State(7, b"digest", b"content")


def save(disk, *states):
    with contextlib.ExitStack() as stack:
        writer = copy_writer.CopyWriter(disk, stack)
        saver = revision_file.RevisionSaver(writer, revision_file.load(disk))
        for state in states:
            saver.save(state)
            writer.wait(revision_file.FILE)


def test_saved_configuration_is_loaded(tmp_path):
    # After a loss of all processes, entries must be able to serve at once.
    disk = disk_lib.FolderDisk(tmp_path)
    assert revision_file.load(disk) == revision_machine.State()
    save(disk, STATE)
    assert revision_file.load(disk) == STATE


def test_older_configuration_replaces_no_newer_one(tmp_path):
    # Guards against a replay of the log that takes the copy back.
    disk = disk_lib.FolderDisk(tmp_path)
    save(disk, STATE, revision_machine.State(6, b"d", b"c"))
    assert revision_file.load(disk) == STATE


def test_damaged_copy_is_ignored(tmp_path):
    disk = disk_lib.FolderDisk(tmp_path)
    save(disk, STATE)
    path = tmp_path / revision_file.FILE
    path.write_bytes(path.read_bytes()[:-3])
    assert revision_file.load(disk) == revision_machine.State()
