"""A damaged file yields a valid beginning of what was written, never a wrong record."""

from hypothesis import given, settings
from hypothesis import strategies as st

from pondtiller.steplog.disk_format import MAGIC, decode, encode
from pondtiller.steplog.entry import Entry, pack_entries
from pondtiller.wire.steplog import DiskRecord

RECORDS = [
    DiskRecord(disk="abc"),
    DiskRecord(promised=7),
    DiskRecord(puts=pack_entries([Entry(key="step/1", epoch=7, value=b"x" * 40)])),
    DiskRecord(drops=["step/1"], puts=pack_entries([Entry(key="end/2", epoch=7, value=b"1")])),
]
WHOLE = MAGIC + b"".join(encode(record) for record in RECORDS)


def read(data: bytes) -> list[DiskRecord]:
    return [each.record for each in decode(data)]


def test_a_whole_file_gives_its_records() -> None:
    assert read(WHOLE) == RECORDS
    assert [each.end for each in decode(WHOLE)][-1] == len(WHOLE)


@given(st.integers(0, len(WHOLE)))
def test_a_torn_tail_is_ignored(length: int) -> None:
    found = read(WHOLE[:length])
    assert found == RECORDS[: len(found)]


@given(st.integers(0, len(WHOLE) - 1), st.integers(1, 255))
@settings(max_examples=300)
def test_a_changed_byte_ends_the_reading(place: int, change: int) -> None:
    data = bytearray(WHOLE)
    data[place] ^= change
    found = read(bytes(data))
    assert found == RECORDS[: len(found)]
    assert len(found) < len(RECORDS)


@given(st.integers(len(MAGIC), len(WHOLE)), st.binary(max_size=80))
def test_noise_after_a_torn_tail_is_no_record(length: int, noise: bytes) -> None:
    found = read(WHOLE[:length] + noise)
    count = len(found)
    assert found[: len(RECORDS)] == RECORDS[:count]
