"""Writes files of a control instance beside its replicated log.

The copies make the first answers after a loss of all processes fast. The copy
of the table of backend servers also keeps the stops and drains that were
acknowledged.
"""

from collections import abc
from concurrent import futures
import contextlib
import typing

import loguru

from auburnway.storage import disk as disk_lib
from auburnway.storage import frames


class CopyWriter:
    """Writes files in another thread, as a disk may block for seconds.

    Args:
      disk: Data folder.
      stack: Exit stack that shuts the thread down.
      post: Runs a function on the loop; called in the other thread.
    """

    def __init__(
        self,
        disk: disk_lib.Disk,
        stack: contextlib.ExitStack,
        post: abc.Callable[[abc.Callable[[], None]], None] = lambda call: (
            call()
        ),
    ):
        self._disk = disk
        self._post = post
        self._pending: dict[str, futures.Future] = {}
        # Files whose last write failed; a full disk is logged once for each.
        self._failed: set[str] = set()
        self._executor = futures.ThreadPoolExecutor(1, "copies")
        stack.callback(self._executor.shutdown, wait=False)

    def is_busy(self, file: str) -> bool:
        """Whether a file is being written or waits for it."""
        pending = self._pending.get(file)
        return pending is not None and not pending.done()

    def write(
        self,
        file: str,
        payload: typing.Any,
        on_done: abc.Callable[[bool], None] = lambda is_written: None,
    ) -> None:
        """Replaces a file by a value that msgpack can encode.

        Args:
          file: Name of the file.
          payload: New content.
          on_done: Called on the loop with whether the content is durable.
        """
        frame = frames.encode(0, payload)
        self._pending[file] = self._executor.submit(
            self._write, file, frame, on_done
        )

    def wait(self, file: str) -> None:
        """Waits until a file is written."""
        self._pending[file].result()

    def _write(
        self, file: str, frame: bytes, on_done: abc.Callable[[bool], None]
    ) -> None:
        is_written = False
        try:
            self._disk.replace(file, frame)
        except disk_lib.DiskFault as fault:
            if file not in self._failed:
                loguru.logger.warning(
                    "cannot save a copy: {}", fault.error.message
                )
            self._failed.add(file)
        else:
            is_written = True
            self._failed.discard(file)
        finally:
            self._post(lambda: on_done(is_written))


def read(disk: disk_lib.Disk, file: str) -> typing.Any:
    """Returns the value in a file; None if it is absent or corrupt."""
    try:
        data = disk.read(file)
    except disk_lib.DiskFault as fault:
        loguru.logger.warning(fault.error.message)
        return None
    decoded = frames.decode(data, 0) if data is not None else None
    return decoded[1] if decoded is not None else None
