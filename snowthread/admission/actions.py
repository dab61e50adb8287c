"""What a controller asks its host to do. Types only; times are seconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StartRun:
    """Start a held request or take up a paused one."""

    request_id: int


@dataclass(frozen=True, slots=True)
class RememberKey:
    """Remember the request's key from now on."""

    request_id: int
    lifetime_s: float


@dataclass(frozen=True, slots=True)
class ForgetKey:
    """Drop the request's key."""

    request_id: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: turned away, it never ran (or was safe to repeat)."""

    request_id: int
    retry_after_s: float = 0.0
    do_not_retry: bool = False


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, no promise."""

    request_id: int


@dataclass(frozen=True, slots=True)
class StartCall:
    """Make the call a run stands at."""

    request_id: int
    timeout_s: float


@dataclass(frozen=True, slots=True)
class SkipCall:
    """Go on without the call."""

    request_id: int


@dataclass(frozen=True, slots=True)
class StopRun:
    """Stop running work."""

    request_id: int


@dataclass(frozen=True, slots=True)
class AwaitOriginal:
    """Serve a held request from the result of the one it repeats."""

    request_id: int


@dataclass(frozen=True, slots=True)
class PublishLoad:
    """The value sent with every answer from now on."""

    value: float


@dataclass(frozen=True, slots=True)
class SetIdleTimeout:
    """Close connections idle this long (0: the host's default)."""

    timeout_s: float


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a :class:`TimerFired` this long from now."""

    delay_s: float
    label: int


@dataclass(frozen=True, slots=True)
class SetHealth:
    """The answer of health checks from now on."""

    healthy: bool
    shallow: bool = True


@dataclass(frozen=True, slots=True)
class LogNote:
    """A line for the people on call."""

    text: str


Action = (
    StartRun
    | RememberKey
    | ForgetKey
    | Reject
    | Fail
    | StartCall
    | SkipCall
    | StopRun
    | AwaitOriginal
    | PublishLoad
    | SetIdleTimeout
    | SetTimer
    | SetHealth
    | LogNote
)
