"""Failures of network attempts as values: how far the attempt got, and why it failed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Progress(Enum):
    """How far an attempt got before it failed."""

    NOT_CONNECTED = 0  # the peer cannot have received a byte
    SENT = 1  # the peer may have received part of the request or all of it
    REPLY_BEGUN = 2  # the peer had started to send its reply


@dataclass(frozen=True, slots=True)
class Failure:
    """A failed attempt; ``timed_out`` says whether it failed because its deadline passed."""

    progress: Progress
    reason: str
    timed_out: bool = False
