import pytest

from auburnway.core import raft_records as records
from auburnway.storage import disk as disk_lib
from auburnway.storage import snapshots
from auburnway.storage import wal as wal_lib

FILE = wal_lib.PREFIX + "1"
STATE = records.HardState(3, "a")


def _entry(index, term=1):
    data = b"command %d" % index
    return records.Entry(index, term, records.Kind.COMMAND, data)


@pytest.fixture(params=["fake", "folder"])
def disk(request, tmp_path):
    if request.param == "fake":
        yield disk_lib.FakeDisk()
        return
    folder = disk_lib.FolderDisk(tmp_path)
    yield folder
    folder.close()


def _written(disk, count=3):
    """Writes one frame per entry; returns the end offsets of the frames."""
    wal = wal_lib.Wal(disk)
    wal.create()
    ends = [wal.size_bytes]
    for index in range(1, count + 1):
        wal.append(STATE if index == 1 else None, (_entry(index),))
        ends.append(wal.size_bytes)
    return ends


def _set(disk, data, name=FILE):
    disk.create(name)
    disk.append(name, data)
    disk.sync(name)


def test_content_survives_and_later_entries_replace(disk):
    # Guards against replaying entries that a new leader has replaced.
    _written(disk)
    wal = wal_lib.Wal(disk)
    wal.load()
    wal.append(None, (_entry(2, 5), _entry(3, 5)))
    content = wal_lib.Wal(disk).load()
    assert content.hard_state == STATE
    assert content.entries == (_entry(1), _entry(2, 5), _entry(3, 5))


def test_every_torn_tail_is_cut_and_writing_goes_on(disk):
    # Guards against a log that cannot be opened, or loses complete frames,
    # after a crash in the middle of an append.
    ends = _written(disk)
    data = disk.read(FILE)
    for size in range(ends[-2], ends[-1]):
        _set(disk, data[:size])
        wal = wal_lib.Wal(disk)
        content = wal.load()
        assert content.entries == (_entry(1), _entry(2))
        assert content.cut_bytes == size - ends[-2]
        wal.append(None, (_entry(3, 9),))
        assert wal_lib.Wal(disk).load().entries[2] == _entry(3, 9)


def test_every_bad_byte_before_the_last_record_is_refused(disk):
    # Guards against mistaking bit rot for a torn write at the end, which would
    # drop acknowledged entries.
    ends = _written(disk)
    data = disk.read(FILE)
    for at in range(ends[-2]):
        _set(disk, data[:at] + bytes([data[at] ^ 0x40]) + data[at + 1 :])
        with pytest.raises(disk_lib.DiskFault) as fault:
            wal_lib.Wal(disk).load()
        assert isinstance(fault.value.error, disk_lib.CorruptFile)


def test_absent_log_is_refused(disk):
    # Guards against starting an instance that has lost its vote and entries.
    with pytest.raises(disk_lib.DiskFault):
        wal_lib.Wal(disk).load()


def test_compaction_keeps_state_and_goes_on(disk):
    _written(disk)
    wal = wal_lib.Wal(disk)
    wal.load()
    wal.compact(STATE, (_entry(3),))
    wal.append(None, (_entry(4),))
    content = wal_lib.Wal(disk).load()
    assert content == wal_lib.Content(STATE, (_entry(3), _entry(4)))


def test_crash_at_any_point_of_a_compaction_loses_nothing(disk):
    # Guards against a state in which neither file holds the whole log.
    _written(disk)
    old = disk.read(FILE)
    wal = wal_lib.Wal(disk)
    wal.load()
    name = wal.next_file
    disk.create(name)
    assert wal.switch(STATE, (_entry(2), _entry(3))) == FILE
    new = disk.read(name)
    for size in range(len(new) + 1):
        _set(disk, old)
        _set(disk, new[:size], name)
        content = wal_lib.Wal(disk).load()
        assert content.hard_state == STATE
        assert content.entries[-2:] == (_entry(2), _entry(3))
    # `load` has removed the old file, so an invalid first frame is refused.
    _set(disk, b"x" + new[1:], name)
    with pytest.raises(disk_lib.DiskFault):
        wal_lib.Wal(disk).load()


def test_unsynced_bytes_and_failed_syncs_are_not_content():
    # Guards against tests in which a write without a sync survives a crash.
    disk = disk_lib.FakeDisk()
    _written(disk, 2)
    wal = wal_lib.Wal(disk)
    wal.load()
    disk.syncs_before_failure = 0
    with pytest.raises(disk_lib.DiskFault):
        wal.append(None, (_entry(3),))
    disk.append(FILE, b"unsynced")
    disk.crash()
    assert len(wal_lib.Wal(disk).load().entries) == 2


def test_full_disk_is_its_own_error_and_leaves_a_torn_tail():
    disk = disk_lib.FakeDisk()
    ends = _written(disk, 2)
    wal = wal_lib.Wal(disk)
    wal.load()
    disk.capacity_bytes = ends[-1] + 10
    with pytest.raises(disk_lib.DiskFault) as fault:
        wal.append(None, (_entry(3),))
    assert isinstance(fault.value.error, disk_lib.DiskFull)
    assert wal_lib.Wal(disk).load().cut_bytes == 10


def test_damaged_snapshot_is_refused(disk):
    # Guards against starting with an empty state and a compacted log.
    members = (records.Member("a", "a.first", "address"),)
    snapshot = records.Snapshot(7, 2, members, b"state")
    snapshots.save(disk, snapshot)
    assert snapshots.load(disk) == snapshot
    data = disk.read(snapshots.FILE)
    for damaged in (data[:-1], data[:-1] + b"x", b""):
        disk.replace(snapshots.FILE, damaged)
        with pytest.raises(disk_lib.DiskFault):
            snapshots.load(disk)
