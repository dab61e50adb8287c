"""The console: its content at 80 columns, when piped, with many nodes, and while files grow."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from support.record_files import START_MS, note

from emulators.recorded_incidents import Fault, FaultKind, generate_day
from snowthread.console.live import apply_key
from snowthread.console.model import MAX_EVENT_LINES, Fleet
from snowthread.console.replay import Replay
from snowthread.console.screen import ViewOptions, render_text
from snowthread.console.sorting import SortOrder
from snowthread.console.tail import Tail
from snowthread.records.files import RECORD_FILE_SUFFIX
from snowthread.records.frame import encode_record
from snowthread.records.model import Record, RecordKind

ROOT = Path(__file__).parents[2]


def second(node: str, number: int, at: float = START_MS, **counts: int) -> Record:
    """Return a record of one second with these counts of requests."""
    fields = {
        "ms": 1000.0,
        "totals": [["match", "farbhof", counts]],
        "b": 0.25,
        "held": 3,
        "running": 4,
        "calls": {"success": [4, 20, 30, 40], "timed_out": [1, 100, 100, 100]},
        "memory_mb": 23.6,
    }
    return Record(node, "b", number, at, RecordKind.SECOND, fields)


def test_the_state_and_counts_of_a_node() -> None:
    fleet = Fleet()
    fleet.add(Record("n1", "b", 1, START_MS, "start", {"version": "1"}))
    fleet.add(second("n1", 2, START_MS + 1000.0, read=10, served=7, refused=2, refused_held=1))
    fleet.add(second("n2", 1, START_MS + 1000.0, read=4, served=4))
    view = fleet.nodes["n1"]
    assert (view.read, view.served_in_time, view.rejected) == (10, 7, 3)
    assert (view.share_in_time, view.call_ms) == (0.7, 36.0)
    assert fleet.totals() == (14, 11, 3, 0) and view.rejections_by_stage == {"on arrival": 2, "queued": 1}
    fleet.add(Record("n1", "b", 3, START_MS + 1500.0, "drain", {"left_ms": 900.0}))
    assert fleet.state(view) == "leaving"
    fleet.add(Record("n1", "b", 4, START_MS + 2000.0, "end", {"how": "left", "seconds": 2.0}))
    fleet.add(second("n3", 1, START_MS + 9000.0, read=1))
    assert fleet.state(view) == "left" and fleet.state(fleet.nodes["n2"]) == "silent"
    fleet.add(Record("n1", "c", 1, START_MS + 9500.0, "start", {"version": "1"}))
    assert fleet.state(view) == "up"
    assert [line.text.split(",")[0] for line in fleet.event_lines][:2] == ["started", "asked to shut down"]


@pytest.mark.parametrize("width", [80, 100, 200])
def test_the_screen_fits_its_columns_and_shows_markup_as_it_is(width: int) -> None:
    fleet = Fleet()
    for number in range(12):
        fleet.add(second(f"[red]a-node-with-a-long-name-{number}[/red]", 1, read=5, served=5))
        fleet.add(note(1, f"n{number}", "b", START_MS, text="[bold]x[/bold] " + "y" * 300))
    screen = render_text(fleet, ViewOptions(), width, 30)
    assert max(len(line) for line in screen.splitlines()) <= width
    assert "[red]a-node" in screen and "[bold]x[/bold]" in screen and "\x1b" not in screen
    assert "on arrival" not in screen and "tenants: farbhof 60/s" in screen


def test_thousands_of_nodes_are_paged_sorted_and_filtered() -> None:
    fleet = Fleet()
    for number in range(6000):
        at = START_MS + number % 3
        fleet.add(second(f"n{number:04d}", 1, at, read=number % 50, served=0, refused=number % 7))
    assert len(fleet.nodes) == 5000 and fleet.ignored_records == 1000
    assert "n0000" in render_text(fleet, ViewOptions(), 80, 24) and "n0000" not in render_text(
        fleet, ViewOptions(page=1), 80, 24
    )
    assert "n4999" in render_text(fleet, ViewOptions(page=10**6), 80, 24)
    assert [view.name for view in fleet.select_nodes("node", "n499")][:2] == ["n4990", "n4991"]
    assert fleet.select_nodes("read")[0].read == 49 and fleet.select_nodes("refused")[0].rejected == 6
    for sort in SortOrder:
        assert len(fleet.select_nodes(sort)) == 5000


def test_event_lines_are_bounded_and_scroll() -> None:
    fleet = Fleet()
    last = 3 * MAX_EVENT_LINES - 1
    for number in range(last + 1):
        fleet.add(note(number + 2, "n0001", "b", START_MS, text=str(number)))
    assert len(fleet.event_lines) == MAX_EVENT_LINES
    assert str(last) in render_text(fleet, ViewOptions(), 80, 24)
    assert str(last) not in render_text(fleet, ViewOptions(scroll=500), 80, 24)


def test_keys_turn_pages_scroll_and_change_the_order() -> None:
    view_options = ViewOptions()
    for key in "pjnnk":
        apply_key(view_options, key)
    assert (view_options.page, view_options.scroll) == (2, 1)
    apply_key(view_options, "s")
    assert view_options.sort == "state"
    for _ in range(len(SortOrder) - 1):
        apply_key(view_options, "s")
    apply_key(view_options, "x")
    assert view_options == ViewOptions(sort="node", page=2, scroll=1)


def test_a_replay_returns_each_record_when_it_is_due() -> None:
    now_s = 50.0
    records = [note(number) for number in (1, 2, 3, 9)]  # the number of each record is its time in seconds
    replay = Replay(records, speed=2.0, clock=lambda: now_s)
    assert replay.poll() == records[:1] and replay.poll() == []
    now_s = 51.0
    assert replay.poll() == records[1:3]
    now_s = 60.0
    assert replay.poll() == records[3:] and replay.poll() == []


def test_a_growing_file_is_followed_frame_by_frame(tmp_path: Path) -> None:
    path = tmp_path / f"n1-1-aa-000001{RECORD_FILE_SUFFIX}"
    frames = [
        encode_record(second("n1", number, START_MS + number * 1000.0, read=number)) for number in range(1, 4)
    ]
    tail = Tail([tmp_path, tmp_path / "none"])
    assert tail.poll() == []
    path.write_bytes(frames[0] + frames[1][:30])
    assert [record.number for record in tail.poll()] == [1]
    with path.open("ab") as file:
        file.write(frames[1][30:] + frames[2])
    assert [record.number for record in tail.poll()] == [2, 3] and tail.poll() == []
    path.unlink()
    assert tail.poll() == [] and not tail._positions


def test_piped_output_is_plain_text_printed_once(tmp_path: Path) -> None:
    crash = Fault(FaultKind.CRASH, 40.0, 30.0, 1.0, (1,))
    generate_day(1, seconds=60, faults=(crash,), offset_ms=0.0).write(tmp_path)
    done = subprocess.run(
        [sys.executable, "-m", "snowthread", "console", "--sort", "state", str(tmp_path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 0 and "4 nodes" in done.stdout and "silent" in done.stdout
    assert "\x1b" not in done.stdout and max(map(len, done.stdout.splitlines())) <= 80
