"""The reader: records merged by time, duplicates dropped, gaps and corrupt frames reported."""

from __future__ import annotations

import os
from pathlib import Path

from support.record_files import START_MS, note, write_records

from snowthread.records.files import RECORD_FILE_SUFFIX
from snowthread.records.reader import Findings, merge_records


def test_nodes_are_merged_by_time_duplicates_dropped_and_gaps_reported(tmp_path: Path) -> None:
    write_records(tmp_path, "n1-1-aa-000001", [note(number, "n1", "aa") for number in (1, 2)])
    write_records(tmp_path, "n1-1-aa-000002", [note(number, "n1", "aa") for number in (3, 6)])
    write_records(tmp_path, "copy", [note(number, "n1", "aa") for number in (2, 3)])
    other = [note(number, "n2", "bb", START_MS + 1500.0 * number) for number in (1, 2, 3)]
    write_records(tmp_path, "n2-1-bb-000001", other)
    findings = Findings()
    records = list(merge_records([tmp_path], findings))
    times = [record.at_ms for record in records]
    assert times == sorted(times) and len(records) == 7
    assert findings.duplicates == 2
    assert [(gap.boot, gap.last_number, gap.count) for gap in findings.gaps] == [("aa", 3, 2)]


def test_a_clock_set_back_keeps_a_nodes_records_in_their_order(tmp_path: Path) -> None:
    times = [START_MS, START_MS + 1000.0, START_MS - 600_000.0, START_MS - 599_000.0]
    write_records(
        tmp_path, "n1-1-aa-000001", [note(number, at_ms=at_ms) for number, at_ms in enumerate(times, 1)]
    )
    other = [note(1, "n2", "bb", START_MS + 500.0), note(2, "n2", "bb", START_MS + 2000.0)]
    write_records(tmp_path, "n2-1-bb-000001", other)
    order = [(record.node, record.number) for record in merge_records([tmp_path], Findings())]
    assert order == [("n1", 1), ("n2", 1), ("n1", 2), ("n1", 3), ("n1", 4), ("n2", 2)]


def test_a_corrupt_file_and_a_missing_one_affect_no_other_file(tmp_path: Path) -> None:
    path = write_records(tmp_path, "n1-1-aa-000001", [note(1, text="one"), note(2, text="two"), note(3)])
    data = path.read_bytes()
    path.write_bytes(data[:20] + b"\xff" * 4 + data[24:])
    (tmp_path / f"noise{RECORD_FILE_SUFFIX}").write_bytes(os.urandom(5000))
    findings = Findings()
    assert len(list(merge_records([tmp_path, tmp_path / "none"], findings))) == 2
    assert findings.unreadable and len(findings.corrupt_frames) >= 2
