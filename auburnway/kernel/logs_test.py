"""Tests that logging never blocks and is limited per second."""

import json
import os

from auburnway.kernel import logs


def read_records(descriptor):
    return [
        json.loads(line) for line in os.read(descriptor, 1 << 20).splitlines()
    ]


def test_full_pipe_drops_lines_and_logs_their_count():
    # Guards against a process that blocks because the reader of its log pipe
    # has stopped reading.
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    writer = logs.Writer(write_end, lines_per_s=10**6)
    line = json.dumps({"message": "x" * 1000}).encode() + b"\n"
    for _ in range(200):
        writer.write(line)
    assert 0 < writer.dropped_count < 200
    dropped_count = writer.dropped_count
    first_bytes = os.read(read_end, 1 << 20)
    writer.write(line)
    log_lines = (first_bytes + os.read(read_end, 1 << 20)).splitlines()
    records = [json.loads(log_line) for log_line in log_lines]
    assert {
        "message": "log lines were dropped",
        "count": dropped_count,
    } in records
    os.close(read_end)
    os.close(write_end)


def test_lines_per_second_are_bounded():
    read_end, write_end = os.pipe()
    now_s = [0.0]
    writer = logs.Writer(write_end, 5, lambda: now_s[0])
    for _ in range(8):
        writer.write(b'{"message": "m"}\n')
    now_s[0] = 1.0
    writer.write(b'{"message": "m"}\n')
    records = read_records(read_end)
    assert len(records) == 7
    assert records[5] == {"message": "log lines were dropped", "count": 3}
    os.close(read_end)
    os.close(write_end)


def test_closed_pipe_is_no_error():
    read_end, write_end = os.pipe()
    os.close(read_end)
    writer = logs.Writer(write_end)
    writer.write(b"{}\n")
    assert writer.dropped_count == 1
    os.close(write_end)
