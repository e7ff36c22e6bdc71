"""Pause of a control instance whose disk is full.

While the disk takes no more, nothing can be stored, so the instance casts no
vote and acknowledges no entry. It keeps the state that it has applied, and its
process goes on serving what needs no agreement.
"""

import loguru

from auburnway.control import store as store_lib
from auburnway.core import clock as clock_lib
from auburnway.storage import disk as disk_lib

# Period in which the disk is tried again.
RETRY_MS = 200.0


class FullDisk:
    """Whether the disk of one control instance is full.

    Args:
      store: Open data folder.
      clock: Source of time.
    """

    def __init__(self, store: store_lib.Store, clock: clock_lib.Clock):
        self._store = store
        self._clock = clock
        self._full_since_ms: float | None = None
        self._retry_ms = 0.0

    @property
    def is_full(self) -> bool:
        """Whether the disk was full at the last write."""
        return self._full_since_ms is not None

    def on_full(self, error: disk_lib.DiskError) -> None:
        """Records that a write failed because the disk is full."""
        now_ms = self._clock.now_ms()
        self._retry_ms = now_ms + RETRY_MS
        if self._full_since_ms is None:
            self._full_since_ms = now_ms
            loguru.logger.warning(
                "taking no part in agreement until the disk has room: {}",
                error.message,
            )

    def try_again(self) -> bool:
        """Reads the store again when that is due; returns whether it worked.

        Raises:
          DiskFault: The disk has failed for another reason.
        """
        now_ms = self._clock.now_ms()
        if now_ms < self._retry_ms:
            return False
        try:
            self._store.reload()
        except disk_lib.DiskFault as fault:
            if not fault.may_end:
                raise
            self._retry_ms = now_ms + RETRY_MS
            return False
        loguru.logger.bind(
            duration_ms=round(now_ms - self._full_since_ms)
        ).info("the disk has room again")
        self._full_since_ms = None
        return True
