"""Clients that write a burst of requests, close at once, and write the same bytes again a little later."""

from __future__ import annotations

import random
import socket
from collections import Counter
from collections.abc import Iterable

import msgpack

from emulators.abusive_messages import request_burst
from snowthread.address import Address
from snowthread.net.loop import EventLoop

BURST_REQUESTS = 30
REPEAT_AFTER_MS = (100.0, 1500.0)  # range of the time until the second burst, with a uniform distribution
CONNECT_TIMEOUT_S = 1.0


class LeavingClients:
    """Writes bursts of requests and remembers which of their attempts have an idempotency key."""

    def __init__(self, loop: EventLoop, address: Address, generator: random.Random) -> None:
        self._loop = loop
        self._address = address
        self._generator = generator
        self._key_by_attempt: dict[str, str] = {}  # empty for an attempt without a key

    def write_twice(self) -> None:
        """Write a burst now and again later; the second one may reach another process of the node."""
        burst = request_burst(BURST_REQUESTS, self._generator)
        unpacker = msgpack.Unpacker()
        unpacker.feed(burst)
        for _, _, _, (fields, _) in unpacker:
            self._key_by_attempt[fields["id"]] = fields.get("once", "")
        self._write(burst)
        again_at_ms = self._loop.clock.now() + self._generator.uniform(*REPEAT_AFTER_MS)
        self._loop.call_at(again_at_ms, lambda: self._write(burst))

    def _write(self, burst: bytes) -> None:
        with socket.create_connection(self._address, timeout=CONNECT_TIMEOUT_S) as sock:
            sock.sendall(burst)

    def figures(self, started_attempts: Iterable[str]) -> dict[str, int]:
        """Return how many attempts there were, were run, and were run twice, with a key and without one."""
        runs = Counter(attempt for attempt in started_attempts if attempt in self._key_by_attempt)
        run_twice = [self._key_by_attempt[attempt] for attempt, count in runs.items() if count > 1]
        return {
            "left_behind": len(self._key_by_attempt),
            "left_behind_run": len(runs),
            "left_behind_keys_run_twice": sum(bool(key) for key in run_twice),
            "left_behind_ids_run_twice": len(run_twice),
        }
