"""What a link of the lab does to the bytes that cross it. Pure: ``now`` and a seeded generator come in.

Faults (Toxiproxy's toxics, written anew), each on or off at a time, composable:

| fault      | setting                 | effect                                                         |
| ---------- | ----------------------- | -------------------------------------------------------------- |
| delay      | ``delay_ms``            | every chunk is held so long                                    |
| jitter     | ``jitter_ms``           | plus a draw of up to so long; order within a connection is kept |
| bandwidth  | ``bytes_per_s``         | chunks leave no faster (a slow reader on the other side alike)  |
| partition  | ``partitioned``         | new connections are closed at once, open ones forward nothing  |
| cut        | ``cuts`` (a count)      | each connection opened before the last cut is closed           |

A half-open link is a partition that lasts: the peers learn of it only by their own timeouts.
"""

from __future__ import annotations

import random
from dataclasses import dataclass


@dataclass(slots=True)
class LinkFaults:
    """The faults of one link now; the plan changes them while it plays."""

    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    bytes_per_s: float = 0.0  # 0: as fast as the sockets go
    partitioned: bool = False
    cuts: int = 0

    def clear(self) -> None:
        """Heal the link; cuts already made stay made."""
        self.delay_ms = self.jitter_ms = self.bytes_per_s = 0.0
        self.partitioned = False


@dataclass(slots=True)
class Pace:
    """One direction of one connection: when its last chunk may leave, so order is kept."""

    born_cuts: int
    last_ms: float = 0.0


def release_ms(faults: LinkFaults, pace: Pace, now_ms: float, size: int, draw: random.Random) -> float:
    """When a chunk of ``size`` bytes read at ``now_ms`` may be written on: never before the one before it."""
    at = now_ms + faults.delay_ms + (draw.uniform(0.0, faults.jitter_ms) if faults.jitter_ms else 0.0)
    if faults.bytes_per_s > 0:
        at = max(at, pace.last_ms) + size * 1000.0 / faults.bytes_per_s
    pace.last_ms = max(at, pace.last_ms)
    return pace.last_ms


def cut(faults: LinkFaults, pace: Pace) -> bool:
    """Whether this connection was opened before a cut and has to close."""
    return pace.born_cuts < faults.cuts


def admits(faults: LinkFaults) -> bool:
    """Whether a new connection may be opened through the link now."""
    return not faults.partitioned
