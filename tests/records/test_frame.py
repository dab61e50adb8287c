"""Records' bytes and files: cut at every byte, flipped at every byte, doubled, out of order, rotated."""

from __future__ import annotations

import errno
import os
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from snowthread.records.frame import PAYLOAD_MAX, InvalidFrame, Reader, encode
from snowthread.records.model import Record
from snowthread.records.outbox import Outbox
from snowthread.records.reader import Findings, merge
from snowthread.records.retention import Retention, Segment, full, surplus
from snowthread.records.writer import SUFFIX, Files

T = 1_800_000_000_000.0


def record(
    number: int, node: str = "n1", boot: str = "b0", at: float | None = None, **fields: object
) -> Record:
    return Record(node, boot, number, T + number * 1000.0 if at is None else at, "note", fields)


THREE = [record(1, text="one"), record(2, text="zwei ü", deep={"a": [1, 2.5, None]}), record(3)]
WIRE = b"".join(encode(r) for r in THREE)


def read(data: bytes) -> tuple[list[Record], list[InvalidFrame]]:
    reader = Reader()
    got = reader.feed(data) + reader.end()
    return [r for r in got if isinstance(r, Record)], [b for b in got if isinstance(b, InvalidFrame)]


def test_records_come_back_as_they_were() -> None:
    assert read(WIRE) == (THREE, [])


def test_a_cut_at_any_byte_costs_the_cut_record_only() -> None:
    ends = [len(encode(THREE[0])), len(encode(THREE[0])) + len(encode(THREE[1])), len(WIRE)]
    for size in range(len(WIRE)):
        records, bad = read(WIRE[:size])
        whole = sum(end <= size for end in ends)
        assert records == THREE[:whole]
        assert sum(b.size for b in bad) == size - ([0, *ends][whole])


def test_a_flipped_byte_costs_its_own_record_only() -> None:
    for at in range(len(WIRE)):
        spoilt = bytearray(WIRE)
        spoilt[at] ^= 0x5A
        records, bad = read(bytes(spoilt))
        hit = 0 if at < len(encode(THREE[0])) else 1 if at < len(WIRE) - len(encode(THREE[2])) else 2
        assert records == [r for n, r in enumerate(THREE) if n != hit], at
        assert bad


@given(st.binary(max_size=400), st.lists(st.integers(0, 500), max_size=5))
@settings(max_examples=150, deadline=None)
def test_garbage_between_records_and_any_split_lose_none_of_them(noise: bytes, cuts: list[int]) -> None:
    data = encode(THREE[0]) + noise + encode(THREE[1])
    reader, got = Reader(), []
    at = sorted(min(c, len(data)) for c in cuts)
    for a, b in zip([0, *at], [*at, len(data)], strict=True):
        got += reader.feed(data[a:b])
    got += reader.end()
    assert [r for r in got if isinstance(r, Record)] == THREE[:2]
    assert sum(b.size for b in got if isinstance(b, InvalidFrame)) == len(noise)


def test_a_length_that_claims_too_much_is_not_waited_for() -> None:
    huge = b"\xb7R" + (PAYLOAD_MAX + 1).to_bytes(4, "little") + b"\0\0\0\0"
    assert read(huge + WIRE)[0] == THREE
    with pytest.raises(ValueError, match="at most"):
        encode(record(1, text="x" * PAYLOAD_MAX))


def test_older_and_newer_formats_are_read_as_far_as_they_are_known(monkeypatch: pytest.MonkeyPatch) -> None:
    for version in (0, 7):
        monkeypatch.setattr("snowthread.records.frame.FORMAT", version)
        assert read(encode(THREE[1])) == ([THREE[1]], [])


def write(folder: Path, name: str, *records: Record) -> Path:
    path = folder / f"{name}{SUFFIX}"
    path.write_bytes(b"".join(encode(r) for r in records))
    return path


def test_nodes_are_merged_by_time_copies_dropped_and_holes_told(tmp_path: Path) -> None:
    write(tmp_path, "n1-1-aa-000001", *(record(n, "n1", "aa") for n in (1, 2)))
    write(tmp_path, "n1-1-aa-000002", *(record(n, "n1", "aa") for n in (3, 6)))
    write(tmp_path, "copy", *(record(n, "n1", "aa") for n in (2, 3)))
    write(tmp_path, "n2-1-bb-000001", *(record(n, "n2", "bb", T + 1500.0 * n) for n in (1, 2, 3)))
    findings = Findings()
    got = list(merge([tmp_path], findings))
    assert [r.at for r in got] == sorted(r.at for r in got) and len(got) == 7
    assert findings.copies == 2
    assert [(h.boot, h.after, h.count) for h in findings.holes] == [("aa", 3, 2)]


def test_a_clock_set_back_keeps_a_nodes_records_in_their_order(tmp_path: Path) -> None:
    times = [T, T + 1000.0, T - 600_000.0, T - 599_000.0]
    write(tmp_path, "n1-1-aa-000001", *(record(n + 1, at=at) for n, at in enumerate(times)))
    write(tmp_path, "n2-1-bb-000001", record(1, "n2", "bb", T + 500.0), record(2, "n2", "bb", T + 2000.0))
    got = [(r.node, r.number) for r in merge([tmp_path], Findings())]
    assert got == [("n1", 1), ("n2", 1), ("n1", 2), ("n1", 3), ("n1", 4), ("n2", 2)]


