"""A node's records: what the reducer did is what is counted; the node serves on whatever the writer does."""

from __future__ import annotations

import json
import os
import signal
import time
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import pytest
from ask import ask
from test_program import PATIENCE_S, at, configuration, environment, site, started

from snowthread import config
from snowthread.admission.settings import Outcome
from snowthread.core import effects, events
from snowthread.core.reducer import reduce
from snowthread.core.state import AdmissionClock, State
from snowthread.records.model import KINDS, MEANING, Record, Totals
from snowthread.records.observer import OTHERS, TENANTS_MOST, Observer
from snowthread.records.reader import Findings, merge

START = 1_800_000_000_000.0
ROOT = Path(__file__).parents[2]
SETTINGS = config.parse(json.loads((ROOT / "examples" / "node.json").read_bytes())).settings


class Watched:
    """The reducer with an observer beside it."""

    def __init__(self) -> None:
        self.now = START
        self.state = State(SETTINGS, 7, ("core_use",), AdmissionClock(START))
        self.observer = Observer(SETTINGS, START)
        self.made: list[tuple[str, Any]] = []
        self.post(events.RuntimeConnected(False, 0.0))

    def post(self, message: events.Event) -> None:
        produced = reduce(self.state, message, self.now)
        self.made += self.observer.observe(message, produced, self.state, self.now)

    def ask(self, n: int, kind: str = "match", tenant: str = "", once: str | None = None) -> str:
        uid = f"{n:016x}"
        self.post(
            events.RequestReceived(
                (1, n), uid, kind, b"b", self.now - 5.0, 5000.0, n % 3, 20.0, 0.5, once, tenant=tenant
            )
        )
        return uid

    def end(self, uid: str, took: float, outcome: Outcome = Outcome.SUCCESS) -> None:
        self.now += took
        self.post(events.RunCompleted(uid, outcome, took, b"r"))

    def totals(self) -> dict[tuple[str, str], dict[str, int]]:
        fields = self.observer.take_totals(self.state, self.now)
        return {(name, tenant): counts for name, tenant, counts in fields["totals"]}


def test_each_end_of_a_request_is_counted_as_what_it_was() -> None:
    w = Watched()
    w.end(w.ask(1, tenant="a"), 100.0)
    w.end(w.ask(2), 3300.0)  # past the aim of 3.2 s
    first = w.ask(3, "dispense", once="k")
    w.ask(4, "dispense", once="k")
    w.end(first, 50.0)
    w.end(w.ask(5), 50.0, Outcome.FAILURE)
    calling = w.ask(6, "dispense", once="k6")
    w.post(events.CallRequested(calling, 1, b""))
    w.end(calling, 10.0, Outcome.FAILURE)
    w.ask(7, "nonsense")
    gone = w.ask(8)
    w.post(events.RequestCancelled((1, 8)))
    w.end(gone, 10.0)
    assert w.totals() == {
        ("match", "a"): {"read": 1, "served": 1, "runs": 1},
        ("match", ""): {"read": 3, "late": 1, "failed_running": 1, "left": 1, "runs": 3},
        ("dispense", ""): {"read": 3, "served": 2, "attached": 1, "failed_calling": 1, "runs": 2},
        ("", ""): {"read": 1, "failed": 1},
    }
    assert len(w.observer) == 0 and w.totals() == {}


def test_refusals_are_told_by_when_they_came() -> None:
    w = Watched()
    for n in range(1, 6):
        w.ask(n)
    assert w.state.controller is not None
    w.state.controller.blocking_probability = 1.0
    for n in range(10, 40):
        w.ask(n)
    counts = w.totals()["match", ""]
    assert counts["refused"] >= 20 and counts["read"] == 35
    w.post(events.ShutdownRequested(3000.0))
    w.now += 2900.0
    w.post(events.TimerExpired(2))
    assert w.totals()["match", ""].get("refused_leaving", 0) >= 1
    assert ("drain", {"left_ms": 3000.0}) in w.made and ("list", {"taking": False}) in w.made


