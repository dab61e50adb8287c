"""Failures of network attempts as values: how far the attempt had come, and why it failed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Progress(Enum):
    """How far an attempt had come."""

    NOT_CONNECTED = 0  # the peer can't have received a byte
    SENT = 1  # the peer may have received some of it
    REPLY_BEGUN = 2  # the peer had begun to answer


@dataclass(frozen=True, slots=True)
class Failure:
    """A failed attempt."""

    progress: Progress
    reason: str
    timed_out: bool = False
