"""Frames: long messages are compressed, and malformed frames are rejected."""

import random
import zlib

import pytest

from pondtiller.links.frames import (
    COMPRESSED_FLAG,
    MIN_COMPRESSED,
    BadFrameError,
    Encoded,
    FrameReader,
    encode,
    encode_message,
    message_name,
)
from pondtiller.steplog.entry import Entry, pack_entries
from pondtiller.wire.steplog import (
    Append,
    Fetched,
    ReplicaView,
    SampleProgress,
    SaveProgress,
)

LONG = SaveProgress(epoch=3, samples=[SampleProgress(id="s", parts=[b"abc" * 100] * 20)])


def test_a_long_message_is_shorter_on_the_link_and_arrives_unchanged() -> None:
    encoded = encode_message(LONG)
    assert len(encoded.body) < len(bytes(LONG)) / 4
    assert message_name(encoded) == "SaveProgress"
    (frame,) = FrameReader().feed(encode(encoded, 7, is_reply=True))
    assert (frame.message, frame.call, frame.is_reply) == (LONG, 7, True)


def test_a_short_message_is_sent_uncompressed() -> None:
    message = SaveProgress(epoch=3)
    assert len(bytes(message)) < MIN_COMPRESSED
    assert encode_message(message).body == bytes(message)


def test_messages_for_a_new_leader_are_sent_uncompressed() -> None:
    message = Fetched(entries=pack_entries([Entry(key="k", value=b"abc" * 1000)]))
    assert encode_message(message).body == bytes(message)


@pytest.mark.parametrize("body", [b"no such thing", zlib.compress(bytes(LONG))[:-6]])
def test_a_body_that_cannot_be_decompressed_is_rejected(body: bytes) -> None:
    broken = encode(Encoded(17 | COMPRESSED_FLAG, body), 0, is_reply=False)
    with pytest.raises(BadFrameError):
        list(FrameReader().feed(broken))


def test_a_repeated_view_is_not_parsed_again() -> None:
    """Parsing five views a second was two thirds of an idle gateway's work."""
    reader = FrameReader()

    def read(view: ReplicaView) -> object:
        (frame,) = reader.feed(encode(encode_message(view), 0, False))
        return frame.message

    first = read(ReplicaView(epoch=3, leader="a"))
    assert read(ReplicaView(epoch=3, leader="a")) is first
    changed = read(ReplicaView(epoch=4, leader="a"))
    assert changed is not first and changed == ReplicaView(epoch=4, leader="a")
    assert read(ReplicaView(epoch=3, leader="a")) == first


def test_long_messages_are_parsed_each_time() -> None:
    reader = FrameReader()
    sent = encode(
        encode_message(
            Append(puts=pack_entries([Entry(key="k", value=random.Random(1).randbytes(2048))]))
        ),
        0,
        False,
    )
    ((first,), (second,)) = reader.feed(sent), reader.feed(sent)
    assert first.message == second.message
    assert first.message is not second.message
