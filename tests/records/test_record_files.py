"""Record files: rotation, retention, disk errors, and the bounded queue in front of the writer."""

from __future__ import annotations

import errno
import os
from dataclasses import replace
from pathlib import Path

import pytest
from support.record_files import START_MS, note, write_records

from snowthread.records.files import RECORD_FILE_SUFFIX, RecordFiles
from snowthread.records.frame import encode_record
from snowthread.records.outbox import Outbox
from snowthread.records.reader import Findings, merge_records
from snowthread.records.retention import Retention, StoredFile, files_to_delete, is_full

RETENTION = Retention(file_bytes=1000, file_ms=10_000.0, total_bytes=3000, max_age_ms=60_000.0)
ANY_AGE_MS = 1e15  # no file is older, although the times in these tests are not those of the file system
ANY_AGE = replace(RETENTION, max_age_ms=ANY_AGE_MS)
UNBOUNDED = Retention(max_age_ms=ANY_AGE_MS)


def test_a_file_is_full_by_size_or_age() -> None:
    assert not is_full(0, 0.0, 1e9, 5000, RETENTION) and is_full(900, 0.0, 1.0, 101, RETENTION)
    assert is_full(1, 0.0, 10_000.0, 1, RETENTION) and not is_full(1, 5_000.0, 0.0, 1, RETENTION)


def test_the_oldest_files_are_deleted_but_never_the_current_one() -> None:
    stored_files = [StoredFile(f"s{number}", 1000, number * 1000.0) for number in range(6)]
    assert files_to_delete(stored_files, "s5", 6_000.0, RETENTION) == ["s0", "s1", "s2"]
    assert files_to_delete(stored_files[:2], "s1", 61_000.0, RETENTION) == ["s0"]
    assert files_to_delete([StoredFile("s", 9000, 0.0)], "s", 1e9, RETENTION) == []


def test_files_rotate_within_their_total_and_leave_other_nodes_alone(tmp_path: Path) -> None:
    other = write_records(tmp_path, "n2-1-bb-000001", [note(1, "n2", "bb")])
    files = RecordFiles(tmp_path, "n1", "b0", ANY_AGE)
    for number in range(1, 200):
        files.append(encode_record(note(number, text="x" * 60)), 1, START_MS + number)
    files.close()
    own = sorted(tmp_path.glob(f"n1-*{RECORD_FILE_SUFFIX}"))
    assert sum(path.stat().st_size for path in own) <= RETENTION.total_bytes + RETENTION.file_bytes
    assert other.exists()
    findings = Findings()
    numbers = [record.number for record in merge_records(own, findings)]
    assert numbers == list(range(numbers[0], 200)) and len(findings.gaps) == 1


def test_names_that_begin_alike_or_hold_a_path_stay_apart(tmp_path: Path) -> None:
    other = RecordFiles(tmp_path, "n1-5", "ab", ANY_AGE)
    other.append(encode_record(note(1, "n1-5", "ab", text="x" * 900)), 1, START_MS)
    other.close()
    for number in range(1, 60):
        own = RecordFiles(tmp_path, "n1", "cd", RETENTION)
        own.append(encode_record(note(number, boot="cd", text="x" * 900)), 1, START_MS + number)
        own.close()
    others = [record for record in merge_records([tmp_path], Findings()) if record.node == "n1-5"]
    assert len(others) == 1
    escaping = RecordFiles(tmp_path / "in", "../../out", "ef", UNBOUNDED)
    escaping.append(encode_record(note(1, "../../out", "ef")), 1, START_MS)
    escaping.close()
    assert [path.parent.name for path in tmp_path.rglob(f"*out*{RECORD_FILE_SUFFIX}")] == ["in"]


def test_records_lost_to_a_full_disk_are_reported_once_there_is_space(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    files = RecordFiles(tmp_path, "n1", "b0", UNBOUNDED)
    real_write = os.write
    files.append(encode_record(note(1)), 1, START_MS)

    def write_to_full_disk(fd: int, data: bytes) -> int:
        if len(data) > 20:
            return real_write(fd, data[:20])  # a partial frame is written, then the disk is full
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as patched:
        patched.setattr(os, "write", write_to_full_disk)
        for number in (2, 3, 4):
            files.append(encode_record(note(number)), 1, START_MS + number * 300.0)
    files.append(encode_record(note(5)), 1, START_MS + 10_000.0)
    files.close()
    findings = Findings()
    records = list(merge_records([tmp_path], findings))
    assert [record.number for record in records if record.kind == "note"] == [1, 5]
    gaps = [record.fields for record in records if record.kind == "gap"]
    assert [(fields["lost"], fields["why"]) for fields in gaps] == [(3, "No space left on device")]
    assert findings.corrupt_frames and [(gap.last_number, gap.count) for gap in findings.gaps] == [(1, 3)]


def test_an_unwritable_folder_is_tried_again_after_a_while(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    files = RecordFiles(tmp_path / "file" / "folder", "n1", "b0", UNBOUNDED)
    files.append(encode_record(note(1)), 1, START_MS)
    (tmp_path / "file").unlink()
    files.append(encode_record(note(2)), 1, START_MS + 500.0)  # too soon after the error to open a file again
    files.append(encode_record(note(3)), 1, START_MS + 2000.0)
    files.close()
    records = [
        (record.kind, record.number, record.fields.get("lost"))
        for record in merge_records([tmp_path], Findings())
    ]
    assert records == [("gap", -1, 2), ("note", 3, None)]


def test_the_outbox_is_bounded_and_counts_what_it_drops() -> None:
    outbox = Outbox(100)
    assert [outbox.add(b"x" * 40) for _ in range(4)] == [True, True, False, False]
    assert outbox.take_dropped() == 2 and outbox.take_dropped() == 0 and outbox.dropped_total == 2
    assert outbox.first() == b"x" * 40
    outbox.remove_first()
    assert outbox.size == 40 and outbox.add(b"y" * 60) and not outbox.add(b"z")
    assert not outbox.add(b"z" * 3, records=3) and outbox.take_dropped() == 1 + 3
