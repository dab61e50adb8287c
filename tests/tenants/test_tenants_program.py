"""The program with a directory: stalls, suspensions, reloads, cold starts, shutdowns and commands."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import pytest
from ask import send_request
from support.program import (
    ROOT,
    TIMEOUT_S,
    configuration,
    environment,
    listen_address,
    reserve_address,
    site,
    started,
)

from snowthread.lab.processes import format_address

SERVED = "served"
REJECTED = "Throttled"


class TenantsSetup:
    """A node configuration, an operator's file, and an emulated directory that accepts commands."""

    def __init__(self, folder: Path, stack: ExitStack, extra: str = "") -> None:
        self.folder = folder
        self.stack = stack
        self.directory_address = format_address(reserve_address())
        self.node_config = configuration(folder, stop_ms=1000)
        self.operator_file = folder / "tenants.hcl"
        self.extra = extra
        self.write(self.directory_address)
        self.directory: subprocess.Popen[str]

    def write(self, directory_address: str, extra: str = "") -> None:
        self.operator_file.write_text(f"""tenants {{
          servers = ["ldap://{directory_address}"]
          base = "ou=tenants,dc=example"
          spread = "1ms"
          probe = "300ms"
          operation = "600ms"
          retry {{ pause_most = "300ms" }}
          {self.extra}
          {extra}
        }}
        """)

    def start_directory(self) -> None:
        self.directory = self.stack.enter_context(
            started(
                "-m",
                "emulators.directory",
                self.directory_address,
                env=environment(self.node_config),
                stdin=subprocess.PIPE,
            )
        )
        assert self.directory.stdout is not None
        assert "5 tenants" in self.directory.stdout.readline()

    def command(self, line: str) -> None:
        assert self.directory.stdin is not None and self.directory.stdout is not None
        self.directory.stdin.write(line + "\n")
        self.directory.stdin.flush()
        assert self.directory.stdout.readline() == f"done: {line}\n"

    def start_node(self, **options: Any) -> subprocess.Popen[str]:
        # The file "site" marks that an earlier call has started the toy site of this configuration.
        if self.node_config.with_name("site").exists() is False:
            self.node_config.with_name("site").touch()
            self.stack.enter_context(site(self.node_config))
        process = self.stack.enter_context(
            started(
                "-m",
                "snowthread",
                "serve",
                "--with",
                str(self.operator_file),
                env=environment(self.node_config),
                **options,
            )
        )
        self.startup_log = read_log_until(process, "listens on")
        return process

    def request(self, idempotency_key: str | None = None) -> str:
        response: Any = send_request(
            listen_address(self.node_config),
            "dispense" if idempotency_key else "match",
            b"grey",
            idempotency_key,
        )
        return str(response[2][0]) if response[2] else SERVED

    def wait_until(self, condition: Callable[[], bool]) -> None:
        end = time.monotonic() + TIMEOUT_S
        while not condition():
            assert time.monotonic() < end, "the condition never became true"
            time.sleep(0.05)


@pytest.fixture
def setup(tmp_path: Path) -> Iterator[TenantsSetup]:
    with ExitStack() as stack:
        yield TenantsSetup(tmp_path, stack)


def read_log_until(process: subprocess.Popen[str], text: str) -> str:
    """Return all log lines up to and including the first one that contains ``text``."""
    assert process.stderr is not None
    lines = ""
    for line in iter(process.stderr.readline, ""):
        lines += line
        if text in line:
            return lines
    pytest.fail(f"the log ended without {text!r}")


def test_known_tenants_are_served_through_a_stall_and_a_suspension_takes_effect(setup: TenantsSetup) -> None:
    setup.start_directory()
    process = setup.start_node()
    read_log_until(process, "refreshed in")
    assert setup.request() == SERVED and setup.request("k1") == SERVED
    setup.command("stall")
    started_at = time.monotonic()
    # The stall lasts longer than the operation timeout, so the node closes the connection.
    while time.monotonic() < started_at + 2.5:
        assert setup.request() == SERVED
    read_log_until(process, "probe timed out")
    setup.command("go")
    setup.command("suspend Farbhof")  # owns 127.0.0.0/24, the network of this test's client
    setup.wait_until(lambda: setup.request() == REJECTED)
    assert setup.request("k1") == SERVED  # a retry of a request that ran gets its result
    assert setup.request("k2") == REJECTED
    process.send_signal(signal.SIGTERM)
    assert process.wait(TIMEOUT_S) == 0


def test_a_shutdown_during_a_stalled_refresh_ends_in_time(setup: TenantsSetup) -> None:
    setup.start_directory()
    setup.command("stall")
    process = setup.start_node()
    assert setup.request() == SERVED  # by the default tenant's quota, as no tenant is known yet
    started_at = time.monotonic()
    process.send_signal(signal.SIGTERM)
    log = process.communicate(timeout=TIMEOUT_S)[1]
    assert process.returncode == 0 and time.monotonic() - started_at < 3.0
    assert "Traceback" not in log and "stopped" in log


