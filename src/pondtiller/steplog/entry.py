"""Entries of the step log, and their columnar form in messages and files."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from pondtiller.wire.steplog import Entries


class Entry(NamedTuple):
    """A key's value with the epoch under which it was written."""

    key: str
    epoch: int = 0
    value: bytes = b""


def pack_entries(entries: Iterable[Entry]) -> Entries:
    """Return entries as columns."""
    packed = Entries()
    keys, epochs, values = packed.keys, packed.epochs, packed.values
    for entry in entries:
        keys.append(entry.key)
        epochs.append(entry.epoch)
        values.append(entry.value)
    return packed


def unpack_entries(packed: Entries) -> Iterator[Entry]:
    """Return the entries of columns; raises `ValueError` if their lengths differ."""
    return map(Entry._make, zip(packed.keys, packed.epochs, packed.values, strict=True))
