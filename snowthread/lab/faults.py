"""Faults of a link of the lab: computes when bytes that cross the link may be forwarded.

Pure: the time and a seeded random generator are arguments. The faults are modeled on the toxics of Toxiproxy
and can be combined:

| fault     | setting         | effect                                                                     |
| --------- | --------------- | -------------------------------------------------------------------------- |
| delay     | ``delay_ms``    | every chunk is delayed by this time                                        |
| jitter    | ``jitter_ms``   | adds a random delay up to this time; the order within a connection is kept |
| bandwidth | ``bytes_per_s`` | limits the rate, like a slow reader on the other side                      |
| partition | ``partitioned`` | new connections are closed, and nothing is forwarded on open ones          |
| cut       | ``cut_count``   | counts cuts; connections opened before the latest cut are closed           |

A half-open link is a partition that lasts: the peers notice it only by their own timeouts.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

MS_PER_S = 1000.0


@dataclass(slots=True)
class LinkFaults:
    """The current faults of one link; they may be changed at any time during a run."""

    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    bytes_per_s: float = 0.0  # Maximum rate in bytes per second; 0 means no limit.
    partitioned: bool = False
    cut_count: int = 0

    def clear(self) -> None:
        """Remove the faults; connections that were closed by a cut stay closed."""
        self.delay_ms = 0.0
        self.jitter_ms = 0.0
        self.bytes_per_s = 0.0
        self.partitioned = False


@dataclass(slots=True)
class ForwardingState:
    """The state of one direction of a connection, which keeps its chunks in order."""

    cut_count_at_open: int
    last_release_at_ms: float = 0.0


def compute_release_ms(
    faults: LinkFaults, state: ForwardingState, now_ms: float, size: int, generator: random.Random
) -> float:
    """Return when a chunk that was read now may be forwarded, which is never before its predecessor.

    Args:
        faults: The current faults of the link.
        state: The state of the direction; it is updated.
        now_ms: Current time in ms.
        size: Size of the chunk in bytes.
        generator: Draws the jitter.
    """
    jitter_ms = generator.uniform(0.0, faults.jitter_ms) if faults.jitter_ms else 0.0
    at_ms = now_ms + faults.delay_ms + jitter_ms
    if faults.bytes_per_s > 0:
        at_ms = max(at_ms, state.last_release_at_ms) + size * MS_PER_S / faults.bytes_per_s
    state.last_release_at_ms = max(at_ms, state.last_release_at_ms)
    return state.last_release_at_ms


def is_cut(faults: LinkFaults, state: ForwardingState) -> bool:
    """Return whether a connection was opened before the latest cut and must be closed."""
    return state.cut_count_at_open < faults.cut_count
