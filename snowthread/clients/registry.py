"""The roster: one datagram a report, and no answer."""

from __future__ import annotations

import socket
from collections.abc import Callable

from loguru import logger

from snowthread.address import Address
from snowthread.net.loop import READABLE, EventLoop, Task, TaskSteps, Wait

REPORT_MS = 400.0  # an entry lapses 3 s after the last report: of seven in that time most may get lost
ANSWER_MAX = 1024  # bytes of an answer that are read
CHANGE_MS, CHANGES = 60.0, 4  # a change is said so many times, so far apart: one report may get lost


def encode_report(name: str, taking: bool, more: str = "") -> bytes:
    """The three words, and what a member of a fleet says besides."""
    return f"HERE {name} {'on' if taking else 'off'}{' ' if more else ''}{more}".encode()


class RegistryClient:
    """Reports at once when something changes, and regularly."""

    def __init__(self, loop: EventLoop, address: Address, name: str) -> None:
        self._loop, self._address, self._name = loop, address, name
        self._words: Callable[[], str] = lambda: ""  # said besides, and who hears the answers to that
        self._heard: Callable[[bytes], None] | None = None
        self._taking = True
        self._changes = CHANGES
        self._sock = address.open(socket.SOCK_DGRAM)
        self._task = loop.spawn(self._steps())
        self._ear: Task | None = None

    def join_fleet(self, words: Callable[[], str], heard: Callable[[bytes], None]) -> None:
        """Be a member of a fleet whose roster answers: what is said besides, and who hears the answers."""
        self._words, self._heard = words, heard
        self._ear = self._loop.spawn(self._answers(self._sock))

    def set_registration(self, taking: bool) -> None:
        """Be listed as taking work or not."""
        if taking != self._taking:
            self._taking = taking
            logger.bind(event="roster.told", peer="roster").info("roster: {}", "on" if taking else "off")
            self.report_now()

    def set_address(self, address: Address) -> None:
        """Report to a new address from now on."""
        if address != self._address:
            sock = address.open(socket.SOCK_DGRAM)
            if self._ear is not None:
                self._loop.end_task(self._ear)
                self._ear = self._loop.spawn(self._answers(sock))
            self._sock.close()
            self._sock, self._address = sock, address
            self.report_now()

    def _answers(self, sock: socket.socket) -> TaskSteps:
        while True:
            yield Wait(sock.fileno(), READABLE)
            try:
                data, sender = sock.recvfrom(ANSWER_MAX)
            except OSError:  # a roster that is down: ICMP's word on an earlier report
                continue
            if sender == tuple(self._address) and self._heard is not None:
                self._heard(data)

    def report_now(self) -> None:
        """Something that is said has changed."""
        self._changes = CHANGES
        self._loop.wake(self._task)

    def _steps(self) -> TaskSteps:
        while True:
            try:
                self._sock.sendto(encode_report(self._name, self._taking, self._words()), self._address)
            except OSError as error:  # a roster that is down refuses datagrams; the next report may pass
                logger.debug("roster: {}", error)
            self._changes = max(0, self._changes - 1)
            yield Wait(until=self._loop.clock.now() + (CHANGE_MS if self._changes else REPORT_MS))
