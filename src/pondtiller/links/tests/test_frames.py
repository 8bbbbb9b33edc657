"""Frames: long messages are compressed, and what is no frame is refused."""

import zlib

import pytest

from pondtiller.links.frames import (
    COMPRESSED_FLAG,
    SMALLEST_COMPRESSED,
    BadFrameError,
    Encoded,
    FrameReader,
    encode,
    encode_message,
    message_name,
)
from pondtiller.wire.steplog import Entry, Fetched, SampleProgress, SaveProgress

LONG = SaveProgress(epoch=3, samples=[SampleProgress(id="s", parts=[b"abc" * 100] * 20)])


def test_a_long_message_is_shorter_on_the_link_and_arrives_unchanged() -> None:
    encoded = encode_message(LONG)
    assert len(encoded.body) < len(bytes(LONG)) / 4
    assert message_name(encoded) == "SaveProgress"
    (frame,) = FrameReader().feed(encode(encoded, 7, is_reply=True))
    assert (frame.message, frame.call, frame.is_reply) == (LONG, 7, True)


def test_a_short_message_is_sent_as_it_is() -> None:
    message = SaveProgress(epoch=3)
    assert len(bytes(message)) < SMALLEST_COMPRESSED
    assert encode_message(message).body == bytes(message)


def test_what_a_new_leader_waits_for_is_sent_as_it_is() -> None:
    message = Fetched(entries=[Entry(key="k", value=b"abc" * 1000)])
    assert encode_message(message).body == bytes(message)


@pytest.mark.parametrize("body", [b"no such thing", zlib.compress(bytes(LONG))[:-6]])
def test_what_cannot_be_unpacked_is_no_frame(body: bytes) -> None:
    broken = encode(Encoded(17 | COMPRESSED_FLAG, body), 0, is_reply=False)
    with pytest.raises(BadFrameError):
        list(FrameReader().feed(broken))
