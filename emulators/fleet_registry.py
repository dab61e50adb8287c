"""Emulate the registry of a fleet: the list of its nodes, and their latest incarnations.

It receives these datagrams and answers them as follows:

| report                              | answer                                             |
| ----------------------------------- | -------------------------------------------------- |
| ``HERE name on|off``                | none                                               |
| ``HERE name on|off N cold|warm``    | ``FLEET generation listed cold latest-incarnation`` |
| ``LIST``                            | ``NAMES name...`` of the nodes listed              |

``N`` is the incarnation of the node that reports. In the answer, ``listed`` and ``cold`` are the numbers of
listed nodes and of cold ones among them. A report of an earlier incarnation than the latest known one is
answered but not stored.
"""

from __future__ import annotations

import contextlib
from dataclasses import dataclass

from emulators.servers import bind_datagrams
from snowthread.address import Address
from snowthread.net.loop import READABLE, Coroutine, EventLoop, Wait

LEASE_MS = 3000.0  # Time in ms after its last report for which a node stays listed.
DATAGRAM_BYTES_MAX = 1024
SHORT_REPORT_WORDS = 3
FULL_REPORT_WORDS = 5


@dataclass(frozen=True, slots=True)
class _Registration:
    """The last report of a node."""

    at_ms: float
    is_on: bool
    is_cold: bool


class FleetRegistry:
    """Answers the nodes' reports and the balancers' queries on one address."""

    def __init__(self, loop: EventLoop, address: Address) -> None:
        """Receive datagrams on the address; no node is listed yet."""
        self.generation = 1
        self.stale_reports = 0  # Number of reports from an earlier incarnation than the latest known one.
        self._loop = loop
        self._registrations: dict[str, _Registration] = {}
        self._incarnations: dict[str, int] = {}  # Latest known incarnation, by node name.
        self._sock = bind_datagrams(address)
        loop.spawn(self._serve())

    def _listed(self) -> dict[str, bool]:
        """Return whether each listed node is cold, by node name."""
        now = self._loop.clock.now()
        return {
            name: registration.is_cold
            for name, registration in self._registrations.items()
            if registration.is_on and now - registration.at_ms < LEASE_MS
        }

    def _serve(self) -> Coroutine:
        while True:
            yield Wait(self._sock.fileno(), READABLE)
            datagram, sender = self._sock.recvfrom(DATAGRAM_BYTES_MAX)
            answer = self._answer(datagram.decode(errors="replace").split())
            if answer:
                with contextlib.suppress(OSError):  # The sender may have closed its socket.
                    self._sock.sendto(answer.encode(), sender)

    def _answer(self, words: list[str]) -> str:
        if words == ["LIST"]:
            return "NAMES " + " ".join(sorted(self._listed()))
        if len(words) >= SHORT_REPORT_WORDS and words[0] == "HERE":
            return self._handle_report(words)
        return ""

    def _handle_report(self, words: list[str]) -> str:
        """Store the report of a node unless it is stale, and return the answer; empty for a short report."""
        name = words[1]
        is_on = words[2] == "on"
        now = self._loop.clock.now()
        if len(words) < FULL_REPORT_WORDS:
            self._registrations[name] = _Registration(now, is_on, is_cold=False)
            return ""
        incarnation = int(words[3])
        latest = self._incarnations.get(name, 0)
        if incarnation < latest:
            self.stale_reports += 1
        else:
            self._incarnations[name] = incarnation
            self._registrations[name] = _Registration(now, is_on, words[4] == "cold")
        listed = self._listed()
        latest = max(incarnation, latest)
        return f"FLEET {self.generation} {len(listed)} {sum(listed.values())} {latest}"
