"""The program as it is started, with the toy site beside it, spoken to over sockets."""

from __future__ import annotations

import json
import os
import resource
import signal
import socket
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any

import pytest
from support.exchange import EXAMPLE, address, loopback

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "examples"))
from ask import ask  # noqa: E402

PATIENCE_S = 30.0


def configuration(folder: Path, **changes: Any) -> Path:
    """The example's configuration on free ports."""
    with ExitStack() as stack:
        ports = {
            name: address(stack.enter_context(loopback(kind)))
            for name, kind in (
                ("listen", socket.SOCK_STREAM),
                ("runtime", socket.SOCK_STREAM),
                ("index", socket.SOCK_STREAM),
                ("roster", socket.SOCK_DGRAM),
            )
        }
    path = folder / "node.json"
    path.write_text(json.dumps(json.loads(EXAMPLE.read_bytes()) | ports | changes))
    return path


@contextmanager
def started(*command: str, **more: Any) -> Iterator[subprocess.Popen[str]]:
    process = subprocess.Popen(
        [sys.executable, *command],
        cwd=ROOT,
        text=True,
        stderr=subprocess.PIPE,
        stdout=subprocess.PIPE,
        **more,
    )
    try:
        yield process
    finally:
        process.kill()
        process.communicate()


def environment(path: Path) -> dict[str, str]:
    return os.environ | {"NODE_CONFIG": str(path), "PYTHONPATH": str(ROOT)}


@contextmanager
def node(path: Path, *command: str, **more: Any) -> Iterator[subprocess.Popen[str]]:
    with started("-m", "snowthread", *command, env=environment(path), **more) as process:
        assert process.stderr is not None
        assert "listens on" in process.stderr.readline()
        yield process


@contextmanager
def site(path: Path) -> Iterator[subprocess.Popen[str]]:
    with started("examples/toy_site.py", str(path), env=environment(path)) as process:
        assert process.stdout is not None
        assert "ready" in process.stdout.readline()
        yield process


def at(path: Path) -> tuple[str, int]:
    host, port = json.loads(path.read_text())["listen"].split(":")
    return host, int(port)


def test_the_example_serves_and_leaves(tmp_path: Path) -> None:
    path = configuration(tmp_path, stop_ms=1000)
    with site(path), node(path) as process:  # bare: it serves
        assert ask(at(path), "match", b"grey") == [1, 1, None, [b"GREY", {}]]
        first = ask(at(path), "dispense", b"grey", "k1")
        assert first == [1, 1, None, [b"dispensed known", {}]]
        assert ask(at(path), "dispense", b"grey", "k1") == first
        process.send_signal(signal.SIGTERM)
        log = process.communicate(timeout=PATIENCE_S)[1]
        # An idle connection to the index is still there: what waits at the exit must end before the loop.
        assert process.returncode == 0 and "left" in log and "Traceback" not in log


def test_what_lies_unread_in_the_sockets_at_the_notice_is_answered(tmp_path: Path) -> None:
    path = configuration(tmp_path, stop_ms=1500)
    with site(path), node(path) as process:
        assert ask(at(path), "match", b"grey") == [1, 1, None, [b"GREY", {}]]
        process.send_signal(signal.SIGSTOP)
        process.send_signal(signal.SIGTERM)
        with socket.create_connection(at(path)) as sock:
            sock.sendall(b"\x94\x00\x07\xa6health\x91\x80")
            sock.settimeout(PATIENCE_S)
            process.send_signal(signal.SIGCONT)
            got = b""
            while more := sock.recv(4096):
                got += more
        assert b"\x94\x01\x07\xc0\x92\xc2" in got and b"farewell" in got
        assert process.wait(PATIENCE_S) == 0


def test_a_full_table_of_descriptors_does_not_end_the_node(tmp_path: Path) -> None:
    path = configuration(tmp_path)

    def few() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64))

    with site(path), node(path, "serve", preexec_fn=few) as process:
        crowd = [socket.create_connection(at(path)) for _ in range(100)]
        for sock in crowd:
            sock.close()
        assert ask(at(path), "match", b"grey") == [1, 1, None, [b"GREY", {}]]
        assert process.poll() is None