def test_a_cold_start_with_the_directory_down_uses_the_snapshot(tmp_path: Path) -> None:
    snapshot = tmp_path / "tenants.snapshot"
    with ExitStack() as stack:
        setup = TenantsSetup(tmp_path, stack, f'snapshot {{\n file = "{snapshot}"\n every = "200ms"\n }}')
        setup.start_directory()
        setup.command("suspend Farbhof")
        first = setup.start_node()
        setup.wait_until(snapshot.exists)
        first.send_signal(signal.SIGTERM)
        first.communicate(timeout=TIMEOUT_S)
        setup.directory.kill()
        setup.directory.wait()
        second = setup.start_node()
        assert setup.request() == REJECTED
        assert "restored 5 tenants from the snapshot" in setup.startup_log
        second.send_signal(signal.SIGTERM)
        second.communicate(timeout=TIMEOUT_S)
        snapshot.write_bytes(snapshot.read_bytes()[:-20])
        third = setup.start_node()
        assert setup.request() == SERVED  # by the default tenant's quota, as no tenant is known
        assert "not used: truncated" in setup.startup_log
        third.send_signal(signal.SIGTERM)
        third.communicate(timeout=TIMEOUT_S)


def test_a_reload_applies_both_files_or_neither_also_during_a_refresh(setup: TenantsSetup) -> None:
    setup.start_directory()
    setup.command("stall")
    process = setup.start_node()
    setup.operator_file.write_text("tenants {\n servers = []\n}\n")
    process.send_signal(signal.SIGHUP)
    line = read_log_until(process, "keeping the current one")
    assert "tenants.hcl" in line and "key" in line
    old = setup.directory_address
    setup.directory_address = format_address(reserve_address())
    assert old != setup.directory_address
    setup.start_directory()  # a second server at the new address
    setup.write(setup.directory_address, "default {\n refuse = true\n }")
    process.send_signal(signal.SIGHUP)
    read_log_until(process, "configuration reloaded")
    assert setup.directory_address in read_log_until(process, "refreshed in")
    assert setup.request() == SERVED
    setup.command("remove Farbhof")
    # No tenant owns the client any more, and the new settings reject unknown clients.
    setup.wait_until(lambda: setup.request() == REJECTED)


def test_the_log_is_one_json_object_a_line_if_so_configured(setup: TenantsSetup) -> None:
    setup.start_directory()
    with started(
        "-m",
        "snowthread",
        "serve",
        "--with",
        str(setup.operator_file),
        env=environment(setup.node_config) | {"NODE_LOG_FORMAT": "json"},
    ) as process:
        line = json.loads(read_log_until(process, "tenants.refreshed").splitlines()[-1])
        process.send_signal(signal.SIGTERM)
        rest = [json.loads(text) for text in process.communicate(timeout=TIMEOUT_S)[1].splitlines()]
    assert line["tenants"] == 5 and line["peer"] == "directory" and line["level"] == "INFO"
    assert {"time", "event", "message", "ms"} <= line.keys()
    assert {"node.shutdown", "node.stopped"} <= {record["event"] for record in rest}


def run_command(setup: TenantsSetup, *words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "snowthread", *words],
        cwd=ROOT,
        text=True,
        env=environment(setup.node_config),
        capture_output=True,
        timeout=TIMEOUT_S,
        check=False,
    )


def test_the_commands_show_whois_and_check(setup: TenantsSetup) -> None:
    setup.start_directory()
    setup.command("put Zwei 127.0.0.0/24 3")  # claims a network that another tenant owns
    shown = run_command(setup, "tenants", "show", "--with", str(setup.operator_file))
    assert shown.returncode == 0 and "6 tenants" in shown.stdout and "Kolory  active  30/s" in shown.stdout
    known = run_command(setup, "tenants", "whois", "--with", str(setup.operator_file), "127.0.1.9")
    assert known.returncode == 0 and "Kolory" in known.stdout and "127.0.1.0/24" in known.stdout
    unowned = run_command(setup, "tenants", "whois", "--with", str(setup.operator_file), "10.0.0.1")
    assert unowned.returncode == 1 and "owned by no tenant" in unowned.stdout
    problems = run_command(setup, "tenants", "check", "--with", str(setup.operator_file))
    assert problems.returncode == 1 and "127.0.0.0/24 is claimed by" in problems.stdout
    assert run_command(setup, "check", "--with", str(setup.operator_file)).stdout.startswith(
        "tenants from ldap://"
    )
    setup.directory.kill()
    setup.directory.wait()
    down = run_command(setup, "tenants", "show", "--with", str(setup.operator_file))
    assert down.returncode == 2 and "connect" in down.stderr and down.stderr.count("\n") == 1


def test_a_start_without_features_imports_none_of_their_packages() -> None:
    code = """
import sys, snowthread.serve
tops = {"click", "hcl2", "lark", "asn1tools", "pytricia", "emulators"}
ours = ("snowthread.ldap", "snowthread.tenants", "snowthread.operator", "snowthread.hcl", "snowthread.cli")
print([m for m in sys.modules
       if m.split(".")[0] in tops or any(m == our or m.startswith(our + ".") for our in ours)])
"""
    done = subprocess.run(
        [sys.executable, "-c", code],
        cwd=ROOT,
        text=True,
        capture_output=True,
        env=os.environ | {"PYTHONPATH": str(ROOT)},
        timeout=TIMEOUT_S,
        check=False,
    )
    assert done.stdout.strip() == "[]", done.stdout + done.stderr
