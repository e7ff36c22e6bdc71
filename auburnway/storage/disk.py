"""Files of one data folder, with explicit synchronization.

Appended bytes are durable only after `sync` has returned. Every failure is
raised as `DiskFault`. Unless the disk is only full, the process must stop:
after a failed sync the kernel may have dropped the dirty pages, so a retry can
report success although bytes are lost.
"""

from collections import abc
import contextlib
import errno
import os
import pathlib
import typing

from auburnway.core import errors


class DiskError(errors.Error):
    """A file could not be read, written or synchronized."""

    code = "disk_failed"
    remedy = (
        "Check the disk, then start the process again. If the data folder is"
        " lost, start with an empty folder, so that the instance joins again."
    )
    exit_code = 5


class DiskFull(DiskError):
    """The disk or quota leaves no space for a write; it may have some later.

    Nothing that was synced before is affected.
    """

    code = "disk_full"
    remedy = "Free space on the disk of the data folder."
    exit_code = 6


class FileTooLarge(DiskFull):
    """The file size limit of the process leaves no space for a write."""

    remedy = (
        "Free space on the disk or raise the file size limit of the process,"
        " then start again."
    )


class CorruptFile(DiskError):
    """The content of a file is damaged, or a required file is absent."""

    code = "corrupt_file"
    remedy = (
        "Do not edit the file. Move the data folder away and start with an"
        " empty one, so that the instance joins again."
    )
    exit_code = 7


class DiskFault(Exception):
    """Failure of a disk operation.

    It is an exception and not a value, because only the owner of the data
    folder can react to it: the files must be read again or the process must
    stop.
    """

    def __init__(self, error: DiskError):
        super().__init__(error.message)
        self.error = error

    @property
    def may_end(self) -> bool:
        """Whether the disk may work again without a new start of the process.

        After other errors the kernel may have dropped bytes that were written,
        and a retry could report a success that is none.
        """
        is_full = isinstance(self.error, DiskFull)
        return is_full and not isinstance(self.error, FileTooLarge)


class Disk(typing.Protocol):
    """Flat folder of files.

    Each method raises `DiskFault` when the operation fails. Sizes are in bytes.
    """

    def read(self, name: str) -> bytes | None:
        """Returns the content of a file, or None when it is absent."""

    def create(self, name: str) -> None:
        """Creates an empty file, durably; an existing one is emptied."""

    def append(self, name: str, data: bytes) -> None:
        """Adds bytes to the end of an existing file.

        The bytes are not durable before `sync`. A failed append may have added
        a part of the bytes.
        """

    def sync(self, name: str) -> None:
        """Makes all appended bytes durable."""

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file to `size` bytes, durably."""

    def replace(self, name: str, data: bytes) -> None:
        """Replaces or creates a whole file, atomically and durably."""

    def remove(self, name: str) -> None:
        """Removes a file, durably; an absent file is no error."""

    def list(self) -> tuple[str, ...]:
        """Returns the names of all files, sorted."""


class FolderDisk:
    """Disk whose files are in a folder of the file system.

    Two threads may use the disk at the same time for different files.

    Args:
      folder: Existing folder that no other process uses.
    """

    def __init__(self, folder: str | pathlib.Path):
        self._folder = pathlib.Path(folder)
        self._descriptors: dict[str, int] = {}

    def read(self, name: str) -> bytes | None:
        """Returns the content of a file, or None when it is absent."""
        with self._convert_os_errors(name):
            try:
                return (self._folder / name).read_bytes()
            except FileNotFoundError:
                return None

    def create(self, name: str) -> None:
        """Creates an empty file, durably; an existing one is emptied."""
        self._close(name)
        with self._convert_os_errors(name):
            flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
            descriptor = os.open(self._folder / name, flags, 0o600)
            with _closing(descriptor):
                os.fsync(descriptor)
            self._sync_folder()

    def append(self, name: str, data: bytes) -> None:
        """Adds bytes to the end of an existing file."""
        with self._convert_os_errors(name):
            if name not in self._descriptors:
                flags = os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC
                self._descriptors[name] = os.open(self._folder / name, flags)
            _write_all(self._descriptors[name], data)

    def sync(self, name: str) -> None:
        """Makes all appended bytes durable."""
        with self._convert_os_errors(name):
            os.fsync(self._descriptors[name])

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file to `size` bytes, durably."""
        self._close(name)
        with self._convert_os_errors(name):
            descriptor = os.open(self._folder / name, os.O_WRONLY)
            with _closing(descriptor):
                os.ftruncate(descriptor, size)
                os.fsync(descriptor)

    def replace(self, name: str, data: bytes) -> None:
        """Replaces or creates a whole file, atomically and durably."""
        self._close(name)
        temporary = self._folder / (name + ".new")
        with self._convert_os_errors(name):
            flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
            descriptor = os.open(temporary, flags, 0o600)
            with _closing(descriptor):
                _write_all(descriptor, data)
                os.fsync(descriptor)
            os.replace(temporary, self._folder / name)
            self._sync_folder()

    def remove(self, name: str) -> None:
        """Removes a file, durably; an absent file is no error."""
        self._close(name)
        with self._convert_os_errors(name):
            (self._folder / name).unlink(missing_ok=True)
            self._sync_folder()

    def list(self) -> tuple[str, ...]:
        """Returns the names of all files, sorted."""
        with self._convert_os_errors(""):
            return tuple(sorted(p.name for p in self._folder.iterdir()))

    def close(self) -> None:
        """Closes all open files."""
        for name in tuple(self._descriptors):
            self._close(name)

    def _close(self, name):
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def _sync_folder(self):
        descriptor = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        with _closing(descriptor):
            os.fsync(descriptor)

    @contextlib.contextmanager
    def _convert_os_errors(self, name) -> abc.Iterator[None]:
        try:
            yield
        except OSError as error:
            error_class = _ERRORS.get(error.errno, DiskError)
            path = str(self._folder / name)
            raise DiskFault(error_class(error.strerror or "", path)) from error


