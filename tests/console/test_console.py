"""The console: what it shows of a fleet, at 80 columns, piped, of many nodes, and while files grow."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from emulators.recorded_incidents import Trouble, TroubleKind, record_day
from snowthread.console.model import LINES_MOST, SORTS, Fleet
from snowthread.console.screen import Look, text
from snowthread.console.tail import Tail
from snowthread.records.frame import encode
from snowthread.records.model import Record
from snowthread.records.writer import SUFFIX

ROOT = Path(__file__).parents[2]
T = 1_800_000_000_000.0


def second(node: str, number: int, at: float, **counts: int) -> Record:
    return Record(
        node,
        "b",
        number,
        at,
        "second",
        {
            "ms": 1000.0,
            "totals": [["match", "farbhof", counts]],
            "b": 0.25,
            "held": 3,
            "running": 4,
            "calls": {"success": [4, 20, 30, 40], "timed_out": [1, 100, 100, 100]},
            "memory_mb": 23.6,
        },
    )


def test_a_nodes_states_and_figures() -> None:
    fleet = Fleet()
    fleet.take(Record("n1", "b", 1, T, "start", {"version": "1"}))
    fleet.take(second("n1", 2, T + 1000.0, read=10, served=7, refused=2, refused_held=1))
    fleet.take(second("n2", 1, T + 1000.0, read=4, served=4))
    view = fleet.nodes["n1"]
    assert (view.read, view.good, view.refused, view.aim, view.call_ms) == (10, 7, 3, 0.7, 36.0)
    assert fleet.totals() == (14, 11, 3, 0) and view.reasons == {"as read": 2, "held": 1}
    fleet.take(Record("n1", "b", 3, T + 1500.0, "drain", {"left_ms": 900.0}))
    assert fleet.state(view) == "leaving"
    fleet.take(Record("n1", "b", 4, T + 2000.0, "end", {"how": "left", "seconds": 2.0}))
    fleet.take(second("n3", 1, T + 9000.0, read=1))
    assert fleet.state(view) == "left" and fleet.state(fleet.nodes["n2"]) == "silent"
    fleet.take(Record("n1", "c", 1, T + 9500.0, "start", {"version": "1"}))
    assert fleet.state(view) == "up"
    assert [line.text.split(",")[0] for line in fleet.lines][:2] == ["started", "told to leave"]


@pytest.mark.parametrize("width", [80, 100, 200])
def test_it_fits_its_columns_and_shows_markup_as_it_is(width: int) -> None:
    fleet = Fleet()
    for n in range(12):
        fleet.take(second(f"[red]a-node-with-a-long-name-{n}[/red]", 1, T, read=5, served=5))
        fleet.take(Record(f"n{n}", "b", 1, T, "note", {"text": "[bold]x[/bold] " + "y" * 300}))
    picture = text(fleet, Look(), width, 30)
    assert max(len(line) for line in picture.splitlines()) <= width
    assert "[red]a-node" in picture and "[bold]x[/bold]" in picture and "\x1b" not in picture
    assert "as read" not in picture and "tenants: farbhof 60/s" in picture


def test_thousands_of_nodes_by_page_sort_and_filter() -> None:
    fleet = Fleet()
    for n in range(6000):
        fleet.take(second(f"n{n:04d}", 1, T + n % 3, read=n % 50, served=0, refused=n % 7))
    assert len(fleet.nodes) == 5000 and fleet.left_out == 1000
    assert "n0000" in text(fleet, Look(), 80, 24) and "n0000" not in text(fleet, Look(page=1), 80, 24)
    assert "n4999" in text(fleet, Look(page=10**6), 80, 24)
    assert [v.name for v in fleet.shown("node", "n499")][:2] == ["n4990", "n4991"]
    assert fleet.shown("read")[0].read == 49 and fleet.shown("refused")[0].refused == 6
    for sort in SORTS:
        assert len(fleet.shown(sort)) == 5000
    for n in range(3 * LINES_MOST):
        fleet.take(Record("n0001", "b", n + 2, T, "note", {"text": str(n)}))
    assert len(fleet.lines) == LINES_MOST
    assert str(3 * LINES_MOST - 1) in text(fleet, Look(), 80, 24)
    assert str(3 * LINES_MOST - 1) not in text(fleet, Look(scroll=500), 80, 24)


def test_a_growing_file_is_followed_frame_by_frame(tmp_path: Path) -> None:
    path = tmp_path / f"n1-1-aa-000001{SUFFIX}"
    frames = [encode(second("n1", n, T + n * 1000.0, read=n)) for n in range(1, 4)]
    tail = Tail([tmp_path, tmp_path / "none"])
    assert tail.poll() == []
    path.write_bytes(frames[0] + frames[1][:30])
    assert [r.number for r in tail.poll()] == [1]
    with path.open("ab") as file:
        file.write(frames[1][30:] + frames[2])
    assert [r.number for r in tail.poll()] == [2, 3] and tail.poll() == []
    path.unlink()
    assert tail.poll() == [] and not tail._files


def test_piped_it_prints_plain_text_once(tmp_path: Path) -> None:
    crash = Trouble(TroubleKind.CRASH, 40.0, 30.0, 1.0, (1,))
    day = record_day(1, seconds=60, troubles=(crash,), offset_ms=0.0)
    day.write(tmp_path)
    done = subprocess.run(
        [sys.executable, "-m", "snowthread", "console", "--sort", "state", str(tmp_path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 0 and "4 nodes" in done.stdout and "silent" in done.stdout
    assert "\x1b" not in done.stdout and max(map(len, done.stdout.splitlines())) <= 80
