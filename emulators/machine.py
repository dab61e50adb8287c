"""A node's machine in the fleet lab: a runtime that starts cold and is made warm by the database's replies.

Cold, it works at ``cold_share`` of its speed and its runs make ``cold_calls`` more calls than ``warm_calls``;
each reply given makes it warmer, ``warm_replies`` of them make it warm: a cache fills by being asked. Crowds
on the cores are counted as the brief counts them: more than ``fall_multiple`` runs a core in the mean of 2 s,
a cold machine fewer. A run that stands at a call when its request is over ends there, as on the platform.
"""

from __future__ import annotations

import base64
import random
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from emulators.site import RuntimeEmulator, SiteScript
from snowthread.address import Address
from snowthread.net.loop import EventLoop

CROWD_MS, SAMPLE_MS = 2000.0, 100.0
KNOWN, WITHOUT = b" known", b" without"  # what a result ends with: made with its calls, or a call left out


@dataclass(frozen=True, slots=True)
class WarmupModel:
    """How a machine gets warm."""

    cold_share: float = 0.23
    warm_calls: float = 0.5  # calls a run, warm
    cold_calls: float = 3.0  # more of them, cold
    warm_replies: int = 150
    fall_multiple: float = 5.0
    over_ms: Mapping[str, float] = field(default_factory=dict)  # by class: a request is over after so long


class Machine(RuntimeEmulator):
    """One node's runtime in the lab; ``restart`` is a power cycle of the machine."""

    def __init__(
        self, loop: EventLoop, address: Address, script: SiteScript, warmth: WarmupModel, draw: random.Random
    ) -> None:
        self.warmth, self.draw = warmth, draw
        self.replies = warmth.warm_replies  # the fleet has been at work for long when a play begins
        self.falls = 0
        self._left: dict[str, int] = {}  # calls that a run has still to make
        self._at_call: set[str] = set()
        self._without: set[str] = set()
        self._crowd: deque[float] = deque(maxlen=int(CROWD_MS / SAMPLE_MS))
        super().__init__(loop, address, script)
        loop.call_at(loop.clock.now() + SAMPLE_MS, self._sample)

    @property
    def known(self) -> float:
        """How warm it is, 0 to 1."""
        return min(1.0, self.replies / self.warmth.warm_replies)

    def speed(self) -> float:
        """Of its warm speed."""
        return self.warmth.cold_share + (1.0 - self.warmth.cold_share) * self.known

    def restart(self) -> None:
        """Killed and started again: nothing goes on, nothing is warm, no notice is kept."""
        super().restart()
        self.replies = 0
        self._left.clear()
        self._without.clear()
        self._at_call.clear()
        self._crowd.clear()

    def _sample(self) -> None:
        self.loop.call_at(self.loop.clock.now() + SAMPLE_MS, self._sample)
        self._crowd.append((self._busy + len(self._line)) / self.script.cores)
        most = 1.0 + (self.warmth.fall_multiple - 1.0) * self.speed()
        if len(self._crowd) == self._crowd.maxlen and sum(self._crowd) / len(self._crowd) > most:
            self.falls += 1
            self._crowd.clear()

    def _take(self, peer: Any, command: dict[str, Any]) -> None:
        uid = command.get("uid", "")
        if command["action"] == "give" and uid in self._live:
            self.replies += 1
            self._at_call.discard(uid)
            self._go_on(uid)
        elif command["action"] == "omit" and uid in self._live:
            self._without.add(uid)
            self._at_call.discard(uid)
            self._go_on(uid)
        elif command["action"] not in ("give", "omit"):
            super()._take(peer, command)

    def _start(self, uid: str, lane: str, body: bytes) -> None:
        self._live.add(uid)
        self.runs[body] += 1
        wanted = 0.0
        if lane in self.script.calls:
            wanted = self.warmth.warm_calls + (1.0 - self.known) * self.warmth.cold_calls
        self._left[uid] = int(wanted) + (self.draw.random() < wanted % 1.0)
        self._bodies[uid] = body
        if lane in self.warmth.over_ms:
            over = self.loop.clock.now() + self.warmth.over_ms[lane]
            self.loop.call_at(over, lambda: self._over(uid))
        took = self.script.run_ms.get(lane, self.script.other_ms) * self.draw.uniform(0.7, 1.3)
        self._work(uid, took / self.speed(), lambda: self._go_on(uid))

    def _over(self, uid: str) -> None:
        """Its request is over: a run that stands at a call ends there."""
        if uid in self._at_call:
            self._end(uid, "aborted", b"")

    def _go_on(self, uid: str) -> None:
        body = self._bodies[uid]
        if self._left[uid] > 0:
            self._left[uid] -= 1
            self._at_call.add(uid)
            self._note({"action": "wants", "uid": uid, "content": base64.b64encode(body).decode()})
        else:
            self._end(uid, "done", body + (WITHOUT if uid in self._without else KNOWN))

    def _end(self, uid: str, code: str, result: bytes) -> None:
        self._left.pop(uid, None)
        self._bodies.pop(uid, None)
        self._without.discard(uid)
        self._at_call.discard(uid)
        super()._end(uid, code, result)
