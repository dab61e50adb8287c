"""The report: works with corrupt files, is self-contained, escapes all text, and agrees with its JSON."""

from __future__ import annotations

import json
import re
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

from support.incident_days import CONSECUTIVE_FAULTS, ONE_CRASH
from support.record_files import write_records

from emulators.recorded_incidents import draw_faults, generate_day
from snowthread.incident.episodes import INCIDENT_KINDS
from snowthread.incident.report import Report
from snowthread.records.files import RECORD_FILE_SUFFIX
from snowthread.records.reader import Findings, merge_records

ROOT = Path(__file__).parents[2]


def test_an_empty_file_and_a_truncated_file_do_not_change_the_incidents(tmp_path: Path) -> None:
    generate_day(4, faults=CONSECUTIVE_FAULTS).write(tmp_path)
    (tmp_path / f"n9-1-aa-000001{RECORD_FILE_SUFFIX}").write_bytes(b"")
    path = next(tmp_path.glob("n1-*"))
    path.write_bytes(path.read_bytes()[:-9])
    report = Report([tmp_path])
    kinds = [sentence.kind for sentence in report.timeline.sentences if sentence.kind in INCIDENT_KINDS]
    assert [kind.value for kind in kinds] == [fault.kind.value for fault in CONSECUTIVE_FAULTS]
    assert report.findings.corrupt_frames
    empty = tmp_path / "empty"
    empty.mkdir()
    nothing = Report([empty])
    assert nothing.timeline.quiet and "The records show no incidents." in nothing.html()


def test_markup_in_names_and_texts_is_escaped(tmp_path: Path) -> None:
    markup = "<script>alert(1)</script>"
    day = generate_day(1, nodes=2, seconds=120, faults=ONE_CRASH)
    renamed = [
        replace(record, node=markup, fields=record.fields | {"text": markup}) for record in day.records["n0"]
    ]
    write_records(tmp_path, "x0-1-00-000001", renamed)
    write_records(tmp_path, "x1-1-00-000001", day.records["n1"])
    page = Report([tmp_path]).html()
    assert markup not in page and "&lt;script&gt;" in page
    assert not re.search(r"<script|src=|javascript:|onload=|<link", page.replace("&lt;script", ""))


def test_the_page_is_self_contained_and_has_the_sentences_of_the_json(tmp_path: Path) -> None:
    generate_day(4, faults=CONSECUTIVE_FAULTS).write(tmp_path)
    output = tmp_path / "report.html"
    done = subprocess.run(
        [sys.executable, "-m", "snowthread", "report", str(tmp_path), "-o", str(output)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 0 and "times their usual duration" in done.stdout
    page, plain = output.read_text(), json.loads(output.with_suffix(".json").read_text())
    links = re.findall(r'https?://[^"\s<>)]+', page)
    assert all(link.startswith(("http://www.w3.org/",)) for link in links), links
    assert page.count("<svg") == 6 and "prefers-color-scheme" in page and "@media print" in page
    texts = [sentence["text"] for sentence in plain["sentences"]]
    assert texts and all(text.replace("&", "&amp;") in page for text in texts)
    assert all(sentence["cites"] for sentence in plain["sentences"])


def test_reading_the_same_records_twice_changes_nothing(tmp_path: Path) -> None:
    generate_day(7, faults=draw_faults(7)).write(tmp_path)
    assert Report([tmp_path]).to_dict() == Report([tmp_path, tmp_path]).to_dict()
    assert len(list(merge_records([tmp_path], Findings()))) > 0
