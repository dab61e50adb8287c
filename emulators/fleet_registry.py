"""Emulate the registry of a fleet: which nodes are listed, and their incarnations.

Datagrams it takes, and its answers:

| report                              | answer                                             |
| ----------------------------------- | -------------------------------------------------- |
| ``HERE name on|off``                | none                                               |
| ``HERE name on|off N cold|warm``    | ``FLEET generation listed cold latest-incarnation`` |
| ``LIST``                            | ``NAMES name...`` of the nodes listed              |

``N`` is the incarnation of the node that reports. A report of an earlier incarnation than the latest known is
answered but changes nothing.
"""

from __future__ import annotations

import contextlib
from dataclasses import dataclass

from emulators.servers import bind_datagrams
from snowthread.address import Address
from snowthread.net.loop import READABLE, Coroutine, EventLoop, Wait

LEASE_MS = 3000.0  # after its last report a node is no longer listed
DATAGRAM_BYTES_MAX = 1024
SHORT_REPORT_WORDS = 3
FULL_REPORT_WORDS = 5


@dataclass(frozen=True, slots=True)
class _Registration:
    """The last report of a node."""

    at_ms: float
    on: bool
    cold: bool


class FleetRegistry:
    """Answers the nodes' reports and the balancers' queries at one address."""

    def __init__(self, loop: EventLoop, address: Address) -> None:
        """Receive at the address; no node is listed."""
        self.generation = 1
        self.stale_reports = 0  # of earlier incarnations
        self._loop = loop
        self._registrations: dict[str, _Registration] = {}
        self._incarnations: dict[str, int] = {}  # the latest known
        self._sock = bind_datagrams(address)
        loop.spawn(self._serve())

    def _listed(self) -> dict[str, bool]:
        """Return the names of the nodes listed, and whether each is cold."""
        now = self._loop.clock.now()
        return {
            name: registration.cold
            for name, registration in self._registrations.items()
            if registration.on and now - registration.at_ms < LEASE_MS
        }

    def _serve(self) -> Coroutine:
        while True:
            yield Wait(self._sock.fileno(), READABLE)
            datagram, sender = self._sock.recvfrom(DATAGRAM_BYTES_MAX)
            answer = self._answer(datagram.decode(errors="replace").split())
            if answer:
                with contextlib.suppress(OSError):  # the sender may be gone
                    self._sock.sendto(answer.encode(), sender)

    def _answer(self, words: list[str]) -> str:
        if words == ["LIST"]:
            return "NAMES " + " ".join(sorted(self._listed()))
        if len(words) >= SHORT_REPORT_WORDS and words[0] == "HERE":
            return self._take_report(words)
        return ""

    def _take_report(self, words: list[str]) -> str:
        name = words[1]
        on = words[2] == "on"
        now = self._loop.clock.now()
        if len(words) < FULL_REPORT_WORDS:
            self._registrations[name] = _Registration(now, on, cold=False)
            return ""
        incarnation = int(words[3])
        latest = self._incarnations.get(name, 0)
        if incarnation < latest:
            self.stale_reports += 1
        else:
            self._incarnations[name] = incarnation
            self._registrations[name] = _Registration(now, on, words[4] == "cold")
        listed = self._listed()
        latest = max(incarnation, latest)
        return f"FLEET {self.generation} {len(listed)} {sum(listed.values())} {latest}"
