"""How old the knowledge is, and what that allows. Free of I/O.

    stage   since the directory was last known to agree   known callers     unknown callers
    NONE    never, and no snapshot                        -                 the default tenant
    FRESH   up to ``stale_ms``                            as told           asked about, the default tenant
    STALE   up to ``old_ms``                              as told           the default tenant
    OLD     longer                                        as ``when_old``   the default tenant

``when_old`` is "serve" (as told: a directory that is down for a day does not stop a shop) or "default" (all
share the default tenant's part, for those to whom a wrong share is worse than a small one). A suspension
holds at every stage.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class StalenessStage(Enum):
    """A step of the ladder above."""

    NONE = "none"
    FRESH = "fresh"
    STALE = "stale"
    OLD = "old"


@dataclass(frozen=True, slots=True)
class StalenessRules:
    """The steps' lengths in milliseconds."""

    stale_ms: float = 60_000.0
    old_ms: float = 24 * 3_600_000.0
    default_when_old: bool = False


class StalenessTracker:
    """One node's knowledge of the directory."""

    def __init__(self, rules: StalenessRules) -> None:
        self.rules = rules
        self.confirmed_at_ms = -math.inf
        self._last_reported = StalenessStage.NONE

    def confirm(self, now: float) -> None:
        """What is known here is what the directory has: a refresh ended, or following goes on."""
        self.confirmed_at_ms = max(self.confirmed_at_ms, now)

    def age_ms(self, now: float) -> float:
        """Milliseconds since then; a clock set back counts as no time."""
        return max(0.0, now - self.confirmed_at_ms)

    def stage(self, now: float) -> StalenessStage:
        """The step it stands on."""
        if self.confirmed_at_ms == -math.inf:
            return StalenessStage.NONE
        age = self.age_ms(now)
        if age <= self.rules.stale_ms:
            return StalenessStage.FRESH
        return StalenessStage.STALE if age <= self.rules.old_ms else StalenessStage.OLD

    def take_stage_change(self, now: float) -> StalenessStage | None:
        """The step, where it is another than last time."""
        stage = self.stage(now)
        if stage is self._last_reported:
            return None
        self._last_reported = stage
        return stage