_ERRORS = {
    errno.ENOSPC: DiskFull,
    errno.EDQUOT: DiskFull,
    errno.EFBIG: FileTooLarge,
}


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


@contextlib.contextmanager
def _closing(descriptor: int) -> abc.Iterator[None]:
    try:
        yield
    finally:
        os.close(descriptor)


class FakeDisk:
    """Disk in memory, for tests that inject faults.

    Attributes:
      syncs_before_failure: Number of syncs that succeed before one sync raises,
        as after a device error or when the machine stops; None for no failure.
      torn_bytes: Number of appended bytes per file that survive a failed sync
        or a crash.
      capacity_bytes: Total size of all files; writes that exceed it raise
        `DiskFull`.
    """

    def __init__(self):
        self._synced: dict[str, bytes] = {}
        self._pending: dict[str, bytes] = {}
        self.syncs_before_failure: int | None = None
        self.torn_bytes = 0
        self.capacity_bytes = 1 << 40

    def read(self, name: str) -> bytes | None:
        """Returns the content of a file, or None when it is absent."""
        if name not in self._synced and name not in self._pending:
            return None
        return self._synced.get(name, b"") + self._pending.get(name, b"")

    def create(self, name: str) -> None:
        """Creates an empty file, durably; an existing one is emptied."""
        if self._next_sync_fails():
            raise DiskFault(DiskError("sync failed", name))
        self._pending.pop(name, None)
        self._synced[name] = b""

    def append(self, name: str, data: bytes) -> None:
        """Adds bytes that a crash drops unless `sync` has returned."""
        free_bytes = self.capacity_bytes - self._used_bytes()
        self._pending[name] = self._pending.get(name, b"") + data[:free_bytes]
        if len(data) > free_bytes:
            raise DiskFault(DiskFull("no space left", name))

    def sync(self, name: str) -> None:
        """Makes the appended bytes survive a crash."""
        if self._next_sync_fails():
            # As on Linux, a failed sync drops the bytes that were not written.
            self.crash()
            raise DiskFault(DiskError("sync failed", name))
        if name in self._pending:
            pending = self._pending.pop(name)
            self._synced[name] = self._synced.get(name, b"") + pending

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file, durably; a full disk refuses this too."""
        if self._used_bytes() > self.capacity_bytes:
            raise DiskFault(DiskFull("no space left", name))
        self._synced[name] = (self.read(name) or b"")[:size]
        self._pending.pop(name, None)

    def replace(self, name: str, data: bytes) -> None:
        """Replaces or creates a whole file, atomically and durably."""
        if self._used_bytes() + len(data) > self.capacity_bytes:
            raise DiskFault(DiskFull("no space left", name))
        if self._next_sync_fails():
            raise DiskFault(DiskError("sync failed", name))
        self._synced[name] = data
        self._pending.pop(name, None)

    def remove(self, name: str) -> None:
        """Removes a file, durably."""
        self._synced.pop(name, None)
        self._pending.pop(name, None)

    def list(self) -> tuple[str, ...]:
        """Returns the names of all files, sorted."""
        return tuple(sorted(self._synced.keys() | self._pending.keys()))

    def crash(self) -> None:
        """Drops appended bytes, except the first `torn_bytes` per file."""
        for name, pending in self._pending.items():
            kept = pending[: self.torn_bytes]
            if kept:
                self._synced[name] = self._synced.get(name, b"") + kept
        self._pending.clear()

    def erase(self) -> None:
        """Removes all files, like the loss of the disk."""
        self._synced.clear()
        self._pending.clear()

    def _next_sync_fails(self):
        remaining_syncs = self.syncs_before_failure
        self.syncs_before_failure = (
            remaining_syncs - 1 if remaining_syncs else None
        )
        return remaining_syncs == 0

    def _used_bytes(self):
        files = (*self._synced.values(), *self._pending.values())
        return sum(len(content) for content in files)
