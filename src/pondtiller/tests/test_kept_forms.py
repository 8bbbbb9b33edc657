"""Data written by an earlier release is read correctly and written the same again.

The files in kept_forms/ were written by the code before its modules were split and renamed, with a
distinct value in each field. They are never rewritten: a format that may change gets a new file
beside the old one.
"""

import json
import shutil
from pathlib import Path
from typing import Any

import pytest

from pondtiller.links.frames import FrameReader, encode, encode_message
from pondtiller.platform import objects
from pondtiller.platform.object_client import StoreObject
from pondtiller.process.problems import load_toml
from pondtiller.replica.file import FILE_NAME, LogFile
from pondtiller.routes.quarantine import Suspect
from pondtiller.settings import GatewaySettings, ReplicaSettings
from pondtiller.steplog.disk_format import MAGIC
from pondtiller.steplog.disk_format import encode as encode_record
from pondtiller.steplog.replica import Replica
from pondtiller.wire.steplog import DiskRecord, GroupMember

KEPT = Path(__file__).resolve().parent / "kept_forms"
FRAMES = [
    json.loads(line)
    for name in ("frames.jsonl", "frames-stalled-runner.jsonl")
    for line in (KEPT / name).read_text().splitlines()
]
CALL = 7


def kept_json(name: str) -> Any:
    return json.loads((KEPT / name).read_text())


@pytest.mark.parametrize("kept", FRAMES, ids=[each["type"] for each in FRAMES])
def test_a_frame_survives_reading_and_writing_with_each_field(kept: dict[str, Any]) -> None:
    data = bytes.fromhex(kept["frame"])
    (frame,) = FrameReader().feed(data)
    assert type(frame.message).__name__ == kept["type"]
    assert (frame.call, frame.is_reply) == (CALL, True)
    read = frame.message.to_dict(include_default_values=True)
    assert {name: read[name] for name in kept["fields"]} == kept["fields"]
    # The frame contained nothing else: a later field has its default.
    assert set(frame.message.to_dict()) <= set(kept["fields"])
    assert encode(encode_message(frame.message), CALL, is_reply=True) == data


def read_records(folder: Path) -> list[DiskRecord]:
    shutil.copy(KEPT / "steps.log", folder / FILE_NAME)
    file = LogFile(folder)
    records = file.read()
    file.close()
    return records


def test_a_replicas_file_survives_reading_and_writing_record_by_record(tmp_path: Path) -> None:
    records = read_records(tmp_path)
    assert [each.to_dict(include_default_values=True) for each in records] == kept_json(
        "steps.json"
    )
    assert MAGIC + b"".join(map(encode_record, records)) == (KEPT / "steps.log").read_bytes()


def test_a_replica_restores_from_a_kept_file_what_it_restored_before(tmp_path: Path) -> None:
    replica = Replica(GroupMember(name="r", disk="d"), may_form=True, started_at=0.0)
    for record in read_records(tmp_path):
        replica.restore(record)
    entries = {key: [each.epoch, each.value.hex()] for key, each in replica.entries.items()}
    kept = kept_json("steps-restored.json")
    assert entries == kept["entries"]
    assert (replica.promised, replica.promised_to) == (kept["promised"], kept["promised_to"])


def stored(name: str, spec: Any, status: Any = None) -> StoreObject:
    return StoreObject(name=name, revision=1, spec=spec, status=status)


def test_our_objects_in_the_store_survive_reading_and_writing() -> None:
    kept = kept_json("objects.json")
    group = objects.read_group(stored("first", kept["group"]))
    assert group is not None
    assert objects.group_spec(group) == kept["group"]
    assert objects.replica_spec(group.members[0]) == kept["replica"]
    suspect = objects.read_suspect(stored("ab12", kept["suspect"]))
    assert suspect == Suspect("ab12", frozenset({"e1@5", "e2@9"}), 1234.5)
    assert objects.suspect_spec(suspect) == kept["suspect"]
    assert objects.is_retired(stored("x", {}, kept["retired"]))
    assert not objects.is_retired(stored("x", {}, kept["retiring"]))


@pytest.mark.parametrize(
    ("name", "model"),
    [
        ("gateway", GatewaySettings),
        ("gateway-news", GatewaySettings),
        ("replica", ReplicaSettings),
    ],
)
def test_settings_that_name_each_key_are_read_as_before(name: str, model: Any) -> None:
    settings = load_toml(KEPT / f"{name}.toml", model).unwrap()
    read, kept = settings.model_dump(mode="json"), kept_json(f"{name}-settings.json")
    assert {key: read[key] for key in kept} == kept
    # A section added later has its default.
    for key in read.keys() - kept.keys():
        assert getattr(settings, key) == model.model_fields[key].get_default()
