"""The whole program and a directory: served while it stalls, refused where suspended, gone in time."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import pytest
from ask import ask
from support.exchange import address, loopback
from test_program import PATIENCE_S, ROOT, at, configuration, environment, site, started

REFUSED = "Throttled"


class Stage:
    """A node's configuration, an operator's file, and a directory that takes commands."""

    def __init__(self, folder: Path, stack: ExitStack, more: str = "") -> None:
        self.folder, self.stack = folder, stack
        with loopback(socket.SOCK_STREAM) as sock:
            self.where = address(sock)
        self.config = configuration(folder, stop_ms=1000)
        self.file = folder / "tenants.hcl"
        self.more = more
        self.write(self.where)
        self.directory: subprocess.Popen[str]

    def write(self, where: str, more: str = "") -> None:
        self.file.write_text(f"""tenants {{
          servers = ["ldap://{where}"]
          base = "ou=tenants,dc=example"
          spread = "1ms"
          probe = "300ms"
          operation = "600ms"
          retry {{ pause_most = "300ms" }}
          {self.more}
          {more}
        }}
        """)

    def begin(self) -> None:
        self.directory = self.stack.enter_context(
            started(
                "-m", "emulators.directory", self.where, env=environment(self.config), stdin=subprocess.PIPE
            )
        )
        assert self.directory.stdout is not None
        assert "5 tenants" in self.directory.stdout.readline()

    def tell(self, line: str) -> None:
        assert self.directory.stdin is not None and self.directory.stdout is not None
        self.directory.stdin.write(line + "\n")
        self.directory.stdin.flush()
        assert self.directory.stdout.readline() == f"done: {line}\n"

    def node(self, **more: Any) -> subprocess.Popen[str]:
        if self.config.with_name("site").exists() is False:
            self.config.with_name("site").touch()
            self.stack.enter_context(site(self.config))
        process = self.stack.enter_context(
            started(
                "-m", "snowthread", "serve", "--with", str(self.file), env=environment(self.config), **more
            )
        )
        self.head = log_until(process, "listens on")
        return process

    def answer(self, once: str | None = None) -> str:
        got: Any = ask(at(self.config), "dispense" if once else "match", b"grey", once)
        return str(got[2][0]) if got[2] else "served"

    def until(self, holds: Callable[[], bool]) -> None:
        end = time.monotonic() + PATIENCE_S
        while not holds():
            assert time.monotonic() < end, "it never held"
            time.sleep(0.05)


@pytest.fixture
def stage(tmp_path: Path) -> Iterator[Stage]:
    with ExitStack() as stack:
        yield Stage(tmp_path, stack)


def log_until(process: subprocess.Popen[str], word: str) -> str:
    """All lines up to the one with this word."""
    assert process.stderr is not None
    lines = ""
    for line in iter(process.stderr.readline, ""):
        lines += line
        if word in line:
            return lines
    raise AssertionError(f"the log ended without {word!r}")


def test_known_tenants_are_served_through_a_stall_and_a_suspension_is_felt(stage: Stage) -> None:
    stage.begin()
    process = stage.node()
    log_until(process, "refreshed in")
    assert stage.answer() == "served" and stage.answer("k1") == "served"
    stage.tell("stall")
    began = time.monotonic()
    while time.monotonic() < began + 2.5:  # longer than an operation may take, so the link is given up
        assert stage.answer() == "served"
    log_until(process, "a probe is not answered")
    stage.tell("go")
    stage.tell("suspend Farbhof")  # 127.0.0.0/24: everybody here
    stage.until(lambda: stage.answer() == REFUSED)
    assert stage.answer("k1") == "served"  # a repeat of what ran
    assert stage.answer("k2") == REFUSED
    process.send_signal(signal.SIGTERM)
    assert process.wait(PATIENCE_S) == 0


def test_a_notice_in_the_middle_of_a_stalled_refresh_is_obeyed_in_time(stage: Stage) -> None:
    stage.begin()
    stage.tell("stall")
    process = stage.node()
    assert stage.answer() == "served"  # the default tenant's
    began = time.monotonic()
    process.send_signal(signal.SIGTERM)
    log = process.communicate(timeout=PATIENCE_S)[1]
    assert process.returncode == 0 and time.monotonic() - began < 3.0
    assert "Traceback" not in log and "left" in log


def test_a_cold_start_with_the_directory_down_knows_what_the_snapshot_knew(tmp_path: Path) -> None:
    snapshot = tmp_path / "tenants.snapshot"
    with ExitStack() as stack:
        stage = Stage(tmp_path, stack, f'snapshot {{\n file = "{snapshot}"\n every = "200ms"\n }}')
        stage.begin()
        stage.tell("suspend Farbhof")
        first = stage.node()
        stage.until(lambda: snapshot.exists())
        first.send_signal(signal.SIGTERM)
        first.communicate(timeout=PATIENCE_S)
        stage.directory.kill()
        stage.directory.wait()
        second = stage.node()
        assert stage.answer() == REFUSED
        assert "5 from the snapshot" in stage.head
        second.send_signal(signal.SIGTERM)
        second.communicate(timeout=PATIENCE_S)
        snapshot.write_bytes(snapshot.read_bytes()[:-20])
        third = stage.node()
        assert stage.answer() == "served"  # nothing is known: the default tenant's
        assert "not used: cut short" in stage.head
        third.send_signal(signal.SIGTERM)
        third.communicate(timeout=PATIENCE_S)


def test_a_reload_takes_up_both_files_or_neither_also_in_the_middle_of_a_refresh(stage: Stage) -> None:
    stage.begin()
    stage.tell("stall")
    process = stage.node()
    stage.file.write_text("tenants {\n servers = []\n}\n")
    process.send_signal(signal.SIGHUP)
    line = log_until(process, "the old one stays")
    assert "tenants.hcl" in line and "key" in line
    old, stage.where = stage.where, ""
    with loopback(socket.SOCK_STREAM) as sock:
        stage.where = address(sock)
    assert old != stage.where
    stage.begin()  # another server
    stage.write(stage.where, "default {\n refuse = true\n }")
    process.send_signal(signal.SIGHUP)
    log_until(process, "read anew")
    assert stage.where in log_until(process, "refreshed in")
    assert stage.answer() == "served"
    stage.tell("remove Farbhof")
    stage.until(lambda: stage.answer() == REFUSED)  # nobody's caller, and those are refused now


def test_the_log_is_one_json_object_a_line_where_asked_for(stage: Stage) -> None:
    stage.begin()
    with started(
        "-m",
        "snowthread",
        "serve",
        "--with",
        str(stage.file),
        env=environment(stage.config) | {"NODE_LOG_FORMAT": "json"},
    ) as process:
        line = json.loads(log_until(process, "tenants.refreshed").splitlines()[-1])
        process.send_signal(signal.SIGTERM)
        rest = [json.loads(text) for text in process.communicate(timeout=PATIENCE_S)[1].splitlines()]
    assert line["tenants"] == 5 and line["peer"] == "directory" and line["level"] == "INFO"
    assert {"time", "event", "message", "ms"} <= line.keys()
    assert {"node.leaving", "node.left"} <= {record["event"] for record in rest}


def run(stage: Stage, *words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "snowthread", *words],
        cwd=ROOT,
        text=True,
        env=environment(stage.config),
        capture_output=True,
        timeout=PATIENCE_S,
    )


def test_the_commands_for_people(stage: Stage) -> None:
    stage.begin()
    stage.tell("put Zwei 127.0.0.0/24 3")  # claims what another has
    shown = run(stage, "tenants", "show", "--with", str(stage.file))
    assert shown.returncode == 0 and "6 tenants" in shown.stdout and "Kolory  active  30/s" in shown.stdout
    known = run(stage, "tenants", "whois", "--with", str(stage.file), "127.0.1.9")
    assert known.returncode == 0 and "Kolory" in known.stdout and "127.0.1.0/24" in known.stdout
    nobody = run(stage, "tenants", "whois", "--with", str(stage.file), "10.0.0.1")
    assert nobody.returncode == 1 and "nobody" in nobody.stdout
    faults = run(stage, "tenants", "check", "--with", str(stage.file))
    assert faults.returncode == 1 and "127.0.0.0/24 is claimed by" in faults.stdout
    assert run(stage, "check", "--with", str(stage.file)).stdout.startswith("tenants from ldap://")
    stage.directory.kill()
    stage.directory.wait()
    down = run(stage, "tenants", "show", "--with", str(stage.file))
    assert down.returncode == 2 and "connect" in down.stderr and down.stderr.count("\n") == 1


def test_a_bare_start_loads_nothing_of_it() -> None:
    code = """
import sys, snowthread.serve
tops = {"click", "hcl2", "lark", "asn1tools", "pytricia", "emulators"}
ours = ("snowthread.ldap", "snowthread.tenants", "snowthread.operator", "snowthread.cli")
print([m for m in sys.modules
       if m.split(".")[0] in tops or any(m == our or m.startswith(our + ".") for our in ours)])
"""
    done = subprocess.run(
        [sys.executable, "-c", code],
        cwd=ROOT,
        text=True,
        capture_output=True,
        env=os.environ | {"PYTHONPATH": str(ROOT)},
        timeout=PATIENCE_S,
    )
    assert done.stdout.strip() == "[]", done.stdout + done.stderr
