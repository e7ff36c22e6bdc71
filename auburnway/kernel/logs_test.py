"""Tests that logging never blocks and is limited per second."""

import json
import os

from auburnway.kernel import logs


def lines(descriptor):
    return [
        json.loads(line) for line in os.read(descriptor, 1 << 20).splitlines()
    ]


def test_full_pipe_drops_lines_and_says_so():
    # Guards against a process that blocks because the reader of its log pipe
    # has stopped reading.
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    writer = logs.Writer(write_end, lines_per_s=10**6)
    line = json.dumps({"message": "x" * 1000}).encode() + b"\n"
    for _ in range(200):
        writer.write(line)
    assert 0 < writer.dropped_count < 200
    dropped = writer.dropped_count
    taken = os.read(read_end, 1 << 20)
    writer.write(line)
    whole = (taken + os.read(read_end, 1 << 20)).splitlines()
    found = [json.loads(one) for one in whole]
    assert {"message": "log lines were dropped", "count": dropped} in found
    os.close(read_end)
    os.close(write_end)


def test_lines_per_second_are_bounded():
    read_end, write_end = os.pipe()
    instant = [0.0]
    writer = logs.Writer(write_end, 5, lambda: instant[0])
    for _ in range(8):
        writer.write(b'{"message": "m"}\n')
    instant[0] = 1.0
    writer.write(b'{"message": "m"}\n')
    found = lines(read_end)
    assert len(found) == 7
    assert found[5] == {"message": "log lines were dropped", "count": 3}
    os.close(read_end)
    os.close(write_end)


def test_lost_reader_is_no_fault():
    read_end, write_end = os.pipe()
    os.close(read_end)
    writer = logs.Writer(write_end)
    writer.write(b"{}\n")
    assert writer.dropped_count == 1
    os.close(write_end)
