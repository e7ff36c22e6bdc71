"""Logs as JSON lines on standard output or standard error, by loguru.

A log line carries request id, caller, rank and snapshot where they apply, and
never a request's body.

Writing never blocks: a line that the reader of a pipe has no room for is
dropped, and so is what exceeds the bound per second. Dropped lines are counted
and the count is logged as soon as there is room again.
"""

import json
import os
import sys
import time
import traceback

import loguru

LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
# Lines per second and process, so that logging is bounded whatever the load.
MAX_LINES_PER_S = 500


class Writer:
    """Writes lines to a descriptor without ever waiting for its reader.

    Args:
      descriptor: Open file descriptor; it is made non-blocking if it is a
        pipe or a socket.
      lines_per_s: Bound of the lines in one second.
      now_s: Source of monotonic seconds.

    Attributes:
      dropped_count: Lines dropped since the start.
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
        self._second = -1
        self._count = 0
        self._reported_count = 0
        self._rest = b""

    def write(self, line: bytes) -> None:
        """Writes a line, or drops it."""
        second = int(self._now_s())
        if second != self._second:
            self._second, self._count = second, 0
        self._count += 1
        if self._count > self._lines_per_s or not self._put(self._rest):
            self.dropped_count += 1
            return
        missing = self.dropped_count - self._reported_count
        if missing:
            report = {"message": "log lines were dropped", "count": missing}
            if not self._put(json.dumps(report).encode() + b"\n"):
                self.dropped_count += 1
                return
            self._reported_count = self.dropped_count
        if not self._put(line):
            self.dropped_count += 1

    def _put(self, data: bytes) -> bool:
        """Writes data; a rest that did not fit is written before the next."""
        if not data:
            return True
        try:
            count = os.write(self._descriptor, data)
        except BlockingIOError:
            return False
        except OSError:
            # The reader is gone; there is nobody to tell.
            return False
        self._rest = data[count:]
        return True


def set_up(process: str, level: str = "INFO", stream=None) -> Writer:
    """Sends all logs of this process to a stream as JSON lines.

    Args:
      process: Name written on each line.
      level: Least level that is written; one of `LEVELS`.
      stream: Text stream with a descriptor; standard error by default.

    Returns:
      The writer, which counts dropped lines.
    """
    descriptor = (stream or sys.stderr).fileno()
    # A terminal is shared with other programs, which expect it to block.
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