def test_a_spoilt_file_and_one_that_is_gone_cost_themselves_only(tmp_path: Path) -> None:
    path = write(tmp_path, "n1-1-aa-000001", *THREE)
    data = path.read_bytes()
    path.write_bytes(data[:20] + b"\xff" * 4 + data[24:])
    (tmp_path / f"noise{SUFFIX}").write_bytes(os.urandom(5000))
    findings = Findings()
    assert len(list(merge([tmp_path, tmp_path / "none"], findings))) == 2
    assert findings.unreadable and len(findings.spoilt) >= 2


RULES = Retention(file_bytes=1000, file_ms=10_000.0, total_bytes=3000, keep_ms=60_000.0)


def test_when_a_file_is_full_and_which_go() -> None:
    assert not full(0, 0.0, 1e9, 5000, RULES) and full(900, 0.0, 1.0, 101, RULES)
    assert full(1, 0.0, 10_000.0, 1, RULES) and not full(1, 5_000.0, 0.0, 1, RULES)
    segments = [Segment(f"s{n}", 1000, n * 1000.0) for n in range(6)]
    assert surplus(segments, "s5", 6_000.0, RULES) == ["s0", "s1", "s2"]
    assert surplus(segments[:2], "s1", 61_000.0, RULES) == ["s0"]
    assert surplus([Segment("s", 9000, 0.0)], "s", 1e9, RULES) == []


def test_files_rotate_within_their_total_and_leave_other_nodes_alone(tmp_path: Path) -> None:
    other = write(tmp_path, "n2-1-bb-000001", record(1, "n2", "bb"))
    files = Files(tmp_path, "n1", "b0", replace(RULES, keep_ms=1e15))
    for n in range(1, 200):
        files.append(encode(record(n, text="x" * 60)), 1, T + n)
    files.close()
    mine = sorted(tmp_path.glob(f"n1-*{SUFFIX}"))
    assert sum(p.stat().st_size for p in mine) <= RULES.total_bytes + RULES.file_bytes
    assert other.exists()
    findings = Findings()
    numbers = [r.number for r in merge(mine, findings)]
    assert numbers == list(range(numbers[0], 200)) and len(findings.holes) == 1


def test_names_that_begin_alike_or_hold_a_path_stay_apart(tmp_path: Path) -> None:
    theirs = Files(tmp_path, "n1-5", "ab", replace(RULES, keep_ms=1e15))
    theirs.append(encode(record(1, "n1-5", "ab", text="x" * 900)), 1, T)
    theirs.close()
    for n in range(1, 60):
        mine = Files(tmp_path, "n1", "cd", RULES)
        mine.append(encode(record(n, boot="cd", text="x" * 900)), 1, T + n)
        mine.close()
    kept = [r for r in merge([tmp_path], Findings()) if r.node == "n1-5"]
    assert len(kept) == 1
    away = Files(tmp_path / "in", "../../out", "ef", Retention(keep_ms=1e15))
    away.append(encode(record(1, "../../out", "ef")), 1, T)
    away.close()
    assert [p.parent.name for p in tmp_path.rglob(f"*out*{SUFFIX}")] == ["in"]


def test_a_full_disk_is_told_once_there_is_space_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    files, real = Files(tmp_path, "n1", "b0", Retention(keep_ms=1e15)), os.write  # files' own times are real
    files.append(encode(record(1)), 1, T)

    def full_disk(fd: int, data: bytes) -> int:
        if len(data) > 20:
            return real(fd, data[:20])  # a torn frame, then nothing
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as patched:
        patched.setattr(os, "write", full_disk)
        for n in (2, 3, 4):
            files.append(encode(record(n)), 1, T + n * 300.0)
    files.append(encode(record(5)), 1, T + 10_000.0)
    files.close()
    findings = Findings()
    got = list(merge([tmp_path], findings))
    assert [r.number for r in got if r.kind == "note"] == [1, 5]
    assert [(r.fields["lost"], r.fields["why"]) for r in got if r.kind == "gap"] == [
        (3, "No space left on device")
    ]
    assert findings.spoilt and [(h.after, h.count) for h in findings.holes] == [(1, 3)]


def test_an_unwritable_folder_is_no_end(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    files = Files(tmp_path / "file" / "folder", "n1", "b0", Retention(keep_ms=1e15))
    files.append(encode(record(1)), 1, T)
    (tmp_path / "file").unlink()
    files.append(encode(record(2)), 1, T + 500.0)  # too soon after the refusal to ask again
    files.append(encode(record(3)), 1, T + 2000.0)
    files.close()
    got = list(merge([tmp_path], Findings()))
    assert [(r.kind, r.number, r.fields.get("lost")) for r in got] == [("gap", -1, 2), ("note", 3, None)]


def test_what_waits_is_bounded_and_what_is_dropped_is_counted() -> None:
    box = Outbox(100)
    assert [box.add(b"x" * 40) for _ in range(4)] == [True, True, False, False]
    assert box.owed() == 2 and box.owed() == 0 and box.dropped_ever == 2
    assert box.first() == b"x" * 40
    box.sent()
    assert box.size == 40 and box.add(b"y" * 60) and not box.add(b"z")
