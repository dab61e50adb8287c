"""A node program that records: what it leaves on disk, and that it survives failures of the writer."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from contextlib import ExitStack
from pathlib import Path

import pytest
from ask import send_request
from support.program import TIMEOUT_S, configuration, environment, listen_address, site, started

from snowthread import config
from snowthread.config import ConfigError
from snowthread.operator.features import Features
from snowthread.records.model import Record
from snowthread.records.reader import Findings, merge_records

ROOT = Path(__file__).parents[2]


def records_file(folder: Path, line: str = "") -> Path:
    path = folder / "records.hcl"
    path.write_text(f'records {{\n folder = "{folder}/written"\n {line}\n}}\n')
    return path


def test_a_killed_program_loses_at_most_its_last_second(tmp_path: Path) -> None:
    path = configuration(tmp_path, stop_ms=1000)
    file = records_file(tmp_path)
    with ExitStack() as stack:
        stack.enter_context(site(path))
        node = stack.enter_context(
            started("-m", "snowthread", "serve", "--with", str(file), env=environment(path))
        )
        assert node.stderr is not None and "listens on" in node.stderr.readline()
        for number in range(5):
            assert send_request(listen_address(path), "match", b"grey") == [1, 1, None, [b"GREY", {}]], number
        time.sleep(1.2)
        node.kill()
        node.wait()
        records = wait_for_served(tmp_path / "written", 5)
    assert records[0].kind == "start" and records[0].fields["pid"] == node.pid
    assert not [record for record in records if record.kind == "end"]
    status = serve_and_stop(path, file)
    records = wait_for_served(tmp_path / "written", 5)
    assert len({record.boot for record in records}) == 2 and {record.node for record in records} == {"n1"}
    (end,) = [record for record in records if record.kind == "end"]
    assert end.fields["how"] == "left" and status == 0


def serve_and_stop(path: Path, file: Path) -> int:
    """Start a node, shut it down once it listens, and return its exit status."""
    with started("-m", "snowthread", "serve", "--with", str(file), env=environment(path)) as node:
        assert node.stderr is not None and "listens on" in node.stderr.readline()
        node.send_signal(signal.SIGTERM)
        return node.wait(TIMEOUT_S)


def count_served(records: list[Record]) -> int:
    return sum(
        counts.get("served", 0)
        for record in records
        if record.kind == "second"
        for _, _, counts in record.fields["totals"]
    )


def wait_for_served(folder: Path, wanted: int) -> list[Record]:
    """Wait until the records show ``wanted`` served requests, and return the records."""
    deadline = time.monotonic() + TIMEOUT_S
    while True:
        records = list(merge_records([folder], Findings()))
        if count_served(records) == wanted:
            return records
        assert time.monotonic() < deadline, records
        time.sleep(0.1)


def test_a_writer_that_fails_or_is_killed_does_not_stop_the_node(tmp_path: Path) -> None:
    path = configuration(tmp_path, stop_ms=1000)
    file = records_file(tmp_path)
    (tmp_path / "written").write_text("a file where a folder should be")
    with ExitStack() as stack:
        stack.enter_context(site(path))
        node = stack.enter_context(
            started("-m", "snowthread", "serve", "--with", str(file), env=environment(path))
        )
        assert node.stderr is not None and "listens on" in node.stderr.readline()
        assert send_request(listen_address(path), "match", b"grey") == [1, 1, None, [b"GREY", {}]]
        children = Path(f"/proc/{node.pid}/task/{node.pid}/children").read_text().split()
        os.kill(int(children[0]), signal.SIGKILL)
        assert any("the writer process has exited" in line for line in iter(node.stderr.readline, ""))
        assert send_request(listen_address(path), "match", b"grey") == [1, 1, None, [b"GREY", {}]]
        node.send_signal(signal.SIGTERM)
        assert node.wait(TIMEOUT_S) == 0


@pytest.mark.parametrize(
    ("line", "named"),
    [
        ("total_mb = 1", "total_mb"),
        ("keep = 3", "keep"),
        ("file_mb = 0", "file_mb"),
        ("colour = 1", "no such key"),
    ],
)
def test_the_invalid_key_of_the_block_is_named(tmp_path: Path, line: str, named: str) -> None:
    node = config.load({"NODE_CONFIG": str(ROOT / "examples" / "node.json")})
    assert Features.load(records_file(tmp_path), node).records is not None
    with pytest.raises(ConfigError, match=named):
        Features.load(records_file(tmp_path, line), node)


def test_the_commands_show_what_was_recorded(tmp_path: Path) -> None:
    path = configuration(tmp_path, stop_ms=1000)
    file = records_file(tmp_path)
    assert serve_and_stop(path, file) == 0

    def run(*arguments: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "snowthread", "records", *arguments],
            cwd=ROOT,
            text=True,
            env=environment(path),
            capture_output=True,
            timeout=TIMEOUT_S,
            check=False,
        )

    records = str(tmp_path / "written")
    lines = [json.loads(line) for line in run("cat", "--json", records).stdout.splitlines()]
    assert lines[0]["kind"] == "start" and lines[-1]["kind"] == "end"
    assert run("cat", "--kind", "end", records).stdout.count("\n") == 1
    complete = run("verify", records)
    assert complete.returncode == 0 and "no problems found" in complete.stdout
    assert "n1" in run("stats", records).stdout and "ended normally" in run("stats", records).stdout
    (file_of_records,) = Path(records).iterdir()
    file_of_records.write_bytes(file_of_records.read_bytes()[:-7])
    truncated = run("verify", records)
    assert truncated.returncode == 1 and "truncated frame" in truncated.stdout
    assert "no end recorded" in run("stats", records).stdout
