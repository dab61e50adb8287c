"""The program is replaced by another process under load, without a failed request."""

from __future__ import annotations

import os
import signal
import socket
import threading
import time
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import msgpack
from support.exchange import loopback
from support.hot_restart import packed_request
from support.program import TIMEOUT_S, reserve_address
from support.restarted_program import Program, admin_status, wait_until

BALANCERS = 6  # number of balancers that send requests during the restart


class Balancer(threading.Thread):
    """Sends one request after another, on a new connection after each farewell."""

    def __init__(self, listening: socket.socket) -> None:
        super().__init__(daemon=True)
        self.address = listening.getsockname()
        self.stopping = threading.Event()
        self.served = 0
        self.failed = 0

    def run(self) -> None:
        while not self.stopping.is_set():
            with socket.create_connection(self.address) as sock:
                sock.settimeout(TIMEOUT_S)
                if not self._use(sock):
                    return

    def _use(self, sock: socket.socket) -> bool:
        """Send requests until a farewell arrives; return False if the connection is closed without one."""
        unpacker = msgpack.Unpacker()
        number = 0
        farewell = False
        while not farewell and not self.stopping.is_set():
            number += 1
            attempt_id = os.urandom(8).hex()
            sock.sendall(request_with_key(number, attempt_id, attempt_id, attempt_id.encode()))
            response = None
            while response is None:
                data = sock.recv(4096)
                if not data:
                    self.failed += 1
                    return False
                unpacker.feed(data)
                for message in unpacker:
                    farewell = farewell or message[0] == 2
                    response = message if message[0] == 1 else response
            expected = [number, None, [b"dispensed known", response[3] and response[3][1]]]
            is_served = response[1:] == expected
            self.served += is_served
            self.failed += not is_served
        return True


def request_with_key(number: int, attempt_id: str, key: str, body: bytes) -> bytes:
    return packed_request(
        number, attempt_id, arrived_at_ms=time.time() * 1000, key=key, body=body, timeout_ms=9000
    )


def result_for_key(listening: socket.socket, key: str) -> Any:
    """Return the result of a request with this key, sent on a new connection."""
    with socket.create_connection(listening.getsockname()) as sock:
        sock.sendall(request_with_key(1, os.urandom(8).hex(), key, b"grey"))
        sock.settimeout(TIMEOUT_S)
        response = msgpack.unpackb(sock.recv(4096))
    assert response[2] is None
    return response[3][0]


def test_program_is_replaced_under_load_without_a_failed_request(tmp_path: Path) -> None:
    shared_directory = tmp_path / "shared"
    shared_directory.mkdir()
    old_admin = reserve_address().port
    new_admin = reserve_address().port
    with ExitStack() as stack:
        listening = stack.enter_context(loopback(socket.SOCK_STREAM))
        listening.listen(128)
        program = Program(stack, listening, shared_directory)
        old = program.start(tmp_path / "a", old_admin)
        first = result_for_key(listening, "k1")
        balancers = [Balancer(listening) for _ in range(BALANCERS)]
        for balancer in balancers:
            balancer.start()
        new = program.start(tmp_path / "b", new_admin)
        assert admin_status(old_admin, "GET", "/-/ready") == 503
        old.send_signal(signal.SIGTERM)
        _, log = old.communicate(timeout=TIMEOUT_S)
        assert old.returncode == 0
        assert "accepting no work" not in log and "Traceback" not in log
        assert result_for_key(listening, "k1") == first  # the result that the old process returned
        enough = sum(balancer.served for balancer in balancers) + 2 * BALANCERS
        wait_until(
            lambda: sum(balancer.served for balancer in balancers) >= enough,
            "too few requests were served after the restart",
        )
        for balancer in balancers:
            balancer.stopping.set()
        for balancer in balancers:
            balancer.join(TIMEOUT_S)
        assert sum(balancer.failed for balancer in balancers) == 0
        assert new.poll() is None
