"""Sends and receives peers' letters: datagrams, and a short connection for a large letter.

Owns the daemon's datagram socket and the listener on the same port. A letter may be lost, doubled
or overtaken; the protocols above bear that and repeat. Does not know what a letter says.
"""

from collections.abc import Awaitable, Callable

import curio

from pondtiller.address import Address
from pondtiller.process.curio_types import Connection, DatagramSocket, Listener
from pondtiller.process.spawner import Spawner
from pondtiller.wire.envelope import Letter, decode, encode

MAX_DATAGRAM = 8_000
"""Bytes of a letter that is sent as one datagram; a larger one gets a connection. Chosen: loopback
and jumbo frames carry it whole, others in few fragments."""
MAX_LETTER = 64 * 1024 * 1024
"""Bytes; a longer one is not read. Chosen, not measured: it bounds memory."""
LENGTH_BYTES = 4
"""Of the length before a letter on a connection, big endian."""
TRANSFER_SECONDS = 10.0
"""Longest time for a letter on a connection, either way. Chosen, not measured."""

Receiver = Callable[[Letter], Awaitable[None]]


def bind_peer(host: str, port: int) -> tuple[DatagramSocket, Listener]:
    """Return a datagram socket and a listener on the same port; 0 lets the kernel choose."""
    for _ in range(50):
        listener = curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_STREAM)
        listener.setsockopt(curio.socket.SOL_SOCKET, curio.socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        datagrams = curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_DGRAM)
        try:
            datagrams.bind((host, listener.getsockname()[1]))
        except OSError:
            if port:
                raise
            continue
        listener.listen(128)
        return datagrams, listener
    raise OSError("no port is free for both datagrams and connections")


class PeerTransport:
    """Sends and receives letters; any may be lost.

    Attributes
    ----------
    sent_messages, sent_bytes
        Counted for `/metrics`.
    """

    def __init__(self, datagrams: DatagramSocket, listener: Listener) -> None:
        self._datagrams = datagrams
        self._listener = listener
        self.sent_messages = 0
        self.sent_bytes = 0
        self.received_messages = 0
        self.invalid_messages = 0

    async def send(self, address: Address, letter: Letter, group: Spawner) -> None:
        """Send a letter; failures are left to the protocols above, which repeat."""
        data = encode(letter)
        self.sent_messages += 1
        self.sent_bytes += len(data)
        if len(data) > MAX_DATAGRAM:
            await group.spawn(_send_large, address, data)
            return
        try:
            await self._datagrams.sendto(data, (address.host, address.port))
        except OSError:
            return

    async def receive_datagrams(self, receiver: Receiver) -> None:
        """Hand on datagrams until cancelled."""
        while True:
            try:
                data, _ = await self._datagrams.recvfrom(65_536)
            except OSError:
                continue
            await self._hand_on(data, receiver)

    async def receive_connections(self, receiver: Receiver) -> None:
        """Hand on large letters until cancelled."""
        async with curio.TaskGroup(wait=all) as group:
            while True:
                client, _ = await self._listener.accept()
                await group.spawn(self._receive_large, client, receiver)

    async def _receive_large(self, client: Connection, receiver: Receiver) -> None:
        async with client:
            try:
                async with curio.timeout_after(TRANSFER_SECONDS):
                    head = await _read_exactly(client, LENGTH_BYTES)
                    length = int.from_bytes(head, "big")
                    if length > MAX_LETTER:
                        self.invalid_messages += 1
                        return
                    data = await _read_exactly(client, length)
            except (curio.TaskTimeout, OSError):
                return
            await self._hand_on(data, receiver)

    async def _hand_on(self, data: bytes, receiver: Receiver) -> None:
        letter = decode(data)
        if letter is None:
            self.invalid_messages += 1
            return
        self.received_messages += 1
        await receiver(letter)


async def _send_large(address: Address, data: bytes) -> None:
    try:
        async with curio.timeout_after(TRANSFER_SECONDS):
            stream = await curio.open_connection(address.host, address.port)
            async with stream:
                await stream.sendall(len(data).to_bytes(LENGTH_BYTES, "big") + data)
    except (curio.TaskTimeout, OSError):
        return


async def _read_exactly(client: Connection, count: int) -> bytes:
    data = b""
    while len(data) < count:
        piece = await client.recv(min(65_536, count - len(data)))
        if not piece:
            raise OSError("the connection ended early")
        data += piece
    return data