def test_a_peer_that_reads_nothing_is_waited_for_and_others_are_served(tmp_path: Path) -> None:
    path = configuration(tmp_path)
    with site(path), node(path):
        with socket.socket() as sock:
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                sock.setsockopt(socket.SOL_SOCKET, option, 4096)
            sock.connect(at(path))
            sock.setblocking(False)
            sent, checks = 0, b"\x94\x00\x01\xa6health\x91\x80" * 1_000_000
            with pytest.raises(BlockingIOError):  # the node reads no more, and the buffers between are full
                while sent < len(checks):
                    sent += sock.send(checks[sent : sent + 65536])
                    ask(at(path), "health", b"")
            assert ask(at(path), "match", b"grey") == [1, 1, None, [b"GREY", {}]]
            sock.settimeout(PATIENCE_S)
            answer, got = b"\x94\x01\x01\xc0\x92\xc3\x80", 0
            while got < sent // 12 * len(answer):
                got += len(sock.recv(65536))
            assert got == sent // 12 * len(answer)


def test_a_new_configuration_is_taken_up_and_a_bad_one_is_not(tmp_path: Path) -> None:
    old, new = (tmp_path / "old", tmp_path / "new")
    for folder in (old, new):
        folder.mkdir()
    path, other = configuration(old, stop_ms=1000), configuration(new)
    fields = json.loads(other.read_text()) | {"listen": json.loads(path.read_text())["listen"]}
    other.write_text(json.dumps(fields))
    with ExitStack() as stack:
        first = stack.enter_context(site(path))
        process = stack.enter_context(node(path))
        assert process.stderr is not None
        assert ask(at(path), "dispense", b"grey", "k1") == [1, 1, None, [b"dispensed known", {}]]
        path.write_text("{")
        process.send_signal(signal.SIGHUP)
        assert "the old one stays" in process.stderr.readline()
        assert ask(at(other), "match", b"grey") == [1, 1, None, [b"GREY", {}]]
        second = stack.enter_context(site(other))
        path.write_text(json.dumps(fields | {"name": "n7"}))
        process.send_signal(signal.SIGHUP)
        assert "read anew; name only" in process.stderr.readline()
        assert "moves to" in process.stderr.readline()
        first.kill()
        # What was kept for repeats is still there, and the new runtime does the work. (The toy's notices are
        # numbered anew, so nothing more of them is seen here: tests/exchanges/moved.txt goes on from there.)
        assert ask(at(other), "dispense", b"grey", "k1") == [1, 1, None, [b"dispensed known", {}]]
        ask(at(other), "match", b"grey")
        assert second.stdout is not None
        assert any("runtime: match" in line for line in iter(second.stdout.readline, ""))
        process.send_signal(signal.SIGHUP)
        assert "read anew" in process.stderr.readline()
        process.send_signal(signal.SIGTERM)
        assert process.wait(PATIENCE_S) == 0


