"""Links: what is still to be sent when the other side goes."""

import socket

import curio

from pondtiller.links.link import Link
from pondtiller.wire.steplog import SampleProgress, SaveProgress


def test_sending_on_a_link_that_its_reader_has_closed_ends_it_quietly() -> None:
    async def main() -> None:
        ours, theirs = socket.socketpair()
        link = Link(curio.io.Socket(ours))
        await link._stream.close()
        await link.send(SaveProgress(epoch=1, samples=[SampleProgress(id="s")]))
        assert link.is_lost
        theirs.close()

    curio.run(main)
