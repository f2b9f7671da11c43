"""Tests of the files of drains: state file, high-water mark, admission record and stored records."""

import json
from pathlib import Path

import msgspec
import pytest
from drains_support import FLOORS

from gaugehinge.drains.admission_record import AdmissionRecord
from gaugehinge.drains.api_types import LimitUpdate
from gaugehinge.drains.high_water_mark import HighWaterMarkFile, in_memory
from gaugehinge.drains.lease_types import DurableState, NodeRecord
from gaugehinge.drains.messages import ControlPlaneReply, RouterReport
from gaugehinge.drains.node_file import NodeFile, NodeFileLockedError, NodeState
from gaugehinge.drains.repository import LIMIT, NODE, RESTART, STATE, STEP, LimitRecord
from gaugehinge.drains.restart_records import RestartStep, RollingRestart
from gaugehinge.store.records import encode


def test_a_state_file_is_locked_by_one_process_and_quarantined_when_truncated(tmp_path, caplog):
    path = str(tmp_path / "node")
    first = NodeFile(path)
    with pytest.raises(NodeFileLockedError):
        NodeFile(path)
    assert first.save(
        msgspec.structs.replace(first.state, admitted_by="life", floors=FLOORS, close_timeout=3.0)
    )
    first.close()
    second = NodeFile(path)
    assert (second.state.ident, second.state.run_number, second.state.admitted_by) == (
        first.state.ident,
        2,
        "life",
    )
    second.close()
    Path(path).write_bytes(Path(path).read_bytes()[:-5])
    third = NodeFile(path)
    assert (
        third.state.ident != first.state.ident
        and not third.state.admitted_by
        and (tmp_path / "node.bad").exists()
    )
    third.close()
    (tmp_path / "a file").write_text("")
    assert not NodeFile(str(tmp_path / "a file" / "node")).save(third.state), (
        "an unwritable state file makes a new node that is not stored"
    )


def test_the_high_water_mark_must_be_in_memory_intact_and_recent(tmp_path, caplog):
    mounts = tmp_path / "mounts"
    mounts.write_text(f"tmpfs {tmp_path} tmpfs rw 0 0\n/dev/sda / ext4 rw 0 0\n")
    assert in_memory(tmp_path, mounts) and not in_memory(tmp_path / "x", mounts)
    assert HighWaterMarkFile.for_store(tmp_path / "s.db", tmp_path / "x").path is None
    mark, digests = HighWaterMarkFile(tmp_path / "mark"), {7: "aa", 8: "bb"}.get
    assert not mark.covers("life", digests, 10.0, 3.0), "there is no file"
    assert mark.advance("life", 7, digests, True, 10.0)
    assert mark.covers("life", digests, 12.9, 3.0) and not mark.covers("life", digests, 13.0, 3.0)
    assert not mark.covers("other", digests, 11.0, 3.0) and not mark.covers("life", {7: "cc"}.get, 11.0, 3.0)
    assert not mark.covers("life", digests, 9.0, 3.0), (
        "written later than now: on a machine with a longer uptime"
    )
    assert mark.advance("life", 8, digests, False, 11.0) and not mark.covers("life", digests, 11.0, 3.0)
    assert mark.advance("life", 8, digests, True, 11.0)
    intact = mark.path.read_bytes()
    for corrupt in (intact[:40], intact.replace(b"bb", b"aa"), b""):
        mark.path.write_bytes(corrupt)
        assert not mark.covers("life", digests, 11.0, 3.0)
    mark.path.unlink()
    mark.path.mkdir()  # can neither be written nor removed
    assert not mark.advance("life", 9, {9: "dd"}.get, True, 12.0)
    mark.path.rmdir()
    assert mark.advance("life", 9, {9: "dd"}.get, True, 12.0)


# -- files, rows and messages written by the previous version


DATA = Path(__file__).parent / "data" / "drains-2f1733f"


def test_a_state_file_of_the_previous_version_round_trips(tmp_path):
    path = tmp_path / "node"
    written = (DATA / "node-file").read_bytes()
    path.write_bytes(written)
    file = NodeFile(str(path))
    floors = {"origin": 4, "servers": 2, "slow-7": 1}
    expected = NodeState("0123456789abcdef", 8, "life-1", floors, "roll-000003-abcd.back", 20.0)
    assert file.state == expected
    assert file.save(msgspec.structs.replace(expected, run_number=7))
    file.close()
    assert path.read_bytes() == written


def test_a_high_water_mark_of_the_previous_version_round_trips(tmp_path):
    path = tmp_path / "mark"
    written = (DATA / "high-water-mark").read_bytes()
    path.write_bytes(written)
    digest_of = {42: "c0ffee"}.get
    file = HighWaterMarkFile(path)
    assert file.covers("life-1", digest_of, 1003.0, 3.0) and not file.covers("life-1", digest_of, 1003.5, 3.0)
    path.unlink()
    assert file.advance("life-1", 42, digest_of, True, 1000.5)
    assert path.read_bytes() == written


def test_an_admission_record_of_the_previous_version_round_trips(tmp_path):
    written = (DATA / "store.db.drains").read_bytes()
    record = AdmissionRecord(tmp_path / "store.db")
    record.path.write_bytes(written)

    def suspension_reason(incarnation, admissions):
        state = DurableState(admissions=admissions)
        return record.suspension_reason(incarnation, state, store_is_empty=False, new_installation=False)

    assert not suspension_reason("life-1", 3)
    assert "3 nodes were admitted, this store knows of 2" in suspension_reason("life-1", 2)
    assert suspension_reason("life-2", 3) == "another store stood here"
    record.path.unlink()
    record.write("life-1", 3)
    assert record.path.read_bytes() == written


@pytest.mark.parametrize(
    ("kind", "record_type"),
    [
        (LIMIT, LimitRecord),
        (LIMIT, LimitUpdate),
        (NODE, NodeRecord),
        (STATE, DurableState),
        (RESTART, RollingRestart),
        (STEP, RestartStep),
    ],
)
def test_rows_of_the_previous_version_round_trip(kind, record_type):
    body = json.loads((DATA / "rows.json").read_text())[kind].encode()
    assert encode(msgspec.json.decode(body, type=record_type)) == body


@pytest.mark.parametrize(("name", "message_type"), [("report", RouterReport), ("reply", ControlPlaneReply)])
def test_messages_of_the_previous_version_round_trip(name, message_type):
    body = json.loads((DATA / "messages.json").read_text())[name].encode()
    assert msgspec.json.encode(msgspec.json.decode(body, type=message_type)) == body
