"""Processes of the program that replace each other on one listening socket."""

from __future__ import annotations

import socket
import subprocess
import sys
import time
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from http.client import HTTPConnection
from pathlib import Path

from support.exchange import address
from support.program import ROOT, TIMEOUT_S, configuration, environment, site

POLL_S = 0.02  # interval between checks of a condition


def admin_status(port: int, method: str, path: str) -> int:
    """Return the HTTP status of a request to the administration server, 0 if it does not answer."""
    connection = HTTPConnection("127.0.0.1", port, timeout=5.0)
    try:
        connection.request(method, path)
        return connection.getresponse().status
    except OSError:
        return 0
    finally:
        connection.close()


def wait_until(condition: Callable[[], bool], failure: str) -> None:
    """Wait until a condition is true; fail with the text ``failure`` after ``TIMEOUT_S``."""
    end = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < end, failure
        time.sleep(POLL_S)


@dataclass
class Program:
    """Starts processes of the node on one listening socket and one shared directory."""

    stack: ExitStack
    listening: socket.socket
    shared_directory: Path

    def launch(self, directory: Path, admin_port: int) -> subprocess.Popen[str]:
        """Start a process with its own toy site."""
        directory.mkdir()
        path = configuration(directory, listen=address(self.listening), stop_ms=5000)
        self.stack.enter_context(site(path))
        descriptor = self.listening.fileno()
        variables = {
            "NODE_FD": str(descriptor),
            "TMPDIR": str(self.shared_directory),
            "NODE_ADMIN_ADDR": f"127.0.0.1:{admin_port}",
        }
        process = subprocess.Popen(
            [sys.executable, "-m", "snowthread"],
            cwd=ROOT,
            text=True,
            env=environment(path) | variables,
            stderr=subprocess.PIPE,
            pass_fds=(descriptor,),
        )
        self.stack.callback(process.communicate)
        self.stack.callback(process.kill)
        return process

    def start(self, directory: Path, admin_port: int) -> subprocess.Popen[str]:
        """Start a process with its own toy site; return it once it is ready."""
        process = self.launch(directory, admin_port)
        wait_until(
            lambda: admin_status(admin_port, "GET", "/-/ready") == 200, "the process did not become ready"
        )
        return process
