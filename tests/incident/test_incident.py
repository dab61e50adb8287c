"""The story of scripted days: every named thing told, in the right order, nothing invented, each with its
records."""

from __future__ import annotations

import json
import re
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

import pytest

from emulators.recorded_incidents import BEGIN, Day, Trouble, draw, play
from snowthread.incident.clocks import Clocks
from snowthread.incident.episodes import CAUSES, TURNED_AWAY, Episode
from snowthread.incident.report import Report
from snowthread.incident.series import build
from snowthread.incident.timeline import Timeline, before, build_timeline, causes
from snowthread.records.frame import encode
from snowthread.records.model import Record
from snowthread.records.reader import Findings, merge
from snowthread.records.writer import SUFFIX

ROOT = Path(__file__).parents[2]


def story(day: Day) -> tuple[Timeline, Clocks]:
    clocks = Clocks()
    for records in day.records.values():
        for record in records:
            clocks.take(record)
    clocks.fit()
    return build_timeline(
        build((r for records in day.records.values() for r in records), clocks), clocks
    ), clocks


def named(told: Timeline) -> list[Episode]:
    return [s.episode for s in told.sentences if s.kind in CAUSES]


def write(day: Day, folder: Path) -> None:
    for name, records in day.records.items():
        (folder / f"{name}-1-00-000001{SUFFIX}").write_bytes(b"".join(encode(r) for r in records))


KNOWN = (
    Trouble("slow database", 60.0, 20.0, 6.0),
    Trouble("rolling deploy", 110.0, 20.0, 5.0, (0, 1, 2, 3)),
    Trouble("crash", 150.0, 12.0, 1.0, (2,)),
)


@pytest.mark.parametrize("seed", range(6))
def test_a_known_story_is_told_in_its_order_with_clocks_3_s_apart(seed: int) -> None:
    day = play(seed, troubles=KNOWN, offset_ms=3000.0, drift_ppm=200.0)
    told, _ = story(day)
    assert [e.kind for e in named(told)] == ["slow database", "rolling deploy", "crash"]
    for episode, truth in zip(named(told), KNOWN, strict=True):
        error = episode.start - (BEGIN + truth.start) * 1000.0
        assert abs(error) <= 2500.0, (episode, error)
    assert before(named(told)[0], named(told)[1]) is True
    assert named(told)[1].nodes == ("n0", "n1", "n2", "n3") and named(told)[2].nodes == ("n2",)


def test_every_sentence_rests_on_records_that_are_there() -> None:
    day = play(3, troubles=KNOWN)
    told, _ = story(day)
    there = {r.key: r for records in day.records.values() for r in records}
    assert told.sentences
    for sentence in told.sentences:
        assert sentence.cites and all(key in there for key in sentence.cites), sentence
    crash = next(s for s in told.sentences if s.kind == "crash")
    assert there[crash.cites[1]].kind == "start"
    for number in re.findall(r"[0-9]+ nodes", " ".join(s.text for s in told.sentences)):
        assert number == "4 nodes"


def test_quiet_days_make_no_incident() -> None:
    invented = {
        seed: [s.text for s in told.sentences]
        for seed in range(100)
        if (told := story(play(seed, nodes=3, seconds=120))[0]).sentences or not told.quiet
    }
    assert not invented


def score(seeds: Sequence[int]) -> tuple[int, int, int]:
    """Told and true, told and not true, true and not told."""
    hits = invented = missed = 0
    for seed in seeds:
        troubles = draw(seed)
        told, _ = story(play(seed, seconds=240, troubles=troubles))
        kinds = [e.kind for e in named(told)]
        for t in troubles:
            if t.kind in kinds:
                kinds.remove(t.kind)
                hits += 1
            else:
                missed += 1
        invented += len(kinds)
    return hits, invented, missed


def test_drawn_days_with_several_troubles_at_once() -> None:
    hits, invented, missed = score(range(25))
    assert invented == 0 and hits / (hits + missed) > 0.9


def test_two_troubles_whose_effects_look_alike_are_both_named_and_none_is_blamed() -> None:
    both = (
        Trouble("slow database", 60.0, 25.0, 8.0),
        Trouble("rolling deploy", 59.0, 20.0, 5.0, (0, 1, 2, 3)),
    )
    told, _ = story(play(5, troubles=both))
    (effect,) = [s for s in told.sentences if s.kind == TURNED_AWAY][:1]
    assert "slow database" in effect.text and "rolling deploy" in effect.text
    assert "do not tell which" in effect.text
    alone, _ = story(play(5, troubles=both[:1]))
    effect = next(s for s in alone.sentences if s.kind == TURNED_AWAY)
    assert "slow database" in effect.text and "do not tell" not in effect.text


def test_nothing_is_put_down_to_what_came_after_it() -> None:
    effect = Episode(TURNED_AWAY, 50_000.0, 60_000.0, 500.0, (), 10.0, "", ())
    later = Episode("traffic jump", 55_000.0, 60_000.0, 500.0, (), 2.0, "", ())
    earlier = Episode("crash", 30_000.0, 40_000.0, 500.0, (), 1.0, "", ())
    near = Episode("slow database", 50_800.0, 60_000.0, 500.0, (), 3.0, "", ())
    assert causes(effect, [later, earlier, near, effect]) == [near]
    assert before(effect, near) is None and before(earlier, effect) is True


