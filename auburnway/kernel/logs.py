"""Logs as JSON lines on standard output or standard error, by loguru.

A log line holds request id, caller, rank and snapshot where they apply, and
never the body of a request.

Writing never blocks: a line is dropped when the buffer of the pipe is full or
when the limit of lines per second is exceeded. Dropped lines are counted, and
the count is logged as soon as a line can be written again.
"""

import json
import os
import sys
import time
import traceback

import loguru

LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
# Limit of lines per second and process, so that the cost of logging is bounded
# under any load.
MAX_LINES_PER_S = 500


class Writer:
    """Writes lines to a descriptor and drops those that would block.

    Args:
      descriptor: Open file descriptor; `set_up` makes it non-blocking unless
        it is a terminal.
      lines_per_s: Limit of lines in one second.
      now_s: Monotonic clock in seconds.

    Attributes:
      dropped_count: Number of lines dropped since the start.
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_s: int = MAX_LINES_PER_S,
        now_s=time.monotonic,
    ):
        self.dropped_count = 0
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._now_s = now_s
        self._current_second = -1
        self._second_line_count = 0
        self._reported_count = 0
        self._unwritten = b""

    def write(self, line: bytes) -> None:
        """Writes a line, or drops it."""
        second = int(self._now_s())
        if second != self._current_second:
            self._current_second, self._second_line_count = second, 0
        self._second_line_count += 1
        if (
            self._second_line_count > self._lines_per_s
            or not self._write_available(self._unwritten)
        ):
            self.dropped_count += 1
            return
        unreported_count = self.dropped_count - self._reported_count
        if unreported_count:
            report = {
                "message": "log lines were dropped",
                "count": unreported_count,
            }
            if not self._write_available(json.dumps(report).encode() + b"\n"):
                self.dropped_count += 1
                return
            self._reported_count = self.dropped_count
        if not self._write_available(line):
            self.dropped_count += 1

    def _write_available(self, data: bytes) -> bool:
        """Writes data; returns False when the descriptor accepts none of it.

        The rest of a partial write is stored and written before the next line.
        """
        if not data:
            return True
        try:
            written_count = os.write(self._descriptor, data)
        except BlockingIOError:
            return False
        except OSError:
            # The reader has closed the pipe, and there is no other place to
            # report the error.
            return False
        self._unwritten = data[written_count:]
        return True


def set_up(process: str, level: str = "INFO", stream=None) -> Writer:
    """Writes all logs of this process to a stream as JSON lines.

    Args:
      process: Name of the process, written in each line.
      level: Lowest level that is written; one of `LEVELS`.
      stream: Text stream with a descriptor; standard error by default.

    Returns:
      The writer, which counts dropped lines.
    """
    descriptor = (stream or sys.stderr).fileno()
    # A terminal is shared with other programs, which expect blocking writes.
    if not os.isatty(descriptor):
        os.set_blocking(descriptor, False)
    writer = Writer(descriptor)

    def write(message):
        record = message.record
        line = {
            "time": record["time"].isoformat(),
            "level": record["level"].name,
            "process": process,
            "message": record["message"],
            **record["extra"],
        }
        if record["exception"] is not None:
            line["exception"] = "".join(
                traceback.format_exception(*record["exception"])
            )
        writer.write(json.dumps(line, default=str).encode() + b"\n")

    loguru.logger.remove()
    loguru.logger.add(write, level=level)
    return writer
