import pytest

from auburnway.core import raft_records as records
from auburnway.storage import disk as disk_lib
from auburnway.storage import snapshots
from auburnway.storage import wal as wal_lib

LOG_FILE = wal_lib.FILE_PREFIX + "1"
STATE = records.HardState(3, "a")


def _entry(index, term=1):
    data = b"command %d" % index
    return records.LogEntry(index, term, records.Kind.COMMAND, data)


@pytest.fixture(params=["fake", "folder"])
def disk(request, tmp_path):
    if request.param == "fake":
        yield disk_lib.FakeDisk()
        return
    folder = disk_lib.FolderDisk(tmp_path)
    yield folder
    folder.close()


def _write_log(disk, count=3):
    """Writes one frame per entry; returns the end offsets of the frames."""
    wal = wal_lib.Wal(disk)
    wal.create()
    frame_ends = [wal.size_bytes]
    for index in range(1, count + 1):
        wal.append(STATE if index == 1 else None, (_entry(index),))
        frame_ends.append(wal.size_bytes)
    return frame_ends


def _write_file(disk, data, name=LOG_FILE):
    disk.create(name)
    disk.append(name, data)
    disk.sync(name)


def test_content_survives_and_later_entries_replace_earlier_ones(disk):
    # Guards against replaying entries that a new leader has replaced.
    _write_log(disk)
    wal = wal_lib.Wal(disk)
    wal.load()
    wal.append(None, (_entry(2, 5), _entry(3, 5)))
    content = wal_lib.Wal(disk).load()
    assert content.hard_state == STATE
    assert content.entries == (_entry(1), _entry(2, 5), _entry(3, 5))


def test_every_torn_tail_is_truncated_and_appends_continue(disk):
    # Guards against a log that cannot be opened, or loses complete frames,
    # after a crash in the middle of an append.
    frame_ends = _write_log(disk)
    data = disk.read(LOG_FILE)
    for size in range(frame_ends[-2], frame_ends[-1]):
        _write_file(disk, data[:size])
        wal = wal_lib.Wal(disk)
        content = wal.load()
        assert content.entries == (_entry(1), _entry(2))
        assert content.truncated_bytes == size - frame_ends[-2]
        wal.append(None, (_entry(3, 9),))
        assert wal_lib.Wal(disk).load().entries[2] == _entry(3, 9)


def test_every_bad_byte_before_the_last_record_is_refused(disk):
    # Guards against mistaking bit rot for a torn write at the end, which would
    # drop acknowledged entries.
    frame_ends = _write_log(disk)
    data = disk.read(LOG_FILE)
    for byte_index in range(frame_ends[-2]):
        _write_file(
            disk,
            data[:byte_index]
            + bytes([data[byte_index] ^ 0x40])
            + data[byte_index + 1 :],
        )
        with pytest.raises(disk_lib.DiskFault) as raised:
            wal_lib.Wal(disk).load()
        assert isinstance(raised.value.error, disk_lib.CorruptFile)


def test_absent_log_is_refused(disk):
    # Guards against starting an instance that has lost its vote and entries.
    with pytest.raises(disk_lib.DiskFault):
        wal_lib.Wal(disk).load()


def test_compaction_keeps_state_and_appends_continue(disk):
    _write_log(disk)
    wal = wal_lib.Wal(disk)
    wal.load()
    wal.compact(STATE, (_entry(3),))
    wal.append(None, (_entry(4),))
    content = wal_lib.Wal(disk).load()
    assert content == wal_lib.LogContent(STATE, (_entry(3), _entry(4)))


def test_crash_at_any_point_of_a_compaction_loses_nothing(disk):
    # Guards against a state in which neither file holds the whole log.
    _write_log(disk)
    old_data = disk.read(LOG_FILE)
    wal = wal_lib.Wal(disk)
    wal.load()
    name = wal.next_file
    disk.create(name)
    assert wal.switch_file(STATE, (_entry(2), _entry(3))) == LOG_FILE
    new_data = disk.read(name)
    for size in range(len(new_data) + 1):
        _write_file(disk, old_data)
        _write_file(disk, new_data[:size], name)
        content = wal_lib.Wal(disk).load()
        assert content.hard_state == STATE
        assert content.entries[-2:] == (_entry(2), _entry(3))
    # `load` has removed the old file, so an invalid first frame is refused.
    _write_file(disk, b"x" + new_data[1:], name)
    with pytest.raises(disk_lib.DiskFault):
        wal_lib.Wal(disk).load()


def test_unsynced_bytes_and_failed_syncs_are_not_content():
    # Guards against tests in which a write without a sync survives a crash.
    disk = disk_lib.FakeDisk()
    _write_log(disk, 2)
    wal = wal_lib.Wal(disk)
    wal.load()
    disk.syncs_before_failure = 0
    with pytest.raises(disk_lib.DiskFault):
        wal.append(None, (_entry(3),))
    disk.append(LOG_FILE, b"unsynced")
    disk.crash()
    assert len(wal_lib.Wal(disk).load().entries) == 2


def test_full_disk_is_its_own_error_and_leaves_a_torn_tail():
    disk = disk_lib.FakeDisk()
    frame_ends = _write_log(disk, 2)
    wal = wal_lib.Wal(disk)
    wal.load()
    disk.capacity_bytes = frame_ends[-1] + 10
    with pytest.raises(disk_lib.DiskFault) as raised:
        wal.append(None, (_entry(3),))
    assert isinstance(raised.value.error, disk_lib.DiskFull)
    assert wal_lib.Wal(disk).load().truncated_bytes == 10


def test_damaged_snapshot_is_refused(disk):
    # Guards against starting with an empty state and a compacted log.
    members = (records.Member("a", "a.first", "address"),)
    snapshot = records.Snapshot(7, 2, members, b"state")
    snapshots.save(disk, snapshot)
    assert snapshots.load(disk) == snapshot
    data = disk.read(snapshots.SNAPSHOT_FILE)
    for damaged in (data[:-1], data[:-1] + b"x", b""):
        disk.replace(snapshots.SNAPSHOT_FILE, damaged)
        with pytest.raises(disk_lib.DiskFault):
            snapshots.load(disk)


def test_file_of_another_name_is_not_a_log(disk):
    # Guards against reading or removing a file whose name holds the prefix.
    _write_log(disk)
    _write_file(disk, b"x", "copy-of-" + wal_lib.FILE_PREFIX + "9")
    _write_file(disk, b"x", "9" + wal_lib.FILE_PREFIX)
    assert wal_lib.list_file_numbers(disk) == [1]
