"""File format of a replica: records with length and checksum, one after the other.

After a power loss a file may end in a torn record or have holes where records were not synced.
Reading stops at the first incomplete record; what follows was never acknowledged.
"""

from collections.abc import Iterator
from dataclasses import dataclass

import xxhash

from pondtiller.wire.steplog import DiskRecord

MAGIC = b"pondtiller-steplog-1\n"
HEAD_BYTES = 12
"""Header of a record: four bytes of length, eight of checksum."""
MAX_RECORD = 256 * 1024 * 1024
"""Longest record that is read, in bytes; a greater length counts as damage. The largest message of
a takeover was 8 MB."""


def encode(record: DiskRecord) -> bytes:
    """Return a record as it is in the file: length, checksum, message."""
    body = bytes(record)
    length = len(body).to_bytes(4, "big")
    return length + xxhash.xxh3_64_digest(length + body) + body


@dataclass(slots=True)
class ReadRecord:
    """A record with the offset in the file at which it ends."""

    record: DiskRecord
    end: int


def decode(data: bytes) -> Iterator[ReadRecord]:
    """Return the complete records from the start of a file's bytes."""
    if not data.startswith(MAGIC):
        return
    place = len(MAGIC)
    while place + HEAD_BYTES <= len(data):
        length = int.from_bytes(data[place : place + 4], "big")
        body_start = place + HEAD_BYTES
        end = body_start + length
        if length > MAX_RECORD or end > len(data):
            return
        body = data[body_start:end]
        if xxhash.xxh3_64_digest(data[place : place + 4] + body) != data[place + 4 : body_start]:
            return
        yield ReadRecord(DiskRecord().parse(body), end)
        place = end
