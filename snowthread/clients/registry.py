"""The client of the registry: reports in datagrams that the node is alive and whether it accepts work.

Only a registry that serves a fleet answers the reports.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

from loguru import logger

from snowthread.address import Address
from snowthread.net.loop import READABLE, Coroutine, EventLoop, Task, Wait

# The registry drops an entry 3 s after the last report. It gets seven reports in that time, most of which may
# be lost.
REPORT_INTERVAL_MS = 400.0
CHANGE_REPORT_COUNT = 4  # reports sent in quick succession after a change, in case a datagram is lost
CHANGE_REPORT_INTERVAL_MS = 60.0
MAX_ANSWER_BYTES = 1024  # longer answers of the registry are truncated


def encode_report(name: str, accepts_work: bool, suffix: str = "") -> bytes:
    """Return the bytes of a report; a node in a fleet adds its incarnation and state as ``suffix``."""
    return f"HERE {name} {'on' if accepts_work else 'off'}{' ' if suffix else ''}{suffix}".encode()


class RegistryClient:
    """Sends reports to the registry at regular intervals, and at once after a change."""

    def __init__(self, loop: EventLoop, address: Address, name: str, *, reports_at_once: bool = True) -> None:
        """Start to send reports; unless ``reports_at_once``, only when the registration was first set."""
        self._loop = loop
        self._address = address
        self._name = name
        self._report_suffix: Callable[[], str] = lambda: ""  # empty unless the node is in a fleet
        self._on_answer: Callable[[bytes], None] | None = None
        self._accepts_work = True
        self._is_held = not reports_at_once
        self._change_reports_left = CHANGE_REPORT_COUNT
        self._sock = address.open(socket.SOCK_DGRAM)
        self._report_task = loop.spawn(self._send_reports())
        self._answer_task: Task | None = None

    def join_fleet(self, report_suffix: Callable[[], str], on_answer: Callable[[bytes], None]) -> None:
        """Add a suffix to the reports from now on, and pass the registry's answers to ``on_answer``."""
        self._report_suffix = report_suffix
        self._on_answer = on_answer
        self._answer_task = self._loop.spawn(self._receive_answers(self._sock))

    def set_registration(self, accepts_work: bool) -> None:
        """Set whether the node is reported as accepting work, and report a change at once."""
        if self._is_held:
            self._is_held = False
            self.report_now()
        if accepts_work != self._accepts_work:
            self._accepts_work = accepts_work
            logger.bind(event="registry.registration_changed", peer="registry").info(
                "registry: now reporting this node as {}",
                "accepting work" if accepts_work else "accepting no work",
            )
            self.report_now()

    def set_address(self, address: Address) -> None:
        """Send reports to a new address from now on."""
        if address != self._address:
            sock = address.open(socket.SOCK_DGRAM)
            if self._answer_task is not None:
                self._loop.end_task(self._answer_task)
                self._answer_task = self._loop.spawn(self._receive_answers(sock))
            self._sock.close()
            self._sock = sock
            self._address = address
            self.report_now()

    def report_now(self) -> None:
        """Send a report at once, and repeat it in quick succession in case a datagram is lost."""
        self._change_reports_left = CHANGE_REPORT_COUNT
        self._loop.wake(self._report_task)

    def _send_reports(self) -> Coroutine:
        while self._is_held:
            yield Wait()
        while True:
            report = encode_report(self._name, self._accepts_work, self._report_suffix())
            try:
                self._sock.sendto(report, self._address)
            except OSError as error:  # the registry is down; a later report may arrive
                logger.debug("registry: report not sent, retrying at the next interval: {}", error)
            self._change_reports_left = max(0, self._change_reports_left - 1)
            interval_ms = CHANGE_REPORT_INTERVAL_MS if self._change_reports_left else REPORT_INTERVAL_MS
            yield Wait(until_ms=self._loop.clock.now() + interval_ms)

    def _receive_answers(self, sock: socket.socket) -> Coroutine:
        while True:
            yield Wait(sock.fileno(), READABLE)
            try:
                data, sender = sock.recvfrom(MAX_ANSWER_BYTES)
            except OSError:  # an ICMP error for an earlier report, because the registry is down
                continue
            if sender == tuple(self._address) and self._on_answer is not None:
                self._on_answer(data)
