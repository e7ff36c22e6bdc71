"""Tests of the copy of the table of backend servers on disk."""

import contextlib

from auburnway.core import server_table
from auburnway.registrar import copy_writer
from auburnway.registrar import table_file
from auburnway.storage import disk as disk_lib

ROW = server_table.Row(
    "i-1", 100, 1, "s", "10.0.0.1:80", "a", 3, server_table.State.READY
)


def save_rows(disk, *rows):
    with contextlib.ExitStack() as stack:
        writer = copy_writer.CopyWriter(disk, stack)
        table_file.TableSaver(writer).save(rows)
        writer.wait(table_file.FILE)


def test_saved_rows_are_loaded(tmp_path):
    # After a loss of all processes, the rows must be available at once.
    disk = disk_lib.FolderDisk(tmp_path)
    assert table_file.load(disk) == ()
    save_rows(disk, ROW)
    assert table_file.load(disk) == (ROW,)


def test_damaged_copy_is_ignored(tmp_path):
    disk = disk_lib.FolderDisk(tmp_path)
    save_rows(disk, ROW)
    path = tmp_path / table_file.FILE
    path.write_bytes(path.read_bytes()[:-3])
    assert table_file.load(disk) == ()


def test_failed_save_raises_no_error(tmp_path):
    disk = disk_lib.FolderDisk(tmp_path / "absent")
    save_rows(disk, ROW)
