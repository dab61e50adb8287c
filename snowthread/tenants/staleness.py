"""Track the age of the tenant data and what a node does at that age, without I/O.

| stage | age: time since the last confirmation       | clients that a known tenant owns |
| ----- | ------------------------------------------- | -------------------------------- |
| NONE  | never confirmed, and no snapshot restored   | -                                |
| FRESH | up to ``stale_ms``                          | identified                       |
| STALE | up to ``old_ms``                            | identified                       |
| OLD   | longer                                      | as ``when_old`` says             |

At every stage, a client that no known tenant owns belongs to the default tenant, and is looked up in the
directory if lookups are enabled and the directory is connected.

The key ``when_old`` of the operator's file, read into the field ``default_when_old``, is "serve" (clients are
identified as before, so that a directory that is down for a day affects no client) or "default" (all clients
share the default tenant's quota, for operators who prefer a small quota to an outdated one). A suspended
tenant stays suspended at every stage.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

HOUR_MS = 3_600_000.0


class StalenessStage(Enum):
    """A staleness stage; the module docstring lists what each one allows."""

    NONE = "none"
    FRESH = "fresh"
    STALE = "stale"
    OLD = "old"


@dataclass(frozen=True, slots=True)
class StalenessRules:
    """The ages in milliseconds above which data is STALE or OLD, and what OLD data is used for."""

    stale_ms: float = 60_000.0
    old_ms: float = 24 * HOUR_MS
    default_when_old: bool = False  # all clients get the default tenant while the data is OLD


class StalenessTracker:
    """Tracks the age of one node's tenant data."""

    def __init__(self, rules: StalenessRules) -> None:
        self.rules = rules
        self.confirmed_at_ms = -math.inf
        self._last_reported = StalenessStage.NONE

    def confirm(self, now: float) -> None:
        """Record that the data is current: a refresh completed, or the change stream is alive."""
        self.confirmed_at_ms = max(self.confirmed_at_ms, now)

    def age_ms(self, now: float) -> float:
        """Return the time since the last confirmation: infinity if there was none, 0 if it is in the future.

        It is in the future if the clock was set back.
        """
        return max(0.0, now - self.confirmed_at_ms)

    def stage(self, now: float) -> StalenessStage:
        """Return the current stage."""
        if self.confirmed_at_ms == -math.inf:
            return StalenessStage.NONE
        age_ms = self.age_ms(now)
        if age_ms <= self.rules.stale_ms:
            return StalenessStage.FRESH
        return StalenessStage.STALE if age_ms <= self.rules.old_ms else StalenessStage.OLD

    def take_stage_change(self, now: float) -> StalenessStage | None:
        """Return the current stage if it differs from the last one that was returned, else None."""
        stage = self.stage(now)
        if stage is self._last_reported:
            return None
        self._last_reported = stage
        return stage
