"""Logs as JSON lines on standard error, by loguru.

A log line carries request id, caller, rank and snapshot where they apply, and
never a request's body.
"""

import json
import sys
import traceback

import loguru

LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


def set_up(process: str, level: str = "INFO") -> None:
    """Sends all logs of this process to standard error as JSON lines.

    Args:
      process: Name written on each line.
      level: Least level that is written; one of `LEVELS`.
    """

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
        sys.stderr.write(json.dumps(line, default=str) + "\n")
        sys.stderr.flush()

    loguru.logger.remove()
    loguru.logger.add(write, level=level)
