"""Texts of a disconnected leader: stored if they are longer, whoever leads meanwhile."""

from pathlib import Path
from typing import Any

import pytest

from pondtiller.replica.file import LogFile
from pondtiller.replica.server import ReplicaServer
from pondtiller.steplog.kept_texts import KeptTexts
from pondtiller.steplog.replica import Replica
from pondtiller.wire.steplog import GroupMember, SampleProgress, SaveProgress

NO_STORE: Any = None


def text(name: str, last: int, after: int = 0) -> SampleProgress:
    part = f"{after}-{last}".encode()
    return SampleProgress(id=name, parts=[part], versions=[1], last_event=last, after_event=after)


def lengths(texts: KeptTexts) -> dict[str, int]:
    return {name: each.last_event for name, each in texts.by_sample.items()}


@pytest.mark.parametrize("is_on", [True, False])
def test_late_texts_count_although_a_successor_is_promised(
    is_on: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not is_on:
        monkeypatch.setattr(KeptTexts, "longer", lambda _texts, _parts: [])
    replica = Replica(GroupMember(name="r", disk="d"), True, 0.0)
    file, texts = LogFile(tmp_path), KeptTexts()
    file.read()
    server = ReplicaServer(replica, file, texts, NO_STORE)
    replica.promised = 5
    server._save_progress(SaveProgress(5, [text("a", 11), text("b", 20)]))
    replica.promised = 6
    late = [text("a", 40), text("b", 20), text("c", 30), text("d", 30, after=10)]
    server._save_progress(SaveProgress(5, late))
    expected = {"a": 40, "b": 20, "c": 30} if is_on else {"a": 11, "b": 20}
    assert lengths(texts) == expected
    # They survive a restart as the others do.
    read = KeptTexts()
    for record in LogFile(tmp_path).read():
        read.save(record.texts)
    assert lengths(read) == expected
    file.close()


def test_the_successors_own_texts_are_not_shortened(tmp_path: Path) -> None:
    replica = Replica(GroupMember(name="r", disk="d"), True, 0.0, promised=6)
    file, texts = LogFile(tmp_path), KeptTexts()
    file.read()
    server = ReplicaServer(replica, file, texts, NO_STORE)
    server._save_progress(SaveProgress(6, [text("a", 50)]))
    server._save_progress(SaveProgress(5, [text("a", 40)]))
    server._save_progress(SaveProgress(6, [text("a", 60, after=50)]))
    assert lengths(texts) == {"a": 60}
    file.close()
