"""Faults of a link of the lab: when a chunk of bytes that crosses it may be forwarded.

Pure: the time and a seeded random generator are arguments. The faults follow Toxiproxy's toxics and can be
combined:

| fault      | setting                 | effect                                                          |
| ---------- | ----------------------- | --------------------------------------------------------------- |
| delay      | ``delay_ms``            | every chunk is delayed by this time                             |
| jitter     | ``jitter_ms``           | plus a random time up to this; a connection keeps its order     |
| bandwidth  | ``bytes_per_s``         | chunks are forwarded no faster (a slow reader on the other side) |
| partition  | ``partitioned``         | new connections are closed, open ones forward nothing           |
| cut        | ``cuts`` (a count)      | connections opened before the latest cut are closed             |

A half-open link is a lasting partition: the peers learn of it only by their own timeouts.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

MS_PER_S = 1000.0


@dataclass(slots=True)
class LinkFaults:
    """The present faults of one link; the timeline changes them during a run."""

    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    bytes_per_s: float = 0.0  # 0: no limit
    partitioned: bool = False
    cuts: int = 0

    def clear(self) -> None:
        """Heal the link; connections that were cut stay closed."""
        self.delay_ms = 0.0
        self.jitter_ms = 0.0
        self.bytes_per_s = 0.0
        self.partitioned = False


@dataclass(slots=True)
class Pacing:
    """What keeps the chunks of one direction of one connection in order."""

    cuts_at_open: int
    last_release_ms: float = 0.0


def release_ms(
    faults: LinkFaults, pacing: Pacing, now_ms: float, size: int, generator: random.Random
) -> float:
    """Return when a chunk of ``size`` bytes read now may be forwarded, never before its predecessor."""
    jitter_ms = generator.uniform(0.0, faults.jitter_ms) if faults.jitter_ms else 0.0
    at_ms = now_ms + faults.delay_ms + jitter_ms
    if faults.bytes_per_s > 0:
        at_ms = max(at_ms, pacing.last_release_ms) + size * MS_PER_S / faults.bytes_per_s
    pacing.last_release_ms = max(at_ms, pacing.last_release_ms)
    return pacing.last_release_ms


def is_cut(faults: LinkFaults, pacing: Pacing) -> bool:
    """Return whether a connection was opened before the latest cut and has to be closed."""
    return pacing.cuts_at_open < faults.cuts
