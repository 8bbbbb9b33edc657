"""A replica's file over restarts, torn tails and rewrites."""

from pathlib import Path

from pondtiller.replica.file import FILE_NAME, NEW_NAME, LogFile
from pondtiller.steplog.entry import Entry, pack_entries
from pondtiller.steplog.kept_texts import KeptTexts
from pondtiller.steplog.replica import Replica
from pondtiller.wire.steplog import Append, DiskRecord, GroupMember, Prepare, SampleProgress


def restored(folder: Path) -> Replica:
    replica = Replica(GroupMember(name="r", disk="d"), may_form=True, started_at=0.0)
    file = LogFile(folder)
    for record in file.read():
        replica.restore(record)
    file.close()
    return replica


def put(key: str, value: bytes = b"v") -> DiskRecord:
    return DiskRecord(puts=pack_entries([Entry(key=key, epoch=1, value=value)]))


def test_appended_records_survive_a_restart(tmp_path: Path) -> None:
    file = LogFile(tmp_path)
    assert file.read() == []
    file.append([put("a"), put("b"), DiskRecord(promised=5)])
    file.append([DiskRecord(drops=["a"])])
    file.close()
    replica = restored(tmp_path)
    assert (set(replica.entries), replica.promised) == ({"b"}, 5)


def test_a_torn_tail_is_truncated_and_the_next_append_is_read(tmp_path: Path) -> None:
    file = LogFile(tmp_path)
    file.read()
    file.append([put("a")])
    file.append([put("b", b"x" * 100)])
    file.close()
    path = tmp_path / FILE_NAME
    path.write_bytes(path.read_bytes()[:-30])
    again = LogFile(tmp_path)
    assert len(again.read()) == 1
    again.append([put("c")])
    again.close()
    assert set(restored(tmp_path).entries) == {"a", "c"}


def test_an_empty_or_foreign_file_is_replaced(tmp_path: Path) -> None:
    (tmp_path / FILE_NAME).write_bytes(b"pondt")
    file = LogFile(tmp_path)
    assert file.read() == []
    file.append([put("a")])
    file.close()
    assert set(restored(tmp_path).entries) == {"a"}


def test_a_rewrite_keeps_the_state_and_a_partial_one_is_harmless(tmp_path: Path) -> None:
    file = LogFile(tmp_path)
    file.read()
    replica = Replica(GroupMember(name="r", disk="d"), may_form=True, started_at=0.0)
    for reply in (
        replica.prepare(Prepare(epoch=9, leader="l"), 5.0),
        replica.append(
            Append(epoch=9, puts=pack_entries([Entry(key="a", epoch=9, value=b"1")])), 5.0
        ),
    ):
        assert reply.record is not None
        file.append([reply.record])
    file.rewrite(replica, KeptTexts())
    file.append([put("b")])
    file.close()
    (tmp_path / NEW_NAME).write_bytes(b"half a rewrite")
    again = restored(tmp_path)
    assert (set(again.entries), again.promised) == ({"a", "b"}, 9)
    assert not (tmp_path / NEW_NAME).exists()


def texts_in(folder: Path) -> KeptTexts:
    file, texts = LogFile(folder), KeptTexts()
    for record in file.read():
        texts.save(record.texts)
    file.close()
    return texts


def test_unfinished_texts_survive_a_restart_and_a_rewrite(tmp_path: Path) -> None:
    file = LogFile(tmp_path)
    file.read()
    first = SampleProgress(id="s", parts=[b"ab"], versions=[3], last_event=2)
    more = SampleProgress(id="s", parts=[b"c"], versions=[3], last_event=3, after_event=2)
    file.write([DiskRecord(texts=[first])])
    file.append([put("a")])
    file.write([DiskRecord(texts=[more])])
    file.close()
    texts = texts_in(tmp_path)
    assert texts.by_sample["s"].parts == [b"ab", b"c"]
    again = LogFile(tmp_path)
    again.read()
    replica = Replica(GroupMember(name="r", disk="d"), may_form=True, started_at=0.0)
    again.rewrite(replica, texts)
    again.close()
    assert texts_in(tmp_path).by_sample == texts.by_sample


def test_only_texts_without_a_later_log_write_may_be_lost(tmp_path: Path) -> None:
    file = LogFile(tmp_path)
    file.read()
    file.append([put("a")])
    file.write([DiskRecord(texts=[SampleProgress(id="s", parts=[b"a"], last_event=1)])])
    file.close()
    path = tmp_path / FILE_NAME
    path.write_bytes(path.read_bytes()[:-3])
    assert texts_in(tmp_path).by_sample == {}
    assert set(restored(tmp_path).entries) == {"a"}
