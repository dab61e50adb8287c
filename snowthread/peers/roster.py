"""The roster: one datagram a report, and no answer."""

from __future__ import annotations

import socket

from loguru import logger

from snowthread.address import Address
from snowthread.net.loop import Loop, Steps, Wait

REPORT_MS = 400.0  # an entry lapses 3 s after the last report: of seven in that time most may get lost
CHANGE_MS, CHANGES = 60.0, 4  # a change is said so many times, so far apart: one report may get lost


def report(name: str, taking: bool) -> bytes:
    """The three words."""
    return f"HERE {name} {'on' if taking else 'off'}".encode()


class Roster:
    """Reports at once when something changes, and regularly."""

    def __init__(self, loop: Loop, address: Address, name: str) -> None:
        self._loop, self._address, self._name = loop, address, name
        self._taking = True
        self._changes = CHANGES
        self._sock = address.open(socket.SOCK_DGRAM)
        self._task = loop.spawn(self._steps())

    def announce(self, taking: bool) -> None:
        """Be listed as taking work or not."""
        if taking != self._taking:
            self._taking = taking
            logger.bind(event="roster.told", peer="roster").info("roster: {}", "on" if taking else "off")
            self._say_again()

    def move(self, address: Address) -> None:
        """Report to a new address from now on."""
        if address != self._address:
            sock = address.open(socket.SOCK_DGRAM)
            self._sock.close()
            self._sock, self._address = sock, address
            self._say_again()

    def _say_again(self) -> None:
        self._changes = CHANGES
        self._loop.wake(self._task)

    def _steps(self) -> Steps:
        while True:
            try:
                self._sock.sendto(report(self._name, self._taking), self._address)
            except OSError as error:  # a roster that is down refuses datagrams; the next report may pass
                logger.debug("roster: {}", error)
            self._changes = max(0, self._changes - 1)
            yield Wait(until=self._loop.clock.now() + (CHANGE_MS if self._changes else REPORT_MS))
