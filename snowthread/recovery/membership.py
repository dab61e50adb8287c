"""Membership by the roster, with generations and incarnations. Pure: words in, words and verdicts out.

A report's further words are the node's incarnation and ``cold`` or ``warm``; the answer to each is
``FLEET generation listed cold highest`` where ``highest`` is the highest incarnation heard for this name.

| state        | answer                              | next                                                  |
| ------------ | ----------------------------------- | ----------------------------------------------------- |
| unheard      | ``highest`` is ours, above 0        | member                                                |
| unheard      | ``highest`` is above ours, or ours  | member with ``highest + 1``: our count was lost, or   |
|              | is 0 (no count was kept)            | this is the first life                                |
| member       | ``highest`` is ours                 | member                                                |
| member       | ``highest`` is above ours           | replaced: another process has our name                |
| replaced     | any                                 | replaced: off the list for good                       |
| any          | not an answer                       | the same, counted                                     |
| any          | a generation below one heard before | the same, counted: an old answer                      |
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

SILENT_MS = 3000.0  # without an answer for so long, the roster is taken for gone
INCARNATION_MAX = 2**31


class MemberStatus(Enum):
    UNHEARD = "unheard"
    MEMBER = "member"
    REPLACED = "replaced"


@dataclass(frozen=True, slots=True)
class FleetView:
    """The fleet as the roster told it last."""

    generation: int
    listed: int
    cold: int
    at_ms: float


@dataclass(slots=True)
class Membership:
    """One node's place in the fleet. ``incarnation`` 0: no count was kept, the roster may know one. Told as
    it is, for a count begun anew would pass for the earlier life's."""

    incarnation: int
    peers: int  # nodes of the fleet by the settings: all taken for cold until the roster is heard
    status: MemberStatus = MemberStatus.UNHEARD
    view: FleetView | None = None
    invalid_answers: int = 0

    def report_suffix(self, cold: bool) -> str:
        """What a report says besides."""
        return f"{self.incarnation} {'cold' if cold else 'warm'}"

    def handle_answer(self, data: bytes, now_ms: float) -> bool:
        """Take an answer; True where it is one and this node's standing or view may have changed."""
        words = data.split()
        try:
            generation, listed, cold, highest = (int(word) for word in words[1:])
        except ValueError:
            self.invalid_answers += 1
            return False
        before = self.view.generation if self.view is not None else 0
        if (
            words[0] != b"FLEET"
            or min(listed, cold, highest) < 0
            or cold > listed
            or (generation < before or highest > INCARNATION_MAX)
        ):
            self.invalid_answers += 1
            return False
        self.view = FleetView(generation, listed, cold, now_ms)
        if highest > self.incarnation or not self.incarnation:
            if self.status is MemberStatus.UNHEARD:
                self.incarnation = highest + 1
            else:
                self.status = MemberStatus.REPLACED
        if self.status is MemberStatus.UNHEARD:
            self.status = MemberStatus.MEMBER
        return True

    def fleet_size(self) -> tuple[int, int]:
        """Nodes listed and cold, as last told; before any word all are cold."""
        if self.view is None:
            return self.peers, self.peers
        return max(1, self.view.listed), self.view.cold

    def is_silent(self, now_ms: float) -> bool:
        """Has the roster not answered for long?"""
        return self.view is None or now_ms - self.view.at_ms > SILENT_MS
