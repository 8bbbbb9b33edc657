"""Links: unsent data when the other side closes."""

import random
import socket

import curio
from betterproto import Message

from pondtiller.links.link import Link
from pondtiller.wire.steplog import SampleProgress, SaveProgress


def test_sending_on_a_link_closed_by_its_reader_ends_it_without_an_error() -> None:
    async def main() -> None:
        ours, theirs = socket.socketpair()
        link = Link(curio.io.Socket(ours))
        await link._stream.close()
        await link.send(SaveProgress(epoch=1, samples=[SampleProgress(id="s")]))
        assert link.is_lost
        theirs.close()

    curio.run(main)


def test_a_long_message_arrives_whole_and_its_parts_are_noticed() -> None:
    async def main() -> None:
        ours, theirs = socket.socketpair()
        sender, receiver = Link(curio.io.Socket(ours)), Link(curio.io.Socket(theirs))
        heard: list[None] = []
        arrived: list[Message] = []
        receiver.on_data = lambda: heard.append(None)

        async def take(_link: Link, _call: int, message: Message) -> None:
            arrived.append(message)

        reading = await curio.spawn(receiver.run, take)
        sending = await curio.spawn(sender.run, take)
        # Random, so that compression leaves it long.
        text = random.Random(1).randbytes(6_000_000).hex()
        long = SaveProgress(epoch=1, samples=[SampleProgress(id=text)])
        short = SaveProgress(epoch=2)
        await sender.send(long)
        await sender.send(short)
        async with curio.ignore_after(10.0):
            while len(arrived) < 2:
                await curio.sleep(0.01)
        assert arrived == [long, short]
        assert len(heard) > 10
        await sending.cancel()
        await reading.cancel()

    curio.run(main)