def test_conservation_whatever_comes() -> None:
    import random

    rng, w, all_ = random.Random(4), Watched(), Totals()
    live: list[str] = []
    for n in range(1, 600):
        w.now += rng.expovariate(1.0) * 20.0
        step = rng.random()
        if step < 0.6:
            live.append(
                w.ask(n, rng.choice(["match", "recalc", "dispense", "odd"]), once=f"k{rng.randrange(80)}")
            )
        elif step < 0.9 and live:
            w.end(live.pop(rng.randrange(len(live))), 5.0, rng.choice([Outcome.SUCCESS, Outcome.FAILURE]))
        elif step < 0.95:
            w.post(events.RequestCancelled((1, rng.randrange(1, n + 1))))
        else:
            w.post(events.TimerExpired(rng.choice([1, 2])))
        for counts in w.totals().values():
            for name, value in counts.items():
                setattr(all_, name, getattr(all_, name) + value)
    ended = (
        all_.served
        + all_.late
        + all_.refused
        + all_.refused_held
        + all_.refused_leaving
        + all_.failed
        + all_.failed_running
        + all_.failed_calling
        + all_.left
    )
    assert all_.read == ended + len(w.observer) and all_.read > 300 and len(w.observer) < 120


def test_a_seconds_tenants_are_bounded_and_none_is_lost() -> None:
    w = Watched()
    for n in range(1, TENANTS_MOST + 100):
        w.ask(n, tenant=f"t{n}")
    totals = w.totals()
    assert len(totals) == TENANTS_MOST + 1 and sum(c["read"] for c in totals.values()) == TENANTS_MOST + 99
    assert totals["match", OTHERS]["read"] == 99


def test_lengths_of_runs_and_calls() -> None:
    w = Watched()
    for n, took in enumerate((100.0, 200.0, 1000.0), 1):
        w.end(w.ask(n), took)
    w.post(events.CallCompleted("x", Outcome.TIMED_OUT, 80.0))
    fields = w.observer.take_totals(w.state, w.now)
    count, middle, high, longest = fields["runs"]["match"]
    assert count == 3 and abs(middle - 200) <= 4 and abs(high - 1000) <= 10 and abs(longest - 1000) <= 10
    assert fields["calls"]["timed_out"][0] == 1 and set(fields) <= set(MEANING["second"])


def test_the_page_names_every_kind_and_field() -> None:
    page = (ROOT / "docs" / "records.md").read_text()
    assert set(MEANING) == set(KINDS)
    for kind, fields in MEANING.items():
        assert f"`{kind}`" in page
        assert all(f"`{name}`" in page for name in fields), kind
    assert all(f"`{name}`" in page for name in Totals.NAMES)


# The whole program.


def records_file(folder: Path, more: str = "") -> Path:
    path = folder / "records.hcl"
    path.write_text(f'records {{\n folder = "{folder}/kept"\n {more}\n}}\n')
    return path


def test_a_program_that_is_killed_leaves_all_but_its_last_second(tmp_path: Path) -> None:
    path, file = configuration(tmp_path, stop_ms=1000), records_file(tmp_path)
    with ExitStack() as stack:
        stack.enter_context(site(path))
        node = stack.enter_context(
            started("-m", "snowthread", "serve", "--with", str(file), env=environment(path))
        )
        assert node.stderr is not None and "listens on" in node.stderr.readline()
        for n in range(5):
            assert ask(at(path), "match", b"grey") == [1, 1, None, [b"GREY", {}]], n
        time.sleep(1.2)
        node.kill()
        node.wait()
        kept = wait_for(tmp_path / "kept", 5)
    assert kept[0].kind == "start" and kept[0].fields["pid"] == node.pid
    assert not [r for r in kept if r.kind == "end"]
    second = stop(path, file)
    kept = wait_for(tmp_path / "kept", 5)
    assert len({r.boot for r in kept}) == 2 and {r.node for r in kept} == {"n1"}
    (end,) = [r for r in kept if r.kind == "end"]
    assert end.fields["how"] == "left" and second == 0


def stop(path: Path, file: Path) -> int:
    with started("-m", "snowthread", "serve", "--with", str(file), env=environment(path)) as node:
        assert node.stderr is not None and "listens on" in node.stderr.readline()
        node.send_signal(signal.SIGTERM)
        return node.wait(PATIENCE_S)


