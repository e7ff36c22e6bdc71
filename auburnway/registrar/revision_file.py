"""Copy of the newest committed configuration on a control instance's disk.

After a loss of all processes, what is committed in the replicated log is known
only when a leader is elected. A configuration that was applied once stays
committed, so entries can serve by this copy until then. It may be older than
what was acknowledged last; reads of the configuration never use it.
"""

import dataclasses

import loguru

from auburnway.registrar import copy_writer
from auburnway.registrar import revision_machine
from auburnway.storage import disk as disk_lib

FILE = "configuration"


def load(disk: disk_lib.Disk) -> revision_machine.State:
    """Returns the copy; the empty state if it is absent or corrupt."""
    fields = copy_writer.read(disk, FILE)
    if fields is None:
        return revision_machine.State()
    try:
        return revision_machine.State(*fields)
    except TypeError as error:
        loguru.logger.warning("cannot decode the copy: {}", error)
        return revision_machine.State()


class RevisionSaver:
    """Saves each newer configuration.

    Args:
      writer: Writer of the data folder.
      saved: Configuration that the folder holds.
    """

    def __init__(
        self,
        writer: copy_writer.CopyWriter,
        saved: revision_machine.State,
    ):
        self._writer = writer
        self._saved_revision = saved.revision

    def save(self, state: revision_machine.State) -> None:
        """Saves a newer configuration unless a save is in progress."""
        if state.revision <= self._saved_revision or self._writer.is_busy(FILE):
            return
        self._saved_revision = state.revision
        self._writer.write(FILE, list(dataclasses.astuple(state)))
