"""How old the knowledge of the directory is, and what that allows. Pure.

| stage | since the directory last confirmed it | known clients   | unknown clients               |
| ----- | ------------------------------------- | --------------- | ----------------------------- |
| NONE  | never, and there was no snapshot      | -               | the default tenant            |
| FRESH | up to ``stale_ms``                    | identified      | looked up; the default tenant |
| STALE | up to ``old_ms``                      | identified      | the default tenant            |
| OLD   | longer                                | as ``when_old`` | the default tenant            |

``when_old`` is "serve" (identified as before: a directory that is down for a day stops nobody) or "default"
(all clients share the default tenant's quota, for operators to whom a wrong quota is worse than a small
one). A suspension applies at every stage.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

HOUR_MS = 3_600_000.0


class StalenessStage(Enum):
    """A stage of the table above."""

    NONE = "none"
    FRESH = "fresh"
    STALE = "stale"
    OLD = "old"


@dataclass(frozen=True, slots=True)
class StalenessRules:
    """The ages at which the stages begin, in milliseconds."""

    stale_ms: float = 60_000.0
    old_ms: float = 24 * HOUR_MS
    default_when_old: bool = False


class StalenessTracker:
    """Tracks the age of one node's knowledge."""

    def __init__(self, rules: StalenessRules) -> None:
        self.rules = rules
        self.confirmed_at_ms = -math.inf
        self._last_reported = StalenessStage.NONE

    def confirm(self, now: float) -> None:
        """Record that the knowledge is current: a refresh ended, or changes are followed."""
        self.confirmed_at_ms = max(self.confirmed_at_ms, now)

    def age_ms(self, now: float) -> float:
        """Return the time since the last confirmation; a clock set back counts as no time."""
        return max(0.0, now - self.confirmed_at_ms)

    def stage(self, now: float) -> StalenessStage:
        """Return the present stage."""
        if self.confirmed_at_ms == -math.inf:
            return StalenessStage.NONE
        age_ms = self.age_ms(now)
        if age_ms <= self.rules.stale_ms:
            return StalenessStage.FRESH
        return StalenessStage.STALE if age_ms <= self.rules.old_ms else StalenessStage.OLD

    def take_stage_change(self, now: float) -> StalenessStage | None:
        """Return the stage if it differs from the one returned last, else None."""
        stage = self.stage(now)
        if stage is self._last_reported:
            return None
        self._last_reported = stage
        return stage
