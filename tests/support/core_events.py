"""Helpers for tests of the reducer: single events, and sequences of events that several tests need."""

from __future__ import annotations

from snowthread.core import effects, events
from snowthread.core.reducer import reduce
from snowthread.core.run import Run
from snowthread.core.runtime_resync import sync_tag
from snowthread.core.state import NodeState, Request


def make_request(
    number: int, class_name: str, arrived_at_ms: float, idempotency_key: str | None = None
) -> events.RequestReceived:
    """Return a request whose attempt id, response address and default key are derived from ``number``."""
    return events.RequestReceived(
        response_address=(1, number),
        attempt_id=f"{number:016x}",
        class_name=class_name,
        body=b"p",
        arrived_at_ms=arrived_at_ms,
        timeout_ms=5000.0,
        caller_id=4,
        memory_kb=20.0,
        rank=0.5,
        idempotency_key=idempotency_key or f"k{number}",
    )


def connect(state: NodeState, now_ms: float) -> list[effects.Effect]:
    """Establish a link to the runtime and return the effects."""
    return reduce(state, events.RuntimeConnected(starts_cold=False, runtime_age_ms=0.0), now_ms)


def confirm_commands(state: NodeState, now_ms: float) -> list[effects.Effect]:
    """Let the runtime echo a load sample request, which proves that it read all commands sent before.

    Return the effects without log messages.
    """
    reduce(state, events.LoadSampleDue(), now_ms)
    tag = str(state.last_sample_number)
    emitted = reduce(state, events.LoadSampleReceived(tag, ()), now_ms)
    return [effect for effect in emitted if not isinstance(effect, effects.LogMessage)]


def resynchronise(state: NodeState, now_ms: float) -> list[effects.Effect]:
    """Break the link, connect again and resynchronise.

    Return the effects without log messages and load sample requests.
    """
    reduce(state, events.RuntimeDisconnected(), now_ms)
    emitted = connect(state, now_ms)
    emitted += reduce(state, events.LoadSampleReceived(sync_tag(state.link_number), ()), now_ms)
    return [e for e in emitted if not isinstance(e, effects.LogMessage | effects.RequestLoadSample)]


def started_attempts(emitted: list[effects.Effect]) -> list[str]:
    """Return the ids of the attempts whose runs are started."""
    return [effect.attempt_id for effect in emitted if isinstance(effect, effects.StartRun)]


def run_of(request: Request) -> Run:
    """Return the run of a request that must have one."""
    assert request.run is not None
    return request.run
