"""A full disk: nothing is answered that is not on it, and service resumes later."""

import errno
import os
from pathlib import Path

import curio
import pytest
from betterproto import Message

from pondtiller.address import Address
from pondtiller.httpio.client import HttpClient
from pondtiller.platform.object_client import ObjectClient
from pondtiller.replica.file import LogFile
from pondtiller.replica.server import ReplicaServer
from pondtiller.replica.tests.test_file import put, restored
from pondtiller.steplog.entry import Entry, pack_entries
from pondtiller.steplog.kept_texts import KeptTexts
from pondtiller.steplog.replica import Replica
from pondtiller.wire.steplog import Append, Appended, GroupMember, Prepare, Promise

NO_STORE = ObjectClient(Address("127.0.0.1", 1), HttpClient())


class FakeLink:
    """Records what is sent on it."""

    def __init__(self) -> None:
        self.replies: list[Message] = []
        self.is_dropped = False

    async def reply(self, _call: int, message: Message) -> None:
        if not self.is_dropped:
            self.replies.append(message)

    async def drop(self) -> None:
        self.is_dropped = True


class FullDisk:
    """Accepts a part of each write and then fails, while `is_full`."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.is_full = False
        self._write = os.pwrite
        monkeypatch.setattr(os, "pwrite", self.write)

    def write(self, descriptor: int, data: bytes, offset: int) -> int:
        if not self.is_full:
            return self._write(descriptor, data, offset)
        if len(data) < 8:
            raise OSError(errno.ENOSPC, "no space left")
        return self._write(descriptor, bytes(data[: len(data) // 2]), offset)


class Machine:
    """A replica's server over a file, without sockets."""

    def __init__(self, folder: Path) -> None:
        self.file = LogFile(folder)
        self.file.read()
        replica = Replica(GroupMember(name="r", disk="d"), may_form=True, started_at=0.0)
        self.server = ReplicaServer(replica, self.file, KeptTexts(), NO_STORE)

    def deliver(self, *messages: Message) -> FakeLink:
        link = FakeLink()

        async def main() -> None:
            for message in messages:
                await self.server._take(link, 1, message)  # type: ignore[arg-type]
            await self.server._commit()

        curio.run(main)
        return link


def append(key: str = "") -> Append:
    puts = [Entry(key=key, epoch=9, value=b"v" * 50)] if key else []
    return Append(epoch=9, puts=pack_entries(puts))


def test_a_failed_write_is_not_answered_nor_anything_after_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    disk, machine = FullDisk(monkeypatch), Machine(tmp_path)
    first = machine.deliver(Prepare(epoch=9, leader="l"), append("a"))
    assert [type(each) for each in first.replies] == [Promise, Appended]
    disk.is_full = True
    refused = machine.deliver(append("b"))
    assert refused.replies == []
    assert refused.is_dropped
    heartbeat = machine.deliver(append())
    assert heartbeat.replies == []
    assert heartbeat.is_dropped
    assert machine.server.refused_writes == 2


def test_waiting_records_are_written_first_once_there_is_room(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    disk, machine = FullDisk(monkeypatch), Machine(tmp_path)
    machine.deliver(Prepare(epoch=9, leader="l"))
    disk.is_full = True
    machine.deliver(append("a"), append("b"))
    disk.is_full = False
    assert len(machine.deliver(append()).replies) == 1
    machine.deliver(append("c"))
    machine.file.close()
    held = restored(tmp_path)
    assert (set(held.entries), held.promised) == ({"a", "b", "c"}, 9)


def test_a_rewrite_without_room_leaves_the_old_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    disk, machine = FullDisk(monkeypatch), Machine(tmp_path)
    machine.deliver(Prepare(epoch=9, leader="l"), append("a"))
    disk.is_full = True
    machine.server._rewrite()
    disk.is_full = False
    machine.file.append([put("z")])
    machine.file.close()
    assert set(restored(tmp_path).entries) == {"a", "z"}