def served(records: list[Record]) -> int:
    return sum(
        counts.get("served", 0) for r in records if r.kind == "second" for _, _, counts in r.fields["totals"]
    )


def wait_for(folder: Path, wanted: int) -> list[Record]:
    end = time.monotonic() + PATIENCE_S
    while True:
        records = list(merge([folder], Findings()))
        if served(records) == wanted:
            return records
        assert time.monotonic() < end, [r for r in records]
        time.sleep(0.1)


def test_a_writer_that_dies_or_can_not_write_does_not_stop_the_node(tmp_path: Path) -> None:
    path, file = configuration(tmp_path, stop_ms=1000), records_file(tmp_path)
    (tmp_path / "kept").write_text("a file where a folder should be")
    with ExitStack() as stack:
        stack.enter_context(site(path))
        node = stack.enter_context(
            started("-m", "snowthread", "serve", "--with", str(file), env=environment(path))
        )
        assert node.stderr is not None and "listens on" in node.stderr.readline()
        assert ask(at(path), "match", b"grey") == [1, 1, None, [b"GREY", {}]]
        children = Path(f"/proc/{node.pid}/task/{node.pid}/children").read_text().split()
        os.kill(int(children[0]), signal.SIGKILL)
        assert any("the writer has ended" in line for line in iter(node.stderr.readline, ""))
        assert ask(at(path), "match", b"grey") == [1, 1, None, [b"GREY", {}]]
        node.send_signal(signal.SIGTERM)
        assert node.wait(PATIENCE_S) == 0


@pytest.mark.parametrize(
    ("more", "word"),
    [
        ("total_mb = 1", "total_mb"),
        ("keep = 3", "keep"),
        ("file_mb = 0", "file_mb"),
        ("colour = 1", "no such key"),
    ],
)
def test_a_bad_block_is_named(tmp_path: Path, more: str, word: str) -> None:
    from snowthread.config import ConfigError
    from snowthread.operator.features import Features

    node = config.load({"NODE_CONFIG": str(ROOT / "examples" / "node.json")})
    assert Features.load(records_file(tmp_path), node).records is not None
    with pytest.raises(ConfigError, match=word):
        Features.load(records_file(tmp_path, more), node)


def test_the_commands_read_what_is_there(tmp_path: Path) -> None:
    import subprocess
    import sys

    path, file = configuration(tmp_path, stop_ms=1000), records_file(tmp_path)
    assert stop(path, file) == 0

    def run(*words: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "snowthread", "records", *words],
            cwd=ROOT,
            text=True,
            env=environment(path),
            capture_output=True,
            timeout=PATIENCE_S,
        )

    kept = str(tmp_path / "kept")
    lines = [json.loads(line) for line in run("cat", "--json", kept).stdout.splitlines()]
    assert lines[0]["kind"] == "start" and lines[-1]["kind"] == "end"
    assert run("cat", "--kind", "end", kept).stdout.count("\n") == 1
    good = run("verify", kept)
    assert good.returncode == 0 and "nothing wrong" in good.stdout
    assert "n1" in run("stats", kept).stdout and "left" in run("stats", kept).stdout
    (one,) = Path(kept).iterdir()
    one.write_bytes(one.read_bytes()[:-7])
    bad = run("verify", kept)
    assert bad.returncode == 1 and "cut short" in bad.stdout
    assert "no end is recorded" in run("stats", kept).stdout


def test_effects_come_out_unchanged() -> None:
    quiet, watched = State(SETTINGS, 7, (), AdmissionClock(START)), Watched()
    watched.state.gauge_names = ()
    reduce(quiet, events.RuntimeConnected(False, 0.0), START)
    for n in range(1, 30):
        m = events.RequestReceived((1, n), f"{n:016x}", "match", b"b", START, 5000.0, 1, 20.0, 0.5)
        a, b = reduce(quiet, m, START), reduce(watched.state, m, START)
        watched.observer.observe(m, b, watched.state, START)
        assert a == b and all(isinstance(e, effects.Effect) for e in b)  # type: ignore[arg-type]
