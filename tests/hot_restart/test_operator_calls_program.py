"""Operators' calls at processes of the program that replace each other."""

from __future__ import annotations

import signal
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path

import msgpack
import pytest
from support.exchange import loopback
from support.program import TIMEOUT_S, reserve_address
from support.restarted_program import Program, admin_status, wait_until

HEALTH_CHECKS = 20
STOPPED_S = 0.3  # how long the predecessor is stopped while a call waits for it; shorter than the wait
CALL_LIMIT_S = 1.0  # operators wait this long for the answer to a call


@pytest.fixture
def program(tmp_path: Path) -> Iterator[Program]:
    shared_directory = tmp_path / "shared"
    shared_directory.mkdir()
    with ExitStack() as stack:
        listening = stack.enter_context(loopback(socket.SOCK_STREAM))
        listening.listen(128)
        yield Program(stack, listening, shared_directory)


def health_checks(listening: socket.socket) -> set[bool]:
    """Return the distinct results of several health checks, each on a new connection."""
    results = set()
    for _ in range(HEALTH_CHECKS):
        with socket.create_connection(listening.getsockname()) as sock:
            sock.settimeout(TIMEOUT_S)
            sock.sendall(msgpack.packb([0, 1, "health", [{}]]))
            results.add(msgpack.unpackb(sock.recv(4096))[3][0])
    return results


def test_drain_at_the_new_process_during_the_takeover_is_not_lost(program: Program, tmp_path: Path) -> None:
    # Guards against review/9: the call was answered with 200, and then all health checks were good.
    ports = [reserve_address().port for _ in range(3)]
    old = program.start(tmp_path / "a", ports[0])
    old.send_signal(signal.SIGSTOP)
    new = program.launch(tmp_path / "b", ports[1])
    wait_until(lambda: admin_status(ports[1], "GET", "/-/ready") != 0, "the new process did not start")
    resume_old = threading.Timer(STOPPED_S, old.send_signal, (signal.SIGCONT,))
    resume_old.start()
    wait_until(
        lambda: admin_status(ports[1], "POST", "/-/drain") == 200, "the drain was not answered with 200"
    )
    resume_old.join()
    wait_until(lambda: admin_status(ports[1], "GET", "/-/ready") == 200, "the new process is not ready")
    assert health_checks(program.listening) == {False}

    program.launch(tmp_path / "c", ports[2])  # a third process is not admitted while there are two
    wait_until(lambda: admin_status(ports[2], "GET", "/-/ready") != 0, "the third process did not start")
    called_at_s = time.monotonic()
    assert admin_status(ports[2], "POST", "/-/resume") == 503
    assert time.monotonic() - called_at_s < CALL_LIMIT_S

    assert health_checks(program.listening) == {False}
    old.send_signal(signal.SIGTERM)
    _, log = old.communicate(timeout=TIMEOUT_S)
    assert log.count("accepting no work") == 1 and "now reporting this node as accepting work" not in log
    assert health_checks(program.listening) == {False}
    wait_until(lambda: admin_status(ports[2], "GET", "/-/ready") == 200, "the third process is not ready")
    assert health_checks(program.listening) == {False}
    assert admin_status(ports[1], "POST", "/-/resume") == 200
    assert health_checks(program.listening) == {True}
    new.send_signal(signal.SIGTERM)
    new.communicate(timeout=TIMEOUT_S)
    assert health_checks(program.listening) == {True}
