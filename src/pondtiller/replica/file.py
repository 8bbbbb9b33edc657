"""The replica's file: appended and synced before an answer is sent, rewritten when it grows.

Holds the file `steps.log` in the data folder, which survives restarts; a torn tail is truncated at
the start. Uses `steplog.disk_format` for records and checksums, and `fdatasync`. Does not decide
what is written or answered.
"""

import os
from pathlib import Path

from pondtiller.steplog.disk_format import MAGIC, decode, encode
from pondtiller.steplog.entry import pack_entries
from pondtiller.steplog.kept_texts import KeptTexts
from pondtiller.steplog.replica import Replica
from pondtiller.wire.steplog import DiskRecord

FILE_NAME = "steps.log"
NEW_NAME = "steps.log.new"
MIN_REWRITE_BYTES = 16 * 1024 * 1024
"""Smallest file that is rewritten: reading 16 MB to 26 MB at a start takes a replica about 220 ms,
and each rewrite delays its answers."""
REWRITE_FACTOR = 3
"""Growth since the last rewrite at which a file is rewritten: two thirds of it are outdated then. A
lower factor writes more, a higher one reads longer at a start."""


class LogFile:
    """One replica's file.

    Parameters
    ----------
    folder
        Data folder; created if it is missing.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self._path = folder / FILE_NAME
        self._descriptor = -1
        self.size = 0
        self._size_after_rewrite = 0

    def read(self) -> list[DiskRecord]:
        """Open the file and return its records; a torn tail is truncated."""
        (self._folder / NEW_NAME).unlink(missing_ok=True)
        data = self._path.read_bytes() if self._path.exists() else b""
        records: list[DiskRecord] = []
        end = len(MAGIC)
        for each in decode(data):
            records.append(each.record)
            end = each.end
        self._descriptor = os.open(self._path, os.O_RDWR | os.O_CREAT, 0o644)
        if not data.startswith(MAGIC):
            os.ftruncate(self._descriptor, 0)
            os.pwrite(self._descriptor, MAGIC, 0)
        os.ftruncate(self._descriptor, end)
        os.fsync(self._descriptor)
        self._sync_folder()
        self.size = self._size_after_rewrite = end
        return records

    def append(self, records: list[DiskRecord]) -> None:
        """Write records; returns once they are on disk.

        After an `OSError` none of them counts: the next call overwrites any part of them.
        """
        size = self.size
        self.write(records)
        try:
            os.fdatasync(self._descriptor)
        except OSError:
            self.size = size
            raise

    def write(self, records: list[DiskRecord]) -> None:
        """Write records that need not be durable; the next `append` makes them durable too."""
        data = b"".join(encode(record) for record in records)
        _write_all(self._descriptor, data, self.size)
        self.size += len(data)

    def should_rewrite(self) -> bool:
        """Return whether much of the file is outdated."""
        limit = max(MIN_REWRITE_BYTES, REWRITE_FACTOR * self._size_after_rewrite)
        return self.size > limit

    def rewrite(self, replica: Replica, texts: KeptTexts) -> None:
        """Replace the file by the current state of the replica and its unfinished texts.

        After an `OSError` the old file stays in use, and the next attempt comes after more growth.
        """
        self._size_after_rewrite = self.size
        path = self._folder / NEW_NAME
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o644)
        record = DiskRecord(
            puts=pack_entries(replica.entries.values()),
            promised=replica.promised,
            promised_to=replica.promised_to,
            disk=replica.member.disk,
            texts=list(texts.by_sample.values()),
        )
        data = MAGIC + encode(record)
        try:
            _write_all(descriptor, data, 0)
            os.fsync(descriptor)
            os.rename(path, self._path)
        except OSError:
            os.close(descriptor)
            path.unlink(missing_ok=True)
            raise
        self._sync_folder()
        os.close(self._descriptor)
        self._descriptor = descriptor
        self.size = self._size_after_rewrite = len(data)

    def close(self) -> None:
        """Close the file."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1

    def _sync_folder(self) -> None:
        folder = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


def _write_all(descriptor: int, data: bytes, offset: int) -> None:
    view = memoryview(data)
    while view:
        written = os.pwrite(descriptor, view, offset)
        view, offset = view[written:], offset + written