def test_a_new_configuration_while_the_first_is_read_is_not_lost(tmp_path: Path) -> None:
    path = configuration(tmp_path)
    first, slow = path.read_bytes(), tmp_path / "slow.json"
    os.mkfifo(slow)
    with started("-m", "snowthread", env=environment(slow)) as process:
        with slow.open("wb") as writing:  # opens once the program reads
            path.replace(slow)
            process.send_signal(signal.SIGHUP)
            writing.write(first)
        assert process.stderr is not None
        assert "listens on" in process.stderr.readline()
        assert "read anew" in process.stderr.readline()


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_a_signal_while_the_modules_are_loaded_is_no_crash(tmp_path: Path, number: signal.Signals) -> None:
    """Started as the platform does it. The interpreter is held before the program's first line."""
    path, loading, going = configuration(tmp_path), tmp_path / "loading", tmp_path / "going"
    for fifo in (loading, going):
        os.mkfifo(fifo)
    (tmp_path / "sitecustomize.py").write_text(
        f"open({str(loading)!r}, 'w').close()\nopen({str(going)!r}).close()\n"
    )
    run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"].replace(
        ".venv/bin/python", sys.executable
    )
    with subprocess.Popen(
        ["/bin/sh", "-c", run],
        cwd=ROOT,
        text=True,
        stderr=subprocess.PIPE,
        env=environment(path) | {"PYTHONPATH": f"{tmp_path}:{ROOT}"},
    ) as process:
        try:
            loading.open().close()
            process.send_signal(number)
            if number is signal.SIGTERM:  # it listens nowhere yet: nothing can be lost with it
                assert process.wait(PATIENCE_S) == -number
                return
            going.open("w").close()
            assert process.stderr is not None
            assert "listens on" in process.stderr.readline()
            process.send_signal(signal.SIGHUP)
            assert "read anew" in process.stderr.readline()
        finally:
            process.kill()


@pytest.mark.parametrize(
    ("changes", "word"),
    [
        ({"runtime": "nowhere:1"}, "runtime"),
        ({"listen": "127.0.0.1"}, "listen"),
        ({"stop_ms": "soon"}, "stop_ms"),
        ({"settings": {"classes": []}}, "settings"),
        ({"settings": None}, "settings"),
        ({"seed": "xyz"}, "seed"),
        ({"limits": {"sockets": 0}}, "sockets"),
        ({"name": ""}, "name"),
    ],
)
def test_a_bad_configuration_ends_with_one_plain_line(tmp_path: Path, changes: Any, word: str) -> None:
    path = configuration(tmp_path, **changes)
    done = subprocess.run(
        [sys.executable, "-m", "snowthread"],
        cwd=ROOT,
        env=environment(path),
        text=True,
        capture_output=True,
        timeout=PATIENCE_S,
    )
    assert done.returncode == 2
    assert word in done.stderr and done.stderr.count("\n") == 1


@pytest.mark.parametrize("what", ["admin taken", "door no number", "door not open", "door does not listen"])
def test_an_address_or_a_door_that_cannot_be_used_ends_with_one_plain_line(tmp_path: Path, what: str) -> None:
    path = configuration(tmp_path)
    with loopback(socket.SOCK_STREAM) as taken, loopback(socket.SOCK_DGRAM) as deaf:
        more, word = {
            "admin taken": ({"NODE_ADMIN_ADDR": address(taken)}, address(taken)),
            "door no number": ({"NODE_FD": "x"}, "NODE_FD"),
            "door not open": ({"NODE_FD": "77"}, "can't listen"),
            "door does not listen": ({"NODE_FD": str(deaf.fileno())}, "does not listen"),
        }[what]
        done = subprocess.run(
            [sys.executable, "-m", "snowthread"],
            cwd=ROOT,
            env=environment(path) | more,
            text=True,
            capture_output=True,
            timeout=PATIENCE_S,
            pass_fds=(deaf.fileno(),),
        )
    assert done.returncode == 2
    assert word in done.stderr and done.stderr.count("\n") == 1


def test_sub_commands(tmp_path: Path) -> None:
    path = configuration(tmp_path)
    for command, word in (("version", "snowthread 0."), ("check", "n1: listens on")):
        done = subprocess.run(
            [sys.executable, "-m", "snowthread", command],
            cwd=ROOT,
            env=environment(path),
            text=True,
            capture_output=True,
            timeout=PATIENCE_S,
        )
        assert done.returncode == 0 and done.stdout.startswith(word)


def test_a_bare_start_loads_nothing_of_the_features() -> None:
    code = (
        "import sys, snowthread.serve; "
        "print([m for m in sys.modules if m.startswith(('snowthread.recovery', 'snowthread.lab', "
        "'snowthread.records', 'snowthread.operator', "
        "'snowthread.admission.recovery_pacing', 'click'))])"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"
