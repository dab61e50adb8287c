"""Errors as values: how far an attempt had come when it failed, and why."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Progress(Enum):
    """How far an attempt had come."""

    NOT_CONNECTED = 0  # not a byte can have arrived
    SENT = 1  # some of it may have
    REPLY_BEGUN = 2  # an answer began


@dataclass(frozen=True, slots=True)
class Failure:
    """An attempt that failed."""

    progress: Progress
    reason: str
    timed_out: bool = False