@pytest.mark.parametrize("seed", range(8))
def test_offsets_and_drifts_are_found_within_their_bounds(seed: int) -> None:
    day = play(seed, nodes=5, seconds=300, offset_ms=3000.0, drift_ppm=200.0)
    _, clocks = story(day)
    pieces = list(clocks.offsets.items())
    first, base = pieces[0]
    for piece, found in pieces[1:]:  # what counts is how far two nodes are apart
        offset, drift = (a - b for a, b in zip(day.offsets[piece.node], day.offsets[first.node], strict=True))
        truth = offset + drift * 1e-3 * (found.at / 1000.0 - BEGIN)
        error = found.offset_ms - base.offset_ms - truth
        assert abs(error) <= found.bound_ms + base.bound_ms, (piece, error, found, base)
        assert abs(found.drift_ppm - base.drift_ppm - drift) < 40.0
        assert found.bound_ms < 100.0 and found.group == base.group


def test_a_clock_that_steps_back_begins_a_new_piece() -> None:
    day = play(2, nodes=3, seconds=240)
    moved = [
        Record(
            r.node,
            r.boot,
            r.number,
            r.at - (8000.0 if r.number > 120 else 0.0),
            r.kind,
            r.fields
            | (
                {"floors": {k: v - 8000.0 for k, v in r.fields["floors"].items()}}
                if r.number > 120 and r.kind == "second"
                else {}
            ),
        )
        for r in day.records["n1"]
    ]
    day.records["n1"] = moved
    told, clocks = story(day)
    parts = {p.part: o for p, o in clocks.offsets.items() if p.node == "n1"}
    assert set(parts) == {0, 1} and abs(parts[0].offset_ms - parts[1].offset_ms - 8000.0) < 100.0
    assert not told.sentences


def test_what_nothing_links_is_not_ordered_and_says_so() -> None:
    day = play(1, nodes=2, seconds=120, troubles=(Trouble("crash", 60.0, 10.0, 1.0, (0,)),))
    for record in day.records["n1"]:
        if "floors" in record.fields:
            record.fields["floors"] = {k + 100: v for k, v in record.fields["floors"].items()}
    told, clocks = story(day)
    assert len({o.group for o in clocks.offsets.values()}) == 2
    assert any("linked by nothing" in line for line in told.unknown)


def test_a_node_without_records_and_cut_files_are_no_end(tmp_path: Path) -> None:
    write(play(4, troubles=KNOWN), tmp_path)
    (tmp_path / f"n9-1-aa-000001{SUFFIX}").write_bytes(b"")
    path = next(tmp_path.glob("n1-*"))
    path.write_bytes(path.read_bytes()[:-9])
    made = Report([tmp_path])
    assert [s.kind for s in made.story.sentences if s.kind in CAUSES] == [t.kind for t in KNOWN]
    assert made.findings.spoilt
    empty = tmp_path / "empty"
    empty.mkdir()
    nothing = Report([empty])
    assert nothing.story.quiet and "Nothing out of the ordinary" in nothing.html()


def test_markup_in_names_and_texts_never_runs(tmp_path: Path) -> None:
    evil = "<script>alert(1)</script>"
    day = play(1, nodes=2, seconds=120, troubles=(Trouble("crash", 60.0, 10.0, 1.0, (0,)),))
    renamed = {
        evil: [
            Record(evil, r.boot, r.number, r.at, r.kind, r.fields | {"text": evil}) for r in day.records["n0"]
        ],
        "n1": day.records["n1"],
    }
    for n, records in enumerate(renamed.values()):
        (tmp_path / f"x{n}-1-00-000001{SUFFIX}").write_bytes(b"".join(encode(r) for r in records))
    page = Report([tmp_path]).html()
    assert evil not in page and "&lt;script&gt;" in page
    assert not re.search(r"<script|src=|javascript:|onload=|<link", page.replace("&lt;script", ""))


def test_the_page_needs_nothing_else_and_the_json_says_the_same(tmp_path: Path) -> None:
    write(play(4, troubles=KNOWN), tmp_path)
    out = tmp_path / "report.html"
    done = subprocess.run(
        [sys.executable, "-m", "snowthread", "report", str(tmp_path), "-o", str(out)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 0 and "times their usual length" in done.stdout
    page, plain = out.read_text(), json.loads(out.with_suffix(".json").read_text())
    links = re.findall(r'https?://[^"\s<>)]+', page)
    assert all(link.startswith(("http://www.w3.org/",)) for link in links), links
    assert page.count("<svg") == 6 and "prefers-color-scheme" in page and "@media print" in page
    texts = [s["text"] for s in plain["sentences"]]
    assert texts and all(text.replace("&", "&amp;") in page for text in texts)
    assert all(s["cites"] for s in plain["sentences"])


def test_reading_twice_tells_the_same(tmp_path: Path) -> None:
    write(play(7, troubles=draw(7)), tmp_path)
    assert Report([tmp_path]).plain() == Report([tmp_path, tmp_path]).plain()
    assert len(list(merge([tmp_path], Findings()))) > 0
